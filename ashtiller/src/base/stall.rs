//! Detects that the process has been suspended, and tells how long ago a request may have arrived.
//!
//! A suspended process reads requests only when it continues, however long they have been waiting in its
//! sockets. So a request that is read then may have arrived at any time since the process last ran.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task;
use tokio::time::{self, MissedTickBehavior};

use crate::clock::Moment;

/// Interval at which a running process is known to run.
const TICK: Duration = Duration::from_millis(250);
/// Pause from which the process counts as suspended. A busy one is late by less.
const STALL_MIN: Duration = Duration::from_millis(750);
/// Time within which the requests are read that were waiting meanwhile.
const READ_TIME: Duration = Duration::from_millis(250);

/// When the process was last known to run, and its last stall.
#[derive(Clone, Copy, Debug)]
struct State {
    running: Moment,
    /// When it was last known to run before the stall, and when it continued.
    stall: Option<(Moment, Moment)>,
}

/// Watches for stalls of the process.
#[derive(Clone, Debug)]
pub struct StallWatch(Rc<Cell<State>>);

impl StallWatch {
    /// Creates a watch that knows of no stall; [`StallWatch::note_running`] tells it that the process runs.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self(Rc::new(Cell::new(State {
            running: now,
            stall: None,
        })))
    }

    /// Starts a task that notes at an interval that the process runs, until the watch is dropped.
    #[must_use]
    pub fn spawn() -> Self {
        let watch = Self::new(Moment::now());
        let weak = Rc::downgrade(&watch.0);
        task::spawn_local(async move {
            let mut tick = time::interval(TICK);
            tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                tick.tick().await;
                let Some(state) = weak.upgrade() else {
                    return;
                };
                Self(state).note_running(Moment::now());
            }
        });
        watch
    }

    /// Records that the process runs.
    pub fn note_running(&self, now: Moment) {
        let mut state = self.0.get();
        let stalled = now.since(state.running);
        if stalled >= STALL_MIN {
            state.stall = Some((state.running, now));
            tracing::warn!(
                stalled_ms = stalled.as_millis(),
                "the process did not run for a while"
            );
        }
        state.running = now;
        self.0.set(state);
    }

    /// Returns the earliest moment at which a request may have arrived that is read at `now`.
    #[must_use]
    pub fn earliest_arrival(&self, now: Moment) -> Moment {
        self.note_running(now);
        let stall = self.0.get().stall;
        let stall = stall.filter(|(_, until)| now.since(*until) < READ_TIME);
        stall.map_or(now, |(since, _)| since)
    }
}
