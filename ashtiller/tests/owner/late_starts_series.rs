//! Owners that follow each other within seconds, while a start of an earlier one may be carried out.
//!
//! An owner cannot tell when a start of an earlier owner was sent, so each one counted from its own
//! beginning how long it may be carried out. The task ran nowhere until owners ceased to change.

use ashtiller::workflow::record::End;
use ashtiller::workflow::relay::MAX_QUEUE_DELAY;

use super::*;

/// Time from one owner to the next.
pub(super) const TURN: Duration = Duration::from_millis(8500);
/// Time within which a long-running task runs again.
const AWAY_MAX: Duration = Duration::from_secs(9);
/// Time within which a former owner that was suspended finds that it was replaced.
const RESUMED_AFTER: Duration = Duration::from_secs(4);
/// Time for which the suspended first owner may send starts once a later one is known.
const LAST_SENDING: Duration = Duration::from_millis(1985);
/// Time from the beginning of the third owner until the worker is lost.
const LOST_AFTER: Duration = Duration::from_millis(1500);

/// What a new owner knows of the earlier ones.
#[derive(Clone, Copy, Eq, PartialEq)]
pub(super) enum Memory {
    /// The owners that its process has known, and for how long.
    Process,
    /// What the log says: its process has just begun.
    Log,
}

/// A fleet whose owners fall silent one after the other.
pub(super) struct Series {
    pub(super) fleet: Fleet,
    memory: Memory,
    /// Epochs of the owners, and when each began.
    pub(super) owners: Vec<(u64, Duration)>,
    /// Whether former owners answer after a while that they have ended.
    resumes: bool,
}

impl Series {
    pub(super) fn new(fleet: Fleet, memory: Memory) -> Self {
        let owners = vec![(fleet.epoch, fleet.now.at)];
        Self {
            fleet,
            memory,
            owners,
            resumes: false,
        }
    }

    /// Replaces an owner that has fallen silent.
    pub(super) fn replace_owner(&mut self) {
        let fleet = &mut self.fleet;
        let mut state = LogState::default();
        for entry in &fleet.log {
            let mut records: Vec<&LogRecord> = entry.iter().collect();
            records.sort_by_key(|record| record.section());
            for record in records {
                state.apply(record, fleet.now.at);
            }
        }
        // The state passes through a snapshot, as it does in most logs.
        let state = snapshot::decode(&snapshot::encode(&state).unwrap()).unwrap();
        fleet.revision += 1;
        fleet.epoch = fleet.revision;
        tracing::info!(epoch = fleet.epoch, "fleet: new owner");
        let position = fleet.log.len() as u64 + 1;
        fleet.core = Core::new(Tuning::default(), fleet.epoch, state, position, fleet.now);
        self.owners.push((fleet.epoch, fleet.now.at));
        let known = self
            .owners
            .iter()
            .filter(|(epoch, _)| self.memory == Memory::Process || *epoch == fleet.epoch);
        let known = known.map(|(epoch, at)| (*epoch, fleet.now.at.saturating_sub(*at)));
        fleet.core.set_known_owners(known.collect(), fleet.now);
        fleet.configure();
        let former: Vec<u64> = self.owners.iter().map(|(epoch, _)| *epoch).collect();
        let former = &former[..former.len() - 1];
        fleet.core.set_predecessors(former);
        let entries = fleet.entries.values().cloned().collect();
        fleet.core.list_all(entries, fleet.now);
    }

    /// Runs for the turn of one owner, or until a condition holds; returns whether it holds.
    pub(super) fn run_turn(&mut self, holds: impl Fn(&Fleet) -> bool) -> bool {
        if self.fleet.run_until(RESUMED_AFTER, &holds) {
            return true;
        }
        if self.resumes {
            let former = &self.owners[..self.owners.len() - 1];
            for (epoch, _) in former {
                self.fleet
                    .core
                    .note_predecessor_ended(*epoch, self.fleet.now);
            }
        }
        self.fleet
            .run_until(TURN.saturating_sub(RESUMED_AFTER), &holds)
    }

    /// Replaces owners until a condition holds, for at most `limit`; returns whether it holds.
    pub(super) fn replace_until(
        &mut self,
        limit: Duration,
        holds: impl Fn(&Fleet) -> bool,
    ) -> bool {
        let end = self.fleet.now.at + limit;
        while self.fleet.now.at < end {
            self.replace_owner();
            if self.run_turn(&holds) {
                return self.fleet.now.at <= end;
            }
        }
        false
    }
}

/// The first start is not answered, and the second one begins the run. The owner falls
/// silent, and two more after it. Then the run fails, and its end is told.
fn fails_in_doubt(births: bool, memory: Memory) {
    let mut fleet = Fleet::new(births);
    fleet.run_for(EARLIER_LEASES);
    fleet.failing = Some("w0".into());
    fleet.fates.push_back(Fate::Lost);
    fleet.duration = 13 * SECOND;
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(2 * SECOND, |it| it.sent.len() == 2));
    fleet.add_worker(1);
    let mut series = Series::new(fleet, memory);
    let failed = |fleet: &Fleet| {
        let mut records = fleet.log.iter().flatten();
        records.any(|it| matches!(it, LogRecord::Ended(_, End::Failed, _)))
    };
    assert!(
        series.replace_until(2 * TURN, failed),
        "the run should fail"
    );
    assert!(
        !series.fleet.runs_at("w1", 2),
        "a start may be carried out late"
    );
    let starts = |fleet: &Fleet| fleet.runs_at("w1", 2);
    let started =
        series.run_turn(starts) || series.replace_until(AWAY_MAX.saturating_sub(TURN), starts);
    assert!(started, "not started within {AWAY_MAX:?} of its end");
    assert!(
        series.fleet.violations.is_empty(),
        "{:?}",
        series.fleet.violations
    );
}

scenario!(
    a_failed_task_in_doubt_runs_again_although_owners_follow_each_other,
    |births| fails_in_doubt(births, Memory::Process)
);

scenario!(
    a_failed_task_in_doubt_runs_again_under_an_owner_whose_process_has_just_begun,
    |births| fails_in_doubt(births, Memory::Log)
);

/// The worker of an unanswered start is gone. Former owners answer 4 s after the next one began, and
/// each such answer counted as the moment of the start.
fn worker_is_gone(births: bool, memory: Memory) {
    let mut fleet = Fleet::new(births);
    fleet.run_for(EARLIER_LEASES);
    fleet.fates.push_back(Fate::Lost);
    fleet.duration = 60 * SECOND;
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(2 * SECOND, |it| it.sent.len() == 2));
    fleet.add_worker(1);
    let mut series = Series::new(fleet, memory);
    series.resumes = true;
    assert!(!series.replace_until(TURN, |_| false));
    series.replace_owner();
    series.fleet.run_for(LOST_AFTER);
    series.fleet.end("w0");
    let gone = series.fleet.entries.remove("w0").unwrap().incarnation;
    series.fleet.core.unlist_worker(&gone, series.fleet.now);
    let rest = TURN.saturating_sub(LOST_AFTER);
    series.fleet.run_for(rest);
    let left = AWAY_MAX.saturating_sub(rest);
    let started = series.replace_until(left, |it| it.runs_at("w1", 2));
    assert!(started, "not started within {AWAY_MAX:?} of the loss");
    assert!(
        series.fleet.violations.is_empty(),
        "{:?}",
        series.fleet.violations
    );
}

scenario!(
    a_task_of_a_lost_worker_in_doubt_runs_again_although_owners_follow_each_other,
    |births| worker_is_gone(births, Memory::Process)
);

scenario!(
    a_task_of_a_lost_worker_in_doubt_runs_again_under_an_owner_whose_process_has_just_begun,
    |births| worker_is_gone(births, Memory::Log)
);

/// The first owner goes on for a while after the start, and says that it sends no other one. The
/// worker is lost just before the only change of owner.
fn lost_long_after_the_start(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.run_for(EARLIER_LEASES);
    fleet.fates.push_back(Fate::Lost);
    fleet.duration = 60 * SECOND;
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(2 * SECOND, |it| it.sent.len() == 2));
    fleet.add_worker(1);
    fleet.run_for(10 * SECOND);
    let lost = fleet.now.at;
    fleet.end("w0");
    let gone = fleet.entries.remove("w0").unwrap().incarnation;
    fleet.core.unlist_worker(&gone, fleet.now);
    fleet.run_for(SECOND);
    let mut series = Series::new(fleet, Memory::Log);
    let former = series.fleet.epoch;
    series.replace_owner();
    let fleet = &mut series.fleet;
    fleet.core.note_predecessor_ended(former, fleet.now);
    let left = (lost + AWAY_MAX).saturating_sub(fleet.now.at);
    let started = fleet.run_until(left, |it| it.runs_at("w1", 2));
    assert!(started, "not started within {AWAY_MAX:?} of the loss");
    assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
}

scenario!(
    a_task_of_a_lost_worker_does_not_wait_for_a_start_that_its_owner_had_outlived,
    lost_long_after_the_start
);

/// How the worker of a start that arrives at the last moment is known by then.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Arrival {
    /// A listed process, which had answered before.
    Listed,
    /// A process that has just begun, and is listed later.
    New,
}

/// The first owner is suspended with a start that is due, and sends it as late as it may. Two more
/// owners fall silent meanwhile. The start is carried out as late as the platform allows.
fn last_moment(births: bool, memory: Memory, arrival: Arrival, workers: u16) {
    let mut fleet = Fleet::new(births);
    fleet.run_for(EARLIER_LEASES);
    fleet.fates.push_back(Fate::Held);
    fleet.duration = 60 * SECOND;
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(SECOND, |it| !it.held.is_empty()));
    let (_, target, order) = fleet.held.pop().unwrap();
    fleet.drain("w0");
    assert!(fleet.run_until(2 * SECOND, Fleet::is_idle));
    (1..workers).for_each(|number| fleet.add_worker(number));
    if arrival == Arrival::New {
        fleet.end("w0");
        let gone = fleet.entries["w0"].incarnation.clone();
        fleet.core.unlist_worker(&gone, fleet.now);
    }
    let entry = fleet.entries["w0"].clone();
    if arrival == Arrival::New {
        fleet.entries.remove("w0");
    }
    let mut series = Series::new(fleet, memory);
    series.replace_owner();
    let queued = if workers > 100 {
        MAX_QUEUE_DELAY
    } else {
        Duration::ZERO
    };
    let arrives = series.fleet.now.at + LAST_SENDING + queued + LATE_MAX;
    series.run_turn(|_| false);
    series.replace_owner();
    let left = arrives.saturating_sub(series.fleet.now.at + 50 * MS);
    series.fleet.run_for(left);
    let fleet = &mut series.fleet;
    fleet.entries.insert("w0".into(), entry);
    if arrival == Arrival::Listed {
        fleet.end("w0");
    }
    fleet.begin("w0");
    fleet.run_for(arrives.saturating_sub(fleet.now.at));
    fleet.deliver(&target, &order);
    let runs = fleet.processes["w0"].worker.runs.len();
    assert_eq!(runs, 1, "no fence or stop is known there");
    if arrival == Arrival::New {
        fleet.run_for(2800 * MS);
    }
    fleet.relist("w0");
    fleet.run_for(20 * SECOND);
    assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
    assert_eq!(
        fleet
            .processes
            .values()
            .map(|it| it.worker.runs.len())
            .sum::<usize>(),
        1
    );
}

/// A later owner's list shows the run, so it records that no start is in flight. The suspended one knows
/// nothing of that, and sends another start.
fn sent_after_it_was_ruled_out(births: bool, memory: Memory) {
    let mut fleet = Fleet::new(births);
    fleet.run_for(EARLIER_LEASES);
    fleet.fates.extend([Fate::Lost, Fate::Held]);
    fleet.duration = 60 * SECOND;
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(2 * SECOND, |it| !it.held.is_empty()));
    let (_, target, order) = fleet.held.pop().unwrap();
    fleet.deliver(&target, &order);
    fleet.add_worker(1);
    let mut series = Series::new(fleet, memory);
    series.replace_owner();
    let arrives = series.fleet.now.at + LAST_SENDING + LATE_MAX;
    series.run_turn(|_| false);
    series.fleet.end("w0");
    let entry = series.fleet.entries.remove("w0").unwrap();
    let fleet = &mut series.fleet;
    fleet.core.unlist_worker(&entry.incarnation, fleet.now);
    series.replace_owner();
    let fleet = &mut series.fleet;
    for (epoch, _) in &series.owners[..2] {
        fleet.core.note_predecessor_ended(*epoch, fleet.now);
    }
    fleet.run_for(arrives.saturating_sub(fleet.now.at + 50 * MS));
    fleet.entries.insert("w0".into(), entry);
    fleet.begin("w0");
    fleet.run_for(arrives.saturating_sub(fleet.now.at));
    fleet.deliver(&target, &order);
    fleet.run_for(2800 * MS);
    fleet.relist("w0");
    fleet.run_for(20 * SECOND);
    assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
}

scenario!(
    a_start_that_a_later_owner_had_ruled_out_runs_beside_no_other,
    |births| sent_after_it_was_ruled_out(births, Memory::Process)
);

scenario!(
    a_start_at_the_last_moment_at_a_listed_worker_runs_beside_no_other,
    |births| last_moment(births, Memory::Process, Arrival::Listed, 2)
);

scenario!(
    a_start_at_the_last_moment_at_a_new_process_runs_beside_no_other,
    |births| last_moment(births, Memory::Log, Arrival::New, 2)
);

scenario!(
    a_start_at_the_last_moment_that_waited_for_its_relay_runs_beside_no_other,
    |births| last_moment(births, Memory::Process, Arrival::New, 130)
);
