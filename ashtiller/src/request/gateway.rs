//! The gateway process: routes callers' requests to endpoints and forwards operators'
//! commands to cells.

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
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest number of services, accounts, and endpoints of a service in `/dump`.
const DUMP_MAX: usize = 100;

/// State shared by the gateway's tasks.
struct Shared {
    settings: Settings,
    config: Arc<Config>,
    router: Arc<Router>,
    registry: Registry,
    clock: Arc<dyn Clock>,
    parts: OnceLock<Parts>,
    listed: Mutex<BTreeSet<Arc<str>>>,
}

/// Components that exist once the ports are bound.
struct Parts {
    membership: Arc<Membership>,
    jobs: JobForwarder,
    listener: Listener,
}

/// A running gateway; dropping it closes every connection, as a killed process does.
pub struct Gateway {
    shared: Arc<Shared>,
    ops: OperatorServer,
    served: rpc::RpcServer,
    _tasks: JoinSet<()>,
}

/// Starts a gateway. It serves requests once it has read its configuration and its
/// endpoints, and retries while the store is unavailable.
///
/// # Errors
/// A port cannot be bound.
pub async fn spawn(settings: Settings) -> anyhow::Result<Gateway> {
    let clock = clock::open();
    let consul = consul::open(settings.platform.store, settings.platform.timeout);
    let store: Arc<dyn Store> = consul.clone();
    let instances: Arc<dyn ServiceCatalog> = consul;
    let registry = Registry::new();
    let metrics = Arc::new(GatewayMetrics::register(&registry)?);
    let config = Arc::new(config::spawn(store.clone()));
    let claims = claims::spawn(store.clone(), settings.gateway.claims_per_second);
    let router = Router::new(
        settings.gateway.clone(),
        config.clone(),
        claims,
        metrics.clone(),
        clock.clone(),
    );
    let listener = listener::bind(
        &settings.gateway,
        router.clone(),
        metrics.clone(),
        &registry,
    )
    .await?;
    let shared = Arc::new(Shared {
        settings: settings.clone(),
        config: config.clone(),
        router,
        registry,
        clock: clock.clone(),
        parts: OnceLock::new(),
        listed: Mutex::default(),
    });
    let local: Arc<dyn Peer> = Arc::new(Local {
        shared: shared.clone(),
    });
    let served = rpc::bind(settings.gateway.peers, CALL_TIMEOUT, local).await?;
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
        heartbeat: heartbeat_source(&shared),
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
        listener,
    });
    let mut tasks = JoinSet::new();
    tasks.spawn(follow_templates(
        shared.clone(),
        instances,
        served.client().clone(),
        metrics,
    ));
    Ok(Gateway {
        shared,
        ops,
        served,
        _tasks: tasks,
    })
}

impl Gateway {
    /// Returns the address for callers.
    ///
    /// # Panics
    /// Never after [`spawn`] has returned.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.parts().listener.address()
    }

    /// Returns the address for operators.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.ops.address()
    }

    /// Returns the bytes sent to and received from other processes.
    #[must_use]
    pub fn wire_bytes(&self) -> u64 {
        let bytes = self.served.bytes();
        bytes.sent.load(Ordering::Relaxed) + bytes.received.load(Ordering::Relaxed)
    }

    /// Returns the address for other processes.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.served.address()
    }

    fn parts(&self) -> &Parts {
        self.shared.parts.get().expect("set before spawn returns")
    }

    /// Shuts down gracefully: announces the shutdown, accepts connections until the load
    /// balancer has reacted, and waits for requests in flight.
    pub async fn stop(self) {
        let parts = self.parts();
        let drain = self.shared.settings.gateway.drain_timeout;
        // The first poll of `stop` marks this gateway as leaving. Only then is that sent to
        // the others, which divide its slots among themselves.
        tokio::join!(biased; parts.listener.stop(drain), parts.membership.broadcast());
        parts.membership.deregister().await;
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.parts().listener.abort();
        self.parts().membership.abort();
    }
}

fn heartbeat_source(shared: &Arc<Shared>) -> Arc<dyn Fn() -> Heartbeat + Send + Sync> {
    let shared = Arc::downgrade(shared);
    Arc::new(move || {
        shared
            .upgrade()
            .map(|shared| shared.heartbeat())
            .unwrap_or_default()
    })
}

impl Shared {
    fn heartbeat(&self) -> Heartbeat {
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
            .is_some_and(|parts| parts.listener.is_leaving())
    }

    fn open_service(&self, service: &Arc<str>) -> Arc<ServiceDispatcher> {
        let settings = &self.settings.gateway;
        let limits = Limits {
            max_connections: settings.connections_per_endpoint,
            max_ejected_share: settings.max_ejected_share,
        };
        let seed = crate::endpoint::id_of(&self.settings.instance.name);
        let dispatch = dispatch::Dispatch::new(balance::build(settings.routing, seed), limits);
        let head_max = usize::try_from(settings.max_head_bytes).unwrap_or(usize::MAX);
        let pool = ConnectionPool::new(settings.connect_timeout, settings.idle_timeout, head_max);
        let budget = RetryBudget::new(settings.retry_share);
        ServiceDispatcher::new(service.clone(), dispatch, pool, budget, self.clock.clone())
    }

    /// Returns the services that any template names.
    fn services(&self) -> BTreeSet<Arc<str>> {
        let force = self.config.active();
        let templates = force.templates.values();
        templates
            .flat_map(|template| template.services.keys().cloned())
            .collect()
    }

    fn allocate_slots(&self, service: &ServiceDispatcher) {
        let Some(parts) = self.parts.get() else {
            return;
        };
        let own = &self.settings.instance.name;
        let mut gateways = parts.membership.members().available(Role::Gateway);
        if !gateways.contains(own) {
            gateways.push(own.clone());
        }
        service.with_dispatch(|dispatch, _| dispatch.allocate_slots(&gateways, own));
    }
}

/// Opens services as templates name them, and divides their slots again when gateways
/// join or leave.
async fn follow_templates(
    shared: Arc<Shared>,
    roster: Arc<dyn ServiceCatalog>,
    rpc: rpc::RpcClient,
    metrics: Arc<GatewayMetrics>,
) {
    let mut tasks = JoinSet::new();
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
                let dispatcher = shared.open_service(&service);
                shared.router.add_service(&service, dispatcher.clone());
                tasks.spawn(prober::run(dispatcher.clone()));
                tasks.spawn(follow_endpoints(
                    shared.clone(),
                    dispatcher.clone(),
                    roster.clone(),
                ));
                if let Some(borrower) = slot_borrower_of(&shared, &dispatcher, &rpc, &metrics) {
                    tasks.spawn(borrower.run());
                }
            }
        }
        for service in shared.router.services() {
            shared.allocate_slots(&service);
        }
    }
}

/// Updates a service's endpoints from the platform's list.
async fn follow_endpoints(
    shared: Arc<Shared>,
    service: Arc<ServiceDispatcher>,
    roster: Arc<dyn ServiceCatalog>,
) {
    let pause = shared.settings.platform.refresh_interval;
    let follower = service_watcher::spawn(roster, service.name.clone(), pause);
    let mut changes = follower.subscribe();
    while changes.changed().await.is_ok() {
        let listings: Vec<Listing> = follower.list().iter().map(listing_of).collect();
        service.with_dispatch(|dispatch, _| dispatch.update_listings(&listings));
        shared.allocate_slots(&service);
        shared.listed.lock().insert(service.name.clone());
    }
}

fn slot_borrower_of(
    shared: &Shared,
    service: &Arc<ServiceDispatcher>,
    rpc: &rpc::RpcClient,
    metrics: &Arc<GatewayMetrics>,
) -> Option<SlotBorrower> {
    let parts = shared.parts.get()?;
    let borrows = shared.settings.gateway.routing == balance::Kind::Dealt;
    borrows.then(|| SlotBorrower {
        service: service.clone(),
        own: shared.settings.instance.name.clone(),
        membership: parts.membership.clone(),
        rpc: rpc.clone(),
        metrics: metrics.clone(),
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

/// Handles calls from other processes and operators.
struct Local {
    shared: Arc<Shared>,
}

fn unsupported<T>(step: &'static str) -> CallFuture<'static, T>
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
        Box::pin(async { Ok(self.shared.heartbeat()) })
    }

    fn lend(&self, request: LoanRequest) -> CallFuture<'_, Vec<(u64, u32)>> {
        Box::pin(async move {
            let Some(service) = self.shared.router.service(&request.service) else {
                return Ok(Vec::new());
            };
            let term = slot_borrower::LOAN_TERM;
            Ok(service.with_dispatch(|dispatch, now| dispatch.lend(&request, now + term, now)))
        })
    }

    fn submit(&self, _: Arc<str>, _: Submission) -> CallFuture<'_, JobReply> {
        unsupported("submit")
    }

    fn cancel(&self, _: Arc<str>, _: Arc<str>, _: Arc<str>) -> CallFuture<'_, JobReply> {
        unsupported("cancel")
    }

    fn show(&self, _: Arc<str>, _: Arc<str>, _: Arc<str>) -> CallFuture<'_, String> {
        unsupported("show")
    }
}

impl OperatorApi for Local {
    fn health(&self) -> Health {
        let ready = !self.shared.listed.lock().is_empty();
        Health {
            ready,
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
        .take(DUMP_MAX)
        .map(|service| (service.name.clone(), dump_service(&service)))
        .collect();
    json!({
        "name": shared.settings.instance.name,
        "role": "gateway",
        "leaving": shared.is_leaving(),
        "revision": force.revision,
        "accounts": force.templates.keys().take(DUMP_MAX).collect::<Vec<_>>(),
        "members": members,
        "services": services,
    })
    .to_string()
}

fn dump_service(service: &ServiceDispatcher) -> serde_json::Value {
    let idle = service.pool.len();
    service.with_dispatch(|dispatch, now| {
        let counts = dispatch.endpoint_counts(now);
        let endpoints: Vec<serde_json::Value> = dispatch
            .endpoints()
            .iter()
            .take(DUMP_MAX)
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
            "in_flight": counts.in_flight,
            "live": counts.live,
            "leaving": counts.leaving,
            "ejected": counts.ejected,
            "dealt": counts.allocated,
            "lent": counts.lent,
            "borrowed": counts.borrowed,
            "idle_connections": idle,
            "endpoints": endpoints,
        })
    })
}
