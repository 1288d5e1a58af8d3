//! Workers that are lost together, by a cause outside of them, and the tasks that ran there.
//!
//! All workers of an availability zone crashed at once and came back under their ids, and were cut
//! off soon after. After two such losses each task of the zone was suspected of crashing its
//! workers, and waited to be tried in isolation. Trials shut a quarter of the fleet, and long-running
//! tasks ran nowhere for up to 38 s.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ashtiller::failure::Failure;
use ashtiller::workflow::agents::PollReply;
use ashtiller::workflow::blame::LostRun;
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::Step;
use ashtiller::workflow::record::{End, LogRecord, Run, Task};

use crate::driver::{Driver, MS, job, listed, policy, step};

/// Workers in the zone that is lost.
const LOST_ZONE: std::ops::Range<u16> = 8..12;
/// Workers in all.
const WORKERS: u16 = 12;
/// Time within which a long-running task has to run again once there is capacity for it.
const RESTART_MAX: Duration = Duration::from_secs(3);
/// Partition that outlasts every lease.
const PARTITION: Duration = Duration::from_secs(8);

fn long_running(count: u32) -> Step {
    Step {
        long_running: true,
        ..step(count)
    }
}

fn started_at(number: u16, at: u64) -> ListedWorker {
    let zone = if LOST_ZONE.contains(&number) {
        "olten"
    } else {
        "bern"
    };
    ListedWorker {
        incarnation: Incarnation::new(&format!("w{number}"), Some(at)),
        zone: zone.into(),
        ..listed(number)
    }
}

/// Creates a fleet in which only the zone that is lost has room for what ran there.
fn full_fleet() -> Driver {
    let mut driver = Driver::new(0, policy());
    let fleet = (0..WORKERS).map(|number| started_at(number, 1000));
    driver.core.list_all(fleet.collect(), driver.now);
    driver.run_for(100 * MS);
    for number in 0..4 {
        driver.submit(job(&format!("{number}"), vec![long_running(11)]));
    }
    driver.run_for(Duration::from_secs(3));
    assert_eq!(waiting(&driver), 0);
    driver
}

/// Returns the number of long-running tasks without a run.
fn waiting(driver: &Driver) -> u32 {
    let [(_, long_running), _] = driver.core.summarize_waits(driver.now);
    long_running.tasks
}

/// Ends the processes of the workers `lost`, which start again under their ids.
fn restart(driver: &mut Driver, lost: std::ops::Range<u16>, from: u64) {
    for number in lost {
        let next = started_at(number, from + 1);
        let former = started_at(number, from).incarnation;
        driver.restarted.insert(former, next.incarnation.clone());
        driver.core.list_worker(next, driver.now);
    }
}

/// Cuts the zone off for longer than its leases last.
fn cut_off_zone(driver: &mut Driver) {
    let zone = LOST_ZONE.map(|number| started_at(number, 1000).incarnation);
    driver.unreachable = zone.collect();
    driver.run_for(PARTITION);
    driver.unreachable.clear();
}

/// Returns the weight of the crashes against each task.
fn weights(driver: &Driver) -> BTreeMap<Task, u32> {
    let suspects = driver.core.log_state().suspects().iter();
    suspects
        .map(|(task, suspect)| (*task, suspect.weight))
        .collect()
}

/// Asserts that no task has to wait for a trial.
fn assert_no_strong_suspect(driver: &Driver) {
    let suspects = driver.core.log_state().suspects();
    let strong: Vec<_> = suspects
        .iter()
        .filter(|(_, suspect)| suspect.is_strong())
        .collect();
    assert!(strong.is_empty(), "{strong:?}");
}

#[test]
fn long_running_tasks_run_again_after_their_zone_has_crashed_twice() {
    let mut driver = full_fleet();
    restart(&mut driver, LOST_ZONE, 1000);
    driver.run_for(Duration::from_secs(6));
    assert_eq!(waiting(&driver), 0, "after the first loss");
    restart(&mut driver, LOST_ZONE, 1001);
    driver.run_for(RESTART_MAX);
    assert_eq!(waiting(&driver), 0, "after the second loss");
}

/// The second partition begins before runs on the zone's workers could clear their tasks.
#[test]
fn long_running_tasks_run_again_after_their_zone_was_cut_off_twice() {
    let mut driver = full_fleet();
    cut_off_zone(&mut driver);
    driver.run_for(700 * MS);
    assert_eq!(waiting(&driver), 0, "after the first loss");
    cut_off_zone(&mut driver);
    driver.run_for(RESTART_MAX);
    assert_eq!(waiting(&driver), 0, "after the second loss");
}

/// The workers were only out of reach, so nothing on them had crashed them.
#[test]
fn workers_that_answer_again_clear_the_tasks_that_were_lost_with_their_leases() {
    let mut driver = full_fleet();
    cut_off_zone(&mut driver);
    assert!(driver.core.counts().lost > 0, "leases have expired");
    // Silent workers are polled each 700 ms.
    driver.run_for(900 * MS);
    let suspects = driver.core.log_state().suspects();
    assert!(suspects.is_empty(), "{suspects:?}");
}

/// The owner hears of the first worker's restart while its polls of the others are in flight.
#[test]
fn tasks_of_the_first_worker_found_lost_need_no_trial_once_its_zone_is_known_to_be_lost() {
    let mut driver = full_fleet();
    driver.long_polls = true;
    driver.run_for(500 * MS);
    for number in LOST_ZONE {
        let former = started_at(number, 1000).incarnation;
        let next = PollReply::OtherIncarnation(Some(started_at(number, 1001).incarnation));
        driver.core.handle_poll_reply(&former, Ok(next), driver.now);
        driver.run_for(300 * MS);
    }
    assert_eq!(driver.core.counts().crashes, 4);
    assert_no_strong_suspect(&driver);
}

/// Of the workers that are lost later, one has last answered before that crash, the others after it.
#[test]
fn a_crash_shortly_before_the_loss_of_a_zone_counts_against_its_tasks() {
    let mut driver = full_fleet();
    driver.long_polls = true;
    driver.run_for(500 * MS);
    let first = started_at(LOST_ZONE.start, 1000).incarnation;
    let broken = Failure::unknown_effect("look", &first, "connection closed");
    driver
        .core
        .handle_poll_reply(&first, Err(broken), driver.now);
    let next = started_at(LOST_ZONE.start, 1001).incarnation;
    driver.restarted.insert(first, next);
    driver.run_for(200 * MS);
    for number in LOST_ZONE.start + 2..LOST_ZONE.end {
        let answering = started_at(number, 1000).incarnation;
        driver.report(&answering, Vec::new(), Vec::new());
    }
    driver.run_for(200 * MS);
    let before = weights(&driver);
    assert!(!before.is_empty(), "the crash is recorded");
    for number in (LOST_ZONE.start + 1..LOST_ZONE.end).rev() {
        let former = started_at(number, 1000).incarnation;
        let next = PollReply::OtherIncarnation(Some(started_at(number, 1001).incarnation));
        driver.core.handle_poll_reply(&former, Ok(next), driver.now);
    }
    assert_eq!(driver.core.counts().crashes, 4);
    let after = weights(&driver);
    for (task, weight) in before {
        assert!(after[&task] >= weight, "{task}: {after:?}");
    }
}

/// Returns the records of long-running tasks that are strongly suspected and have no run.
fn strong_suspects(count: u16) -> Vec<LogRecord> {
    let runs = (0..count).map(|index| Run {
        task: Task {
            job: 0,
            occurrence: 0,
            step: 0,
            index,
        },
        number: 1,
    });
    let runs: Vec<Run> = runs.collect();
    let lost_runs = runs.iter().map(|run| LostRun {
        run: *run,
        age: 8000,
        weight: 2,
        begun: true,
    });
    let suspects = job("suspects", vec![long_running(count.into())]);
    let mut records = vec![LogRecord::Accepted(Box::new(suspects), policy(), 1_000_000)];
    let placed = |run: &Run| LogRecord::Placed(*run, "w9".into(), "".into());
    records.extend(runs.iter().map(placed));
    records.push(LogRecord::Crashed("w9".into(), lost_runs.collect()));
    let ended = |run: &Run| LogRecord::Ended(*run, End::Lost, "".into());
    records.extend(runs.iter().map(ended));
    records
}

/// A worker on which a suspect is tried has the only free capacity.
#[test]
fn a_long_running_task_does_not_wait_for_the_end_of_a_trial() {
    let mut driver = Driver::replay(&strong_suspects(1), 1, policy());
    driver.run_for(200 * MS);
    assert_eq!(driver.starts().len(), 1, "the suspect is on trial");
    driver.submit(job("plain", vec![long_running(2)]));
    driver.run_for(RESTART_MAX);
    let starts = driver.starts();
    let plain = starts.iter().filter(|(_, run)| run.task.job == 1).count();
    assert_eq!(plain, 2, "{starts:?}");
}

/// Suspects that are tried one after the other on the only worker would wait for 13 s.
#[test]
fn suspected_long_running_tasks_run_in_time_although_trials_are_limited() {
    let mut driver = Driver::replay(&strong_suspects(4), 1, policy());
    driver.run_for(Duration::from_secs(8));
    let started: BTreeSet<Task> = driver.starts().iter().map(|(_, run)| run.task).collect();
    assert_eq!(started.len(), 4, "{started:?}");
}
