//! Workers that fail, leave, or undergo upkeep.

use std::time::Duration;

use ashtiller::workflow::agents::{Active, EndReason, Order};
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::job::{Policy, Sharing, Step};
use ashtiller::workflow::machines::{MachineOrder, Wave};
use ashtiller::workflow::record::Run;

use crate::driver::{Driver, MS, job, listed, policy, step};

#[test]
fn runs_of_a_lost_worker_start_elsewhere_after_its_lease() {
    let mut driver = Driver::new(2, policy());
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(200 * MS);
    let (id, _) = driver.starts()[0].clone();
    let number: u16 = id.id()[1..].parse().unwrap();
    // The same machine under another id: the former incarnation has ended.
    let back = ListedWorker {
        incarnation: "w9".into(),
        ..listed(number)
    };
    driver.core.list_worker(back, driver.now);
    driver.run_for(200 * MS);
    let starts = driver.starts();
    assert_eq!(starts.len(), 2);
    assert_eq!(starts[1].1.number, 2);
}

#[test]
fn long_running_tasks_leave_a_draining_worker() {
    let mut driver = Driver::new(2, policy());
    let long_running = Step {
        long_running: true,
        sharing: Sharing::Serves(50 * MS),
        ..step(1)
    };
    driver.submit(job("1", vec![long_running]));
    driver.run_for(200 * MS);
    let (id, run) = driver.starts()[0].clone();
    let number: u16 = id.id()[1..].parse().unwrap();
    driver.core.list_worker(
        ListedWorker {
            draining: true,
            remaining: Some(Duration::from_secs(3)),
            ..listed(number)
        },
        driver.now,
    );
    driver.run_for(100 * MS);
    let stopped = driver
        .orders
        .iter()
        .any(|(_, at, order)| *at == run && matches!(order, Order::Stop(..)));
    assert!(stopped);
    driver.end(&id, run, EndReason::Stopped, 1);
    driver.run_for(300 * MS);
    let starts = driver.starts();
    assert_eq!(starts.len(), 2);
    assert_ne!(starts[1].0, id);
}

#[test]
fn a_wave_goes_a_few_machines_at_a_time() {
    let mut driver = Driver::new(4, policy());
    driver.core.set_wave(
        Wave {
            number: 3,
            machines: (0..4).map(|number| format!("m{number}").into()).collect(),
            duration: Duration::from_secs(30),
            most: 1,
        },
        driver.now,
    );
    driver.run_for(Duration::from_secs(10));
    assert_eq!(driver.machine_orders.len(), 1);
    for round in 1..4u16 {
        let (machine, order) = driver.machine_orders.last().unwrap().clone();
        assert_eq!(order, MachineOrder::Upkeep(3));
        let number: u16 = machine[1..].parse().unwrap();
        let back = ListedWorker {
            incarnation: format!("w{}", 100 + round).into(),
            ..listed(number)
        };
        driver.core.list_worker(back, driver.now);
        driver.run_for(Duration::from_secs(3));
        assert_eq!(driver.machine_orders.len(), usize::from(round) + 1);
    }
    assert_eq!(driver.core.wave_states().get(&3), Some(&true));
}

#[test]
fn probation_ends_when_a_long_running_task_is_active() {
    let once = Policy {
        attempts: 1,
        ..policy()
    };
    let mut driver = Driver::new(1, once);
    driver.submit(job("1", vec![step(1)]));
    driver.submit(job("2", vec![step(1)]));
    driver.run_for(200 * MS);
    let starts = driver.starts();
    for (number, (id, run)) in (1..).zip(starts) {
        driver.end(&id, run, EndReason::Failed, number);
    }
    // The worker is quarantined, then gets one run on probation.
    let long_running = Step {
        long_running: true,
        ..step(1)
    };
    driver.submit(job("3", vec![long_running]));
    driver.run_for(Duration::from_secs(4));
    let tried: Vec<Run> = driver.starts()[2..].iter().map(|(_, run)| *run).collect();
    assert_eq!(tried.len(), 1, "one run on probation");
    driver.submit(job("4", vec![step(1)]));
    driver.run_for(Duration::from_secs(4));
    assert_eq!(
        driver.starts().len(),
        3,
        "nothing beside the run on probation"
    );
    let running = Active {
        name: driver.name(tried[0]),
        run: tried[0].number,
        checkpoint: "".into(),
        percent: 100,
        figure: None,
    };
    driver.running.push((driver.starts()[2].0.clone(), running));
    driver.run_for(Duration::from_secs(4));
    assert_eq!(driver.starts().len(), 4, "the others follow");
}

/// It would list the same end again immediately, each time.
#[test]
fn a_worker_is_not_polled_repeatedly_while_its_end_is_not_in_the_log() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("1", vec![step(2)]));
    driver.run_for(200 * MS);
    let (id, run) = driver.starts()[0].clone();
    driver.store_available = false;
    let before = driver.core.counts().looks;
    driver.end(&id, run, EndReason::Done, 1);
    driver.reported_ends = driver.ends(run, EndReason::Done, 1);
    driver.run_for(3000 * MS);
    let polls = driver.core.counts().looks - before;
    assert!((6..=14).contains(&polls), "{polls} polls in 3 s");
    driver.restore_store();
    driver.reported_ends.clear();
    let before = driver.core.counts().looks;
    driver.run_for(100 * MS);
    assert!(
        driver.core.counts().looks > before,
        "it is acknowledged at once"
    );
}
