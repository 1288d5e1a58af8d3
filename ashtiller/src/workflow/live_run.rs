//! State that the log owner tracks for one run that may be active.

use std::sync::Arc;
use std::time::Duration;

use crate::workflow::incarnation::Incarnation;
use crate::workflow::interference::Image;

/// Progress of the start of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The placement is recorded at this log position and is not durable yet.
    Recorded(u64),
    /// The worker has not confirmed the start.
    Starting,
    /// The worker confirmed the start at this time, or reports the run as active.
    Started(Duration),
}

/// Progress of the stop of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stop {
    /// No stop is requested.
    None,
    /// A stop is requested for this reason.
    Wanted(StopReason),
    /// The worker confirmed the stop at this time.
    Confirmed(Duration),
}

/// Reason for stopping a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// The job has ended.
    Over,
    /// A speculative copy has finished the work.
    Copied,
    /// The worker is draining.
    Draining,
    /// The availability zone is being evacuated, and the run has not begun.
    Evacuated,
    /// The machine is due for maintenance.
    Upkeep,
    /// The run makes no progress.
    Stalled,
    /// The worker refused the start.
    Refused,
    /// The worker has restarted and may still carry out a start sent before.
    Restarted,
    /// The worker's capacity has shrunk since the run was placed.
    Shrunk,
    /// The run moves to a smaller piece of free capacity.
    Defragmented,
    /// The run is throttled to a standstill for the services on its worker, and could make progress
    /// elsewhere.
    Crowded,
}

/// How a run shares its worker with other runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunSharing {
    /// Uses only the resources that it requested.
    Apart,
    /// Latency-sensitive run of this image, with its latency target in milliseconds.
    Serves(Image, f64),
    /// Best-effort run of this image.
    Fills(Image),
}

/// State of one run.
#[derive(Clone, Debug)]
pub struct LiveRun {
    /// Worker that has the run.
    pub worker: Incarnation,
    /// How it shares the worker.
    pub share: RunSharing,
    /// Progress of the start.
    pub stage: Stage,
    /// Progress of the stop.
    pub stop: Stop,
    /// Whether an order about the run is in flight.
    pub ordering: bool,
    /// Whether it runs isolated: nothing else is started beside it while its task is strongly
    /// suspected of crashing workers.
    pub isolated: bool,
    /// Earliest time of the next order about the run.
    pub retry: Duration,
    /// Number of unanswered starts.
    pub unanswered: u32,
    /// Time until which an unanswered start may still be carried out.
    pub in_doubt: Option<Duration>,
    /// Whether a start was answered by another incarnation than the intended one.
    pub misdelivered: bool,
    /// Number of starts sent, without those that certainly did not reach the worker. The starts of
    /// an earlier owner count as one.
    pub sent: u32,
    /// Time of placement.
    pub placed: Duration,
    /// Time at which the first start was sent.
    pub first_sent: Option<Duration>,
    /// Time at which the run was first seen active, and its progress then.
    pub began: Option<(Duration, u32)>,
    /// Progress in percent.
    pub percent: u32,
    /// Time of the last increase of the progress.
    pub progressed_at: Duration,
    /// Newest checkpoint that the worker reported.
    pub checkpoint: Arc<str>,
    /// Tail latency of a latency-sensitive run in milliseconds.
    pub tail_latency_ms: Option<u64>,
    /// Processors used by a run that is not latency-sensitive, as last reported.
    pub used: Option<u64>,
    /// Estimated headroom of a latency-sensitive run without best-effort runs beside it, as a share
    /// of its image's usual headroom.
    pub headroom: Option<f64>,
    /// Ticket of the advisor, for steps that need one.
    pub ticket: Option<Arc<str>>,
    /// Pace that the worker was last told, in percent.
    pub pace: u32,
    /// Desired pace in percent.
    pub pace_goal: u32,
    /// Time since which the desired pace is low.
    pub slow: Option<Duration>,
    /// Time of the last change of the pace.
    pub paced_at: Duration,
    /// Working time lost to throttling under earlier paces.
    pub paced: Duration,
    /// Processors requested, in thousandths.
    pub requested_processors: f64,
    /// Time until which an unanswered pace order may still be carried out.
    pub pace_doubt: Duration,
}

impl LiveRun {
    /// Creates the state of a run that was just placed.
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
            requested_processors: asked,
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
            first_sent: None,
            began: None,
            percent: 0,
            progressed_at: now,
            checkpoint: Arc::from(""),
            tail_latency_ms: None,
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

    /// Returns the working time lost to throttling since the last change of the pace.
    #[must_use]
    pub fn paced_since(&self, now: Duration) -> Duration {
        now.saturating_sub(self.paced_at) * (100 - self.pace.min(100)) / 100
    }

    /// Records that the run works at another pace from now on.
    pub fn set_pace(&mut self, percent: u32, now: Duration) {
        self.paced += self.paced_since(now);
        self.paced_at = now;
        self.pace = percent;
    }

    /// Requests a stop; the first reason wins.
    pub fn want_stop(&mut self, reason: StopReason) {
        if self.stop == Stop::None {
            self.stop = Stop::Wanted(reason);
        }
    }
}
