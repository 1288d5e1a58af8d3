//! One seed: processes, jobs, faults, and what must hold.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path as File, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use ashtiller::resources::Resources;
use ashtiller::workflow::agents::Name;
use hyper::{Method, StatusCode};
use nix::sys::signal::Signal;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{self, Instant};

use crate::client;
use crate::entry::{Entry, Place};
use crate::network::Network;
use crate::proxy::{Path, Proxy};
use crate::standin::agent::{Agent, Shapes};
use crate::standin::job::{wire_job, wire_step};
use crate::standin::store::{Mode, Store};

/// Time between two looks at all workers.
const CHECK: Duration = Duration::from_millis(10);
/// Time between two jobs.
const SUBMIT: Duration = Duration::from_millis(250);
/// Time for the programs to start and find each other.
const BEGIN: Duration = Duration::from_secs(15);
/// Time for all accepted jobs to end once the faults are over: several leases.
const FINISH: Duration = Duration::from_mins(2);

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
}

/// What clients and workers have seen.
#[derive(Default)]
struct Seen {
    accepted: BTreeSet<Arc<str>>,
    refused: BTreeSet<Arc<str>>,
    doubtful: BTreeSet<Arc<str>>,
    ran: BTreeSet<Arc<str>>,
    broken: Vec<String>,
}

impl Seen {
    /// Takes an answer to a job; true when it is accepted.
    fn take_answer(&mut self, id: &Arc<str>, status: Option<StatusCode>) -> bool {
        match status {
            Some(StatusCode::OK) => self.accepted.insert(id.clone()),
            Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {
                self.refused.insert(id.clone())
            }
            _ => self.doubtful.insert(id.clone()),
        };
        status == Some(StatusCode::OK)
    }
}

type Fleet = Arc<Mutex<BTreeMap<usize, Agent>>>;

struct World {
    plan: Plan,
    network: Network,
    rng: Pcg64,
    store: Store,
    proxies: Vec<Proxy>,
    entries: Vec<Entry>,
    fleet: Fleet,
    shapes: Shapes,
    seen: Arc<Mutex<Seen>>,
    start: Instant,
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
    let checks = world.spawn_checks();
    let faults = world.disturb().await?;
    world.heal()?;
    let open = world.finish().await?;
    checks.abort();
    fs::write(
        world.plan.folder.join("schedule.txt"),
        world.schedule.join("\n"),
    )
    .context("write schedule")?;
    let mut seen = world.seen.lock();
    for id in open {
        seen.broken
            .push(format!("{id} was accepted and did not end"));
    }
    let never: Vec<Arc<str>> = seen.refused.difference(&seen.accepted).cloned().collect();
    for id in &never {
        if seen.ran.contains(id) && !seen.doubtful.contains(id) {
            seen.broken
                .push(format!("{id} ran, and every answer said that it would not"));
        }
    }
    Ok(Verdict {
        broken: seen.broken.clone(),
        accepted: seen.accepted.len(),
        refused: never.len(),
        faults,
    })
}

fn room() -> Resources {
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
        let store = Store::spawn(listener);
        store.put_config("jobs.example", "/q/");
        let network = Network::take(std::process::id()).await?;
        let mut world = Self {
            network,
            rng: Pcg64::seed_from_u64(plan.seed),
            store,
            proxies: Vec::new(),
            entries: Vec::new(),
            fleet: Fleet::default(),
            shapes: Shapes::default(),
            seen: Arc::default(),
            start: Instant::now(),
            lives: 0,
            schedule: Vec::new(),
            plan,
        };
        for number in 0..world.plan.workers {
            world.add_worker(number).await?;
        }
        for number in 0..world.plan.entries {
            let proxy = Proxy::spawn(address).await?;
            let place = Place {
                folder: &world.plan.folder,
                program: &world.plan.program,
                number,
                network: &world.network,
                store: proxy.address,
                entries: world.plan.entries,
            };
            world.entries.push(Entry::start(&place)?);
            world.proxies.push(proxy);
        }
        Ok(world)
    }

    async fn add_worker(&mut self, number: usize) -> anyhow::Result<()> {
        self.lives += 1;
        let id = format!("life-{}", self.lives);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let agent = Agent::spawn(listener, &id, room(), self.shapes.clone(), self.start)?;
        self.store.put_worker(&id, number, agent.address);
        self.fleet.lock().insert(number, agent);
        Ok(())
    }

    async fn wait_for_entries(&self) -> anyhow::Result<()> {
        let end = Instant::now() + BEGIN;
        let entry = self.entries[0].clients;
        while Instant::now() < end {
            if let Ok((StatusCode::OK, _)) =
                client::call(entry, Method::GET, "/q/", String::new()).await
            {
                return Ok(());
            }
            time::sleep(CHECK * 10).await;
        }
        anyhow::bail!("the entries did not serve in time")
    }

    fn spawn_checks(&self) -> JoinHandle<()> {
        let (fleet, seen, start) = (self.fleet.clone(), self.seen.clone(), self.start);
        tokio::spawn(async move {
            loop {
                check_workers(&fleet, &seen, start);
                time::sleep(CHECK).await;
            }
        })
    }

    fn note(&mut self, what: &str) {
        let at = self.start.elapsed().as_secs_f64();
        self.schedule.push(format!("{at:8.3} {what}"));
    }

    async fn disturb(&mut self) -> anyhow::Result<usize> {
        let end = Instant::now() + self.plan.span;
        let mut next = Instant::now() + Duration::from_secs(1);
        let (mut faults, mut number) = (0, 0);
        while Instant::now() < end {
            self.submit(number);
            number += 1;
            time::sleep(SUBMIT).await;
            self.revive()?;
            if Instant::now() >= next {
                self.play_fault().await?;
                faults += 1;
                next = Instant::now() + Duration::from_millis(self.rng.random_range(300..2500));
            }
        }
        Ok(faults)
    }

    /// Processes that ended are started again now and then.
    fn revive(&mut self) -> anyhow::Result<()> {
        for place in 0..self.entries.len() {
            if self.rng.random_range(0..6) == 0 && self.entries[place].has_ended()? {
                self.entries[place].launch()?;
                self.note(&format!("entry {place} starts"));
            }
        }
        Ok(())
    }

    async fn play_fault(&mut self) -> anyhow::Result<()> {
        let place = self.rng.random_range(0..self.entries.len());
        let worker = self.rng.random_range(0..self.plan.workers);
        let fault = self.rng.random_range(0..12);
        self.note(&format!("fault {fault}, entry {place}, worker {worker}"));
        match fault {
            0 | 1 => self.entries[place].kill()?,
            2 => self.entries[place].signal(Signal::SIGTERM)?,
            3 => self.entries[place].signal(Signal::SIGSTOP)?,
            4 => {
                for entry in &self.entries {
                    entry.signal(Signal::SIGCONT)?;
                }
            }
            5 => self.proxies[place].set_path(Path::OneWay),
            6 => self.proxies[place].set_path(Path::Reset),
            7 => self.proxies[place].set_path(Path::Delay(Duration::from_millis(120))),
            8 => self.heal_store(),
            9 => {
                let modes = [
                    Mode::Busy,
                    Mode::Silent,
                    Mode::Lossy,
                    Mode::Slow(Duration::from_millis(200)),
                ];
                self.store
                    .set_mode(modes[self.rng.random_range(0..modes.len())]);
                self.store.compact();
            }
            10 => {
                let gone = self.fleet.lock().remove(&worker);
                if let Some(gone) = gone {
                    let id = gone.worker.lock().id.clone();
                    self.store.remove_worker(&id);
                }
                self.add_worker(worker).await?;
            }
            _ => {
                if let Some(agent) = self.fleet.lock().get(&worker) {
                    let mut cut = agent.cut.lock();
                    *cut = !*cut;
                }
            }
        }
        Ok(())
    }

    fn heal_store(&self) {
        self.store.set_mode(Mode::Up);
        for proxy in &self.proxies {
            proxy.set_path(Path::Open);
        }
    }

    fn heal(&mut self) -> anyhow::Result<()> {
        self.note("all faults end");
        self.heal_store();
        for agent in self.fleet.lock().values() {
            *agent.cut.lock() = false;
        }
        for entry in &self.entries {
            entry.signal(Signal::SIGCONT)?;
        }
        self.start_ended()
    }

    /// Starts the entries that have ended.
    fn start_ended(&mut self) -> anyhow::Result<()> {
        for entry in &mut self.entries {
            if entry.has_ended()? {
                entry.launch()?;
            }
        }
        Ok(())
    }

    /// A client hands a job in, again and again until it gets a clear answer.
    fn submit(&mut self, number: u32) {
        let id: Arc<str> = format!("{:08x}{number:08x}", self.plan.seed).into();
        let count = self.rng.random_range(1..4u32);
        let length = self.rng.random_range(100..1500u64);
        let second = self.rng.random_range(0..2u16);
        for step in 0..=second {
            let needs = Resources {
                processors: 1000,
                memory: 1 << 30,
                accelerators: 0,
            };
            self.shapes
                .lock()
                .insert((id.clone(), step), (needs, Duration::from_millis(length)));
        }
        let mut steps = vec![wire_step(count, length, &[])];
        if second == 1 {
            steps.push(wire_step(count, length, &[0]));
        }
        let body = wire_job(&steps);
        let addresses: Vec<_> = self.entries.iter().map(|entry| entry.clients).collect();
        let first = self.rng.random_range(0..addresses.len());
        let seen = self.seen.clone();
        tokio::spawn(async move {
            for attempt in 0..12 {
                let to = addresses[(first + attempt) % addresses.len()];
                let answer =
                    client::call(to, Method::POST, &format!("/q/{id}"), body.clone()).await;
                let status = answer.map(|(status, _)| status).ok();
                if seen.lock().take_answer(&id, status) {
                    return;
                }
                time::sleep(Duration::from_millis(400)).await;
            }
        });
    }

    /// Waits for every accepted job to end; those that did not are returned.
    async fn finish(&mut self) -> anyhow::Result<Vec<Arc<str>>> {
        let end = Instant::now() + FINISH;
        loop {
            let accepted: Vec<Arc<str>> = self.seen.lock().accepted.iter().cloned().collect();
            let mut open = Vec::new();
            for id in accepted {
                let to = self.entries[0].clients;
                let answer =
                    client::call(to, Method::GET, &format!("/q/{id}"), String::new()).await;
                let complete =
                    answer.is_ok_and(|(_, body)| body.as_ref() == br#"{"state":"complete"}"#);
                if !complete {
                    open.push(id);
                }
            }
            if open.is_empty() || Instant::now() >= end {
                return Ok(open);
            }
            // One that was told to stop may end only now.
            self.start_ended()?;
            time::sleep(Duration::from_millis(500)).await;
        }
    }
}

/// No task may run twice at once, and no worker hold more than it has.
fn check_workers(fleet: &Fleet, seen: &Mutex<Seen>, start: Instant) {
    let mut running: BTreeMap<Name, Arc<str>> = BTreeMap::new();
    let mut seen = seen.lock();
    for agent in fleet.lock().values() {
        let mut worker = agent.worker.lock();
        worker.advance(start.elapsed());
        for (name, _) in worker.runs.keys() {
            seen.ran.insert(name.job.clone());
            if let Some(other) = running.insert(name.clone(), worker.id.clone()) {
                let text = format!("{name:?} runs on {other} and {}", worker.id);
                seen.broken.push(text);
            }
        }
        if !worker.used().fits(&worker.capacity) {
            let text = format!("{} holds {}", worker.id, worker.used());
            seen.broken.push(text);
        }
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
