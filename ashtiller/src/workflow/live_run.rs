//! One run that may be going on, as the owner of a log sees it.

use std::sync::Arc;
use std::time::Duration;

use crate::workflow::incarnation::Incarnation;
use crate::workflow::interference::Image;

/// How far the start of a run has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Waits for its record at this position to be durable.
    Recorded(u64),
    /// The worker has not confirmed the start.
    Starting,
    /// The worker confirmed at this time, or lists it.
    Started(Duration),
}

/// How far the stop of a run has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stop {
    /// It is to go on.
    None,
    /// It is to be stopped, for this reason.
    Wanted(StopReason),
    /// The worker confirmed the stop at this time.
    Confirmed(Duration),
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// Its job is over.
    Over,
    /// A copy of it has done the work.
    Copied,
    /// Its worker is about to leave.
    Draining,
    /// Its availability zone is evacuated, and it has not begun.
    Evacuated,
    /// Its machine is to have its upkeep.
    Upkeep,
    /// It makes no progress there.
    Stalled,
    /// The worker did not take the start.
    Refused,
    /// The worker has started again, and may carry out a start of before.
    Restarted,
    /// The worker's room has shrunk since it was placed there.
    Shrunk,
    /// It stands still for the services there, and would work elsewhere.
    Crowded,
}

/// How a run shares its worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunSharing {
    /// It keeps to what it asked for.
    Apart,
    /// It serves, with this latency target in milliseconds.
    Serves(Image, f64),
    /// It fills.
    Fills(Image),
}

/// One run.
#[derive(Clone, Debug)]
pub struct LiveRun {
    /// Worker.
    pub worker: Incarnation,
    /// How it shares its worker.
    pub share: RunSharing,
    /// How far its start has come.
    pub stage: Stage,
    /// How far its stop has come.
    pub stop: Stop,
    /// Whether an order about it is under way.
    pub ordering: bool,
    /// Whether it is tried: nothing is started beside it while its task is strongly suspected.
    pub isolated: bool,
    /// When the next order about it may go out.
    pub retry: Duration,
    /// Starts that were not answered.
    pub unanswered: u32,
    /// Until when a start that was not answered may still be carried out.
    pub in_doubt: Option<Duration>,
    /// Whether another life than the one that was meant answered a start.
    pub misdelivered: bool,
    /// Starts that were sent, less those that certainly did not come to the worker; an
    /// earlier owner's counts as one.
    pub sent: u32,
    /// When it was placed.
    pub placed: Duration,
    /// When it was first seen at work, with its progress then.
    pub began: Option<(Duration, u32)>,
    /// Progress in percent, and when it last rose.
    pub percent: u32,
    /// When the progress last rose.
    pub moved: Duration,
    /// Newest checkpoint that the worker told.
    pub checkpoint: Arc<str>,
    /// Tail latency of a run that serves, in milliseconds.
    pub tail: Option<u64>,
    /// Processors in use by a run that does not serve, as last reported.
    pub used: Option<u64>,
    /// Its headroom without fills, as a share of its image's usual one, for a run that
    /// serves.
    pub headroom: Option<f64>,
    /// Ticket of the advisor, where one is asked.
    pub ticket: Option<Arc<str>>,
    /// Share at which it was told to work.
    pub pace: u32,
    /// Share at which it is to work.
    pub pace_goal: u32,
    /// Since when it is to work at a small share only.
    pub slow: Option<Duration>,
    /// When its pace was last set.
    pub paced_at: Duration,
    /// Time that the paces before that took from it.
    pub paced: Duration,
    /// Processors that it asked for, in thousandths.
    pub asked: f64,
    /// Until when an unanswered pace may still be carried out.
    pub pace_doubt: Duration,
}

impl LiveRun {
    /// A run that was just placed.
    #[must_use]
    pub fn new(
        worker: Incarnation,
        stage: Stage,
        share: RunSharing,
        asked: f64,
        now: Duration,
    ) -> Self {
        Self {
            worker,
            share,
            asked,
            stage,
            stop: Stop::None,
            ordering: false,
            retry: Duration::ZERO,
            unanswered: 0,
            in_doubt: None,
            misdelivered: false,
            isolated: false,
            sent: u32::from(stage == Stage::Starting),
            placed: now,
            began: None,
            percent: 0,
            moved: now,
            checkpoint: Arc::from(""),
            tail: None,
            used: None,
            headroom: None,
            ticket: None,
            pace: 100,
            pace_goal: 100,
            slow: None,
            paced_at: now,
            paced: Duration::ZERO,
            pace_doubt: Duration::ZERO,
        }
    }

    /// Time that its pace took from it since it was last set.
    #[must_use]
    pub fn paced_since(&self, now: Duration) -> Duration {
        now.saturating_sub(self.paced_at) * (100 - self.pace.min(100)) / 100
    }

    /// Notes that it works at another share from now on.
    pub fn set_pace(&mut self, percent: u32, now: Duration) {
        self.paced += self.paced_since(now);
        self.paced_at = now;
        self.pace = percent;
    }

    /// Asks for its stop, unless that was asked before.
    pub fn want_stop(&mut self, reason: StopReason) {
        if self.stop == Stop::None {
            self.stop = Stop::Wanted(reason);
        }
    }
}
