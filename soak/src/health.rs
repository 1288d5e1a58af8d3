//! Tracks which entries are free of faults, so that time bounds apply to them.

use std::time::Duration;

/// Time after the end of a fault from which all time bounds hold again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(3);
/// Added to each bound: scheduling delay of a runnable process on a busy machine.
pub const SLACK: Duration = Duration::from_millis(500);

/// Current faults of an entry or the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultState {
    /// The process is not running or has been told to stop.
    pub down: bool,
    /// The process is suspended by SIGSTOP.
    pub frozen: bool,
    /// The connection to the store, or the store itself, is disturbed.
    pub disturbed: bool,
    /// Time of the last change or momentary fault.
    changed: Duration,
    /// Time of the last change of `down` or `frozen`.
    process_changed: Duration,
}

impl FaultState {
    fn is_over(&self, at: Duration) -> bool {
        let faulty = self.down || self.frozen || self.disturbed;
        !faulty && at >= self.changed + RECOVERY_LIMIT + SLACK
    }
}

/// Current faults of all entries and the store.
#[derive(Default)]
pub struct EntryHealth {
    entries: Vec<FaultState>,
    store: FaultState,
}

impl EntryHealth {
    /// Creates a tracker for this many entries, all without faults.
    #[must_use]
    pub fn new(entries: usize) -> Self {
        Self {
            entries: vec![FaultState::default(); entries],
            store: FaultState::default(),
        }
    }

    /// Records a change of an entry's faults, or a momentary fault if `change` does nothing.
    pub fn change(&mut self, entry: usize, now: Duration, change: impl FnOnce(&mut FaultState)) {
        let state = &mut self.entries[entry];
        let before = (state.down, state.frozen);
        change(state);
        state.changed = now;
        if before != (state.down, state.frozen) {
            state.process_changed = now;
        }
    }

    /// Records the same change at all entries.
    pub fn change_all(&mut self, now: Duration, change: impl Fn(&mut FaultState)) {
        for entry in 0..self.entries.len() {
            self.change(entry, now, &change);
        }
    }

    /// Returns whether all entries are healthy.
    #[must_use]
    pub fn all_healthy(&self, at: Duration) -> bool {
        (0..self.entries.len()).all(|entry| self.is_healthy(entry, at))
    }

    /// Returns whether the entry's process has been running without interruption since a time.
    #[must_use]
    pub fn has_run_since(&self, entry: usize, since: Duration) -> bool {
        let entry = self.entries.get(entry);
        entry.is_some_and(|it| !it.down && !it.frozen && it.process_changed < since)
    }

    /// Records that a disturbance of the store begins or ends.
    pub fn change_store(&mut self, now: Duration, disturbed: bool) {
        self.store.disturbed = disturbed;
        self.store.changed = now;
    }

    /// Returns whether the entry and the store had been free of faults for 3.5 s at a time.
    #[must_use]
    pub fn is_healthy(&self, entry: usize, at: Duration) -> bool {
        let entry = self.entries.get(entry);
        entry.is_some_and(|entry| entry.is_over(at)) && self.store.is_over(at)
    }
}
