//! Workers that crash under jobs, rooms that change and entries of other writers, drawn
//! apart from all else so that seeds without them play as before.

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

/// Keeps these draws apart from those of the other faults.
const SALT: u64 = 0x7368_616b;
/// Time between a crash and the worker's next life.
const BACK: Duration = Duration::from_millis(2800);
/// Time between two looks for workers that are to crash.
const LOOK: Duration = Duration::from_millis(5);
/// One job in so many is bad, and one step in so many changes a room or writes an entry.
const BAD: u32 = 12;
const ROOMS: u32 = 8;
const ALIENS: u32 = 6;
/// Times from a bad task's start to the crash, in milliseconds.
const DELAYS: [u64; 3] = [10, 60, 90];
/// What other writers put among the workers' entries.
const JUNK: [&str; 5] = [
    "",
    "\u{0}\u{1}not json",
    r#"{"service":"fleet"}"#,
    r#"{"service":7,"address":"127.0.0.1:1","zone":"bern","state":"ready"}"#,
    r#"{"service":"fleet","address":"127.0.0.1:1","zone":"bern","state":"warming","capacity":{"cpu":8000,"mem_mb":16384,"gpu":0}}"#,
];

/// Workers that crashed, with their machine and when they come back.
pub type Gone = Arc<parking_lot::Mutex<Vec<(Incarnation, usize, Duration)>>>;

/// What is drawn here.
pub struct Draws(Pcg64);

impl Draws {
    /// The draws of a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(Pcg64::seed_from_u64(seed ^ SALT))
    }

    fn one_in(&mut self, count: u32) -> bool {
        self.0.random_range(0..count) == 0
    }
}

impl World {
    /// Spoils a job that is about to be handed in, now and then.
    pub fn spoil_job(&mut self, id: &Arc<str>) {
        let Some(draws) = &mut self.shaky else {
            return;
        };
        if draws.one_in(BAD) {
            let delay = DELAYS[draws.0.random_range(0..DELAYS.len())];
            let mut troubles = self.troubles.lock();
            troubles.crash_first_task(id.clone(), Duration::from_millis(delay));
            drop(troubles);
            self.note(&format!("{id} crashes its workers after {delay} ms"));
        }
    }

    /// Rooms change and entries appear, now and then.
    pub fn shake(&mut self) {
        let Some(mut draws) = self.shaky.take() else {
            return;
        };
        if draws.one_in(ROOMS) {
            let (worker, share) = (
                draws.0.random_range(0..self.plan.workers),
                draws.0.random_range(1..=4u64),
            );
            self.change_room(worker, share);
        }
        if draws.one_in(ALIENS) {
            let number = draws.0.random_range(0..8u32);
            let worker = draws.0.random_range(0..self.plan.workers);
            let kind = draws.0.random_range(0..=JUNK.len());
            self.write_alien(number, worker, JUNK.get(kind).copied());
        }
        self.shaky = Some(draws);
    }

    /// A worker has so many quarters of its room.
    fn change_room(&mut self, worker: usize, quarters: u64) {
        let now = self.now();
        let whole = crate::world::room();
        let room = Resources {
            processors: whole.processors * quarters / 4,
            memory: whole.memory * quarters / 4,
            ..whole
        };
        if let Some(member) = self.checks.fleet.lock().get(&worker) {
            let mut state = member.agent.worker.lock();
            state.capacity = room;
            state.capacity_changed_at = Some(now);
            let (life, leaves) = (state.incarnation.clone(), member.drained.is_some());
            drop(state);
            let store = &self.checks.store;
            store.put_worker(&life, worker, member.link.address, leaves, &room);
        }
        self.note(&format!(
            "worker {worker} has {quarters} quarters of its room"
        ));
    }

    /// Another writer puts something among the workers' entries: junk, or an id of its own with
    /// the machine and the address of a worker.
    fn write_alien(&mut self, number: u32, worker: usize, junk: Option<&str>) {
        let id = format!("alien-{number}");
        let store = &self.checks.store;
        if let Some(junk) = junk {
            store.put_malformed_worker(&id, junk.as_bytes());
        } else if let Some(member) = self.checks.fleet.lock().get(&worker) {
            let address = member.link.address;
            store.put_worker(
                &Incarnation::new(&id, None),
                worker,
                address,
                false,
                &crate::world::room(),
            );
        }
        self.note(&format!("{id} is written, at worker {worker}: {junk:?}"));
    }

    /// Workers that crashed come back.
    ///
    /// # Errors
    /// A worker cannot be started.
    pub async fn bring_back(&mut self) -> anyhow::Result<()> {
        let now = self.now();
        let due: Vec<(Incarnation, usize, Duration)> = {
            let mut gone = self.gone.lock();
            let (due, rest) = gone.drain(..).partition(|(_, _, back)| *back <= now);
            *gone = rest;
            due
        };
        for (life, machine, _) in due {
            let there = self.checks.fleet.lock().contains_key(&machine);
            if !there && machine.is_multiple_of(2) {
                // Its entry is there until the next life has written its own.
                self.begin_life(machine, life.id()).await?;
                self.note(&format!("{life} has started again under its id"));
                continue;
            }
            self.checks.store.remove_worker(life.id());
            if !there {
                self.add_worker(machine).await?;
            }
        }
        Ok(())
    }

    /// Ends workers when they are to crash, until the handle is aborted.
    #[must_use]
    pub fn spawn_crashes(&self) -> JoinHandle<()> {
        let (fleet, troubles) = (self.checks.fleet.clone(), self.troubles.clone());
        let (gone, start) = (self.gone.clone(), self.checks.start);
        tokio::spawn(async move {
            loop {
                time::sleep(LOOK).await;
                crash_due(&fleet, &troubles, &gone, start.elapsed());
            }
        })
    }
}

fn crash_due(fleet: &Fleet, troubles: &SharedCrashInjector, gone: &Gone, now: Duration) {
    let due: Vec<Incarnation> = {
        let troubles = troubles.lock();
        let due = troubles.due_crashes.iter().filter(|(_, at)| **at <= now);
        due.map(|(id, _)| id.clone()).collect()
    };
    for id in due {
        let mut fleet = fleet.lock();
        let found = fleet
            .iter()
            .find(|(_, member)| member.agent.worker.lock().incarnation == id);
        let Some(machine) = found.map(|(machine, _)| *machine) else {
            troubles.lock().due_crashes.remove(&id);
            continue;
        };
        if let Some(member) = fleet.remove(&machine) {
            let mut troubles = troubles.lock();
            troubles.crashed += 1;
            troubles.record_worker_loss(&member.agent.worker.lock());
            drop(troubles);
            gone.lock().push((id, machine, now + BACK));
        }
    }
}
