//! Invariants checked while a seed is played, from what clients and workers observe.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::resources::Resources;
use ashtiller::workflow::agents::TaskName;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::record::LogOwner;
use hyper::{Method, Response, StatusCode};
use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use crate::client::Client;
use crate::health::{EntryHealth, SLACK};
use crate::long_running::{Sighting, StartRule};
use crate::proxy::Proxy;
use crate::refusals;
use crate::standin::store::Store;
use crate::standin::worker_server::WorkerServer;

/// Time between two checks of all workers.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two calls by which an entry's configuration is checked.
const CONFIG_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two questions for the states of accepted jobs.
const STATE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Jobs whose state is asked for at a time.
const STATES_AT_ONCE: usize = 20;
/// Time from the store's acceptance of a worker's drain notice until no task may start there.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time from the store's acceptance of an evacuation until no task may start in the zone.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);
/// Time from the store's acceptance of a configuration until every entry applies it.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);
/// Store key of the log's owner.
const OWNER_KEY: &str = "ashtiller/flow/lead";

/// One incarnation of a worker and the proxy in front of it.
pub struct Member {
    /// The worker's stand-in server.
    pub server: WorkerServer,
    /// Proxy through which the entries reach the worker.
    pub proxy: Proxy,
    /// When the store accepted the worker's drain notice, counted from the seed's start.
    pub drained: Option<Duration>,
    /// Availability zone of the worker.
    pub zone: &'static str,
}

/// Running workers by machine number.
pub type Fleet = Arc<Mutex<BTreeMap<usize, Member>>>;

/// Answers that clients received, tasks that workers ran, and violations found so far.
#[derive(Default)]
pub struct Observations {
    /// Jobs for which a client received status 200.
    pub accepted: BTreeSet<Arc<str>>,
    /// Jobs for which a client received status 429 or 503.
    pub refused: BTreeSet<Arc<str>>,
    /// Jobs with a submission that failed or got any other status: they may have been accepted.
    pub unclear: BTreeSet<Arc<str>>,
    /// Jobs of which at least one task ran.
    pub ran: BTreeSet<Arc<str>>,
    /// Accepted jobs that were seen to have ended.
    pub ended: BTreeSet<Arc<str>>,
    /// Long-running jobs by the number of their tasks, each with the resources of one task.
    pub long_running: BTreeMap<Arc<str>, (u16, Resources)>,
    /// Descriptions of violated invariants.
    pub broken: Vec<String>,
    /// Entry numbers by the fencing token that they held as owners of the log.
    owners: BTreeMap<u64, usize>,
    /// Runs already reported as started too late on a draining worker or in an evacuated zone.
    late: BTreeSet<(TaskName, u32)>,
    /// Accepted jobs already reported as unknown.
    unknown: BTreeSet<Arc<str>>,
}

impl Observations {
    /// Records the answer to a submission; true if the job was accepted.
    pub fn take_answer(&mut self, id: &Arc<str>, status: Option<StatusCode>) -> bool {
        match status {
            Some(StatusCode::OK) => self.accepted.insert(id.clone()),
            Some(status) if refusals::is_refusal(status) => self.refused.insert(id.clone()),
            _ => self.unclear.insert(id.clone()),
        };
        status == Some(StatusCode::OK)
    }

    /// Records the answer to a question for the state of an accepted job. Ended jobs may be
    /// forgotten, others may not.
    pub fn take_state(&mut self, id: &Arc<str>, by: &str, status: StatusCode, body: &[u8]) {
        let ended = ["complete", "failed", "cancelled"];
        let mut ended = ended.iter().map(|it| format!(r#"{{"state":"{it}"}}"#));
        if ended.any(|it| it.as_bytes() == body) {
            self.ended.insert(id.clone());
        }
        let is_unknown = matches!(status, StatusCode::GONE | StatusCode::NOT_FOUND);
        if is_unknown && !self.ended.contains(id) && self.unknown.insert(id.clone()) {
            let text = format!("{id} was accepted, and {by} answers its state with {status}");
            self.broken.push(text);
        }
    }

    /// Returns the jobs that were refused in every attempt and of which a task was started.
    #[must_use]
    pub fn refused_and_started(&self, started: &BTreeSet<Arc<str>>) -> Vec<Arc<str>> {
        let mut never = self.never_accepted();
        never.retain(|id| !self.unclear.contains(id));
        never.retain(|id| started.contains(id) || self.ran.contains(id));
        never
    }

    /// Returns the jobs that were refused at least once and never accepted.
    #[must_use]
    pub fn never_accepted(&self) -> Vec<Arc<str>> {
        self.refused.difference(&self.accepted).cloned().collect()
    }
}

/// State shared by the checks and the faults.
#[derive(Clone)]
pub struct Checks {
    /// Start of the seed; all times are counted from here.
    pub start: Instant,
    /// The store's stand-in.
    pub store: Store,
    /// Running workers.
    pub fleet: Fleet,
    /// HTTP client that submits and queries jobs.
    pub client: Arc<Client>,
    /// Observations so far.
    pub seen: Arc<Mutex<Observations>>,
    /// Which entries have had no fault for long enough that time bounds apply.
    pub health: Arc<Mutex<EntryHealth>>,
    /// When the store accepted each configuration; the first has version 1.
    pub configs: Arc<Mutex<Vec<Duration>>>,
    /// Availability zones under evacuation, with the start of the evacuation.
    pub evacuated: Arc<Mutex<BTreeMap<&'static str, Duration>>>,
}

/// Returns the path prefix of the queue that a configuration version adds.
#[must_use]
pub fn name_prefix(version: usize) -> String {
    format!("/v{version}/")
}

impl Checks {
    /// Runs the checks until the returned set is dropped; `entries` are the client addresses.
    #[must_use]
    pub fn spawn(&self, entries: &[SocketAddr]) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().watch_workers());
        tasks.spawn(self.clone().watch_states(entries.to_vec()));
        for (number, address) in entries.iter().enumerate() {
            tasks.spawn(self.clone().watch_config(number, *address));
        }
        tasks
    }

    async fn watch_workers(self) {
        let mut rule = StartRule::default();
        loop {
            self.note_owner();
            self.check_workers();
            self.check_long_running(&mut rule);
            time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Submits a job once and checks the answer if it is a refusal. Returns the status, and the
    /// time after which a refused caller may come back.
    pub async fn submit(
        &self,
        (entry, address): (usize, SocketAddr),
        path: &str,
        id: &Arc<str>,
        body: String,
    ) -> (Option<StatusCode>, Duration) {
        let sent = self.start.elapsed();
        let to = format!("{path}{id}");
        let answer = self.client.send(address, Method::POST, &to, body).await;
        let took = self.start.elapsed().saturating_sub(sent);
        let mut seen = self.seen.lock();
        let status = answer.as_ref().map(Response::status).ok();
        seen.take_answer(id, status);
        let Ok(answer) = answer else {
            return (None, Duration::ZERO);
        };
        if !refusals::is_refusal(answer.status()) {
            return (status, Duration::ZERO);
        }
        let found = refusals::retry_delay(&answer);
        // A suspended process answers when it goes on.
        let late =
            refusals::describe_late(took).filter(|_| self.health.lock().has_run_since(entry, sent));
        let delay = *found.as_ref().unwrap_or(&Duration::ZERO);
        for text in found.err().into_iter().chain(late) {
            seen.broken.push(format!("entry {entry}: {id} was {text}"));
        }
        (status, delay)
    }

    /// Asks entries in turn for the states of accepted jobs that have not ended.
    async fn watch_states(self, entries: Vec<SocketAddr>) {
        let mut after: Option<Arc<str>> = None;
        for (number, entry) in entries.iter().enumerate().cycle() {
            time::sleep(STATE_CHECK_INTERVAL).await;
            let open: Vec<Arc<str>> = {
                let seen = self.seen.lock();
                let open = seen.accepted.difference(&seen.ended);
                let next = open.filter(|id| after.as_ref().is_none_or(|after| *id > after));
                next.take(STATES_AT_ONCE).cloned().collect()
            };
            after = open.last().cloned();
            for id in open {
                let path = format!("/q/{id}");
                let answer = self.client.call(*entry, Method::GET, &path, String::new());
                if let Ok((status, body)) = answer.await {
                    let by = format!(
                        "entry {number} at {:.3}",
                        self.start.elapsed().as_secs_f64()
                    );
                    self.seen.lock().take_state(&id, &by, status, &body);
                }
            }
        }
    }

    /// Checks that long-running tasks start where there is room for two of them.
    fn check_long_running(&self, rule: &mut StartRule) {
        let mut seen = self.seen.lock();
        if seen.long_running.is_empty() {
            return;
        }
        let now = self.start.elapsed();
        let mut sighting = Sighting {
            calm: self.health.lock().all_healthy(now),
            owner: seen.owners.last_key_value().map(|(fence, _)| *fence),
            ..Sighting::default()
        };
        let mut needs = Resources::default();
        for (id, (count, each)) in &seen.long_running {
            if seen.accepted.contains(id) && !seen.ended.contains(id) {
                sighting.wanted.extend((0..*count).map(|index| TaskName {
                    job: id.clone(),
                    occurrence: 0,
                    step: 0,
                    index,
                }));
            }
            needs = each.plus(each);
        }
        for member in self.fleet.lock().values() {
            if *member.server.unreachable.lock() {
                continue;
            }
            let worker = member.server.worker.lock();
            sighting.present.insert(worker.incarnation.clone());
            let names = worker.runs.keys().map(|(name, _)| name);
            let lasting = names.filter(|name| seen.long_running.contains_key(&name.job));
            sighting.running.extend(lasting.cloned());
            let is_open = member.drained.is_none()
                && worker.capacity_changed_at.is_none()
                && !self.evacuated.lock().contains_key(member.zone);
            if is_open && worker.used().plus(&needs).fits_within(&worker.capacity) {
                sighting.roomy.insert(worker.incarnation.clone());
            }
        }
        let late = rule.take(now, &sighting);
        seen.broken.extend(late);
    }

    /// Reads the log owner's fencing token and entry number from the store.
    #[must_use]
    pub fn find_owner(&self) -> Option<(u64, usize)> {
        let (fence, value) = self.store.read(OWNER_KEY)?;
        let lead: LogOwner = postcard::from_bytes(&value).ok()?;
        let number = lead.name.strip_prefix("entry-")?.parse().ok()?;
        Some((fence, number))
    }

    fn note_owner(&self) {
        if let Some((fence, number)) = self.find_owner() {
            self.seen.lock().owners.insert(fence, number);
        }
    }

    /// Checks that no task runs twice at once, that no worker exceeds its capacity, and that
    /// draining workers and evacuated zones get no new tasks.
    fn check_workers(&self) {
        let mut running: BTreeMap<TaskName, Incarnation> = BTreeMap::new();
        let mut seen = self.seen.lock();
        for member in self.fleet.lock().values() {
            let mut worker = member.server.worker.lock();
            worker.advance(self.start.elapsed());
            for (name, _) in worker.runs.keys() {
                seen.ran.insert(name.job.clone());
                if let Some(other) = running.insert(name.clone(), worker.incarnation.clone()) {
                    let text = format!("{name:?} runs on {other} and {}", worker.incarnation);
                    seen.broken.push(text);
                }
            }
            // Shrinking a capacity does not end running tasks, so usage may exceed it; the
            // stand-in checks starts against the new capacity instead.
            if worker.capacity_changed_at.is_none() && !worker.used().fits_within(&worker.capacity)
            {
                let text = format!("{} holds {}", worker.incarnation, worker.used());
                seen.broken.push(text);
            }
            drop(worker);
            self.check_drain(member, &mut seen);
            self.check_evacuation(member, &mut seen);
        }
    }

    /// Checks that healthy entries start nothing on a draining worker after the bound.
    fn check_drain(&self, member: &Member, seen: &mut Observations) {
        let Some(drained) = member.drained else {
            return;
        };
        let worker = member.server.worker.lock();
        for (key, run) in &worker.runs {
            let Some(owner) = seen.owners.get(&run.fence).copied() else {
                continue;
            };
            let late = run.started_at > drained + DRAIN_LIMIT + SLACK;
            if late
                && self.health.lock().is_healthy(owner, run.started_at)
                && seen.late.insert(key.clone())
            {
                seen.broken.push(format!(
                    "entry {owner} started {:?} on {} at {:.3}, {:.3} s after its word that it leaves",
                    key.0,
                    worker.incarnation,
                    run.started_at.as_secs_f64(),
                    run.started_at.saturating_sub(drained).as_secs_f64(),
                ));
            }
        }
    }

    /// Checks that healthy entries start nothing in an evacuated zone after the bound.
    fn check_evacuation(&self, member: &Member, seen: &mut Observations) {
        let Some(since) = self.evacuated.lock().get(member.zone).copied() else {
            return;
        };
        let worker = member.server.worker.lock();
        for (key, run) in &worker.runs {
            let Some(owner) = seen.owners.get(&run.fence).copied() else {
                continue;
            };
            let late = run.started_at > since + EVACUATION_LIMIT + SLACK;
            if late
                && self.health.lock().is_healthy(owner, run.started_at)
                && seen.late.insert(key.clone())
            {
                seen.broken.push(format!(
                    "entry {owner} started {:?} on {} at {:.3}, whose zone {} was evacuated at {:.3}",
                    key.0,
                    worker.incarnation,
                    run.started_at.as_secs_f64(),
                    member.zone,
                    since.as_secs_f64(),
                ));
            }
        }
    }

    /// Checks that a healthy entry knows the queue of each configuration after the bound.
    async fn watch_config(self, entry: usize, address: SocketAddr) {
        let mut missed = 0;
        loop {
            time::sleep(CONFIG_CHECK_INTERVAL).await;
            let now = self.start.elapsed();
            let version = self.count_due(now);
            if version <= missed || !self.health.lock().is_healthy(entry, now) {
                continue;
            }
            let path = name_prefix(version);
            let answer = self
                .client
                .call(address, Method::GET, &path, String::new())
                .await;
            if answer.is_ok_and(|(status, _)| status == StatusCode::NOT_FOUND) {
                missed = version;
                let text = format!(
                    "entry {entry} does not know configuration {version} at {:.3}",
                    now.as_secs_f64()
                );
                self.seen.lock().broken.push(text);
            }
        }
    }

    /// Counts the configurations that every healthy entry must have applied by now.
    fn count_due(&self, now: Duration) -> usize {
        let configs = self.configs.lock();
        let due = configs
            .iter()
            .filter(|taken| **taken + CONFIG_LIMIT + SLACK < now);
        due.count()
    }
}
