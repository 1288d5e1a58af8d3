//! Protocol between a cell's owner and its workers.
//!
//! One request carries everything for a worker: the lease, commands for tasks and acknowledgements.
//! The response reports every running attempt. The protocol is level-triggered: a command whose
//! effect is missing from the response is sent again with the next request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::failure::Failure;
use crate::store::CallFuture;
use crate::web;

/// HTTP path of the request.
const SYNC_PATH: &str = "/v1/sync";

/// Command for a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Starts an attempt.
    Start {
        /// Name of the task.
        task: Arc<str>,
        /// Attempt number, counted from 1.
        attempt: u32,
        /// Progress to resume from, in milliseconds of run time.
        progress: u64,
        /// Declared run time in milliseconds; 0 runs until stopped.
        length: u64,
    },
    /// Writes a checkpoint and stops the attempt.
    Evict {
        /// Name of the task.
        task: Arc<str>,
        /// Attempt number.
        attempt: u32,
    },
    /// Stops the attempt without a checkpoint.
    Stop {
        /// Name of the task.
        task: Arc<str>,
        /// Attempt number.
        attempt: u32,
    },
    /// Limits the attempt to a share of full speed.
    Throttle {
        /// Name of the task.
        task: Arc<str>,
        /// Attempt number.
        attempt: u32,
        /// Share of full speed in percent, 1 to 100.
        percent: u32,
    },
}

/// Request that carries everything for one worker.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncRequest {
    /// Epoch of the cell's owner.
    pub epoch: u64,
    /// Sequence number of this request within the epoch.
    pub seq: u64,
    /// Expected boot number; 0 for any. A worker with another boot number refuses the request.
    pub boot: u64,
    /// End of the lease on the worker's clock, in milliseconds; 0 for none.
    pub until: u64,
    /// Digest of the last report that was processed; 0 for none. A worker whose running attempts
    /// have this digest need not list them again.
    pub known: u64,
    /// Commands, in order.
    pub commands: Vec<Command>,
    /// Ended attempts that are durable in the log, by task and attempt number.
    pub acks: Vec<(Arc<str>, u32)>,
}

/// How an attempt ended, as the worker reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedEnd {
    /// The attempt completed its work.
    Finished,
    /// The attempt failed.
    Failed,
    /// The attempt was stopped after a checkpoint.
    Evicted,
    /// The attempt was stopped on command.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
}

/// A running attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Running {
    /// Name of the task.
    pub task: Arc<str>,
    /// Attempt number.
    pub attempt: u32,
    /// Completed work in milliseconds of run time.
    pub progress: u64,
    /// Speed in percent of full speed.
    pub speed: u32,
    /// Tail latency of a service in microseconds, if it was measured.
    pub latency: Option<u64>,
    /// Load of a service in percent of its capacity.
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
    /// Name of the task.
    pub task: Arc<str>,
    /// Attempt number.
    pub attempt: u32,
    /// How it ended.
    pub end: ReportedEnd,
    /// Progress that a later attempt can resume from, in milliseconds.
    pub progress: u64,
}

/// Response of a worker.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Boot number of the worker.
    pub boot: u64,
    /// The worker's clock in milliseconds.
    pub clock: u64,
    /// Highest epoch seen.
    pub epoch: u64,
    /// Highest sequence number seen in that epoch.
    pub seq: u64,
    /// Age of the measurements in milliseconds.
    #[serde(default)]
    pub lag: u64,
    /// The worker's own digest of its running attempts and their speeds.
    #[serde(default)]
    pub digest: u64,
    /// Whether the running attempts match the digest that the caller knows; in that case only
    /// services with measurements are listed.
    #[serde(default)]
    pub unchanged: bool,
    /// Running attempts.
    pub running: Vec<Running>,
    /// Ended attempts that are not yet acknowledged.
    pub ended: Vec<Ended>,
}

/// Client for calls to workers.
pub trait WorkerClient: Send + std::marker::Sync {
    /// Sends one request to a worker and returns its report.
    fn sync<'a>(&'a self, worker: SocketAddr, sync: &'a SyncRequest) -> CallFuture<'a, Report>;
}

struct HttpWorkerClient {
    client: web::Client,
    limit: Duration,
}

/// Creates a client that sends JSON over HTTP; `limit` is the timeout of a call.
#[must_use]
pub fn open(limit: Duration) -> Arc<dyn WorkerClient> {
    Arc::new(HttpWorkerClient {
        client: web::Client::default(),
        limit,
    })
}

impl WorkerClient for HttpWorkerClient {
    fn sync<'a>(&'a self, worker: SocketAddr, sync: &'a SyncRequest) -> CallFuture<'a, Report> {
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
            // A refusal (409 Conflict) carries a report as well.
            if answer.status != StatusCode::OK && answer.status != StatusCode::CONFLICT {
                return Err(Failure::unknown_effect("sync", worker, answer.status));
            }
            serde_json::from_slice(&answer.body)
                .map_err(|error| Failure::unknown_effect("sync", worker, error))
        })
    }
}
