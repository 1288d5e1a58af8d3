//! Workers that crash under jobs, changes of capacity and worker records by foreign writers.
//! They have a random generator of their own, so that seeds without them play as before.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::resources::Resources;
use ashtiller::workflow::incarnation::Incarnation;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::task::JoinHandle;
use tokio::time;

use crate::checks::Fleet;
use crate::standin::worker_server::SharedCrashInjector;
use crate::world::World;

/// Mixed into the seed so that these draws are independent of those of the other faults.
const SALT: u64 = 0x7368_616b;
/// Time between a crash and the worker's next incarnation.
const RESTART_DELAY: Duration = Duration::from_millis(2800);
/// Time between two checks for workers that are due to crash.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// One job in this many crashes its workers; one step in this many changes a worker's
/// capacity, or writes a foreign worker record.
const CRASHING_JOBS: u32 = 12;
const CAPACITY_CHANGES: u32 = 8;
const FOREIGN_RECORDS: u32 = 6;
/// Times from the start of a crashing task to the crash, in milliseconds.
const DELAYS: [u64; 3] = [10, 60, 90];
/// Malformed or unexpected worker records that foreign writers put into the store.
const JUNK: [&str; 5] = [
    "",
    "\u{0}\u{1}not json",
    r#"{"service":"fleet"}"#,
    r#"{"service":7,"address":"127.0.0.1:1","zone":"bern","state":"ready"}"#,
    r#"{"service":"fleet","address":"127.0.0.1:1","zone":"bern","state":"warming","capacity":{"cpu":8000,"mem_mb":16384,"gpu":0}}"#,
];

/// Crashed workers, with their machine and the time of their restart.
pub type CrashedWorkers = Arc<parking_lot::Mutex<Vec<(Incarnation, usize, Duration)>>>;

/// Random generator for these faults.
pub struct Draws(Pcg64);

impl Draws {
    /// Seeds the generator.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(Pcg64::seed_from_u64(seed ^ SALT))
    }

    fn one_in(&mut self, count: u32) -> bool {
        self.0.random_range(0..count) == 0
    }
}

impl World {
    /// Draws whether a job that is about to be submitted crashes its workers.
    pub fn draw_crashing_job(&mut self, id: &Arc<str>) {
        let Some(draws) = &mut self.shaky else {
            return;
        };
        if draws.one_in(CRASHING_JOBS) {
            let delay = DELAYS[draws.0.random_range(0..DELAYS.len())];
            let mut injector = self.injector.lock();
            injector.crash_first_task(id.clone(), Duration::from_millis(delay));
            drop(injector);
            self.note(&format!("{id} crashes its workers after {delay} ms"));
        }
    }

    /// Occasionally changes a worker's capacity or writes a foreign worker record.
    pub fn disturb_workers(&mut self) {
        let Some(mut draws) = self.shaky.take() else {
            return;
        };
        if draws.one_in(CAPACITY_CHANGES) {
            let (worker, share) = (
                draws.0.random_range(0..self.plan.workers),
                draws.0.random_range(1..=4u64),
            );
            self.change_capacity(worker, share);
        }
        if draws.one_in(FOREIGN_RECORDS) {
            let number = draws.0.random_range(0..8u32);
            let worker = draws.0.random_range(0..self.plan.workers);
            let kind = draws.0.random_range(0..=JUNK.len());
            self.write_foreign_record(number, worker, JUNK.get(kind).copied());
        }
        self.shaky = Some(draws);
    }

    /// Sets a worker's capacity to this many quarters of the initial one.
    fn change_capacity(&mut self, worker: usize, quarters: u64) {
        let now = self.now();
        let whole = crate::world::worker_capacity();
        let capacity = Resources {
            processors: whole.processors * quarters / 4,
            memory: whole.memory * quarters / 4,
            ..whole
        };
        if let Some(member) = self.checks.fleet.lock().get(&worker) {
            let mut state = member.server.worker.lock();
            state.capacity = capacity;
            state.capacity_changed_at = Some(now);
            let (incarnation, leaves) = (state.incarnation.clone(), member.drained.is_some());
            drop(state);
            let store = &self.checks.store;
            store.put_worker(
                &incarnation,
                worker,
                member.proxy.address,
                leaves,
                &capacity,
            );
        }
        self.note(&format!(
            "worker {worker} has {quarters} quarters of its room"
        ));
    }

    /// Writes a worker record as a foreign writer: a malformed one, or one with an id of its own
    /// and the machine and address of an existing worker.
    fn write_foreign_record(&mut self, number: u32, worker: usize, junk: Option<&str>) {
        let id = format!("alien-{number}");
        let store = &self.checks.store;
        if let Some(junk) = junk {
            store.put_malformed_worker(&id, junk.as_bytes());
        } else if let Some(member) = self.checks.fleet.lock().get(&worker) {
            let address = member.proxy.address;
            store.put_worker(
                &Incarnation::new(&id, None),
                worker,
                address,
                false,
                &crate::world::worker_capacity(),
            );
        }
        self.note(&format!("{id} is written, at worker {worker}: {junk:?}"));
    }

    /// Restarts crashed workers that are due.
    ///
    /// # Errors
    /// Fails when a worker cannot be started.
    pub async fn bring_back(&mut self) -> anyhow::Result<()> {
        let now = self.now();
        let due: Vec<(Incarnation, usize, Duration)> = {
            let mut crashed_workers = self.crashed_workers.lock();
            let (due, rest) = crashed_workers
                .drain(..)
                .partition(|(_, _, back)| *back <= now);
            *crashed_workers = rest;
            due
        };
        for (incarnation, machine, _) in due {
            let there = self.checks.fleet.lock().contains_key(&machine);
            if !there && machine.is_multiple_of(2) {
                // The old record stays until the next incarnation has written its own.
                self.start_incarnation(machine, incarnation.id()).await?;
                self.note(&format!("{incarnation} has started again under its id"));
                continue;
            }
            self.checks.store.remove_worker(incarnation.id());
            if !there {
                self.add_worker(machine).await?;
            }
        }
        Ok(())
    }

    /// Crashes workers when they are due, until the handle is aborted.
    #[must_use]
    pub fn spawn_crashes(&self) -> JoinHandle<()> {
        let (fleet, injector) = (self.checks.fleet.clone(), self.injector.clone());
        let (crashed_workers, start) = (self.crashed_workers.clone(), self.checks.start);
        tokio::spawn(async move {
            loop {
                time::sleep(CRASH_CHECK_INTERVAL).await;
                crash_due(&fleet, &injector, &crashed_workers, start.elapsed());
            }
        })
    }
}

fn crash_due(
    fleet: &Fleet,
    injector: &SharedCrashInjector,
    crashed_workers: &CrashedWorkers,
    now: Duration,
) {
    let due: Vec<Incarnation> = {
        let injector = injector.lock();
        let due = injector.due_crashes.iter().filter(|(_, at)| **at <= now);
        due.map(|(id, _)| id.clone()).collect()
    };
    for id in due {
        let mut fleet = fleet.lock();
        let found = fleet
            .iter()
            .find(|(_, member)| member.server.worker.lock().incarnation == id);
        let Some(machine) = found.map(|(machine, _)| *machine) else {
            injector.lock().due_crashes.remove(&id);
            continue;
        };
        if let Some(member) = fleet.remove(&machine) {
            // Workers lock the injector while they hold their own state.
            let worker = member.server.worker.lock();
            let mut injector = injector.lock();
            injector.crashed += 1;
            injector.record_worker_loss(&worker);
            drop(injector);
            drop(worker);
            crashed_workers
                .lock()
                .push((id, machine, now + RESTART_DELAY));
        }
    }
}
