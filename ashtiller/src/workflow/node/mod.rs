//! One entry instance: takes clients' calls, and owns the log or follows who does.

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
use crate::workflow::advisor::Advisor;
use crate::workflow::agents::WorkerClient;
use crate::workflow::config::{Config, PlatformCodec};
use crate::workflow::evacuations::Evacuations;
use crate::workflow::follow;
use crate::workflow::kv::Store;
use crate::workflow::link::Tcp;
use crate::workflow::log::Log;
use crate::workflow::machines::{Machines, Wave};
use crate::workflow::membership::election;
use crate::workflow::membership::member::{Member, MembershipUpdate, Version};
use crate::workflow::membership::members::Members;
use crate::workflow::message::Heartbeat;
use crate::workflow::metrics::Metrics;
use crate::workflow::owner::OwnerRequest;
use crate::workflow::peers::PeerConnections;
use crate::workflow::record::{LogOwner, PreviousOwner};
use crate::workflow::relay::client::RelayClient;
use crate::workflow::relay::server::RelayServer;
use crate::workflow::settings::Settings;

/// Prefix of everything that this project keeps in the store.
const PREFIX: &str = "ashtiller/flow/";

/// What every part of the process shares.
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// Key-value service.
    pub store: Arc<dyn Store>,
    /// Workers.
    pub agents: Arc<dyn WorkerClient>,
    /// Advisor on workers, if there is one.
    pub advisor: Option<Arc<dyn Advisor>>,
    /// Machines, if there is an interface to them.
    pub machines: Option<Arc<dyn Machines>>,
    /// Reader of what the platform keeps in the store.
    pub dialect: Arc<dyn PlatformCodec>,
    /// Connections to other instances.
    pub links: Rc<PeerConnections>,
    /// Calls to workers for owners elsewhere.
    pub relay_server: Rc<RelayServer>,
    /// Calls to workers for the owner here.
    pub worker_client: Rc<RelayClient>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The log.
    pub log: Log,
    /// Random number of this process's life.
    pub life: u64,
    lead: watch::Sender<Option<LogOwner>>,
    config: watch::Sender<Arc<Config>>,
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
}

/// What the process reaches outside.
pub struct Dependencies {
    /// Key-value service.
    pub store: Arc<dyn Store>,
    /// Workers.
    pub agents: Arc<dyn WorkerClient>,
    /// Advisor on workers, if there is one.
    pub advisor: Option<Arc<dyn Advisor>>,
    /// Machines, if there is an interface to them.
    pub machines: Option<Arc<dyn Machines>>,
    /// Reader of what the platform keeps in the store.
    pub dialect: Arc<dyn PlatformCodec>,
}

impl Node {
    /// A process that has not begun to act.
    ///
    /// # Errors
    /// The metrics cannot be registered.
    pub fn open(settings: Settings, outside: Dependencies) -> anyhow::Result<Rc<Self>> {
        let life = rand::random::<u64>();
        let Dependencies {
            store,
            agents,
            advisor,
            machines,
            dialect,
        } = outside;
        let metrics = Metrics::open()?;
        let links = PeerConnections::over(Rc::new(Tcp), metrics.silent_links());
        Ok(Rc::new(Self {
            log: Log::new(store.clone(), PREFIX, life),
            store,
            advisor,
            machines,
            dialect,
            relay_server: RelayServer::new(agents.clone(), links.clone()),
            worker_client: RelayClient::new(agents.clone(), links.clone(), settings.entry.peers),
            links,
            settings,
            agents,
            metrics,
            life,
            lead: watch::Sender::new(None),
            config: watch::Sender::new(Arc::default()),
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
        }))
    }

    /// Begins to follow the configuration, to watch the store and to campaign.
    pub fn spawn(self: &Rc<Self>) {
        task::spawn_local(self.clone().follow_config());
        task::spawn_local(self.clone().probe_store());
        task::spawn_local(election::run(self.clone()));
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        self.config.borrow().clone()
    }

    /// Follows the configuration in force.
    #[must_use]
    pub fn watch_config(&self) -> watch::Receiver<Arc<Config>> {
        self.config.subscribe()
    }

    /// Whether clients can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.leaving.get() && self.config.borrow().version > 0
    }

    /// The state of the log as its owner here last showed it.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let lead = self.lead();
        let config = self.config();
        let owned: serde_json::Value =
            serde_json::from_str(&self.dump.borrow()).unwrap_or(serde_json::Value::Null);
        serde_json::json!({
            "instance": &*self.settings.instance.name,
            "life": self.life, "leaving": self.leaving.get(),
            "configuration": config.version,
            "queues": config.queues.len(),
            "lead": lead.as_ref().map(|lead| serde_json::json!({
                "name": &*lead.name, "epoch": lead.epoch, "address": lead.address.to_string(),
            })),
            "owns": self.owns(), "store_age_ms": self.as_member().store_age,
            "members": self.members().iter().map(|member| &*member.name).collect::<Vec<&str>>(),
            "silent_ms_by_peer": self.links.ages(),
            "relays": self.worker_client.relays(),
            "owned": owned,
        })
    }

    /// Shows the state of the log that this process owns.
    pub fn publish_dump(&self, dump: &serde_json::Value) {
        self.dump.send_replace(dump.to_string().into());
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Begins a planned stop.
    pub fn begin_shutdown(&self) {
        self.leaving.set(true);
    }

    /// Puts a configuration in force, unless a newer one is.
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

    fn adopt_wave(&self, wave: Wave) {
        self.waves.send_modify(|waves| {
            waves.insert(wave.number, wave);
        });
    }

    /// Follows the waves of upkeep that operators ask for.
    #[must_use]
    pub fn watch_waves(&self) -> watch::Receiver<BTreeMap<u64, Wave>> {
        self.waves.subscribe()
    }

    /// Follows which availability zones operators evacuate.
    #[must_use]
    pub fn watch_evacuations(&self) -> watch::Receiver<Evacuations> {
        self.evacuations.subscribe()
    }

    /// Who owns the log, as far as is known.
    #[must_use]
    pub fn lead(&self) -> Option<LogOwner> {
        self.lead.borrow().clone()
    }

    /// Follows who owns the log.
    #[must_use]
    pub fn watch_lead(&self) -> watch::Receiver<Option<LogOwner>> {
        self.lead.subscribe()
    }

    /// Takes note of an owner, unless a later one is known.
    pub fn adopt_lead(&self, lead: &LogOwner) {
        let adopted = self.lead.send_if_modified(|current| {
            let newer = current
                .as_ref()
                .is_none_or(|known| lead.epoch > known.epoch);
            if newer {
                *current = Some(lead.clone());
            }
            newer
        });
        if adopted {
            tracing::info!(owner = %lead.name, epoch = lead.epoch, "owner of the log");
        }
    }

    /// This process as an owner in place of `former`, at an epoch that is not known yet.
    #[must_use]
    pub fn as_lead(&self, former: Option<PreviousOwner>) -> LogOwner {
        LogOwner {
            former,
            name: self.settings.instance.name.clone(),
            address: self.settings.entry.peers,
            incarnation: self.life,
            largest: self.largest(),
            epoch: 0,
        }
    }

    /// Processors of the largest instance that is known, in thousandths.
    fn largest(&self) -> u64 {
        let members = self.members.borrow();
        let others = members.iter().map(|member| member.processors);
        others.fold(self.settings.entry.processors, u64::max)
    }

    /// This process as others should see it.
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

    /// The other instances, as the owner last told.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.members.borrow().iter().cloned().collect()
    }

    /// Whether some other instance is like this.
    pub fn any_member(&self, like: impl Fn(&Member) -> bool) -> bool {
        self.members.borrow().iter().any(like)
    }

    /// As of when the members are known.
    #[must_use]
    pub fn members_version(&self) -> Version {
        self.members.borrow().version()
    }

    /// Takes what the owner tells of the members.
    pub fn apply_membership_update(&self, news: MembershipUpdate, version: Version) {
        self.members.borrow_mut().apply_update(news, version);
    }

    /// Keeps the list of members from now on, as the owner at this epoch.
    pub fn own_member_list(&self, epoch: u64) {
        self.members.borrow_mut().begin_ownership(epoch);
    }

    /// Takes note of a heartbeat; the result is what the sender has missed of the members, and
    /// as of when it knows them then.
    fn record_heartbeat(&self, hello: &Heartbeat) -> (Option<MembershipUpdate>, Version) {
        let mut members = self.members.borrow_mut();
        members.record_heartbeat(hello.member.clone());
        (members.changes_since(hello.members), members.version())
    }

    /// Where other instances may be reached: members first, then seeds.
    #[must_use]
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let port = self.settings.entry.peers.port();
        let mut others: Vec<SocketAddr> = self
            .members
            .borrow()
            .iter()
            .map(|member| member.address)
            .collect();
        // Ports are alike on all instances; seeds name another port of theirs.
        let seeds = self.settings.entry.seeds.iter();
        others.extend(seeds.map(|seed| SocketAddr::new(seed.ip(), port)));
        others.retain(|address| *address != self.settings.entry.peers);
        let mut seen = HashSet::new();
        others.retain(|address| seen.insert(*address));
        others
    }

    /// Installs or removes the queue of questions to the own log. While this process owns
    /// the log nobody else brings it news, so its watches wait for a short time only.
    pub fn set_owner(&self, owner: Option<mpsc::Sender<OwnerRequest>>) {
        self.long_poll_wait.send_replace(match owner {
            Some(_) => self.settings.tuning.watch_wait(),
            None => follow::LONG_WAIT,
        });
        *self.owner.borrow_mut() = owner;
    }

    /// Whether this process owns the log.
    #[must_use]
    pub fn owns(&self) -> bool {
        self.owner.borrow().is_some()
    }

    /// Follows how long one watch of the store may wait.
    #[must_use]
    pub fn watch_long_poll_wait(&self) -> watch::Receiver<Duration> {
        self.long_poll_wait.subscribe()
    }

    /// Time since the store last answered this process.
    #[must_use]
    pub fn store_age(&self) -> Duration {
        let seen = self.last_store_contact.get();
        seen.map_or(Duration::MAX, Moment::elapsed)
    }

    /// The store has answered.
    pub fn note_store_contact(&self) {
        self.last_store_contact.set(Some(Moment::now()));
    }

    /// Position of the newest entry that this process knows to be durable.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.position.get()
    }

    /// Takes note of a durable entry.
    pub fn note_position(&self, position: u64) {
        self.position.set(self.position.get().max(position));
    }
}
