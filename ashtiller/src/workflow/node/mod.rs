//! One entry instance: serves clients' calls, and owns the log or follows its owner.

mod forward;
mod peer_handler;
mod store_watch;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::task;

use crate::clock::Moment;
use crate::workflow::admission::copy::OverloadCopy;
use crate::workflow::advisor::Advisor;
use crate::workflow::agents::WorkerClient;
use crate::workflow::config::{ClientLimits, Config, PlatformCodec};
use crate::workflow::evacuations::Evacuations;
use crate::workflow::follow;
use crate::workflow::kv::Store;
use crate::workflow::link::Tcp;
use crate::workflow::log::Log;
use crate::workflow::machines::{Machines, Wave};
use crate::workflow::membership::election;
use crate::workflow::membership::member::{Member, MembershipUpdate, Version};
use crate::workflow::membership::members::Members;
use crate::workflow::membership::owner_history::OwnerHistory;
use crate::workflow::message::Heartbeat;
use crate::workflow::metrics::Metrics;
use crate::workflow::owner::OwnerRequest;
use crate::workflow::peers::PeerConnections;
use crate::workflow::record::{LogOwner, PreviousOwner};
use crate::workflow::relay::client::RelayClient;
use crate::workflow::relay::server::RelayServer;
use crate::workflow::settings::Settings;
use crate::workflow::submission_room::SubmissionRoom;

pub use store_watch::PROBE_INTERVAL;

/// Prefix of all keys that this project writes to the store.
const STORE_PREFIX: &str = "ashtiller/flow/";

/// State that all parts of the process share.
pub struct Node {
    /// Settings of this instance.
    pub settings: Settings,
    /// Client of the key-value service.
    pub store: Arc<dyn Store>,
    /// Client that calls workers directly.
    pub agents: Arc<dyn WorkerClient>,
    /// Advisor on the choice of workers, if the settings name one.
    pub advisor: Option<Arc<dyn Advisor>>,
    /// Client of the machine interface, if the settings name one.
    pub machines: Option<Arc<dyn Machines>>,
    /// Codec of the entries that the platform keeps in the store.
    pub codec: Arc<dyn PlatformCodec>,
    /// Connections to other instances.
    pub links: Rc<PeerConnections>,
    /// Executor of calls to workers on behalf of an owner on another instance.
    pub relay_server: Rc<RelayServer>,
    /// Client that calls workers for the owner in this process, directly or over relays.
    pub relay_client: Rc<RelayClient>,
    /// Counters and histograms of this process.
    pub metrics: Metrics,
    /// Log of records in the store.
    pub log: Log,
    /// Random number that identifies this process until it ends.
    pub incarnation: u64,
    log_owner: watch::Sender<Option<LogOwner>>,
    owner_history: RefCell<OwnerHistory>,
    config: watch::Sender<Arc<Config>>,
    client_limits: watch::Sender<Option<ClientLimits>>,
    waves: watch::Sender<BTreeMap<u64, Wave>>,
    evacuations: watch::Sender<Evacuations>,
    members: RefCell<Members>,
    owner: RefCell<Option<mpsc::Sender<OwnerRequest>>>,
    long_poll_wait: watch::Sender<Duration>,
    last_store_contact: Cell<Option<Moment>>,
    store_latency: Cell<Duration>,
    position: Cell<u64>,
    leaving: Cell<bool>,
    dump: watch::Sender<Arc<str>>,
    /// Memory for submissions that wait for the owner in this process.
    room: SubmissionRoom,
    /// State of admission as this process, as the owner, last published it.
    overload: RefCell<Option<(OverloadCopy, Moment)>>,
}

/// Clients of the services that the process depends on.
pub struct Dependencies {
    /// Client of the key-value service.
    pub store: Arc<dyn Store>,
    /// Client that calls workers directly.
    pub agents: Arc<dyn WorkerClient>,
    /// Advisor on the choice of workers, if the settings name one.
    pub advisor: Option<Arc<dyn Advisor>>,
    /// Client of the machine interface, if the settings name one.
    pub machines: Option<Arc<dyn Machines>>,
    /// Codec of the entries that the platform keeps in the store.
    pub codec: Arc<dyn PlatformCodec>,
}

impl Node {
    /// Creates the state of a process; [`Node::spawn`] starts its tasks.
    ///
    /// # Errors
    /// A metric is registered already.
    pub fn open(settings: Settings, dependencies: Dependencies) -> anyhow::Result<Rc<Self>> {
        let own_incarnation = rand::random::<u64>();
        let Dependencies {
            store,
            agents,
            advisor,
            machines,
            codec: dialect,
        } = dependencies;
        let metrics = Metrics::open()?;
        let links = PeerConnections::over(Rc::new(Tcp), metrics.silent_links());
        Ok(Rc::new(Self {
            log: Log::new(store.clone(), STORE_PREFIX, own_incarnation)
                .with_parts_of(settings.tuning.entry_bytes),
            store,
            advisor,
            machines,
            codec: dialect,
            relay_server: RelayServer::new(agents.clone(), links.clone()),
            relay_client: RelayClient::new(agents.clone(), links.clone(), settings.entry.peers),
            links,
            room: SubmissionRoom::new(&settings.entry.resources),
            settings,
            agents,
            metrics,
            incarnation: own_incarnation,
            log_owner: watch::Sender::new(None),
            owner_history: RefCell::default(),
            config: watch::Sender::new(Arc::default()),
            client_limits: watch::Sender::new(None),
            waves: watch::Sender::new(BTreeMap::new()),
            evacuations: watch::Sender::default(),
            members: RefCell::default(),
            owner: RefCell::default(),
            long_poll_wait: watch::Sender::new(follow::LONG_WAIT),
            last_store_contact: Cell::default(),
            store_latency: Cell::default(),
            position: Cell::default(),
            leaving: Cell::new(false),
            dump: watch::Sender::new(Arc::from("{}")),
            overload: RefCell::default(),
        }))
    }

    /// Spawns the tasks that follow the configuration, probe the store and elect the owner.
    pub fn spawn(self: &Rc<Self>) {
        task::spawn_local(self.clone().follow_config());
        task::spawn_local(self.clone().probe_store());
        task::spawn_local(election::run(self.clone()));
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        self.config.borrow().clone()
    }

    /// Subscribes to the configuration in force.
    #[must_use]
    pub fn watch_config(&self) -> watch::Receiver<Arc<Config>> {
        self.config.subscribe()
    }

    /// Returns whether clients can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.leaving.get() && self.config.borrow().version > 0
    }

    /// Returns the state of this process for operators, with the state of the log as last published
    /// if this process owns it.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let lead = self.log_owner();
        let config = self.config();
        let owned: serde_json::Value =
            serde_json::from_str(&self.dump.borrow()).unwrap_or(serde_json::Value::Null);
        serde_json::json!({
            "instance": &*self.settings.instance.name,
            "life": self.incarnation, "leaving": self.leaving.get(),
            "configuration": config.version,
            "queues": config.queues.len(),
            "lead": lead.as_ref().map(|lead| serde_json::json!({
                "name": &*lead.name, "epoch": lead.epoch, "address": lead.address.to_string(),
            })),
            "owns": self.owns(), "store_age_ms": self.as_member().store_age,
            "members": self.members().iter().map(|member| &*member.name).collect::<Vec<&str>>(),
            "silent_ms_by_peer": self.links.ages(),
            "relays": self.relay_client.relays(),
            "owned": owned,
        })
    }

    /// Publishes the state of the log that this process owns, for [`Node::dump`].
    pub fn publish_dump(&self, dump: &serde_json::Value) {
        self.dump.send_replace(dump.to_string().into());
    }

    /// Publishes the state of admission of the log that this process owns, for other instances.
    pub fn publish_overload(&self, copy: OverloadCopy) {
        *self.overload.borrow_mut() = Some((copy, Moment::now()));
    }

    /// Returns the published state of admission with its present age.
    fn overload_copy(&self) -> OverloadCopy {
        let published = self.overload.borrow();
        let aged = published.as_ref().map(|(copy, at)| {
            let age = copy.age(at.elapsed()).as_millis();
            OverloadCopy {
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
                classes: copy.classes.clone(),
            }
        });
        aged.unwrap_or_default()
    }

    /// Returns whether a planned shutdown has begun.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Begins a planned shutdown.
    pub fn begin_shutdown(&self) {
        self.leaving.set(true);
    }

    /// Puts a configuration in force, unless it has a newer one.
    pub fn adopt_config(&self, config: &Arc<Config>) {
        let version = config.version;
        let adopted = self.config.send_if_modified(|current| {
            let newer = config.version > current.version;
            if newer {
                *current = config.clone();
            }
            newer
        });
        if adopted {
            tracing::info!(version, "configuration in force");
        }
    }

    /// Puts limits for clients in force, unless newer ones are.
    fn adopt_client_limits(&self, limits: ClientLimits) {
        self.client_limits.send_if_modified(|current| {
            let newer = current.is_none_or(|known| limits.version > known.version);
            if newer {
                *current = Some(limits);
            }
            newer
        });
    }

    /// Subscribes to the limits for clients; `None` until the store has told them.
    #[must_use]
    pub fn watch_client_limits(&self) -> watch::Receiver<Option<ClientLimits>> {
        self.client_limits.subscribe()
    }

    fn adopt_wave(&self, wave: Wave) {
        self.waves.send_modify(|waves| {
            waves.insert(wave.number, wave);
        });
    }

    /// Subscribes to the upkeep waves that operators request.
    #[must_use]
    pub fn watch_waves(&self) -> watch::Receiver<BTreeMap<u64, Wave>> {
        self.waves.subscribe()
    }

    /// Subscribes to the availability zones that operators evacuate.
    #[must_use]
    pub fn watch_evacuations(&self) -> watch::Receiver<Evacuations> {
        self.evacuations.subscribe()
    }

    /// Returns the last known owner of the log.
    #[must_use]
    pub fn log_owner(&self) -> Option<LogOwner> {
        self.log_owner.borrow().clone()
    }

    /// Subscribes to the owner of the log.
    #[must_use]
    pub fn watch_log_owner(&self) -> watch::Receiver<Option<LogOwner>> {
        self.log_owner.subscribe()
    }

    /// Records an owner of the log, unless a later one is known.
    pub fn adopt_log_owner(&self, lead: &LogOwner) {
        let adopted = self.log_owner.send_if_modified(|current| {
            let newer = current
                .as_ref()
                .is_none_or(|known| lead.epoch > known.epoch);
            if newer {
                *current = Some(lead.clone());
            }
            newer
        });
        if adopted {
            let mut history = self.owner_history.borrow_mut();
            history.note(lead.epoch, Moment::now());
            tracing::info!(owner = %lead.name, epoch = lead.epoch, "owner of the log");
        }
    }

    /// Returns the epochs of the newest known owners, and for how long each has been known.
    #[must_use]
    pub fn known_owners(&self) -> Vec<(u64, Duration)> {
        self.owner_history.borrow().ages()
    }

    /// Returns the record that makes this process the owner in place of `former`. Its epoch is 0
    /// until the store has assigned one.
    #[must_use]
    pub fn as_log_owner(&self, former: Option<PreviousOwner>) -> LogOwner {
        LogOwner {
            former,
            name: self.settings.instance.name.clone(),
            address: self.settings.entry.peers,
            incarnation: self.incarnation,
            largest: self.largest(),
            epoch: 0,
        }
    }

    /// Returns the processors of the largest known instance, in thousandths.
    fn largest(&self) -> u64 {
        let members = self.members.borrow();
        let others = members.iter().map(|member| member.processors);
        others.fold(self.settings.entry.processors, u64::max)
    }

    /// Returns the entry of this process in the list of members.
    #[must_use]
    pub fn as_member(&self) -> Member {
        let age = self.store_age().as_millis();
        Member {
            name: self.settings.instance.name.clone(),
            address: self.settings.entry.peers,
            store_age: u32::try_from(age).unwrap_or(u32::MAX),
            store_took: u32::try_from(self.store_latency.get().as_millis()).unwrap_or(u32::MAX),
            leaving: self.leaving.get(),
            processors: self.settings.entry.processors,
            zone: self.settings.instance.zone.clone(),
        }
    }

    /// Returns the members as of the last update of the owner.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.members.borrow().iter().cloned().collect()
    }

    /// Returns whether any member satisfies the predicate.
    pub fn any_member(&self, predicate: impl Fn(&Member) -> bool) -> bool {
        self.members.borrow().iter().any(predicate)
    }

    /// Returns the version of the list of members.
    #[must_use]
    pub fn members_version(&self) -> Version {
        self.members.borrow().version()
    }

    /// Applies an update of the owner to the list of members.
    pub fn apply_membership_update(&self, update: MembershipUpdate, version: Version) {
        self.members.borrow_mut().apply_update(update, version);
    }

    /// Maintains the list of members from now on, as the owner at this epoch.
    pub fn own_member_list(&self, epoch: u64) {
        self.members.borrow_mut().begin_ownership(epoch);
    }

    /// Records a heartbeat; returns the changes to the list of members that the sender lacks, and
    /// the version of the list after them.
    fn record_heartbeat(&self, heartbeat: &Heartbeat) -> (Option<MembershipUpdate>, Version) {
        let mut members = self.members.borrow_mut();
        members.record_heartbeat(heartbeat.member.clone());
        (members.changes_since(heartbeat.members), members.version())
    }

    /// Returns the addresses of the other instances: members first, then seeds.
    #[must_use]
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let port = self.settings.entry.peers.port();
        let mut addresses: Vec<SocketAddr> = self
            .members
            .borrow()
            .iter()
            .map(|member| member.address)
            .collect();
        // All instances use the same port for peers; the seeds name another port of theirs.
        let seeds = self.settings.entry.seeds.iter();
        addresses.extend(seeds.map(|seed| SocketAddr::new(seed.ip(), port)));
        addresses.retain(|address| *address != self.settings.entry.peers);
        let mut seen = HashSet::new();
        addresses.retain(|address| seen.insert(*address));
        addresses
    }

    /// Installs or removes the queue of requests to the owner in this process. While this process
    /// owns the log, no other instance sends it updates, and so its long polls of the store wait
    /// for a short time only.
    pub fn set_owner(&self, owner: Option<mpsc::Sender<OwnerRequest>>) {
        self.long_poll_wait.send_replace(match owner {
            Some(_) => self.settings.tuning.watch_wait(),
            None => follow::LONG_WAIT,
        });
        *self.owner.borrow_mut() = owner;
    }

    /// Returns whether this process owns the log.
    #[must_use]
    pub fn owns(&self) -> bool {
        self.owner.borrow().is_some()
    }

    /// Subscribes to the time that one long poll of the store may wait.
    #[must_use]
    pub fn watch_long_poll_wait(&self) -> watch::Receiver<Duration> {
        self.long_poll_wait.subscribe()
    }

    /// Returns the time since the store last answered this process.
    #[must_use]
    pub fn store_age(&self) -> Duration {
        let contact = self.last_store_contact.get();
        contact.map_or(Duration::MAX, Moment::elapsed)
    }

    /// Records that the store has answered.
    pub fn note_store_contact(&self) {
        self.last_store_contact.set(Some(Moment::now()));
    }

    /// Returns the position of the newest entry that this process knows to be durable.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.position.get()
    }

    /// Records the position of a durable entry.
    pub fn note_position(&self, position: u64) {
        self.position.set(self.position.get().max(position));
    }
}
