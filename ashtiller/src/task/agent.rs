//! A worker, as a cell's owner talks to it.
//!
//! One call carries everything for one worker: the lease, commands for tasks and
//! acknowledgements; the answer reports everything that runs. It is level
//! triggered: what an answer lacks is sent again with the next call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::failure::Failure;
use crate::store::Called;
use crate::web;

/// Path of the call.
const SYNC_PATH: &str = "/v1/sync";

/// What a worker is told to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Run an attempt.
    Start {
        /// Task.
        task: Arc<str>,
        /// Attempt, counted from 1.
        attempt: u32,
        /// Progress to resume from, in milliseconds of run time.
        progress: u64,
        /// Declared run time in milliseconds; 0 runs until stopped.
        length: u64,
    },
    /// Write a checkpoint and stop.
    Evict {
        /// Task.
        task: Arc<str>,
        /// Attempt.
        attempt: u32,
    },
    /// Stop without a checkpoint.
    Stop {
        /// Task.
        task: Arc<str>,
        /// Attempt.
        attempt: u32,
    },
    /// Run at a share of full speed.
    Throttle {
        /// Task.
        task: Arc<str>,
        /// Attempt.
        attempt: u32,
        /// Share of full speed in percent, 1 to 100.
        percent: u32,
    },
}

/// Everything for one worker.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncRequest {
    /// Epoch of the cell's owner.
    pub epoch: u64,
    /// Number of this call within the epoch.
    pub seq: u64,
    /// Boot number expected; 0 for any. Another life of the worker refuses it.
    pub boot: u64,
    /// End of the lease on the worker's clock, in milliseconds; 0 for none.
    pub until: u64,
    /// Digest of the last report that was taken; 0 for none. A worker whose running
    /// attempts have this digest need not list them again.
    pub known: u64,
    /// Commands, in order.
    pub commands: Vec<Command>,
    /// Ended attempts that the log has.
    pub acks: Vec<(Arc<str>, u32)>,
}

/// How the worker says that an attempt ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedEnd {
    /// All of its work is done.
    Finished,
    /// It failed by itself.
    Failed,
    /// It was stopped after a checkpoint.
    Evicted,
    /// It was stopped on command.
    Stopped,
    /// The lease ended.
    Lapsed,
}

/// A running attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Running {
    /// Task.
    pub task: Arc<str>,
    /// Attempt.
    pub attempt: u32,
    /// Work done in milliseconds of run time.
    pub progress: u64,
    /// Speed in percent of full speed.
    pub speed: u32,
    /// Tail latency of a service in microseconds, if it was measured.
    pub latency: Option<u64>,
    /// Load of a service in percent of what it can do.
    pub load: u32,
}

impl Default for Running {
    fn default() -> Self {
        Self {
            task: "".into(),
            attempt: 0,
            progress: 0,
            speed: 100,
            latency: None,
            load: 0,
        }
    }
}

/// An ended attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ended {
    /// Task.
    pub task: Arc<str>,
    /// Attempt.
    pub attempt: u32,
    /// How it ended.
    pub end: ReportedEnd,
    /// Progress that a later attempt can resume from, in milliseconds.
    pub progress: u64,
}

/// What a worker answers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Boot number.
    pub boot: u64,
    /// The worker's clock in milliseconds.
    pub clock: u64,
    /// Highest epoch seen.
    pub epoch: u64,
    /// Highest number seen in that epoch.
    pub seq: u64,
    /// Age of the measurements in milliseconds.
    #[serde(default)]
    pub lag: u64,
    /// The worker's own digest of its running attempts and their speeds.
    #[serde(default)]
    pub digest: u64,
    /// Whether the running attempts are those of the digest that the caller knows;
    /// then only services with measurements are listed.
    #[serde(default)]
    pub unchanged: bool,
    /// Running attempts.
    pub running: Vec<Running>,
    /// Ended attempts that are not acknowledged.
    pub ended: Vec<Ended>,
}

/// A worker.
pub trait WorkerClient: Send + std::marker::Sync {
    /// Makes one call.
    fn sync<'a>(&'a self, worker: SocketAddr, sync: &'a SyncRequest) -> Called<'a, Report>;
}

struct HttpWorkerClient {
    client: web::Client,
    limit: Duration,
}

/// Opens a client that talks JSON over HTTP; each call may take `limit`.
#[must_use]
pub fn open(limit: Duration) -> Arc<dyn WorkerClient> {
    Arc::new(HttpWorkerClient {
        client: web::Client::default(),
        limit,
    })
}

impl WorkerClient for HttpWorkerClient {
    fn sync<'a>(&'a self, worker: SocketAddr, sync: &'a SyncRequest) -> Called<'a, Report> {
        Box::pin(async move {
            let body = serde_json::to_vec(sync)
                .map_err(|error| Failure::no_effect("sync", worker, error))?;
            let answer = self
                .client
                .call(
                    "sync",
                    worker,
                    Method::POST,
                    SYNC_PATH,
                    Bytes::from(body),
                    self.limit,
                )
                .await?;
            // A refusal carries a report too.
            if answer.status != StatusCode::OK && answer.status != StatusCode::CONFLICT {
                return Err(Failure::unknown_effect("sync", worker, answer.status));
            }
            serde_json::from_slice(&answer.body)
                .map_err(|error| Failure::unknown_effect("sync", worker, error))
        })
    }
}
