//! Stand-in for a worker that runs tasks under one lease and reports them.
//!
//! `POST /v1/sync` is the only call. Its body carries the caller's epoch, a sequence number, the
//! expiry of the lease on the worker's clock, commands and acknowledgements; the answer is a
//! report. A request is refused with status 409 and changes nothing if its epoch is below the
//! highest seen, its sequence number is not new, or its boot number is that of another
//! incarnation. When the lease expires, all tasks are stopped. Ended attempts stay in the report
//! until they are acknowledged.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::faults::Faults;
use crate::serve::{self, Call, Reply};

/// Interval of checks for finished tasks and an expired lease.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Command about a task.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Starts an attempt.
    Start {
        /// Task.
        task: String,
        /// Attempt, counted from 1.
        attempt: u32,
        /// Progress to resume from, in milliseconds of run time.
        progress: u64,
        /// Run time that the work takes, in milliseconds; 0 runs until stopped.
        length: u64,
    },
    /// Writes a checkpoint and stops.
    Evict {
        /// Task.
        task: String,
        /// Attempt.
        attempt: u32,
    },
    /// Stops without a checkpoint.
    Stop {
        /// Task.
        task: String,
        /// Attempt.
        attempt: u32,
    },
    /// Limits the speed of an attempt.
    Throttle {
        /// Task.
        task: String,
        /// Attempt.
        attempt: u32,
        /// Percent of full speed, 1 to 100.
        percent: u32,
    },
}

/// Request of a caller.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct SyncRequest {
    /// Epoch of the cell's owner.
    pub epoch: u64,
    /// Number of this request within the epoch.
    pub seq: u64,
    /// Boot number that the caller expects; 0 for any.
    pub boot: u64,
    /// Expiry of the lease on the worker's clock, in milliseconds.
    pub until: u64,
    /// Digest of the last report that the caller has; 0 for none.
    pub known: u64,
    /// Commands, in order.
    pub commands: Vec<Command>,
    /// Ended attempts that the owner has recorded.
    pub acks: Vec<(String, u32)>,
}

/// Reason for the end of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndReason {
    /// The attempt completed its work.
    Finished,
    /// The attempt failed.
    Failed,
    /// The attempt was stopped after a checkpoint.
    Evicted,
    /// The attempt was stopped by a command.
    Stopped,
    /// The lease expired.
    Lapsed,
}

/// Running attempt.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunningAttempt {
    /// Task.
    pub task: String,
    /// Attempt.
    pub attempt: u32,
    /// Work done, in milliseconds of run time.
    pub progress: u64,
    /// Speed in percent of full speed.
    pub speed: u32,
}

/// Ended attempt.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndedAttempt {
    /// Task.
    pub task: String,
    /// Attempt.
    pub attempt: u32,
    /// Reason for its end.
    pub end: EndReason,
    /// Progress that a later attempt can resume from, in milliseconds.
    pub progress: u64,
}

/// Answer to a [`SyncRequest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Report {
    /// Changes whenever the worker restarts.
    pub boot: u64,
    /// The worker's clock in milliseconds.
    pub clock: u64,
    /// Highest epoch seen.
    pub epoch: u64,
    /// Highest sequence number seen in that epoch.
    pub seq: u64,
    /// Digest of the running attempts and their speeds.
    pub digest: u64,
    /// Whether the caller has the same digest; running attempts are not listed then.
    pub unchanged: bool,
    /// Running attempts.
    pub running: Vec<RunningAttempt>,
    /// Attempts that ended and are not yet acknowledged.
    pub ended: Vec<EndedAttempt>,
}

/// Interval in which an attempt ran, as recorded by the worker.
#[derive(Clone, Debug)]
pub struct RunInterval {
    /// Worker.
    pub worker: String,
    /// Task.
    pub task: String,
    /// Attempt.
    pub attempt: u32,
    /// Progress at its start.
    pub progress: u64,
    /// Start of the interval.
    pub from: Instant,
    /// End of the interval, if it is over.
    pub to: Option<Instant>,
    /// Reason for the end, if there was one.
    pub end: Option<EndReason>,
}

/// Intervals in which workers ran tasks; shared by all workers of a test.
#[derive(Debug, Default)]
pub struct RunHistory {
    intervals: Mutex<Vec<RunInterval>>,
}

impl RunHistory {
    /// Returns all intervals so far.
    #[must_use]
    pub fn intervals(&self) -> Vec<RunInterval> {
        self.intervals.lock().clone()
    }

    /// Returns pairs of overlapping intervals of the same task.
    #[must_use]
    pub fn overlapping(&self) -> Vec<(RunInterval, RunInterval)> {
        let intervals = self.intervals();
        let mut pairs = Vec::new();
        for (index, first) in intervals.iter().enumerate() {
            for second in &intervals[index + 1..] {
                let disjoint = first.to.is_some_and(|end| end <= second.from)
                    || second.to.is_some_and(|end| end <= first.from);
                if first.task == second.task && !disjoint {
                    pairs.push((first.clone(), second.clone()));
                }
            }
        }
        pairs
    }

    fn open(&self, interval: RunInterval) -> usize {
        let mut intervals = self.intervals.lock();
        intervals.push(interval);
        intervals.len() - 1
    }

    fn close(&self, index: usize, end: Option<EndReason>) {
        let mut intervals = self.intervals.lock();
        intervals[index].to = Some(Instant::now());
        intervals[index].end = end;
    }
}

struct Attempt {
    number: u32,
    progress: f64,
    length: u64,
    percent: u32,
    since: Instant,
    index: usize,
}

impl Attempt {
    fn progress(&self, now: Instant) -> u64 {
        let run =
            now.duration_since(self.since).as_secs_f64() * 1e3 * f64::from(self.percent) / 100.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small, positive"
        )]
        let progress = (self.progress + run) as u64;
        progress
    }
}

struct State {
    boot: u64,
    start: Instant,
    epoch: u64,
    seq: u64,
    until: u64,
    running: BTreeMap<String, Attempt>,
    ended: BTreeMap<(String, u32), EndedAttempt>,
    fail_all: bool,
}

struct Shared {
    name: String,
    state: Mutex<State>,
    faults: Faults,
    record: Arc<RunHistory>,
}

/// Running worker stand-in.
pub struct Agent {
    server: serve::Server,
    shared: Arc<Shared>,
}

impl Agent {
    /// Returns the address assigned by the kernel.
    #[must_use]
    pub fn address(&self) -> std::net::SocketAddr {
        self.server.address()
    }

    /// Returns the fault switches.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.shared.faults
    }

    /// Kills the worker: ends its tasks and closes its port.
    pub fn kill(&self) {
        self.server.kill();
        let mut state = self.shared.state.lock();
        for (_, attempt) in std::mem::take(&mut state.running) {
            self.shared.record.close(attempt.index, None);
        }
    }

    /// Restarts the worker in place, without its tasks and with a new boot number.
    pub fn restart(&self) {
        let mut state = self.shared.state.lock();
        for (_, attempt) in std::mem::take(&mut state.running) {
            self.shared.record.close(attempt.index, None);
        }
        let fail_all = state.fail_all;
        *state = State::new(state.boot + 1);
        state.fail_all = fail_all;
    }

    /// Sets whether every attempt fails at once.
    pub fn set_fail_all(&self, fail: bool) {
        self.shared.state.lock().fail_all = fail;
    }

    /// Returns the number of running attempts.
    #[must_use]
    pub fn running(&self) -> usize {
        self.shared.state.lock().running.len()
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.kill();
    }
}

impl State {
    fn new(boot: u64) -> Self {
        Self {
            boot,
            start: Instant::now(),
            epoch: 0,
            seq: 0,
            until: 0,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            fail_all: false,
        }
    }

    fn clock(&self, now: Instant) -> u64 {
        u64::try_from(now.duration_since(self.start).as_millis()).unwrap_or(u64::MAX)
    }

    fn end(&mut self, record: &RunHistory, task: &str, end: EndReason, now: Instant) {
        let Some(attempt) = self.running.remove(task) else {
            return;
        };
        record.close(attempt.index, Some(end));
        let progress = attempt.progress(now);
        let ended = EndedAttempt {
            task: task.to_owned(),
            attempt: attempt.number,
            end,
            progress,
        };
        self.ended.insert((task.to_owned(), attempt.number), ended);
    }

    fn advance(&mut self, record: &RunHistory, now: Instant) {
        let lapsed = self.clock(now) >= self.until;
        let ended: Vec<(String, EndReason)> = self
            .running
            .iter()
            .filter_map(|(task, attempt)| {
                let done = attempt.length > 0 && attempt.progress(now) >= attempt.length;
                match (self.fail_all, done, lapsed) {
                    (true, _, _) => Some((task.clone(), EndReason::Failed)),
                    (_, true, _) => Some((task.clone(), EndReason::Finished)),
                    (_, _, true) => Some((task.clone(), EndReason::Lapsed)),
                    _ => None,
                }
            })
            .collect();
        for (task, end) in ended {
            self.end(record, &task, end, now);
        }
    }

    /// Ends an attempt. An attempt that is not running here is recorded as stopped, so that it
    /// cannot start later.
    fn stop(
        &mut self,
        record: &RunHistory,
        task: &str,
        attempt: u32,
        end: EndReason,
        now: Instant,
    ) {
        if self.is_running(task, attempt) {
            self.end(record, task, end, now);
            return;
        }
        let stopped = EndedAttempt {
            task: task.to_owned(),
            attempt,
            end: EndReason::Stopped,
            progress: 0,
        };
        self.ended
            .entry((task.to_owned(), attempt))
            .or_insert(stopped);
    }

    fn is_running(&self, task: &str, attempt: u32) -> bool {
        self.running
            .get(task)
            .is_some_and(|running| running.number == attempt)
    }

    fn execute(&mut self, shared: &Shared, command: Command, now: Instant) {
        match command {
            Command::Start {
                task,
                attempt,
                progress,
                length,
            } => {
                self.start_attempt(shared, task, attempt, progress, length, now);
            }
            Command::Evict { task, attempt } => {
                self.stop(&shared.record, &task, attempt, EndReason::Evicted, now);
            }
            Command::Stop { task, attempt } => {
                self.stop(&shared.record, &task, attempt, EndReason::Stopped, now);
            }
            Command::Throttle {
                task,
                attempt,
                percent,
            } => {
                if !self.is_running(&task, attempt) {
                    return;
                }
                if let Some(running) = self.running.get_mut(&task) {
                    #[expect(clippy::cast_precision_loss, reason = "milliseconds of a test")]
                    let progress = running.progress(now) as f64;
                    running.progress = progress;
                    running.since = now;
                    running.percent = percent;
                }
            }
        }
    }

    fn start_attempt(
        &mut self,
        shared: &Shared,
        task: String,
        attempt: u32,
        progress: u64,
        length: u64,
        now: Instant,
    ) {
        let ended = self.ended.contains_key(&(task.clone(), attempt));
        if ended || self.running.contains_key(&task) || self.clock(now) >= self.until {
            return;
        }
        let index = shared.record.open(RunInterval {
            worker: shared.name.clone(),
            task: task.clone(),
            attempt,
            progress,
            from: now,
            to: None,
            end: None,
        });
        #[expect(clippy::cast_precision_loss, reason = "milliseconds of a test")]
        let progress = progress as f64;
        let running = Attempt {
            number: attempt,
            progress,
            length,
            percent: 100,
            since: now,
            index,
        };
        self.running.insert(task, running);
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for (task, attempt) in &self.running {
            (task, attempt.number, attempt.percent).hash(&mut hasher);
        }
        hasher.finish().max(1)
    }

    fn report(&self, now: Instant, known: u64) -> Report {
        let digest = self.digest();
        let unchanged = digest == known;
        let running = self
            .running
            .iter()
            .filter(|_| !unchanged)
            .map(|(task, attempt)| RunningAttempt {
                task: task.clone(),
                attempt: attempt.number,
                progress: attempt.progress(now),
                speed: attempt.percent,
            });
        Report {
            boot: self.boot,
            clock: self.clock(now),
            epoch: self.epoch,
            seq: self.seq,
            digest,
            unchanged,
            running: running.collect(),
            ended: self.ended.values().cloned().collect(),
        }
    }
}

/// Starts a worker on `address`; `boot` must differ from that of earlier incarnations.
///
/// # Errors
/// Fails if the port cannot be bound.
pub async fn bind(
    address: &str,
    name: &str,
    boot: u64,
    record: Arc<RunHistory>,
) -> anyhow::Result<Agent> {
    let shared = Arc::new(Shared {
        name: name.to_owned(),
        state: Mutex::new(State::new(boot)),
        faults: Faults::default(),
        record,
    });
    let server = serve::bind(address, {
        let shared = shared.clone();
        move |call| handle(shared.clone(), call)
    })
    .await?;
    tokio::spawn(check_periodically(Arc::downgrade(&shared)));
    Ok(Agent { server, shared })
}

async fn check_periodically(shared: std::sync::Weak<Shared>) {
    let mut ticks = time::interval(CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let mut state = shared.state.lock();
        state.advance(&shared.record, Instant::now());
    }
}

async fn handle(shared: Arc<Shared>, call: Call) -> Reply {
    if call.path == "/fault" {
        return Reply::Send(shared.faults.set_from_request(&call));
    }
    let switches = shared.faults.get();
    if switches.down {
        return Reply::CloseConnection;
    }
    if switches.slow_ms > 0 {
        time::sleep(Duration::from_millis(switches.slow_ms)).await;
    }
    let sync: SyncRequest = match serde_json::from_slice(&call.body) {
        Ok(sync) => sync,
        Err(error) => return Reply::Send(serve::text(400, error.to_string())),
    };
    let answer = execute(&shared, sync);
    if shared.faults.take_lost_answer() || shared.faults.get().down {
        return Reply::CloseConnection;
    }
    Reply::Send(answer)
}

fn execute(shared: &Shared, sync: SyncRequest) -> serve::Answer {
    let now = Instant::now();
    let mut state = shared.state.lock();
    state.advance(&shared.record, now);
    let outdated = (sync.epoch, sync.seq) <= (state.epoch, state.seq);
    let other_incarnation = sync.boot != 0 && sync.boot != state.boot;
    if outdated || other_incarnation {
        let mut answer = serve::json(&state.report(now, sync.known));
        *answer.status_mut() = hyper::StatusCode::CONFLICT;
        return answer;
    }
    state.epoch = sync.epoch;
    state.seq = sync.seq;
    state.until = state.until.max(sync.until);
    for ack in &sync.acks {
        state.ended.remove(ack);
    }
    let known = sync.known;
    for command in sync.commands {
        state.execute(shared, command, now);
    }
    serve::json(&state.report(now, known))
}
