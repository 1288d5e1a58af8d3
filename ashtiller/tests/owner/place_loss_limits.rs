//! Limits of what the loss of a place explains: tasks that crash their workers late or together stay
//! bounded, and what is taken back is the same after a replay and costs little.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ashtiller::workflow::agents::PollReply;
use ashtiller::workflow::blame::LostRun;
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::Step;
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::record::{End, LogRecord, Run, Task};
use nix::time::{ClockId, clock_gettime};

use crate::driver::{Driver, MS, job, listed, policy, step};

/// Largest number of starts of a task that crashes its workers.
const STARTS_MAX: usize = 5;

fn started_at(number: u16, at: u64) -> ListedWorker {
    ListedWorker {
        incarnation: Incarnation::new(&format!("w{number}"), Some(at)),
        ..listed(number)
    }
}

fn large(count: u32) -> Step {
    let mut large = step(count);
    large.needs.processors = 3000;
    large.estimate = Duration::from_secs(5);
    large
}

/// Each start ends its worker after `age`; the worker is back a second later. Returns the
/// highest number of starts of one task within a minute.
fn most_starts(workers: u16, jobs: u16, count: u32, age: Duration) -> usize {
    let mut driver = Driver::new(0, policy());
    let fleet = (0..workers).map(|number| started_at(number, 1000));
    driver.core.list_all(fleet.collect(), driver.now);
    driver.run_for(500 * MS);
    for number in 0..jobs {
        driver.submit(job(&format!("bad{number}"), vec![large(count)]));
    }
    let mut seen = 0;
    let mut back: Vec<(Duration, Incarnation)> = Vec::new();
    let mut due: Vec<(Duration, Incarnation)> = Vec::new();
    let end = driver.now.at + Duration::from_mins(1);
    while driver.now.at < end {
        driver.run_for(5 * MS);
        let starts = driver.starts();
        for (id, _) in &starts[seen..] {
            due.push((driver.now.at + age, id.clone()));
        }
        seen = starts.len();
        let (now, later): (Vec<_>, Vec<_>) =
            due.into_iter().partition(|(at, _)| *at <= driver.now.at);
        due = later;
        for (_, former) in now {
            if driver.crashed.insert(former.clone()) {
                driver.running.retain(|(at, _)| *at != former);
                back.push((driver.now.at + Duration::from_secs(1), former));
            }
        }
        let (now, later): (Vec<_>, Vec<_>) =
            back.into_iter().partition(|(at, _)| *at <= driver.now.at);
        back = later;
        for (_, former) in now {
            let number: u16 = former.id()[1..].parse().unwrap();
            let next = started_at(number, former.born().unwrap() + 1);
            driver.restarted.insert(former, next.incarnation.clone());
            driver.core.list_worker(next, driver.now);
        }
    }
    let mut counts: BTreeMap<Task, usize> = BTreeMap::new();
    for (_, run) in driver.starts() {
        *counts.entry(run.task).or_default() += 1;
    }
    counts.values().copied().max().unwrap_or(0)
}

#[test]
fn tasks_that_crash_small_fleets_together_are_not_started_without_end() {
    for workers in [4, 6] {
        let starts = most_starts(workers, 3, 1, 100 * MS);
        assert!(starts <= STARTS_MAX, "{starts} on {workers} workers");
    }
}

#[test]
fn tasks_that_crash_their_workers_together_are_not_started_without_end() {
    let late = Duration::from_millis(1500);
    for (jobs, count, age) in [(1, 5, late), (5, 1, late), (5, 1, 100 * MS)] {
        let starts = most_starts(40, jobs, count, age);
        assert!(starts <= STARTS_MAX, "{starts} of {jobs} jobs, {age:?}");
    }
}

fn lost(number: u32, weight: u32) -> LostRun {
    let task = Task {
        job: 0,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    LostRun {
        run: Run { task, number },
        age: 10,
        weight,
        begun: weight > 0,
    }
}

#[test]
fn a_replay_takes_back_the_same_losses_as_the_owner_did() {
    let worker = Incarnation::new("w0", Some(1000));
    let records = vec![
        LogRecord::Accepted(Box::new(job("a", vec![step(1)])), policy(), 1),
        LogRecord::Placed(lost(1, 0).run, worker.clone(), "".into()),
        LogRecord::Crashed(worker.clone(), vec![lost(1, 0)]),
        LogRecord::Ended(lost(1, 0).run, End::Lost, "".into()),
        LogRecord::LossExplained(worker.clone(), vec![lost(1, 0).run]),
        LogRecord::Placed(lost(2, 0).run, worker.clone(), "".into()),
        LogRecord::Crashed(worker.clone(), vec![lost(2, 2)]),
        LogRecord::Ended(lost(2, 0).run, End::Lost, "".into()),
    ];
    let mut live = LogState::default();
    for record in &records {
        live.apply(record, Duration::ZERO);
    }
    // An entry holds its required records first.
    let (required, extension): (Vec<_>, Vec<_>) = records
        .into_iter()
        .partition(|record| !record.is_optional());
    let mut replayed = LogState::default();
    for record in required.iter().chain(&extension) {
        replayed.apply(record, Duration::ZERO);
    }
    assert_eq!(live.suspects(), replayed.suspects());
}

#[test]
fn a_worker_without_a_start_time_that_answers_again_keeps_the_crash_of_a_former_process() {
    let task = lost(1, 2).run.task;
    let records = vec![
        LogRecord::Accepted(
            Box::new(job(
                "s",
                vec![Step {
                    long_running: true,
                    ..step(1)
                }],
            )),
            policy(),
            1_000_000,
        ),
        LogRecord::Placed(lost(1, 2).run, "w3".into(), "".into()),
        LogRecord::Crashed(
            "w3".into(),
            vec![LostRun {
                age: 60_000,
                ..lost(1, 2)
            }],
        ),
        LogRecord::Ended(lost(1, 2).run, End::Lost, "".into()),
    ];
    let mut driver = Driver::replay(&records, 8, policy());
    for number in 0..3 {
        driver.submit(job(
            &format!("{number}"),
            vec![Step {
                long_running: true,
                ..step(11)
            }],
        ));
    }
    driver.run_for(Duration::from_secs(3));
    assert!(driver.core.log_state().suspects().contains_key(&task));
    driver.unreachable = [Incarnation::from("w3")].into();
    driver.run_for(Duration::from_secs(8));
    driver.unreachable.clear();
    driver.run_for(Duration::from_secs(1));
    let suspect = driver.core.log_state().suspects().get(&task);
    assert!(
        suspect.is_some_and(|it| it.crashes == 1 && it.sure == 1),
        "{suspect:?}"
    );
}

fn processor_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .unwrap()
        .into()
}

fn lose_zone(workers: u16, lost: u16) -> Duration {
    let mut driver = Driver::new(0, policy());
    driver.long_polls = true;
    let of = |number: u16, at| ListedWorker {
        zone: if number < lost {
            "olten".into()
        } else {
            "bern".into()
        },
        ..started_at(number, at)
    };
    driver.core.list_all(
        (0..workers).map(|number| of(number, 1000)).collect(),
        driver.now,
    );
    driver.run_for(200 * MS);
    for number in 0..workers / 20 {
        driver.submit(job(&format!("{number:016x}"), vec![step(40)]));
    }
    driver.run_for(300 * MS);
    for number in 0..workers {
        driver.report(&of(number, 1000).incarnation, Vec::new(), Vec::new());
    }
    // Runs that have not just begun.
    driver.run_for(1500 * MS);
    let began = processor_time();
    for number in 0..lost {
        let former = of(number, 1000).incarnation;
        let next = PollReply::OtherIncarnation(Some(of(number, 1001).incarnation));
        driver.core.handle_poll_reply(&former, Ok(next), driver.now);
    }
    processor_time().saturating_sub(began)
}

#[test]
fn the_time_that_the_loss_of_a_zone_takes_grows_as_the_zone_does() {
    let times = [(150, 50), (600, 200), (2400, 800)].map(|(all, lost)| lose_zone(all, lost));
    assert!(
        times[1] < times[0] * 10 + 100 * MS && times[2] < times[1] * 10 + 100 * MS,
        "{times:?}"
    );
}

/// Three jobs whose task ends its worker 100 ms after each start, on four workers; the next
/// incarnation answers at once and is listed 300 ms later.
#[test]
fn tasks_that_crash_workers_which_answer_before_they_are_listed_are_not_started_without_end() {
    let mut driver = Driver::new(0, policy());
    driver.long_polls = true;
    let fleet = (0..4).map(|number| started_at(number, 1000));
    driver.core.list_all(fleet.collect(), driver.now);
    driver.run_for(500 * MS);
    for number in 0..3 {
        driver.submit(job(&format!("bad{number}"), vec![large(1)]));
    }
    let mut seen = 0;
    for _ in 0..30 {
        driver.run_for(300 * MS);
        let starts = driver.starts();
        let fresh: Vec<Incarnation> = starts[seen..].iter().map(|(id, _)| id.clone()).collect();
        seen = starts.len();
        // All of them break within some milliseconds.
        for former in &fresh {
            let broken =
                ashtiller::failure::Failure::unknown_effect("look", former, "connection closed");
            driver
                .core
                .handle_poll_reply(former, Err(broken), driver.now);
        }
        for former in &fresh {
            let number: u16 = former.id()[1..].parse().unwrap();
            let next = started_at(number, former.born().unwrap() + 1);
            driver
                .restarted
                .insert(former.clone(), next.incarnation.clone());
        }
        driver.run_for(300 * MS);
        for former in &fresh {
            let number: u16 = former.id()[1..].parse().unwrap();
            driver
                .core
                .list_worker(started_at(number, former.born().unwrap() + 1), driver.now);
        }
        driver.run_for(500 * MS);
    }
    let mut counts: BTreeMap<Task, usize> = BTreeMap::new();
    for (_, run) in driver.starts() {
        *counts.entry(run.task).or_default() += 1;
    }
    assert!(
        counts.values().all(|count| *count <= STARTS_MAX),
        "{counts:?}"
    );
}

/// Five of the eight workers of a zone crash; `listed` tells whether their next incarnations are
/// listed before the owner finds the crashes. Returns the weight of the crashes against all tasks.
fn lose_most_of_a_zone(is_listed: bool) -> u32 {
    let of = |number: u16, at| ListedWorker {
        zone: if number < 8 {
            "olten".into()
        } else {
            "bern".into()
        },
        ..started_at(number, at)
    };
    let mut driver = Driver::new(0, policy());
    driver
        .core
        .list_all((0..24).map(|number| of(number, 1000)).collect(), driver.now);
    driver.run_for(100 * MS);
    for number in 0..8 {
        driver.submit(job(
            &format!("{number}"),
            vec![Step {
                long_running: true,
                ..step(11)
            }],
        ));
    }
    driver.run_for(Duration::from_secs(3));
    for number in 0..5 {
        let former = of(number, 1000).incarnation;
        driver
            .restarted
            .insert(former, of(number, 1001).incarnation);
        if is_listed {
            driver.core.list_worker(of(number, 1001), driver.now);
        }
    }
    driver.run_for(300 * MS);
    assert_eq!(driver.core.counts().crashes, 5);
    let suspects = driver.core.log_state().suspects().values();
    suspects.map(|suspect| suspect.weight).sum()
}

#[test]
fn a_zone_is_the_cause_although_its_workers_are_listed_again() {
    assert_eq!(lose_most_of_a_zone(false), 0);
    assert_eq!(lose_most_of_a_zone(true), 0);
}

/// Two siblings wait for capacity for longer than a suspect waits for a trial; those that were lost
/// just now are tried one after the other.
#[test]
fn suspects_are_tried_although_a_sibling_waits_for_capacity() {
    let runs: Vec<LostRun> = (0..6)
        .map(|index| {
            let mut lost = LostRun {
                age: 20_000,
                ..lost(1, 2)
            };
            lost.run.task.index = index;
            lost
        })
        .collect();
    let long = Step {
        long_running: true,
        ..step(6)
    };
    let mut records = vec![LogRecord::Accepted(
        Box::new(job("s", vec![long])),
        policy(),
        1_000_000,
    )];
    records.extend(
        runs.iter()
            .map(|it| LogRecord::Placed(it.run, "w9".into(), "".into())),
    );
    records.push(LogRecord::Crashed("w9".into(), runs.clone()));
    records.extend(
        runs.iter()
            .map(|it| LogRecord::Ended(it.run, End::Lost, "".into())),
    );
    let mut driver = Driver::replay(&records, 0, policy());
    driver.core.list_all(vec![started_at(0, 1000)], driver.now);
    driver.run_for(Duration::from_secs(10));
    let before: BTreeSet<Task> = driver.starts().iter().map(|(_, run)| run.task).collect();
    let first = driver.starts().len();
    let next = started_at(0, 1001);
    driver
        .restarted
        .insert(started_at(0, 1000).incarnation, next.incarnation.clone());
    driver.core.list_worker(next, driver.now);
    driver.run_for(400 * MS);
    let starts = driver.starts().split_off(first);
    let again = starts.iter().filter(|(_, run)| before.contains(&run.task));
    assert!(again.count() <= 1, "{starts:?}");
}
