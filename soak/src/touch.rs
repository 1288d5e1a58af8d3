//! Which entries are in touch, so that promises with a bound in time hold for them.

use std::time::Duration;

/// Time after the end of a fault from which all promises hold again.
const CONTACT: Duration = Duration::from_secs(3);
/// Added to each bound: what a busy machine may take to run a process that is ready.
pub const SLACK: Duration = Duration::from_millis(500);

/// What is wrong with an entry, or with the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Harm {
    /// Its process does not run or is about to stop.
    pub down: bool,
    /// Its process is stopped for a while.
    pub frozen: bool,
    /// Its way to the store is disturbed.
    pub shut: bool,
    /// When that changed last, or a passing fault struck.
    changed: Duration,
}

impl Harm {
    fn is_over(&self, at: Duration) -> bool {
        let harmed = self.down || self.frozen || self.shut;
        !harmed && at >= self.changed + CONTACT + SLACK
    }
}

/// What is wrong with the entries and the store.
#[derive(Default)]
pub struct Touch {
    entries: Vec<Harm>,
    store: Harm,
}

impl Touch {
    /// Nothing is wrong with so many entries.
    #[must_use]
    pub fn new(entries: usize) -> Self {
        Self {
            entries: vec![Harm::default(); entries],
            store: Harm::default(),
        }
    }

    /// Something changes at an entry, or a fault strikes it that is over at once.
    pub fn change(&mut self, entry: usize, now: Duration, change: impl FnOnce(&mut Harm)) {
        change(&mut self.entries[entry]);
        self.entries[entry].changed = now;
    }

    /// The same at all entries.
    pub fn change_all(&mut self, now: Duration, change: impl Fn(&mut Harm)) {
        for entry in 0..self.entries.len() {
            self.change(entry, now, &change);
        }
    }

    /// The store begins or ends to be disturbed.
    pub fn change_store(&mut self, now: Duration, shut: bool) {
        self.store.shut = shut;
        self.store.changed = now;
    }

    /// Whether an entry was in touch for long enough at a time, and the store stable.
    #[must_use]
    pub fn holds(&self, entry: usize, at: Duration) -> bool {
        let entry = self.entries.get(entry);
        entry.is_some_and(|entry| entry.is_over(at)) && self.store.is_over(at)
    }
}
