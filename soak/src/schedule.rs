//! Schedule of silenced connections, worker drains and configurations, drawn from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Mixed into the seed so that these draws are independent of those of the other faults.
const SALT: u64 = 0x6c69_6e6b;
/// Time of the first outage: by then the entries have elected an owner and jobs run.
const FIRST: Duration = Duration::from_secs(1);
/// Time within which the drain, configuration or kill that accompanies an outage follows it.
const FOLLOW_UP_MS: u64 = 2500;

/// Connections that are silenced together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Links {
    /// Connections of one entry to the store.
    Store(usize),
    /// Connections of the log's owner to the store.
    Owner,
    /// Connections of all entries to one worker.
    Worker(usize),
    /// Connections of clients to one entry.
    Clients(usize),
    /// All connections that pass through a proxy.
    All,
}

/// A scheduled fault or change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The open connections of these links are silenced permanently.
    Silence(Links),
    /// A worker announces that it is draining.
    Drain(usize),
    /// A draining worker exits, and its machine returns as a new incarnation.
    Leave(usize),
    /// A configuration with one more queue is written.
    Configure,
    /// An entry is killed.
    Kill(usize),
}

/// Which faults a seed plays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultSet {
    /// Only the schedule of this module, which leaves long fault-free periods to check the
    /// bounds that hold only there.
    Links,
    /// Only the faults drawn elsewhere.
    Others,
    /// Both at once.
    Both,
}

/// Returns which faults a seed plays: each set gets a third of the seeds.
#[must_use]
pub fn fault_set(seed: u64) -> FaultSet {
    match seed % 3 {
        0 => FaultSet::Links,
        1 => FaultSet::Others,
        _ => FaultSet::Both,
    }
}

/// Draws the events with their times, counted from the begin of the faults, in order.
#[must_use]
pub fn draw(seed: u64, span: Duration, entries: usize, workers: usize) -> Vec<(Duration, Event)> {
    if fault_set(seed) == FaultSet::Others {
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
        draws.add_outage(at);
        // One in four outages begins before the entries have recovered from the last one; the
        // others leave a fault-free period in which time bounds are checked.
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

    /// Adds an outage of links, and perhaps a drain, a configuration or a kill after it.
    fn add_outage(&mut self, at: Duration) {
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
            let said = at + self.millis(0, FOLLOW_UP_MS);
            self.events.push((said, Event::Drain(worker)));
            let left = said + self.millis(4000, 7000);
            self.events.push((left, Event::Leave(worker)));
        }
        if self.rng.random_range(0..2) == 0 {
            let written = at + self.millis(0, FOLLOW_UP_MS);
            self.events.push((written, Event::Configure));
        }
        if self.rng.random_range(0..5) == 0 {
            let killed = at + self.millis(0, FOLLOW_UP_MS);
            self.events.push((killed, Event::Kill(entry)));
        }
    }
}
