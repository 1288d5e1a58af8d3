//! Owners that follow each other within seconds, while a worker with a long run is gone.
//!
//! Each owner counted the leases of all earlier ones from its own beginning, although it had never
//! heard the worker and so had granted it none. The task ran nowhere until owners ceased to change.

use ashtiller::workflow::lease;
use ashtiller::workflow::tuning::LEASE_MAX;

use super::series::{Memory, Series, TURN};
use super::*;

/// Allowance for timers and for what later owners do not know: the age of owners is written each half
/// second, with the next entry.
const MARGIN: Duration = Duration::from_millis(2500);
/// Time before its last moment at which an owner grants a lease.
const BEFORE_THE_LAST_MOMENT: Duration = Duration::from_millis(10);

/// Returns the time after the beginning of the next owner by which the leases of an owner have ended.
fn full_wait() -> Duration {
    Tuning::default().horizon + lease::worst_case_elapsed(LEASE_MAX)
}

/// Returns a fleet with a long run on `w0`, and another worker.
fn open(births: bool) -> Fleet {
    let mut fleet = Fleet::new(births);
    fleet.run_for(EARLIER_LEASES);
    fleet.duration = 200 * SECOND;
    fleet.submit(vec![Step {
        long_running: true,
        ..step(1)
    }]);
    assert!(fleet.run_until(2 * SECOND, |it| it.runs_at("w0", 1)));
    fleet.run_for(SECOND);
    fleet.add_worker(1);
    fleet
}

fn remove_entry(fleet: &mut Fleet) -> ListedWorker {
    let entry = fleet.entries.remove("w0").unwrap();
    fleet.core.unlist_worker(&entry.incarnation, fleet.now);
    entry
}

fn assert_correct(fleet: &Fleet) {
    assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
}

/// Grants a lease to `w0` as the last owner that has reached it, which reads its clock first.
fn grant(fleet: &mut Fleet) {
    let now = fleet.now.at;
    let process = fleet.processes.get_mut("w0").unwrap();
    let (fence, worker) = (process.fence, &mut process.worker);
    let mut poll = Poll {
        until: None,
        ends_recorded: 0,
        wait: Duration::ZERO,
    };
    let PollReply::Report { clock, .. } = worker.poll(fence, &poll, now) else {
        panic!("no later owner has reached the worker");
    };
    let length = u64::try_from(LEASE_MAX.as_millis()).unwrap();
    poll.until = Some(clock + length);
    worker.poll(fence, &poll, now);
}

/// The worker is gone before the first change of owner; its entry stays, or lapses after a while.
fn gone_worker(births: bool, memory: Memory, lapses: bool) {
    let mut fleet = open(births);
    fleet.end("w0");
    if lapses {
        remove_entry(&mut fleet);
    }
    fleet.run_for(SECOND);
    let mut series = Series::new(fleet, memory);
    let limit = full_wait() + MARGIN;
    let started = series.replace_until(limit, |it| it.runs_at("w1", 2));
    assert!(started, "not started within {limit:?} of the first change");
    assert_correct(&series.fleet);
}

scenario!(
    a_task_of_a_lost_worker_runs_again_although_owners_follow_each_other,
    |births| gone_worker(births, Memory::Process, false)
);

scenario!(
    a_task_of_a_worker_whose_entry_has_lapsed_runs_again_although_owners_follow_each_other,
    |births| gone_worker(births, Memory::Process, true)
);

scenario!(
    a_task_of_a_lost_worker_runs_again_under_an_owner_whose_process_has_just_begun,
    |births| gone_worker(births, Memory::Log, false)
);

/// The owners after the first one do not reach the worker, which the first one does. It has lost the
/// store, and grants its last lease as late as it may.
fn last_moment(births: bool, memory: Memory) {
    let fleet = open(births);
    let mut series = Series::new(fleet, memory);
    series.fleet.cut_off = Some("w0".into());
    series.replace_owner();
    let ends = series.fleet.now.at + Tuning::default().horizon;
    for granted in [4 * SECOND, 8 * SECOND] {
        let left = ends.saturating_sub(Tuning::default().horizon) + granted;
        series
            .fleet
            .run_for(left.saturating_sub(series.fleet.now.at));
        grant(&mut series.fleet);
    }
    series.replace_owner();
    let left = ends.saturating_sub(series.fleet.now.at + BEFORE_THE_LAST_MOMENT);
    series.fleet.run_for(left);
    grant(&mut series.fleet);
    let started = series
        .fleet
        .run_until(full_wait(), |it| it.runs_at("w1", 2));
    assert!(started, "the last lease is over");
    assert_correct(&series.fleet);
}

scenario!(
    a_lease_of_the_first_owner_at_the_last_moment_ends_before_the_next_run,
    |births| last_moment(births, Memory::Process)
);

scenario!(
    a_lease_of_the_first_owner_at_the_last_moment_ends_before_the_next_run_of_a_new_process,
    |births| last_moment(births, Memory::Log)
);

/// The second owner does not reach the worker at first, and says so. Then it does, and later grants the
/// worker a lease at the last moment, when two later owners do not reach it.
fn heard_again(births: bool) {
    let fleet = open(births);
    let mut series = Series::new(fleet, Memory::Process);
    series.fleet.cut_off = Some("w0".into());
    series.replace_owner();
    series.fleet.run_for(3 * SECOND);
    series.fleet.cut_off = None;
    series.fleet.run_for(TURN.saturating_sub(3 * SECOND));
    series.fleet.cut_off = Some("w0".into());
    series.replace_owner();
    let ends = series.fleet.now.at + Tuning::default().horizon;
    series.fleet.run_for(5 * SECOND);
    grant(&mut series.fleet);
    series.fleet.run_for(3 * SECOND);
    series.replace_owner();
    let left = ends.saturating_sub(series.fleet.now.at + BEFORE_THE_LAST_MOMENT);
    series.fleet.run_for(left);
    grant(&mut series.fleet);
    let started = series
        .fleet
        .run_until(full_wait(), |it| it.runs_at("w1", 2));
    assert!(started, "the last lease is over");
    assert_correct(&series.fleet);
}

scenario!(
    a_lease_of_an_owner_that_heard_the_worker_again_ends_before_the_next_run,
    heard_again
);

/// The worker is cut off from two owners and reached by the third one, after its leases have ended. Its
/// own list decides then.
fn reached_after_its_leases(births: bool) {
    let fleet = open(births);
    let mut series = Series::new(fleet, Memory::Process);
    series.fleet.cut_off = Some("w0".into());
    for _ in 0..2 {
        series.replace_owner();
        series.run_turn(|_| false);
    }
    series.fleet.run_for(SECOND);
    assert!(!series.fleet.runs_at("w0", 1), "its lease is over");
    series.fleet.cut_off = None;
    series.replace_owner();
    let restarted = |it: &Fleet| it.runs_at("w0", 2) || it.runs_at("w1", 2);
    assert!(series.fleet.run_until(3 * SECOND, restarted));
    series.fleet.run_for(20 * SECOND);
    assert_correct(&series.fleet);
}

scenario!(
    a_worker_that_is_reached_again_tells_what_became_of_its_runs,
    reached_after_its_leases
);
