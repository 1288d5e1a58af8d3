//! The gateway role: from callers to endpoints, and from operators to cells.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use futures_util::future::BoxFuture;
use parking_lot::Mutex;
use prometheus::Registry;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time;

use crate::balance;
use crate::claims;
use crate::clock::{self, Clock};
use crate::config::{self, Config};
use crate::consul;
use crate::dispatch::{self, Limits};
use crate::endpoint::Listing;
use crate::failure::Failure;
use crate::gateway_metrics::GatewayMetrics;
use crate::job_forwarder::JobForwarder;
use crate::listener::{self, Listener};
use crate::members::Member;
use crate::membership::{self, Membership};
use crate::ops::{self, Command, CommandReply, Health, OperatorApi, OperatorServer};
use crate::peer::{Heartbeat, JobReply, LoanRequest, Peer, Role, Submission};
use crate::pool::ConnectionPool;
use crate::prober;
use crate::retry_budget::RetryBudget;
use crate::router::Router;
use crate::rpc;
use crate::service_catalog::{Instance, ServiceCatalog};
use crate::service_dispatcher::ServiceDispatcher;
use crate::service_watcher;
use crate::settings::Settings;
use crate::slot_borrower::{self, SlotBorrower};
use crate::store::{CallFuture, Store};

/// Time limit of a call to another process.
const WIRE_LIMIT: Duration = Duration::from_millis(800);
/// Services that the dump shows.
const SHOWN: usize = 100;

/// What the gateway's parts share.
struct Shared {
    settings: Settings,
    config: Arc<Config>,
    router: Arc<Router>,
    registry: Registry,
    clock: Arc<dyn Clock>,
    parts: OnceLock<Parts>,
    seen: Mutex<BTreeSet<Arc<str>>>,
}

/// Parts that exist once the ports are open.
struct Parts {
    membership: Arc<Membership>,
    jobs: JobForwarder,
    front: Listener,
}

/// A running gateway; dropping it cuts everything, as a kill does.
pub struct Gateway {
    shared: Arc<Shared>,
    ops: OperatorServer,
    served: rpc::RpcServer,
    _tasks: JoinSet<()>,
}

/// Starts a gateway. It serves once it has read its configuration and endpoints,
/// and keeps trying while the store is down.
///
/// # Errors
/// A port cannot be bound.
pub async fn spawn(settings: Settings) -> anyhow::Result<Gateway> {
    let clock = clock::open();
    let consul = consul::open(settings.platform.store, settings.platform.timeout);
    let store: Arc<dyn Store> = consul.clone();
    let instances: Arc<dyn ServiceCatalog> = consul;
    let registry = Registry::new();
    let tally = Arc::new(GatewayMetrics::open(&registry)?);
    let config = Arc::new(config::spawn(store.clone()));
    let claims = claims::spawn(store.clone(), settings.gateway.claims_per_second);
    let router = Router::new(
        settings.gateway.clone(),
        config.clone(),
        claims,
        tally.clone(),
        clock.clone(),
    );
    let front = listener::bind(&settings.gateway, router.clone(), tally.clone()).await?;
    let shared = Arc::new(Shared {
        settings: settings.clone(),
        config: config.clone(),
        router,
        registry,
        clock: clock.clone(),
        parts: OnceLock::new(),
        seen: Mutex::default(),
    });
    let local: Arc<dyn Peer> = Arc::new(Local {
        shared: shared.clone(),
    });
    let served = rpc::bind(settings.gateway.peers, WIRE_LIMIT, local).await?;
    let operated: Arc<dyn OperatorApi> = Arc::new(Local {
        shared: shared.clone(),
    });
    let ops = ops::bind(settings.gateway.operators, operated).await?;
    let membership = Arc::new(membership::spawn(membership::Args {
        own: Member::new(
            &settings.instance,
            Role::Gateway,
            served.address(),
            ops.address(),
        ),
        store: store.clone(),
        lease: settings.platform.lease,
        rpc: served.client().clone(),
        config: config.clone(),
        clock,
        heartbeat: greeter(&shared),
    }));
    let jobs = JobForwarder {
        store,
        roster: instances.clone(),
        workers: settings.platform.workers.clone(),
        config,
        membership: membership.clone(),
        wire: served.client().clone(),
        home_cells: Mutex::default(),
    };
    let _ = shared.parts.set(Parts {
        membership,
        jobs,
        front,
    });
    let mut tasks = JoinSet::new();
    tasks.spawn(follow_templates(
        shared.clone(),
        instances,
        served.client().clone(),
        tally,
    ));
    Ok(Gateway {
        shared,
        ops,
        served,
        _tasks: tasks,
    })
}

impl Gateway {
    /// Where callers connect.
    ///
    /// # Panics
    /// Never after [`spawn`] has returned.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.parts().front.address()
    }

    /// Where operators connect.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.ops.address()
    }

    /// Bytes that passed to and from other processes.
    #[must_use]
    pub fn wire_bytes(&self) -> u64 {
        let bytes = self.served.bytes();
        bytes.sent.load(Ordering::Relaxed) + bytes.received.load(Ordering::Relaxed)
    }

    /// Where other processes connect.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.served.address()
    }

    fn parts(&self) -> &Parts {
        self.shared.parts.get().expect("set before spawn returns")
    }

    /// Stops in a planned way: says so, goes on accepting while the balancer lags,
    /// finishes what is in flight.
    pub async fn stop(self) {
        let parts = self.parts();
        let drain = self.shared.settings.gateway.drain_timeout;
        // The first poll of the stop says that this gateway leaves; then the others
        // hear it, and deal its slots among themselves.
        tokio::join!(biased; parts.front.stop(drain), parts.membership.broadcast());
        parts.membership.deregister().await;
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.parts().front.cut();
        self.parts().membership.abort();
    }
}

fn greeter(shared: &Arc<Shared>) -> Arc<dyn Fn() -> Heartbeat + Send + Sync> {
    let shared = Arc::downgrade(shared);
    Arc::new(move || {
        shared
            .upgrade()
            .map(|shared| shared.greeting())
            .unwrap_or_default()
    })
}

impl Shared {
    fn greeting(&self) -> Heartbeat {
        Heartbeat {
            name: self.settings.instance.name.clone(),
            role: Role::Gateway.name().into(),
            revision: self.config.active().revision,
            leaving: self.is_leaving(),
            cells: Vec::new(),
        }
    }

    fn is_leaving(&self) -> bool {
        self.parts
            .get()
            .is_some_and(|parts| parts.front.is_leaving())
    }

    fn open_desk(&self, service: &Arc<str>) -> Arc<ServiceDispatcher> {
        let settings = &self.settings.gateway;
        let limits = Limits {
            max_connections: settings.connections_per_endpoint,
            max_ejected_share: settings.max_ejected_share,
        };
        let seed = crate::endpoint::id_of(&self.settings.instance.name);
        let dispatch = dispatch::Dispatch::new(balance::build(settings.routing, seed), limits);
        let head = usize::try_from(settings.max_head_bytes).unwrap_or(usize::MAX);
        let pool = ConnectionPool::new(settings.connect_timeout, settings.idle_timeout, head);
        let budget = RetryBudget::new(settings.retry_share);
        ServiceDispatcher::new(service.clone(), dispatch, pool, budget, self.clock.clone())
    }

    /// Services that any template names.
    fn services(&self) -> BTreeSet<Arc<str>> {
        let force = self.config.active();
        let templates = force.templates.values();
        templates
            .flat_map(|template| template.services.keys().cloned())
            .collect()
    }

    fn deal(&self, desk: &ServiceDispatcher) {
        let Some(parts) = self.parts.get() else {
            return;
        };
        let own = &self.settings.instance.name;
        let mut gateways = parts.membership.members().available(Role::Gateway);
        if !gateways.contains(own) {
            gateways.push(own.clone());
        }
        desk.with_dispatch(|dispatch, _| dispatch.allocate_slots(&gateways, own));
    }
}

/// Opens services as the templates name them, and deals their slots anew as
/// gateways come and go.
async fn follow_templates(
    shared: Arc<Shared>,
    roster: Arc<dyn ServiceCatalog>,
    wire: rpc::RpcClient,
    tally: Arc<GatewayMetrics>,
) {
    let mut helpers = JoinSet::new();
    let mut ticks = time::interval(shared.settings.platform.refresh_interval);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut force = shared.config.subscribe();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = force.changed() => {}
        }
        for service in shared.services() {
            if shared.router.service(&service).is_none() {
                let desk = shared.open_desk(&service);
                shared.router.add_service(&service, desk.clone());
                helpers.spawn(prober::run(desk.clone()));
                helpers.spawn(follow_endpoints(
                    shared.clone(),
                    desk.clone(),
                    roster.clone(),
                ));
                if let Some(lender) = lender_of(&shared, &desk, &wire, &tally) {
                    helpers.spawn(lender.run());
                }
            }
        }
        for desk in shared.router.services() {
            shared.deal(&desk);
        }
    }
}

/// Keeps a service's endpoints in step with the platform's list.
async fn follow_endpoints(
    shared: Arc<Shared>,
    desk: Arc<ServiceDispatcher>,
    roster: Arc<dyn ServiceCatalog>,
) {
    let pause = shared.settings.platform.refresh_interval;
    let follower = service_watcher::spawn(roster, desk.name.clone(), pause);
    let mut changes = follower.subscribe();
    while changes.changed().await.is_ok() {
        let listings: Vec<Listing> = follower.list().iter().map(listing_of).collect();
        desk.with_dispatch(|dispatch, _| dispatch.update_listings(&listings));
        shared.deal(&desk);
        shared.seen.lock().insert(desk.name.clone());
    }
}

fn lender_of(
    shared: &Shared,
    desk: &Arc<ServiceDispatcher>,
    wire: &rpc::RpcClient,
    tally: &Arc<GatewayMetrics>,
) -> Option<SlotBorrower> {
    let parts = shared.parts.get()?;
    let dealt = shared.settings.gateway.routing == balance::Kind::Dealt;
    dealt.then(|| SlotBorrower {
        desk: desk.clone(),
        own: shared.settings.instance.name.clone(),
        membership: parts.membership.clone(),
        wire: wire.clone(),
        tally: tally.clone(),
    })
}

fn listing_of(instance: &Instance) -> Listing {
    Listing {
        name: instance.name.clone(),
        address: instance.address,
        slots: instance.slots.max(1),
        phase: instance.phase,
    }
}

/// The gateway as other processes and operators see it.
struct Local {
    shared: Arc<Shared>,
}

fn not_here<T>(step: &'static str) -> CallFuture<'static, T>
where
    T: Send + 'static,
{
    Box::pin(async move {
        Err(Failure::no_effect(
            step,
            "gateway",
            "this process is no scheduler",
        ))
    })
}

impl Peer for Local {
    fn heartbeat(&self, mine: Heartbeat) -> CallFuture<'_, Heartbeat> {
        self.shared.config.observe_revision(mine.revision);
        if let Some(parts) = self.shared.parts.get() {
            parts
                .membership
                .receive_heartbeat(mine, self.shared.clock.now());
        }
        Box::pin(async { Ok(self.shared.greeting()) })
    }

    fn lend(&self, ask: LoanRequest) -> CallFuture<'_, Vec<(u64, u32)>> {
        Box::pin(async move {
            let Some(desk) = self.shared.router.service(&ask.service) else {
                return Ok(Vec::new());
            };
            let term = slot_borrower::TERM;
            Ok(desk.with_dispatch(|dispatch, now| dispatch.lend(&ask, now + term, now)))
        })
    }

    fn submit(&self, _: Arc<str>, _: Submission) -> CallFuture<'_, JobReply> {
        not_here("submit")
    }

    fn cancel(&self, _: Arc<str>, _: Arc<str>, _: Arc<str>) -> CallFuture<'_, JobReply> {
        not_here("cancel")
    }

    fn show(&self, _: Arc<str>, _: Arc<str>, _: Arc<str>) -> CallFuture<'_, String> {
        not_here("show")
    }
}

impl OperatorApi for Local {
    fn health(&self) -> Health {
        let seen = !self.shared.seen.lock().is_empty();
        Health {
            ready: seen,
            leaving: self.shared.is_leaving(),
        }
    }

    fn registry(&self) -> &Registry {
        &self.shared.registry
    }

    fn dump(&self) -> BoxFuture<'_, String> {
        Box::pin(async move { dump(&self.shared) })
    }

    fn command(&self, command: Command) -> BoxFuture<'_, Option<CommandReply>> {
        Box::pin(async move { self.shared.parts.get()?.jobs.command(&command).await })
    }
}

fn dump(shared: &Shared) -> String {
    let members: Vec<serde_json::Value> = shared.parts.get().map_or_else(Vec::new, |parts| {
        let members = parts.membership.members();
        members
            .iter()
            .filter_map(|known| serde_json::to_value(known).ok())
            .collect()
    });
    let force = shared.config.active();
    let services: BTreeMap<Arc<str>, serde_json::Value> = shared
        .router
        .services()
        .into_iter()
        .take(SHOWN)
        .map(|desk| (desk.name.clone(), dump_desk(&desk)))
        .collect();
    json!({
        "name": shared.settings.instance.name,
        "role": "gateway",
        "leaving": shared.is_leaving(),
        "revision": force.revision,
        "accounts": force.templates.keys().take(SHOWN).collect::<Vec<_>>(),
        "members": members,
        "services": services,
    })
    .to_string()
}

fn dump_desk(desk: &ServiceDispatcher) -> serde_json::Value {
    let idle = desk.pool.len();
    desk.with_dispatch(|dispatch, now| {
        let census = dispatch.endpoint_counts(now);
        let endpoints: Vec<serde_json::Value> = dispatch
            .endpoints()
            .iter()
            .take(SHOWN)
            .map(|endpoint| {
                json!({
                    "name": endpoint.listing.name,
                    "address": endpoint.listing.address,
                    "phase": endpoint.listing.phase,
                    "in_flight": endpoint.in_flight,
                    "dealt": endpoint.slots.allocated(),
                    "borrowed": endpoint.slots.borrowed(now),
                    "lent": endpoint.slots.lent(now),
                    "failing": endpoint.health.failure_rate(),
                    "ejected": endpoint.health.ejection_reason(),
                })
            })
            .collect();
        json!({
            "waiting": dispatch.waiting(),
            "in_flight": census.in_flight,
            "live": census.live,
            "leaving": census.leaving,
            "ejected": census.ejected,
            "dealt": census.allocated,
            "lent": census.lent,
            "borrowed": census.borrowed,
            "idle_connections": idle,
            "endpoints": endpoints,
        })
    })
}
