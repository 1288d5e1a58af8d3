//! Scheduler role: owns cells and runs their tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use futures_util::future::BoxFuture;
use hyper::{Method, StatusCode};
use parking_lot::Mutex;
use prometheus::Registry;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time;

use crate::agent::{self, WorkerClient};
use crate::clock::{self, Clock};
use crate::config::{self, Config};
use crate::consul;
use crate::failure::Failure;
use crate::journal::{self, OpenError};
use crate::members::{Member, Members};
use crate::membership::{self, Membership};
use crate::ops::{self, Command, CommandReply, Health, OperatorApi, OperatorServer};
use crate::owner::{self, OwnerDeps, OwnerHandle};
use crate::peer::{Heartbeat, JobReply, LoanRequest, Peer, Role, Submission};
use crate::rendezvous;
use crate::rpc;
use crate::scheduler_metrics::SchedulerMetrics;
use crate::service_catalog::{Instance, ServiceCatalog};
use crate::service_watcher;
use crate::session::LeaseTerms;
use crate::settings::Settings;
use crate::store::{CallFuture, Store};

/// Timeout of a call to another process; the reply to a job request waits for the log.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum interval between handovers of cells to other schedulers.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(5);
/// Delay between start and the first takeover, in which heartbeats of other members arrive.
const STARTUP_DELAY: Duration = Duration::from_millis(1500);
/// Maximum time to wait for the log during a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which opening a damaged cell is retried.
const DAMAGED_RETRY_INTERVAL: Duration = Duration::from_secs(30);

struct Shared {
    settings: Settings,
    store: Arc<dyn Store>,
    roster: Arc<dyn ServiceCatalog>,
    worker_client: Arc<dyn WorkerClient>,
    config: Arc<Config>,
    registry: Registry,
    metrics: Arc<SchedulerMetrics>,
    clock: Arc<dyn Clock>,
    owned: Mutex<BTreeMap<Arc<str>, OwnerHandle>>,
    damaged: Mutex<BTreeMap<Arc<str>, (String, Duration)>>,
    leaving: AtomicBool,
    membership: OnceLock<Arc<Membership>>,
}

/// Action for a cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CellAction {
    /// Keep the ownership as it is.
    Keep,
    /// Take the cell over.
    Open,
    /// Hand the cell over to the scheduler that should own it.
    HandOver,
}

/// Returns the action for one cell. `owner` is another present scheduler that claims to own the
/// cell, `preferred` is the scheduler that should own it.
#[must_use]
pub fn decide(own: &str, owns: bool, owner: Option<&str>, preferred: Option<&str>) -> CellAction {
    // While another scheduler claims to own the cell, the log decides between the two.
    if owner.is_some() {
        return CellAction::Keep;
    }
    match (owns, preferred) {
        (true, Some(preferred)) if preferred != own => CellAction::HandOver,
        (false, Some(preferred)) if preferred == own => CellAction::Open,
        _ => CellAction::Keep,
    }
}

/// Running scheduler; dropping it stops everything without a handover, as a killed process would.
pub struct Scheduler {
    shared: Arc<Shared>,
    ops: OperatorServer,
    served: rpc::RpcServer,
    _tasks: JoinSet<()>,
}

/// Starts a scheduler, which keeps retrying while the store is down.
///
/// # Errors
/// A port cannot be bound.
pub async fn spawn(settings: Settings) -> anyhow::Result<Scheduler> {
    let clock = clock::open();
    let consul = consul::open(settings.platform.store, settings.platform.timeout);
    let store: Arc<dyn Store> = consul.clone();
    let registry = Registry::new();
    let config = Arc::new(config::spawn(store.clone()));
    let limit = settings.scheduler.lease / 3;
    let shared = Arc::new(Shared {
        store: store.clone(),
        roster: consul,
        worker_client: agent::open(limit),
        config: config.clone(),
        metrics: SchedulerMetrics::register(&registry)?,
        registry,
        clock: clock.clone(),
        owned: Mutex::default(),
        damaged: Mutex::default(),
        leaving: AtomicBool::new(false),
        membership: OnceLock::new(),
        settings,
    });
    let settings = &shared.settings;
    let local: Arc<dyn Peer> = Arc::new(SchedulerService {
        shared: shared.clone(),
    });
    let served = rpc::bind(settings.scheduler.peers, CALL_TIMEOUT, local).await?;
    let operated: Arc<dyn OperatorApi> = Arc::new(SchedulerService {
        shared: shared.clone(),
    });
    let ops = ops::bind(settings.scheduler.operators, operated).await?;
    let weak = Arc::downgrade(&shared);
    let membership = Arc::new(membership::spawn(membership::Args {
        own: Member::new(
            &settings.instance,
            Role::Scheduler,
            served.address(),
            ops.address(),
        ),
        store,
        lease: settings.platform.lease,
        rpc: served.client().clone(),
        config,
        clock,
        heartbeat: Arc::new(move || {
            weak.upgrade()
                .map(|shared| shared.greeting())
                .unwrap_or_default()
        }),
    }));
    let _ = shared.membership.set(membership);
    let mut tasks = JoinSet::new();
    tasks.spawn(reconcile_cells(shared.clone()));
    Ok(Scheduler {
        shared,
        ops,
        served,
        _tasks: tasks,
    })
}

impl Scheduler {
    /// Returns the address for operators.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.ops.address()
    }

    /// Returns the number of bytes sent to and received from other processes.
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

    /// Returns the cells that this scheduler owns.
    #[must_use]
    pub fn cells(&self) -> Vec<Arc<str>> {
        self.shared.cells()
    }

    /// Stops gracefully: hands every cell over, then leaves the membership.
    pub async fn stop(self) {
        self.shared.leaving.store(true, Ordering::SeqCst);
        let handles: Vec<OwnerHandle> = self.shared.owned.lock().values().cloned().collect();
        let mut handovers = JoinSet::new();
        for handle in handles {
            handovers.spawn(async move { handle.hand_over().await });
        }
        let _ = time::timeout(STOP_TIMEOUT, handovers.join_all()).await;
        if let Some(membership) = self.shared.membership.get() {
            // Other schedulers take the cells over at once when they learn of this.
            membership.broadcast().await;
            membership.deregister().await;
        }
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        for handle in self.shared.owned.lock().values() {
            handle.kill();
        }
        if let Some(membership) = self.shared.membership.get() {
            membership.abort();
        }
    }
}

impl Shared {
    fn cells(&self) -> Vec<Arc<str>> {
        let owned = self.owned.lock();
        owned
            .iter()
            .filter(|(_, handle)| handle.is_owner())
            .map(|(cell, _)| cell.clone())
            .collect()
    }

    fn greeting(&self) -> Heartbeat {
        Heartbeat {
            name: self.settings.instance.name.clone(),
            role: Role::Scheduler.name().into(),
            revision: self.config.active().revision,
            leaving: self.leaving.load(Ordering::SeqCst),
            cells: self.cells(),
        }
    }

    async fn spread(&self) {
        if let Some(membership) = self.membership.get() {
            membership.broadcast().await;
        }
    }

    fn handle(&self, cell: &str) -> Option<OwnerHandle> {
        self.owned
            .lock()
            .get(cell)
            .filter(|handle| handle.is_owner())
            .cloned()
    }

    fn members(&self) -> Arc<Members> {
        self.membership
            .get()
            .map(|membership| membership.members())
            .unwrap_or_default()
    }

    fn decide(&self, cell: &Arc<str>) -> CellAction {
        let own = &self.settings.instance.name;
        let members = self.members();
        let mut present = members.available(Role::Scheduler);
        if !present.contains(own) {
            present.push(own.clone());
        }
        let preferred = rendezvous::first(cell, &present);
        let owner = members
            .owner(cell)
            .map(|known| known.member.name.clone())
            .filter(|name| name != own && present.contains(name));
        let owns = self.handle(cell).is_some();
        decide(own, owns, owner.as_deref(), preferred.as_deref())
    }

    async fn open(&self, cell: &Arc<str>) {
        let settings = &self.settings.scheduler;
        let terms = LeaseTerms {
            lease: settings.lease,
            margin: settings.clock_margin,
        };
        let own = self.settings.instance.name.clone();
        let (store, horizon) = (self.store.clone(), settings.lease_horizon);
        match journal::open(store, cell.clone(), own, &terms, horizon).await {
            Ok(opened) => {
                let epoch = opened.journal.epoch();
                tracing::info!(%cell, epoch, next = opened.next_position, "cell taken over");
                let handle = owner::spawn(opened, self.owner_deps(cell));
                self.owned.lock().insert(cell.clone(), handle);
                self.damaged.lock().remove(cell);
                self.spread().await;
            }
            Err(error @ OpenError::Damaged { .. }) => {
                tracing::error!(%cell, %error, "cell is damaged and was not opened");
                let until = self.clock.now() + DAMAGED_RETRY_INTERVAL;
                let mut damaged = self.damaged.lock();
                damaged.insert(cell.clone(), (error.to_string(), until));
            }
            Err(error) => tracing::debug!(%cell, %error, "cell could not be opened; will retry"),
        }
    }

    fn owner_deps(&self, cell: &Arc<str>) -> OwnerDeps {
        OwnerDeps {
            name: cell.clone(),
            settings: self.settings.scheduler.clone(),
            worker_client: self.worker_client.clone(),
            clock: self.clock.clone(),
            metrics: self.metrics.clone(),
        }
    }

    fn may_open(&self, cell: &Arc<str>) -> bool {
        let now = self.clock.now();
        let damaged = self.damaged.lock();
        damaged.get(cell).is_none_or(|(_, until)| now >= *until)
    }
}

/// Keeps the owned cells consistent with the members and the platform's list of workers.
async fn reconcile_cells(shared: Arc<Shared>) {
    time::sleep(STARTUP_DELAY).await;
    let mut ticks = time::interval(shared.settings.platform.refresh_interval);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let (roster, workers) = (
        shared.roster.clone(),
        shared.settings.platform.workers.clone(),
    );
    let follower =
        service_watcher::spawn(roster, workers, shared.settings.platform.refresh_interval);
    let mut cells: BTreeMap<Arc<str>, Vec<Instance>> = BTreeMap::new();
    let mut last_handover: Option<Duration> = None;
    loop {
        ticks.tick().await;
        if shared.leaving.load(Ordering::SeqCst) {
            return;
        }
        let workers = follower.list();
        if !workers.is_empty() {
            group_by_cell(&mut cells, &workers);
        }
        remove_released(&shared);
        for (cell, workers) in &cells {
            match shared.decide(cell) {
                CellAction::Open if shared.may_open(cell) => shared.open(cell).await,
                CellAction::HandOver => {
                    let now = shared.clock.now();
                    if last_handover.is_none_or(|last| now >= last + HANDOVER_INTERVAL) {
                        last_handover = Some(now);
                        if let Some(handle) = shared.handle(cell) {
                            handle.hand_over().await;
                            shared.spread().await;
                        }
                    }
                }
                _ => {}
            }
            if let Some(handle) = shared.handle(cell) {
                handle.update_workers(workers.clone()).await;
            }
        }
    }
}

/// Groups the workers by cell. A cell that lost its last worker is kept with an empty list.
fn group_by_cell(cells: &mut BTreeMap<Arc<str>, Vec<Instance>>, workers: &[Instance]) {
    for listed in cells.values_mut() {
        listed.clear();
    }
    for worker in workers {
        cells
            .entry(worker.zone.clone())
            .or_default()
            .push(worker.clone());
    }
}

fn remove_released(shared: &Shared) {
    shared.owned.lock().retain(|cell, handle| {
        let kept = handle.is_owner();
        if !kept {
            shared.metrics.remove_cell(cell);
        }
        kept
    });
}

/// Interface of the scheduler to other processes and operators.
struct SchedulerService {
    shared: Arc<Shared>,
}

fn not_owner(cell: &str) -> JobReply {
    JobReply::NotOwner(format!("this scheduler does not own cell {cell}").into())
}

impl Peer for SchedulerService {
    fn heartbeat(&self, mine: Heartbeat) -> CallFuture<'_, Heartbeat> {
        self.shared.config.observe_revision(mine.revision);
        if let Some(membership) = self.shared.membership.get() {
            membership.receive_heartbeat(mine, self.shared.clock.now());
        }
        Box::pin(async { Ok(self.shared.greeting()) })
    }

    fn lend(&self, _: LoanRequest) -> CallFuture<'_, Vec<(u64, u32)>> {
        Box::pin(async {
            Err(Failure::no_effect(
                "lend",
                "scheduler",
                "this process is no gateway",
            ))
        })
    }

    fn submit(&self, cell: Arc<str>, job: Submission) -> CallFuture<'_, JobReply> {
        Box::pin(async move {
            let Some(handle) = self.shared.handle(&cell) else {
                return Ok(not_owner(&cell));
            };
            let released =
                || Failure::unknown_effect("submit", &cell, "the cell was released meanwhile");
            handle.submit(job).await.ok_or_else(released)
        })
    }

    fn cancel(&self, cell: Arc<str>, account: Arc<str>, job: Arc<str>) -> CallFuture<'_, JobReply> {
        Box::pin(async move {
            let Some(handle) = self.shared.handle(&cell) else {
                return Ok(not_owner(&cell));
            };
            let released =
                || Failure::unknown_effect("cancel", &cell, "the cell was released meanwhile");
            handle.cancel(account, job).await.ok_or_else(released)
        })
    }

    fn show(&self, cell: Arc<str>, account: Arc<str>, job: Arc<str>) -> CallFuture<'_, String> {
        Box::pin(async move {
            let Some(handle) = self.shared.handle(&cell) else {
                return Ok(String::new());
            };
            Ok(handle.show(account, job).await.unwrap_or_default())
        })
    }
}

impl OperatorApi for SchedulerService {
    fn health(&self) -> Health {
        let known = self.shared.members().iter().next().is_some();
        Health {
            ready: known,
            leaving: self.shared.leaving.load(Ordering::SeqCst),
        }
    }

    fn registry(&self) -> &Registry {
        &self.shared.registry
    }

    fn dump(&self) -> BoxFuture<'_, String> {
        Box::pin(dump(&self.shared))
    }

    fn command(&self, command: Command) -> BoxFuture<'_, Option<CommandReply>> {
        Box::pin(async move {
            let path: Vec<&str> = command.path.iter().map(|part| &**part).collect();
            let (&Method::GET, ["v1", "cells", cell]) = (&command.method, path.as_slice()) else {
                return None;
            };
            let view = match self.shared.handle(cell) {
                Some(handle) => handle.show("".into(), "".into()).await,
                None => None,
            };
            let missing = || {
                (
                    StatusCode::NOT_FOUND,
                    json!({ "error": "not owned here" }).to_string(),
                )
            };
            Some(view.map_or_else(missing, |view| (StatusCode::OK, view)))
        })
    }
}

async fn dump(shared: &Shared) -> String {
    let mut cells = BTreeMap::new();
    let owned: Vec<Arc<str>> = shared.cells();
    for cell in owned {
        if let Some(handle) = shared.handle(&cell) {
            let view = handle.show("".into(), "".into()).await.unwrap_or_default();
            let view: serde_json::Value = serde_json::from_str(&view).unwrap_or_default();
            cells.insert(cell, view);
        }
    }
    let damaged: BTreeMap<Arc<str>, String> = {
        let damaged = shared.damaged.lock();
        damaged
            .iter()
            .map(|(cell, (error, _))| (cell.clone(), error.clone()))
            .collect()
    };
    let members: BTreeSet<String> = shared
        .members()
        .iter()
        .map(|known| format!("{}/{}", known.member.role.name(), known.member.name))
        .collect();
    json!({
        "name": shared.settings.instance.name,
        "role": "scheduler",
        "leaving": shared.leaving.load(Ordering::SeqCst),
        "revision": shared.config.active().revision,
        "members": members,
        "cells": cells,
        "damaged": damaged,
    })
    .to_string()
}
