//! Workers that are lost for good, and owners that end unnoticed, stand still or lose the store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::{Event, MS, Simulation};

/// Time for which an entry outlasts the last heartbeat of its worker: three heartbeats.
const ENTRY_TTL: u64 = 3300;
/// Time between two heartbeats of a worker.
const HEARTBEAT: u64 = 1100;
/// Number of the first worker that joins; the ids of all others are lower.
const FIRST_JOINED: u32 = 20_000;
/// Longest time between a loss of workers and a change of owner.
const LOSS_LEAD_MAX: u64 = 6000;
/// Time without faults after the last event of a round. A task whose start is in doubt waits for
/// 16 s.
const ROUND_TAIL: u64 = 21_000;

/// How a worker is lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// Its machine vanishes: calls get no answer.
    Vanished,
    /// Its process ends: connections are refused.
    Refusing,
    /// It continues, but nothing reaches it, and its runs end with its lease.
    CutOff,
}

/// How an owner ends.
#[derive(Clone, Copy, Debug)]
pub(super) enum OwnerEnd {
    /// Its process ends, which its successors learn at once.
    Killed,
    /// Its machine ends and cannot be asked for this time.
    Dark(Duration),
    /// It stands still for this time, then continues until it learns of its successor.
    Paused(Duration),
}

/// An event of a round.
#[derive(Clone, Copy, Debug)]
pub(super) enum Action {
    Lose {
        workers: u32,
    },
    EndOwner(OwnerEnd),
    /// A new owner begins; the store carries out its writes only after this time.
    TakeOver(Duration),
    /// A client submits a short job.
    Submit,
}

/// Outages of one owner.
#[derive(Clone, Copy, Default)]
struct OwnerOutage {
    /// Time from which its machine can be asked whether it has ended.
    askable: Duration,
    /// Time at which it continues after a pause.
    resumes: Duration,
    /// Time from which the store carries out its writes.
    writable: Duration,
}

/// Outages of workers and owners.
#[derive(Default)]
pub struct Outages {
    /// Lost workers whose addresses do not refuse connections.
    silent: BTreeSet<Arc<str>>,
    /// Lost workers that continue for themselves.
    cut_off: BTreeSet<Arc<str>>,
    owners: BTreeMap<usize, OwnerOutage>,
    /// Time of the last loss of a worker or end of an owner.
    last_fault: Duration,
    joined: u32,
    proofs_withheld: bool,
}

impl Outages {
    /// Returns whether owners are never told that earlier ones have ended.
    pub fn withholds_proofs(&self) -> bool {
        self.proofs_withheld
    }

    /// Returns whether connections to a lost worker time out instead of being refused.
    pub fn is_silent(&self, id: &Arc<str>) -> bool {
        self.silent.contains(id)
    }

    /// Sets whether connections to a worker time out while it has no process.
    pub fn set_silent(&mut self, id: &Arc<str>, silent: bool) {
        if silent {
            self.silent.insert(id.clone());
        } else {
            self.silent.remove(id);
        }
    }

    /// Records the time of a loss of workers.
    pub fn note_fault(&mut self, now: Duration) {
        self.last_fault = now;
    }

    /// Returns whether a worker is lost although it continues for itself.
    pub fn is_cut_off(&self, id: &str) -> bool {
        self.cut_off.contains(id)
    }

    fn owner(&self, index: usize) -> OwnerOutage {
        self.owners.get(&index).copied().unwrap_or_default()
    }

    /// Returns whether the machine of an ended owner cannot be asked.
    pub fn is_dark(&self, index: usize, now: Duration) -> bool {
        now < self.owner(index).askable
    }

    pub fn is_paused(&self, index: usize, now: Duration) -> bool {
        now < self.owner(index).resumes
    }

    /// Returns the time for which the store carries out no writes of an owner.
    pub fn store_wait(&self, index: usize, now: Duration) -> Duration {
        self.owner(index).writable.saturating_sub(now)
    }

    /// Returns how long an answer to an owner waits until that continues, if it is paused.
    pub(super) fn pause_before(&self, event: &Event, now: Duration) -> Option<Duration> {
        let (Event::Durable(index, ..)
        | Event::OrderAnswered(index, ..)
        | Event::MachinesListed(index, ..)
        | Event::PollAnswered(index, ..)) = event
        else {
            return None;
        };
        let left = self.owner(*index).resumes.checked_sub(now)?;
        (!left.is_zero()).then_some(left)
    }
}

impl Simulation {
    /// Never tells owners that earlier ones have ended, to verify that the checks notice.
    pub fn withhold_proofs(&mut self) {
        self.outages.proofs_withheld = true;
    }

    /// Lets the newest owner lose the store for this time. It goes on, and cannot be asked.
    pub fn lose_store(&mut self, span: Duration) {
        let outage = self.outages.owners.entry(self.newest).or_default();
        outage.writable = self.now + span;
    }

    /// Returns whether an owner has ended and its successors can know it.
    pub fn is_known_to_have_ended(&self, index: usize) -> bool {
        self.owners[index].is_none() && !self.outages.is_dark(index, self.now)
    }

    /// Records the time if a fault is active: there is no owner, the store does not answer the
    /// newest one, an earlier one is not known to have ended, or one does not reach a worker.
    pub fn note_active_faults(&mut self) {
        let (newest, now) = (self.newest, self.now);
        let unproved = (0..newest).any(|index| !self.is_known_to_have_ended(index));
        let stalled = !self.outages.store_wait(newest, now).is_zero();
        let is_cut = self.partitions.is_active(now);
        if unproved || stalled || is_cut || self.owners[newest].is_none() {
            self.outages.last_fault = now;
        }
    }

    /// Returns the time since the last fault.
    pub fn calm_time(&self) -> Duration {
        self.now.saturating_sub(self.outages.last_fault)
    }

    /// Adds a worker on a new machine.
    pub fn join_worker(&mut self) {
        let id = format!("w{}", FIRST_JOINED + self.outages.joined);
        self.outages.joined += 1;
        self.add_worker(&id, &format!("m-{id}").into());
    }

    /// Loses a worker for good. Its entry lapses, and another worker joins later.
    fn lose_worker(&mut self, id: &Arc<str>, loss: Loss, rng: &mut Pcg64) {
        tracing::trace!(worker = %id, ?loss, "simulation: worker is lost");
        self.outages.last_fault = self.now;
        match loss {
            Loss::Vanished => {
                self.end_incarnation(id);
                self.outages.silent.insert(id.clone());
            }
            Loss::Refusing => {
                self.end_incarnation(id);
            }
            Loss::CutOff => {
                self.unreachable.insert(id.clone());
                self.outages.cut_off.insert(id.clone());
            }
        }
        match loss {
            Loss::Vanished => self.platform.lose(&self.machines[id]),
            Loss::Refusing => self.platform.remove(&self.machines[id]),
            Loss::CutOff => {}
        }
        let lapse = millis(rng, ENTRY_TTL - HEARTBEAT, ENTRY_TTL);
        self.schedule(lapse, Event::EntryLapses(id.clone()));
        self.schedule(millis(rng, 4000, 14_000), Event::WorkerJoins);
    }

    fn lose_workers(&mut self, count: u32, rng: &mut Pcg64) {
        let alive = self.workers.keys();
        let mut alive: Vec<Arc<str>> = alive
            .filter(|id| !self.outages.is_cut_off(id))
            .cloned()
            .collect();
        for _ in 0..count {
            let id = alive.swap_remove(rng.random_range(0..alive.len()));
            let loss = [Loss::Vanished, Loss::Refusing, Loss::CutOff][rng.random_range(0..3)];
            self.lose_worker(&id, loss, rng);
        }
    }

    fn end_owner(&mut self, end: OwnerEnd) {
        tracing::trace!(epoch = self.epoch, ?end, "simulation: owner ends");
        let (newest, now) = (self.newest, self.now);
        self.outages.last_fault = now;
        let outage = self.outages.owners.entry(newest).or_default();
        match end {
            OwnerEnd::Killed => self.kill_owner(),
            OwnerEnd::Dark(span) => {
                outage.askable = now + span;
                self.kill_owner();
            }
            OwnerEnd::Paused(span) => outage.resumes = now + span,
        }
    }

    pub(super) fn perform_action(
        &mut self,
        action: Action,
        rng: &mut Pcg64,
        submit: &mut dyn FnMut(&mut Self),
    ) {
        match action {
            Action::Lose { workers } => self.lose_workers(workers, rng),
            Action::EndOwner(end) => self.end_owner(end),
            Action::TakeOver(store) => {
                self.take_over();
                self.outages.last_fault = self.now;
                let outage = self.outages.owners.entry(self.newest).or_default();
                outage.writable = self.now + store;
                self.resend();
            }
            Action::Submit => submit(self),
        }
    }

    /// Plays a loss of workers near a change of owner, or near some changes in series, and the time
    /// after it. `submit` submits a short job.
    pub fn run_outage(&mut self, rng: &mut Pcg64, submit: &mut dyn FnMut(&mut Self)) {
        let begin = self.now;
        for (after, action) in plan_round(rng) {
            let left = (begin + after).saturating_sub(self.now);
            self.run(left, false);
            if !self.violations.is_empty() {
                return;
            }
            self.perform_action(action, rng, submit);
        }
        self.run(MS * u32::try_from(ROUND_TAIL).unwrap(), false);
    }
}

/// Returns the generator of a seed's outages, which is independent of all other draws.
pub fn generator(seed: u64) -> Pcg64 {
    Pcg64::seed_from_u64(seed.rotate_left(32) ^ 0x6f75_7461_6765_7321)
}

pub(super) fn millis(rng: &mut Pcg64, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.random_range(from..=to))
}

/// Draws the actions of a round, with the time of each since its begin.
fn plan_round(rng: &mut Pcg64) -> Vec<(Duration, Action)> {
    let change = millis(rng, 7000, 9000);
    let mut actions = plan_owners(change, rng);
    let lead = millis(rng, 0, 2 * LOSS_LEAD_MAX);
    let loss = (change + lead).saturating_sub(Duration::from_millis(LOSS_LEAD_MAX));
    let again = rng.random_range(0..4) == 0;
    let workers = rng.random_range(1..=if again { 2 } else { 3 });
    actions.push((loss, Action::Lose { workers }));
    if again {
        // Tasks of the first workers start elsewhere by then, some on a worker that is lost now.
        let later = loss + millis(rng, 5500, 7500);
        actions.push((later, Action::Lose { workers: 1 }));
    }
    let last = actions.iter().map(|(at, _)| *at).max().unwrap_or(loss);
    let mut submission = Duration::ZERO;
    while submission < last {
        actions.push((submission, Action::Submit));
        submission += Duration::from_secs(1);
    }
    actions.sort_by_key(|(at, _)| *at);
    actions
}

/// Draws one change of owner, or two to four within 4 s.
pub(super) fn plan_owners(first: Duration, rng: &mut Pcg64) -> Vec<(Duration, Action)> {
    let changes = if rng.random_range(0..2) == 0 {
        1
    } else {
        rng.random_range(2..=4)
    };
    let mut actions = Vec::new();
    let mut at = first;
    for _ in 0..changes {
        let end = match rng.random_range(0..10) {
            0..4 => OwnerEnd::Killed,
            4..7 => OwnerEnd::Dark(millis(rng, 2000, 8000)),
            7 => OwnerEnd::Paused(Duration::ZERO),
            _ => OwnerEnd::Paused(millis(rng, 200, 6000)),
        };
        actions.push((at, Action::EndOwner(end)));
        at += millis(rng, 0, 400);
        // Some owners are replaced before an entry of theirs is durable.
        let store = if rng.random_range(0..4) == 0 {
            millis(rng, 100, 1200)
        } else {
            Duration::ZERO
        };
        actions.push((at, Action::TakeOver(store)));
        at += if rng.random_range(0..3) == 0 {
            millis(rng, 1, 20)
        } else {
            millis(rng, 20, 900)
        };
    }
    actions
}
