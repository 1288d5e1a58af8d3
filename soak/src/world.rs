//! One seed: processes, stand-ins, and what became of them.

use std::fs;
use std::path::{Path as File, PathBuf};
use std::sync::Arc;
use std::time::Duration;

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

use crate::checks::{self, Checks, Fleet, Member, Seen};
use crate::entry::{Entry, Place};
use crate::evacuations;
use crate::network::Network;
use crate::proxy::Proxy;
use crate::shaky::{Draws, Gone};
use crate::standin::store::{Store, zone_of};
use crate::standin::worker_server::{SharedCrashInjector, TaskProfiles, WorkerServer};
use crate::touch::Touch;

/// Time between two questions whether the programs serve.
const ASK: Duration = Duration::from_millis(100);
/// Time for the programs to start and find each other.
const BEGIN: Duration = Duration::from_secs(15);

/// What to play.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the schedule.
    pub seed: u64,
    /// How long faults go on.
    pub span: Duration,
    /// Entry processes.
    pub entries: u8,
    /// Workers.
    pub workers: usize,
    /// The program.
    pub program: PathBuf,
    /// Folder for settings, logs and the schedule.
    pub folder: PathBuf,
    /// Whether jobs crash their workers, rooms change, others write among the entries, and
    /// availability zones are evacuated.
    pub shaky: bool,
}

/// What became of a seed.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Rules that were broken.
    pub broken: Vec<String>,
    /// Jobs that clients were told are accepted.
    pub accepted: usize,
    /// Jobs that were refused by every answer.
    pub refused: usize,
    /// Faults that were played.
    pub faults: usize,
    /// Workers that crashed under jobs.
    pub crashed: u32,
}

/// An entry, and the proxies on its links.
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
    pub shapes: TaskProfiles,
    pub checks: Checks,
    /// Tasks that crash their workers.
    pub troubles: SharedCrashInjector,
    /// Workers that crashed.
    pub gone: Gone,
    /// What is drawn of that, if anything is.
    pub shaky: Option<Draws>,
    /// What is drawn of evacuations, if anything is.
    pub evacuations: Option<evacuations::Draws>,
    lives: usize,
    schedule: Vec<String>,
}

/// Plays one seed.
///
/// # Errors
/// The programs or stand-ins cannot be started.
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
    let troubles = std::mem::take(&mut world.troubles.lock().violations);
    world.checks.seen.lock().broken.extend(troubles);
    fs::write(
        world.plan.folder.join("schedule.txt"),
        world.schedule.join("\n"),
    )
    .context("write schedule")?;
    let crashed = world.troubles.lock().crashed;
    let verdict = judge(&mut world.checks.seen.lock(), open, faults);
    Ok(Verdict { crashed, ..verdict })
}

fn judge(seen: &mut Seen, open: Vec<Arc<str>>, faults: usize) -> Verdict {
    for id in open {
        seen.broken
            .push(format!("{id} was accepted and did not end"));
    }
    let never = seen.never_accepted();
    for id in &never {
        if seen.ran.contains(id) && !seen.doubtful.contains(id) {
            seen.broken
                .push(format!("{id} ran, and every answer said that it would not"));
        }
    }
    Verdict {
        broken: seen.broken.clone(),
        accepted: seen.accepted.len(),
        refused: never.len(),
        faults,
        crashed: 0,
    }
}

/// What a worker has at first.
pub(crate) fn room() -> Resources {
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
            touch: Arc::new(Mutex::new(Touch::new(plan.entries.into()))),
            configs: Arc::default(),
            evacuated: Arc::default(),
        };
        let mut world = Self {
            network,
            rng: Pcg64::seed_from_u64(plan.seed),
            sites: Vec::new(),
            shapes: TaskProfiles::default(),
            checks,
            troubles: SharedCrashInjector::default(),
            gone: Gone::default(),
            shaky: plan.shaky.then(|| Draws::new(plan.seed)),
            evacuations: plan.shaky.then(|| evacuations::Draws::new(plan.seed)),
            lives: 0,
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

    async fn start_site(&self, number: u8, store: std::net::SocketAddr) -> anyhow::Result<Site> {
        let store = Proxy::spawn(store).await?;
        let entry = Entry::start(&Place {
            folder: &self.plan.folder,
            program: &self.plan.program,
            number,
            network: &self.network,
            store: store.address,
            entries: self.plan.entries,
        })?;
        let clients = Proxy::spawn(entry.clients).await?;
        Ok(Site {
            entry,
            store,
            clients,
        })
    }

    /// A new life on a machine, in place of the one that was there.
    pub async fn add_worker(&mut self, number: usize) -> anyhow::Result<()> {
        let id = format!("life-{}", self.lives + 1);
        self.begin_life(number, &id).await
    }

    /// A new life of the worker with this id, at an address of its own.
    pub async fn begin_life(&mut self, number: usize, id: &str) -> anyhow::Result<()> {
        self.lives += 1;
        // Births need only differ, and may go back.
        let born = 1_767_225_600_000 + (self.lives as u64 * 7919) % 1000;
        let life = Incarnation::new(id, Some(born));
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let start = self.checks.start;
        let (shapes, troubles) = (self.shapes.clone(), self.troubles.clone());
        let agent = WorkerServer::spawn(listener, life.clone(), room(), shapes, troubles, start)?;
        let link = Proxy::spawn(agent.address).await?;
        let store = &self.checks.store;
        store.put_worker(&life, number, link.address, false, &room());
        let member = Member {
            agent,
            link,
            drained: None,
            zone: zone_of(number),
        };
        self.checks.fleet.lock().insert(number, member);
        Ok(())
    }

    /// Operators write a configuration that has all queues of the one before and a new one.
    pub fn configure(&mut self) {
        let mut configs = self.checks.configs.lock();
        let version = configs.len() + 1;
        let mut prefixes: Vec<String> = (1..=version).map(checks::name_prefix).collect();
        prefixes.push("/q/".to_owned());
        let store = &self.checks.store;
        store.put_config(version as u64, "jobs.example", &prefixes);
        configs.push(self.checks.start.elapsed());
    }

    async fn wait_for_entries(&self) -> anyhow::Result<()> {
        let end = Instant::now() + BEGIN;
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
            time::sleep(ASK).await;
        }
        anyhow::bail!("the entries did not serve in time")
    }

    pub fn note(&mut self, what: &str) {
        let at = self.now().as_secs_f64();
        self.schedule.push(format!("{at:8.3} {what}"));
    }

    /// Time since the seed began.
    pub fn now(&self) -> Duration {
        self.checks.start.elapsed()
    }

    async fn heal(&mut self) -> anyhow::Result<()> {
        self.note("all faults end");
        self.heal_store();
        self.take_zones_back();
        self.thaw()?;
        for number in 0..self.plan.workers {
            // Enough of them have to be left for what is open.
            self.replace_drained(number).await?;
        }
        for member in self.checks.fleet.lock().values() {
            *member.agent.unreachable.lock() = false;
        }
        self.start_ended()
    }

    /// Starts the entries that have ended.
    pub fn start_ended(&mut self) -> anyhow::Result<()> {
        for place in 0..self.sites.len() {
            self.start_entry(place)?;
        }
        Ok(())
    }

    /// Starts an entry if it has ended; true if it had.
    pub fn start_entry(&mut self, place: usize) -> anyhow::Result<bool> {
        let entry = &mut self.sites[place].entry;
        let ended = entry.has_ended()?;
        if ended {
            entry.launch()?;
            let now = self.now();
            let mut touch = self.checks.touch.lock();
            touch.change(place, now, |harm| harm.down = false);
        }
        Ok(ended)
    }

    /// Frozen processes run on.
    pub fn thaw(&self) -> anyhow::Result<()> {
        for site in &self.sites {
            site.entry.signal(Signal::SIGCONT)?;
        }
        let mut touch = self.checks.touch.lock();
        touch.change_all(self.now(), |harm| harm.frozen = false);
        Ok(())
    }
}

/// Where the program lies: beside this one, as cargo builds it.
///
/// # Errors
/// It is not there.
pub fn find_program() -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe().context("own path")?;
    let folders = own.ancestors().skip(1).take(2);
    let mut candidates = folders.map(|folder: &File| folder.join("ashtiller"));
    candidates
        .find(|path| path.is_file())
        .context("no program `ashtiller` beside this one; build the workspace first")
}
