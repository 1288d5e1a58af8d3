//! Silences of links, drains of workers and new configurations, drawn from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Keeps these draws apart from those of the other faults.
const SALT: u64 = 0x6c69_6e6b;
/// When the first strike comes: the entries have found an owner and jobs run.
const FIRST: Duration = Duration::from_secs(1);
/// Time within which what goes with a strike follows it, in milliseconds.
const BESIDE: u64 = 2500;

/// Which links fall silent at one moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Links {
    /// Those of one entry to the store.
    Store(usize),
    /// Those of the owner of the log to the store.
    Owner,
    /// Those of all entries to one worker.
    Worker(usize),
    /// Those of clients to one entry.
    Clients(usize),
    /// All that a proxy carries.
    All,
}

/// What happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The open connections of these links fall silent for good.
    Silence(Links),
    /// A worker says that it is about to leave.
    Drain(usize),
    /// A worker that said so leaves, and its machine comes back as another.
    Leave(usize),
    /// Operators write a configuration with one more queue.
    Configure,
    /// An entry is killed.
    Kill(usize),
}

/// What a seed plays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sort {
    /// What is drawn here alone, so that promises that hold only in calm are checked
    /// for long.
    Links,
    /// The other faults alone.
    Others,
    /// Both, one beside the other.
    Both,
}

/// What a seed plays: each sort a third of them.
#[must_use]
pub fn sort_of(seed: u64) -> Sort {
    match seed % 3 {
        0 => Sort::Links,
        1 => Sort::Others,
        _ => Sort::Both,
    }
}

/// What happens when, counted from the first fault, in order.
#[must_use]
pub fn draw(seed: u64, span: Duration, entries: usize, workers: usize) -> Vec<(Duration, Event)> {
    if sort_of(seed) == Sort::Others {
        return Vec::new();
    }
    let mut draws = Draws {
        rng: Pcg64::seed_from_u64(seed ^ SALT),
        entries,
        workers,
        events: Vec::new(),
    };
    let mut at = FIRST;
    while at < span {
        draws.add_strike(at);
        // One in four strikes comes into the trouble of the last one; the others leave
        // a calm in which bounds in time are checked.
        at += if draws.rng.random_range(0..4) == 0 {
            draws.millis(200, 1500)
        } else {
            draws.millis(4500, 7000)
        };
    }
    draws.events.sort_by_key(|(at, _)| *at);
    draws.events
}

struct Draws {
    rng: Pcg64,
    entries: usize,
    workers: usize,
    events: Vec<(Duration, Event)>,
}

impl Draws {
    fn millis(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(least..most))
    }

    /// Links fall silent, and other things may happen beside it.
    fn add_strike(&mut self, at: Duration) {
        let entry = self.rng.random_range(0..self.entries);
        let worker = self.rng.random_range(0..self.workers);
        let links = match self.rng.random_range(0..7) {
            0 => Links::Store(entry),
            1 | 2 => Links::Owner,
            3 => Links::Worker(worker),
            4 => Links::Clients(entry),
            _ => Links::All,
        };
        self.events.push((at, Event::Silence(links)));
        if self.rng.random_range(0..3) > 0 {
            let said = at + self.millis(0, BESIDE);
            self.events.push((said, Event::Drain(worker)));
            let left = said + self.millis(4000, 7000);
            self.events.push((left, Event::Leave(worker)));
        }
        if self.rng.random_range(0..2) == 0 {
            let written = at + self.millis(0, BESIDE);
            self.events.push((written, Event::Configure));
        }
        if self.rng.random_range(0..5) == 0 {
            let killed = at + self.millis(0, BESIDE);
            self.events.push((killed, Event::Kill(entry)));
        }
    }
}
