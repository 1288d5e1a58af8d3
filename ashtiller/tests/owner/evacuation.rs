//! Availability zones that operators evacuate: no new run starts there, and active runs continue.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::agents::Active;
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::evacuations::Zones;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::{Sharing, Step};
use ashtiller::workflow::record::{LogRecord, Run, Task};
use ashtiller::workflow::tuning::Tuning;

use crate::driver::{Driver, MS, job, listed, policy, step};

fn tuning() -> Tuning {
    Tuning {
        evacuation: Some(Duration::from_secs(5)),
        ..Tuning::default()
    }
}

/// Returns a worker in the evacuated zone.
fn inside(number: u16) -> ListedWorker {
    ListedWorker {
        zone: "olten".into(),
        ..listed(number)
    }
}

fn olten() -> Zones {
    [(Arc::from("olten"), 17)].into()
}

/// Returns a driver with `inner` workers in the evacuated zone and `outer` elsewhere.
fn open(inner: u16, outer: u16) -> Driver {
    let mut driver = Driver::with_tuning(&tuning(), &[], 0, policy());
    let workers = (0..inner).map(inside);
    let workers = workers.chain((inner..inner + outer).map(listed));
    driver.core.list_all(workers.collect(), driver.now);
    driver.run_for(100 * MS);
    driver
}

fn is_inside(id: &Incarnation, inner: u16) -> bool {
    (0..inner).any(|number| *id == inside(number).incarnation)
}

/// Counts the starts in the evacuated zone.
fn inner_starts(driver: &Driver, inner: u16) -> usize {
    let starts = driver.starts();
    starts.iter().filter(|(id, _)| is_inside(id, inner)).count()
}

/// Makes every poll report the run with this percentage.
fn show_running(driver: &mut Driver, id: &Incarnation, run: Run, percent: u32) {
    let row = Active {
        name: driver.name(run),
        run: run.number,
        checkpoint: "".into(),
        percent,
        figure: None,
    };
    driver.running.push((id.clone(), row));
}

#[test]
fn nothing_starts_in_an_evacuated_zone_until_the_evacuation_is_revoked() {
    let mut driver = open(2, 1);
    driver.evacuated = Some(olten());
    driver.run_for(20 * MS);
    driver.submit(job("1", vec![step(10)]));
    driver.run_for(Duration::from_secs(1));
    assert_eq!(inner_starts(&driver, 2), 0);
    // One worker with four processors is left.
    assert_eq!(driver.starts().len(), 4);
    driver.evacuated = Some(Zones::new());
    driver.run_for(100 * MS);
    assert_eq!(driver.starts().len(), 10, "at once");
    assert_eq!(inner_starts(&driver, 2), 6);
}

#[test]
fn a_job_waits_while_all_zones_are_evacuated() {
    let mut driver = open(1, 1);
    driver.evacuated = Some([(Arc::from("olten"), 17), (Arc::from("bern"), 18)].into());
    driver.run_for(20 * MS);
    driver.submit(job("1", vec![step(2)]));
    driver.run_for(Duration::from_secs(2));
    assert!(driver.starts().is_empty());
    assert_eq!(driver.replies.len(), 1, "it is accepted");
    driver.evacuated = Some(olten());
    driver.run_for(100 * MS);
    assert_eq!(driver.starts().len(), 2);
    assert_eq!(inner_starts(&driver, 1), 0);
}

/// Both tasks of a service, none of which may be missing, run in the zone.
#[test]
fn active_runs_in_an_evacuated_zone_continue() {
    let mut driver = open(2, 2);
    let service = Step {
        long_running: true,
        sharing: Sharing::Serves(50 * MS),
        spread: 1,
        away_max: Some(0),
        ..step(4)
    };
    driver.submit(job("1", vec![service, step(1)]));
    driver.run_for(200 * MS);
    for (id, run) in driver.starts() {
        show_running(&mut driver, &id, run, 100);
    }
    driver.run_for(200 * MS);
    driver.evacuated = Some(olten());
    driver.run_for(Duration::from_secs(8));
    assert!(driver.stops().is_empty());
    assert_eq!(driver.starts().len(), 5);
    assert_eq!(driver.core.counts().lost, 0);
}

/// The record of a run becomes durable after its zone was evacuated.
#[test]
fn a_run_that_has_not_started_starts_elsewhere() {
    for offset in 0..8 {
        let mut driver = open(1, 0);
        driver.run_for(offset * 5 * MS);
        driver.store_available = false;
        driver.submit(job("1", vec![step(1)]));
        driver.run_for(100 * MS);
        driver.core.list_worker(listed(1), driver.now);
        driver.evacuated = Some(olten());
        driver.run_for(offset * 5 * MS);
        driver.restore_store();
        driver.run_for(Duration::from_secs(1));
        assert_eq!(inner_starts(&driver, 1), 0, "{offset}");
        assert_eq!(driver.starts().len(), 1, "it starts elsewhere, {offset}");
    }
}

/// An unanswered start is sent again after 60 ms, unless its zone was evacuated.
#[test]
fn a_start_in_doubt_is_not_sent_again() {
    for offset in 0..16 {
        let mut driver = open(1, 0);
        driver.drops_orders = Some("w0".into());
        driver.run_for(offset * 5 * MS);
        driver.submit(job("1", vec![step(1)]));
        while driver.starts().is_empty() {
            driver.run_for(5 * MS);
        }
        driver.run_for(55 * MS);
        let before = driver.starts().len();
        driver.evacuated = Some(olten());
        driver.run_for(Duration::from_secs(1));
        assert_eq!(driver.starts().len(), before, "{offset}");
        assert_eq!(driver.stops().len(), 1, "it is withdrawn, {offset}");
    }
}

/// A zone may have been evacuated right after the last reading. A start takes up to 1.756 s over a
/// relay, which counts against the 5 s that remain then.
#[test]
fn starts_wait_while_the_reading_of_evacuations_is_old() {
    for (age, started) in [(3100, 1), (3300, 0)] {
        let mut driver = open(1, 0);
        driver.evacuated = None;
        driver.run_for(age * MS);
        driver.submit(job("1", vec![step(1)]));
        driver.run_for(100 * MS);
        assert_eq!(driver.starts().len(), started, "reading of {age} ms ago");
        driver.evacuated = Some(Zones::new());
        driver.run_for(40 * MS);
        assert_eq!(driver.starts().len(), 1, "with a new reading");
    }
}

/// An instance follows the evacuation entries before it becomes the owner, so what it knows may be
/// outdated by then.
#[test]
fn a_new_owner_starts_nothing_before_it_knows_of_evacuations() {
    let mut driver = open(1, 1);
    driver.evacuated = None;
    let now = driver.now;
    let long_ago = Duration::from_secs(6);
    driver
        .core
        .note_evacuations(&Zones::new(), long_ago, driver.now);
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(Duration::from_secs(2));
    assert!(driver.starts().is_empty());
    let age = driver.now.at.saturating_sub(now.at);
    driver.core.note_evacuations(&olten(), age, driver.now);
    driver.run_for(100 * MS);
    assert_eq!(driver.starts().len(), 1);
    assert_eq!(inner_starts(&driver, 1), 0);
}

#[test]
fn starts_do_not_wait_for_evacuations_where_there_are_none() {
    let mut driver = Driver::new(1, policy());
    driver.evacuated = None;
    driver.run_for(Duration::from_secs(20));
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(100 * MS);
    assert_eq!(driver.starts().len(), 1);
}

/// The log has a run in the zone. Only the worker knows whether the former owner started it.
#[test]
fn a_new_owner_withdraws_only_what_has_not_begun() {
    let task = Task {
        job: 0,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let run = Run { task, number: 1 };
    let records = [
        LogRecord::Accepted(Box::new(job("1", vec![step(1)])), policy(), 1_000_000),
        LogRecord::Placed(run, "w0".into(), Arc::from("")),
    ];
    for begun in [false, true] {
        let mut driver = Driver::with_tuning(&tuning(), &records, 0, policy());
        driver.evacuated = Some(olten());
        if begun {
            show_running(&mut driver, &"w0".into(), run, 40);
        }
        driver.core.list_all(vec![inside(0), listed(1)], driver.now);
        driver.run_for(Duration::from_secs(1));
        assert_eq!(inner_starts(&driver, 1), 0);
        assert_eq!(driver.starts().len(), usize::from(!begun));
        assert_eq!(driver.stops().len(), usize::from(!begun));
    }
}

/// A partly started gang is withdrawn as a whole and starts where there is capacity.
#[test]
fn a_gang_is_withdrawn_whole() {
    let mut driver = open(1, 1);
    driver.store_available = false;
    let gang = Step {
        gang: true,
        ..step(6)
    };
    driver.submit(job("1", vec![gang]));
    driver.run_for(100 * MS);
    let more = ListedWorker {
        incarnation: "w2".into(),
        ..listed(2)
    };
    driver.core.list_worker(more, driver.now);
    driver.evacuated = Some(olten());
    driver.restore_store();
    driver.run_for(Duration::from_secs(2));
    assert_eq!(inner_starts(&driver, 1), 0);
    let numbers = driver.starts().into_iter().map(|(_, run)| run.number);
    let newest = numbers.clone().max();
    assert_eq!(numbers.filter(|number| Some(*number) == newest).count(), 6);
}
