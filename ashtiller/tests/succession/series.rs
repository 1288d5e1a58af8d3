//! Several owners of a log in series: earlier ones that only left their traces in the store, and
//! the last one, a real instance.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::resources::Resources;
use ashtiller::workflow::config::{Config, Queue};
use ashtiller::workflow::job::{Job, Policy, Step};
use ashtiller::workflow::kv::{Committed, Store, Txn};
use ashtiller::workflow::log::{Acquisition, Log};
use ashtiller::workflow::message::{PeerRequest, Reply};
use ashtiller::workflow::node::{Dependencies, Node};
use ashtiller::workflow::peers::PeerConnections;
use ashtiller::workflow::record::{End, LogOwner, LogRecord, PreviousOwner, Run, Task};
use ashtiller::workflow::settings::Settings;
use bytes::Bytes;
use prometheus::IntCounter;
use serde::Serialize;
use tokio::time::{self, Instant};

use crate::memory_store::{MemoryStore, STORE_LATENCY};
use crate::process::{Network, Process};
use crate::workers::{self, Workers};

/// Prefix of the log's keys.
const PREFIX: &str = "ashtiller/flow/";
const LEAD_KEY: &str = "ashtiller/flow/lead";
const SETTINGS: &str = "[instance]\nname = last\navailability_zone = bern\n\
     [entry]\nhost = 127.0.0.1\nports = 7720,7735\nclients = 127.0.0.1:7721\n\
     readiness = 127.0.0.1:7722\n[platform]\nstore = 127.0.0.1:7723\n";
/// Cap on the time until the last owner begins.
const BEGIN_MAX: Duration = Duration::from_secs(10);
/// Cap on the time until the last owner orders the start; the longest wait for earlier leases is
/// 17.3 s.
const START_MAX: Duration = Duration::from_secs(30);

/// Time within which the status of a wave is written.
const WAVE_STATUS_TIME: Duration = Duration::from_millis(100);

/// Value of the lead key as written by versions that leave no other key about a change of owner.
#[derive(Serialize)]
struct EarlierLead {
    name: &'static str,
    address: SocketAddr,
    incarnation: u64,
    largest: u64,
    former: Option<(SocketAddr, u64, u64)>,
    epoch: u64,
}

/// Returns the address of an earlier owner, which its incarnation identifies.
fn address(incarnation: u64) -> SocketAddr {
    let port = u16::try_from(7800 + incarnation).expect("the port should be valid");
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

fn policy() -> Policy {
    Policy {
        service: "fleet".into(),
        priority: 0,
        attempts: 2,
        extension: 2.0,
        target: Duration::from_millis(250),
        advice: None,
    }
}

/// Returns a job with one long-running task.
fn job() -> Job {
    Job {
        id: "1".into(),
        queue: "jobs/q/".into(),
        payload: "".into(),
        steps: vec![Step {
            count: 1,
            needs: Resources {
                processors: 1000,
                memory: 1 << 30,
                accelerators: 0,
            },
            estimate: Duration::from_millis(500),
            long_running: true,
            ..Step::default()
        }],
        schedule: None,
    }
}

/// Returns the records of a job whose task was placed on a worker that is gone.
pub fn records() -> [LogRecord; 2] {
    let task = Task {
        job: 0,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    [
        LogRecord::Accepted(Box::new(job()), policy(), 1_000_000),
        LogRecord::Placed(Run { task, number: 1 }, "gone".into(), "".into()),
    ]
}

/// A log with its earlier owners, and the instance that owns it last.
pub struct Series {
    network: Rc<Network>,
    store: Arc<MemoryStore>,
    workers: Arc<Workers>,
    node: Rc<Node>,
    /// Newest owner.
    newest: Option<PreviousOwner>,
}

impl Series {
    /// Opens a log without owner, on a platform that lists one live worker.
    pub async fn open() -> Self {
        let (network, store) = (
            Rc::new(Network::default()),
            Arc::new(MemoryStore::default()),
        );
        let workers = Workers::open();
        let listing = Txn {
            put: vec![workers::entry()],
            ..Txn::default()
        };
        store
            .commit(&listing)
            .await
            .expect("the worker should be listed");
        let dependencies = Dependencies {
            store: store.clone(),
            agents: workers.clone(),
            advisor: None,
            machines: None,
            codec: workers.clone(),
        };
        let settings = Settings::parse("succession.ini", SETTINGS);
        let settings = settings.expect("the settings should parse");
        let mut node = Node::open(settings, dependencies).expect("the node should open");
        let silent =
            IntCounter::new("silent_links", "silent links").expect("the counter should be valid");
        Rc::get_mut(&mut node)
            .expect("the node should not be shared yet")
            .links = PeerConnections::over(network.clone(), silent);
        node.adopt_config(&Arc::new(Config {
            version: 1,
            queues: vec![Queue {
                host: "jobs".into(),
                prefix: "/q/".into(),
                policy: policy(),
            }],
            ..Config::default()
        }));
        Self {
            network,
            store,
            workers,
            node,
            newest: None,
        }
    }

    /// Lets an owner take the log over from the newest one; nothing listens at its address.
    pub async fn acquire(&mut self, incarnation: u64) -> PreviousOwner {
        let log = Log::new(self.store.clone(), PREFIX, incarnation);
        let mine = LogOwner {
            name: format!("owner-{incarnation}").into(),
            address: address(incarnation),
            incarnation,
            largest: 1000,
            former: self.newest,
            epoch: 0,
        };
        self.acquire_as(&log, mine).await
    }

    /// Lets the instance that is also the last owner take the log over from the newest one.
    pub async fn acquire_for_node(&mut self) -> PreviousOwner {
        let mine = self.node.as_log_owner(self.newest);
        let log = self.node.log.clone();
        self.acquire_as(&log, mine).await
    }

    async fn acquire_as(&mut self, log: &Log, mine: LogOwner) -> PreviousOwner {
        let replaced = self.newest.map_or(0, |owner| owner.epoch);
        let acquired = log.acquire(&mine, replaced).await;
        let Ok(Acquisition::Acquired(epoch)) = acquired else {
            panic!("the log should be acquired: {acquired:?}");
        };
        let owner = LogOwner { epoch, ..mine }.as_former();
        self.newest = Some(owner);
        owner
    }

    /// Lets an owner of an earlier version take the log over from the newest one: it writes the
    /// lead key alone.
    pub async fn acquire_as_earlier_version(&mut self, incarnation: u64) -> PreviousOwner {
        let address = address(incarnation);
        let lead = EarlierLead {
            name: "earlier",
            address,
            incarnation,
            largest: 1000,
            former: self
                .newest
                .map(|owner| (owner.address, owner.incarnation, owner.epoch)),
            epoch: 0,
        };
        let value = postcard::to_stdvec(&lead).expect("the lead should be encoded");
        let epoch = self.write_lead(value.into()).await;
        let owner = PreviousOwner {
            address,
            incarnation,
            epoch,
        };
        self.newest = Some(owner);
        owner
    }

    /// Replaces the value of the lead key; returns its revision.
    pub async fn write_lead(&self, value: Bytes) -> u64 {
        let replaced = self.newest.map_or(0, |owner| owner.epoch);
        let txn = Txn {
            expect: vec![(LEAD_KEY.into(), replaced)],
            put: vec![(LEAD_KEY.into(), value)],
            remove: Vec::new(),
        };
        let committed = self.store.commit(&txn).await;
        let Ok(Committed::Done(revision)) = committed else {
            panic!("the lead key should be written: {committed:?}");
        };
        revision
    }

    /// Removes the lead key.
    pub async fn remove_lead(&self) {
        let txn = Txn {
            remove: vec![LEAD_KEY.into()],
            ..Txn::default()
        };
        let committed = self.store.commit(&txn).await;
        committed.expect("the lead key should be removed");
    }

    /// Writes the first entry of the log for its newest owner, without any proof: a job whose task
    /// runs on a worker that is gone.
    pub async fn write_entry_without_proof(&self) {
        self.append_entry(records().to_vec()).await;
    }

    /// Writes the first entry of the log for its newest owner: a job whose task runs on a worker
    /// that is gone, and the proof that all owners before `cleared` have ended.
    pub async fn write_entry(&self, cleared: u64) {
        let mut entry = vec![LogRecord::Cleared(cleared)];
        entry.extend(records());
        self.append_entry(entry).await;
    }

    /// Writes the first entry of the log for its newest owner, which has known itself for `age`: a job
    /// whose run was lost, and a start of it without an answer.
    pub async fn write_unanswered_start(&self, age: Duration) {
        let owner = self.newest.expect("the log should have an owner");
        let [accepted, placed] = records();
        let LogRecord::Placed(run, worker, _) = placed.clone() else {
            panic!("a placed run: {placed:?}");
        };
        let age = u64::try_from(age.as_millis()).expect("the age should be valid");
        self.append_entry(vec![
            accepted,
            placed,
            LogRecord::StartUnconfirmed(run, worker),
            LogRecord::Ended(run, End::Lost, "".into()),
            LogRecord::OwnersKnown(owner.epoch, vec![(owner.epoch, age)]),
        ])
        .await;
    }

    async fn append_entry(&self, entry: Vec<LogRecord>) {
        let owner = self.newest.expect("the log should have an owner");
        let log = Log::new(self.store.clone(), PREFIX, owner.incarnation);
        let value = log.encode(entry).expect("the entry should be encoded");
        log.append(owner.epoch, 1, value)
            .await
            .expect("the entry should be written");
    }

    /// Lets a process of this incarnation answer at the address of an owner. It takes itself for
    /// the owner of the log if `owns` is set.
    pub fn host(&self, owner: &PreviousOwner, incarnation: u64, owns: bool) -> Rc<Process> {
        let process = Process::new(incarnation, owns);
        self.network.net.host(owner.address, process.clone());
        process
    }

    /// Lets connections to the address of an owner hang, or ends that.
    pub fn set_dark(&self, owner: &PreviousOwner, is_dark: bool) {
        let mut dark = self.network.dark.borrow_mut();
        if is_dark {
            dark.insert(owner.address);
        } else {
            dark.remove(&owner.address);
        }
    }

    /// Starts the last owner; returns when it began to own the log.
    pub async fn begin(&self) -> Instant {
        self.node.spawn();
        let spawned = Instant::now();
        while !self.node.owns() {
            assert!(spawned.elapsed() < BEGIN_MAX, "the log has no new owner");
            time::sleep(STORE_LATENCY).await;
        }
        Instant::now()
    }

    /// Requests an upkeep wave; returns whether the owner wrote its status.
    pub async fn request_wave(&self, number: u64) -> bool {
        let request = Txn {
            put: vec![(format!("{}{number}", workers::WAVE_PREFIX), Bytes::new())],
            ..Txn::default()
        };
        let committed = self.store.commit(&request).await;
        committed.expect("the wave should be requested");
        time::sleep(WAVE_STATUS_TIME).await;
        let key = workers::wave_status_key(number);
        let status = self.store.get(&key, false).await;
        status.expect("the status should be read").is_some()
    }

    /// Asks the owner of the log by way of the instance.
    pub async fn ask(&self, request: &PeerRequest, deadline: Instant) -> Reply {
        self.node.ask_owner(request, deadline).await
    }

    /// Returns the epoch of the last owner.
    pub fn epoch(&self) -> u64 {
        let owner = self.node.log_owner();
        owner.expect("the log should have an owner").epoch
    }

    /// Returns the epoch before which all owners have ended according to the log.
    pub async fn read_cleared(&self) -> u64 {
        let replayed = self.node.log.replay(Duration::ZERO).await;
        replayed.expect("the log should be read").state.cleared
    }

    /// Returns how long after `begin` the lost task was ordered to start on the live worker.
    pub async fn start_delay(&self, begin: Instant) -> Duration {
        loop {
            if let Some((at, start)) = self.workers.first_start() {
                assert_eq!(start.run, 2, "the next run of the task");
                let delay = at - begin;
                println!("started {delay:?} after the last owner began");
                return delay;
            }
            assert!(begin.elapsed() < START_MAX, "the task was not started");
            time::sleep(STORE_LATENCY).await;
        }
    }
}
