//! Plays one seed: starts processes and stand-ins, injects faults and collects the verdict.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path as File, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::Context;
use ashtiller::resources::Resources;
use ashtiller::workflow::incarnation::Incarnation;
use hyper::{Method, StatusCode};
use nix::sys::signal::Signal;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::net::TcpListener;
use tokio::time::{self, Instant};

use crate::bursts::{self, Bursts};
use crate::checks::{self, Checks, Fleet, Member, Observations};
use crate::entry::{Entry, EntryParams};
use crate::evacuations;
use crate::health::EntryHealth;
use crate::network::Network;
use crate::proxy::{Path, Proxy};
use crate::shaky::{CrashedWorkers, Draws};
use crate::standin::crash_injector::CrashInjector;
use crate::standin::machine_server::{self, MachineRows, MachineServer};
use crate::standin::store::{Store, zone_of};
use crate::standin::worker_server::{SharedCrashInjector, TaskProfiles, WorkerServer};

/// Time between two checks whether the entries serve.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for the entries to start and discover each other.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Faults of the machine interface.
const MACHINE_FAULTS: machine_server::Faults = machine_server::Faults {
    busy: 10,
    silent: 10,
    slow: 20,
};

/// Parameters of one seed's run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Duration of the faults.
    pub span: Duration,
    /// Number of entry processes.
    pub entries: u8,
    /// Number of workers.
    pub workers: usize,
    /// Path of the `ashtiller` binary.
    pub program: PathBuf,
    /// Folder for settings, logs and the schedule.
    pub folder: PathBuf,
    /// Whether jobs crash their workers, capacities change, foreign worker records are written
    /// and availability zones are evacuated.
    pub shaky: bool,
    /// Whether bursts of wide jobs are submitted beside long-running jobs.
    pub bursts: bool,
}

/// Result of one seed's run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Descriptions of violated invariants.
    pub broken: Vec<String>,
    /// Number of jobs that were accepted.
    pub accepted: usize,
    /// Number of jobs that were refused and never accepted.
    pub refused: usize,
    /// Number of jobs that were refused in at least one attempt.
    pub refused_once: usize,
    /// Number of faults that were played.
    pub faults: usize,
    /// Number of workers that crashed under jobs.
    pub crashed: u32,
}

/// An entry and the proxies on its connections.
pub(crate) struct Site {
    pub entry: Entry,
    /// Between the entry and the store.
    pub store: Proxy,
    /// Between clients and the entry.
    pub clients: Proxy,
}

pub(crate) struct World {
    pub plan: Plan,
    network: Network,
    pub rng: Pcg64,
    pub sites: Vec<Site>,
    pub profiles: TaskProfiles,
    pub checks: Checks,
    machines: MachineServer,
    /// Crashes workers under selected tasks.
    pub injector: SharedCrashInjector,
    /// Crashed workers that await their restart.
    pub crashed_workers: CrashedWorkers,
    /// Generator for crashes, capacities and foreign records, if the plan has them.
    pub shaky: Option<Draws>,
    /// Generator for evacuations, if the plan has them.
    pub evacuations: Option<evacuations::Draws>,
    /// Bursts of submissions, if the plan has them.
    pub bursts: Option<Bursts>,
    incarnations: usize,
    schedule: Vec<String>,
}

/// Plays one seed.
///
/// # Errors
/// Fails when the programs or stand-ins cannot be started, or a file cannot be written.
pub async fn run(plan: Plan) -> anyhow::Result<Verdict> {
    fs::create_dir_all(&plan.folder).context("make folder")?;
    let mut world = World::begin(plan).await?;
    world.wait_for_entries().await?;
    let entries: Vec<_> = world.sites.iter().map(|site| site.entry.clients).collect();
    let checks = world.checks.spawn(&entries);
    let watch = world.spawn_crashes();
    let faults = world.disturb().await?;
    world.heal().await?;
    let open = world.finish().await?;
    watch.abort();
    drop(checks);
    fs::write(
        world.plan.folder.join("schedule.txt"),
        world.schedule.join("\n"),
    )
    .context("write schedule")?;
    let injector = world.injector.lock();
    Ok(judge(
        &mut world.checks.seen.lock(),
        &injector,
        open,
        faults,
    ))
}

fn judge(
    seen: &mut Observations,
    injector: &CrashInjector,
    open: Vec<Arc<str>>,
    faults: usize,
) -> Verdict {
    for id in open {
        seen.broken
            .push(format!("{id} was accepted and did not end"));
    }
    for id in seen.refused_and_started(&injector.starts.jobs) {
        seen.broken
            .push(format!("{id} ran, and every answer said that it would not"));
    }
    let found = injector.violations.iter().chain(&injector.starts.repeated);
    seen.broken.extend(found.cloned());
    Verdict {
        broken: seen.broken.clone(),
        accepted: seen.accepted.len(),
        refused: seen.never_accepted().len(),
        refused_once: seen.refused.len(),
        faults,
        crashed: injector.crashed,
    }
}

/// Returns the machines of all workers; those of crashed workers are down.
fn list_machines(fleet: &Fleet, workers: usize) -> MachineRows {
    let fleet = fleet.lock();
    let worker_on = |machine| {
        let member: Option<&Member> = fleet.get(&machine);
        member.map(|member| member.server.worker.lock().incarnation.id().to_owned())
    };
    let machines = (0..workers).map(|machine| (format!("m{machine}"), worker_on(machine)));
    machines.collect()
}

/// Returns the initial capacity of each worker.
pub(crate) fn worker_capacity() -> Resources {
    Resources {
        processors: 8000,
        memory: 16 << 30,
        accelerators: 0,
    }
}

impl World {
    async fn begin(plan: Plan) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let network = Network::take(std::process::id()).await?;
        let checks = Checks {
            start: Instant::now(),
            store: Store::spawn(listener),
            fleet: Fleet::default(),
            client: Arc::default(),
            seen: Arc::default(),
            health: Arc::new(Mutex::new(EntryHealth::new(plan.entries.into()))),
            configs: Arc::default(),
            evacuated: Arc::default(),
        };
        let (fleet, workers) = (checks.fleet.clone(), plan.workers);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let rows = move || list_machines(&fleet, workers);
        let machines = MachineServer::spawn(listener, rows, MACHINE_FAULTS, plan.seed)?;
        let mut world = Self {
            network,
            rng: Pcg64::seed_from_u64(plan.seed),
            sites: Vec::new(),
            profiles: TaskProfiles::default(),
            checks,
            machines,
            injector: SharedCrashInjector::default(),
            crashed_workers: CrashedWorkers::default(),
            shaky: plan.shaky.then(|| Draws::new(plan.seed)),
            evacuations: plan.shaky.then(|| evacuations::Draws::new(plan.seed)),
            bursts: plan
                .bursts
                .then(|| Bursts::new(plan.seed, plan.span, plan.entries.into())),
            incarnations: 0,
            schedule: Vec::new(),
            plan,
        };
        world.configure();
        for number in 0..world.plan.workers {
            world.add_worker(number).await?;
        }
        for number in 0..world.plan.entries {
            let site = world.start_site(number, address).await?;
            world.sites.push(site);
        }
        Ok(world)
    }

    async fn start_site(&self, number: u8, store: SocketAddr) -> anyhow::Result<Site> {
        let store = Proxy::spawn(store).await?;
        let entry = Entry::start(&EntryParams {
            folder: &self.plan.folder,
            program: &self.plan.program,
            number,
            network: &self.network,
            store: store.address,
            machines: self.machines.address,
            entries: self.plan.entries,
        })?;
        let clients = Proxy::spawn(entry.clients).await?;
        Ok(Site {
            entry,
            store,
            clients,
        })
    }

    /// Starts a worker with a new id on a machine, replacing the previous one.
    pub async fn add_worker(&mut self, number: usize) -> anyhow::Result<()> {
        let id = format!("life-{}", self.incarnations + 1);
        self.start_incarnation(number, &id).await
    }

    /// Starts a new incarnation of the worker with this id, at a new address.
    pub async fn start_incarnation(&mut self, number: usize, id: &str) -> anyhow::Result<()> {
        self.incarnations += 1;
        // Start times are times of day, by clocks that differ by a few seconds; they may go backwards.
        let now = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
        let born = u64::try_from(now)? - 4000 + (self.incarnations as u64 * 7919) % 8000;
        let incarnation = Incarnation::new(id, Some(born));
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let start = self.checks.start;
        let (profiles, injector) = (self.profiles.clone(), self.injector.clone());
        let server = WorkerServer::spawn(
            listener,
            incarnation.clone(),
            worker_capacity(),
            profiles,
            injector,
            start,
        )?;
        let proxy = Proxy::spawn(server.address).await?;
        let store = &self.checks.store;
        store.put_worker(
            &incarnation,
            number,
            proxy.address,
            false,
            &worker_capacity(),
        );
        let member = Member {
            server,
            proxy,
            drained: None,
            zone: zone_of(number),
        };
        self.checks.fleet.lock().insert(number, member);
        Ok(())
    }

    /// Writes a configuration with all queues of the previous one and a new one.
    pub fn configure(&mut self) {
        let mut configs = self.checks.configs.lock();
        let version = configs.len() + 1;
        let mut prefixes: Vec<String> = (1..=version).map(checks::name_prefix).collect();
        prefixes.push("/q/".to_owned());
        prefixes.push(bursts::QUEUE.to_owned());
        let store = &self.checks.store;
        store.put_config(version as u64, "jobs.example", &prefixes);
        configs.push(self.checks.start.elapsed());
    }

    async fn wait_for_entries(&self) -> anyhow::Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        let entry = self.sites[0].entry.clients;
        while Instant::now() < end {
            if let Ok((StatusCode::OK, _)) = self
                .checks
                .client
                .call(entry, Method::GET, "/q/", String::new())
                .await
            {
                return Ok(());
            }
            time::sleep(READY_POLL_INTERVAL).await;
        }
        anyhow::bail!("the entries did not serve in time")
    }

    pub fn note(&mut self, what: &str) {
        let at = self.now().as_secs_f64();
        self.schedule.push(format!("{at:8.3} {what}"));
    }

    /// Returns the time since the start of the seed.
    pub fn now(&self) -> Duration {
        self.checks.start.elapsed()
    }

    async fn heal(&mut self) -> anyhow::Result<()> {
        self.note("all faults end");
        self.heal_store();
        self.cancel_evacuations();
        for site in &self.sites {
            site.clients.set_path(Path::Open);
        }
        self.thaw()?;
        for number in 0..self.plan.workers {
            // Draining workers take no tasks; the open jobs need enough workers to finish.
            self.replace_drained(number).await?;
        }
        for member in self.checks.fleet.lock().values() {
            *member.server.unreachable.lock() = false;
        }
        self.start_ended()
    }

    /// Returns the addresses at which clients reach the entries.
    pub fn client_addresses(&self) -> Vec<SocketAddr> {
        let sites = self.sites.iter();
        sites.map(|site| site.clients.address).collect()
    }

    /// Starts the entries that have exited.
    pub fn start_ended(&mut self) -> anyhow::Result<()> {
        for index in 0..self.sites.len() {
            self.start_entry(index)?;
        }
        Ok(())
    }

    /// Starts an entry if it has exited; true if it had.
    pub fn start_entry(&mut self, index: usize) -> anyhow::Result<bool> {
        let entry = &mut self.sites[index].entry;
        let ended = entry.has_ended()?;
        if ended {
            entry.launch()?;
            let now = self.now();
            let mut health = self.checks.health.lock();
            health.change(index, now, |state| state.down = false);
        }
        Ok(ended)
    }

    /// Resumes suspended processes.
    pub fn thaw(&self) -> anyhow::Result<()> {
        for site in &self.sites {
            site.entry.signal(Signal::SIGCONT)?;
        }
        let mut health = self.checks.health.lock();
        health.change_all(self.now(), |state| state.frozen = false);
        Ok(())
    }
}

/// Finds the `ashtiller` binary beside this one or one folder up, where cargo builds it.
///
/// # Errors
/// Fails when it is not there.
pub fn find_program() -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe().context("own path")?;
    let folders = own.ancestors().skip(1).take(2);
    let mut candidates = folders.map(|folder: &File| folder.join("ashtiller"));
    candidates
        .find(|path| path.is_file())
        .context("no program `ashtiller` beside this one; build the workspace first")
}
