//! What must hold while a seed is played, from what clients and workers see.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::agents::TaskName;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::record::LogOwner;
use hyper::{Method, StatusCode};
use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use crate::client::Client;
use crate::proxy::Proxy;
use crate::standin::store::Store;
use crate::standin::worker_server::WorkerServer;
use crate::touch::{SLACK, Touch};

/// Time between two looks at all workers.
const CHECK: Duration = Duration::from_millis(10);
/// Time between two calls by which an entry's configuration is checked.
const CALL: Duration = Duration::from_millis(200);
/// Time after the store took a worker's word that it leaves until no start may come.
const DRAIN: Duration = Duration::from_secs(2);
/// Time after the store took an evacuation until no start may come.
const EVACUATE: Duration = Duration::from_secs(5);
/// Time after the store took a configuration until it is in force everywhere.
const APPLY: Duration = Duration::from_secs(2);
/// Where the entries keep who owns the log.
const LEAD: &str = "ashtiller/flow/lead";

/// A worker's life, and the proxy in front of it.
pub struct Member {
    /// The worker.
    pub agent: WorkerServer,
    /// Where the entries reach it.
    pub link: Proxy,
    /// When the store took its word that it is about to leave.
    pub drained: Option<Duration>,
    /// Its availability zone.
    pub zone: &'static str,
}

/// The workers by machine.
pub type Fleet = Arc<Mutex<BTreeMap<usize, Member>>>;

/// What clients and workers have seen.
#[derive(Default)]
pub struct Seen {
    /// Jobs that clients were told are accepted.
    pub accepted: BTreeSet<Arc<str>>,
    /// Jobs that an answer refused.
    pub refused: BTreeSet<Arc<str>>,
    /// Jobs with a call that was not answered clearly.
    pub doubtful: BTreeSet<Arc<str>>,
    /// Jobs of which a task ran.
    pub ran: BTreeSet<Arc<str>>,
    /// What was broken.
    pub broken: Vec<String>,
    /// Entries by the fence that they had as owners of the log.
    owners: BTreeMap<u64, usize>,
    /// Runs that were found to have begun too late on a worker that leaves, or in a zone that
    /// is evacuated.
    late: BTreeSet<(TaskName, u32)>,
}

impl Seen {
    /// Takes an answer to a job; true when it is accepted.
    pub fn take_answer(&mut self, id: &Arc<str>, status: Option<StatusCode>) -> bool {
        match status {
            Some(StatusCode::OK) => self.accepted.insert(id.clone()),
            Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {
                self.refused.insert(id.clone())
            }
            _ => self.doubtful.insert(id.clone()),
        };
        status == Some(StatusCode::OK)
    }

    /// Jobs that were refused by every answer.
    #[must_use]
    pub fn never_accepted(&self) -> Vec<Arc<str>> {
        self.refused.difference(&self.accepted).cloned().collect()
    }
}

/// What the checks look at.
#[derive(Clone)]
pub struct Checks {
    /// When the seed began; all times are counted from here.
    pub start: Instant,
    /// The store.
    pub store: Store,
    /// The workers.
    pub fleet: Fleet,
    /// Makes the calls of clients.
    pub client: Arc<Client>,
    /// What was seen.
    pub seen: Arc<Mutex<Seen>>,
    /// Which entries are in touch.
    pub touch: Arc<Mutex<Touch>>,
    /// When the store took each configuration; the first has version 1.
    pub configs: Arc<Mutex<Vec<Duration>>>,
    /// Availability zones under evacuation, and since when.
    pub evacuated: Arc<Mutex<BTreeMap<&'static str, Duration>>>,
}

/// The prefix of the queue that came with a configuration.
#[must_use]
pub fn name_prefix(version: usize) -> String {
    format!("/v{version}/")
}

impl Checks {
    /// Checks until the set is dropped; `entries` are where clients reach them.
    #[must_use]
    pub fn spawn(&self, entries: &[SocketAddr]) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().watch_workers());
        for (number, address) in entries.iter().enumerate() {
            tasks.spawn(self.clone().watch_config(number, *address));
        }
        tasks
    }

    async fn watch_workers(self) {
        loop {
            self.note_owner();
            self.check_workers();
            time::sleep(CHECK).await;
        }
    }

    /// The entry that owns the log, as the store says.
    #[must_use]
    pub fn find_owner(&self) -> Option<(u64, usize)> {
        let (fence, value) = self.store.read(LEAD)?;
        let lead: LogOwner = postcard::from_bytes(&value).ok()?;
        let number = lead.name.strip_prefix("entry-")?.parse().ok()?;
        Some((fence, number))
    }

    fn note_owner(&self) {
        if let Some((fence, number)) = self.find_owner() {
            self.seen.lock().owners.insert(fence, number);
        }
    }

    /// No task may run twice at once, no worker hold more than it has, and none that
    /// leaves be given more.
    fn check_workers(&self) {
        let mut running: BTreeMap<TaskName, Incarnation> = BTreeMap::new();
        let mut seen = self.seen.lock();
        for member in self.fleet.lock().values() {
            let mut worker = member.agent.worker.lock();
            worker.advance(self.start.elapsed());
            for (name, _) in worker.runs.keys() {
                seen.ran.insert(name.job.clone());
                if let Some(other) = running.insert(name.clone(), worker.incarnation.clone()) {
                    let text = format!("{name:?} runs on {other} and {}", worker.incarnation);
                    seen.broken.push(text);
                }
            }
            // A room that shrinks does not end what runs there; starts are checked for it.
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

    /// A worker that said it leaves gets nothing of an entry in touch beyond the bound.
    fn check_drain(&self, member: &Member, seen: &mut Seen) {
        let Some(drained) = member.drained else {
            return;
        };
        let worker = member.agent.worker.lock();
        for (key, run) in &worker.runs {
            let Some(owner) = seen.owners.get(&run.fence).copied() else {
                continue;
            };
            let late = run.started_at > drained + DRAIN + SLACK;
            if late
                && self.touch.lock().holds(owner, run.started_at)
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

    /// A worker in an evacuated zone gets nothing of an entry in touch beyond the bound.
    fn check_evacuation(&self, member: &Member, seen: &mut Seen) {
        let Some(since) = self.evacuated.lock().get(member.zone).copied() else {
            return;
        };
        let worker = member.agent.worker.lock();
        for (key, run) in &worker.runs {
            let Some(owner) = seen.owners.get(&run.fence).copied() else {
                continue;
            };
            let late = run.started_at > since + EVACUATE + SLACK;
            if late
                && self.touch.lock().holds(owner, run.started_at)
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

    /// An entry in touch knows the queue of each configuration beyond the bound.
    async fn watch_config(self, entry: usize, address: SocketAddr) {
        let mut missed = 0;
        loop {
            time::sleep(CALL).await;
            let now = self.start.elapsed();
            let version = self.count_due(now);
            if version <= missed || !self.touch.lock().holds(entry, now) {
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

    /// Configurations that have to be in force.
    fn count_due(&self, now: Duration) -> usize {
        let configs = self.configs.lock();
        let due = configs.iter().filter(|taken| **taken + APPLY + SLACK < now);
        due.count()
    }
}
