//! Workers that fail, go, or have their upkeep.

use std::time::Duration;

use ashtiller::workflow::agents::{Active, EndReason, Order};
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::job::{Policy, Sharing, Step};
use ashtiller::workflow::machines::{MachineOrder, Wave};
use ashtiller::workflow::record::Run;

use crate::driver::{Driver, MS, job, listed, policy, step};

#[test]
fn a_lost_worker_gives_its_runs_back_after_its_lease() {
    let mut driver = Driver::new(2, policy());
    driver.submit(job("1", vec![step(1)]));
    driver.pass(200 * MS);
    let (id, _) = driver.starts()[0].clone();
    let number: u16 = id.id()[1..].parse().unwrap();
    // The same machine under another id: the former life is over.
    let back = ListedWorker {
        incarnation: "w9".into(),
        ..listed(number)
    };
    driver.core.list_worker(back, driver.now);
    driver.pass(200 * MS);
    let starts = driver.starts();
    assert_eq!(starts.len(), 2);
    assert_eq!(starts[1].1.number, 2);
}

#[test]
fn lasting_tasks_leave_a_draining_worker() {
    let mut driver = Driver::new(2, policy());
    let lasting = Step {
        long_running: true,
        sharing: Sharing::Serves(50 * MS),
        ..step(1)
    };
    driver.submit(job("1", vec![lasting]));
    driver.pass(200 * MS);
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
    driver.pass(100 * MS);
    let stopped = driver
        .orders
        .iter()
        .any(|(_, at, order)| *at == run && matches!(order, Order::Stop(..)));
    assert!(stopped);
    driver.end(&id, run, EndReason::Stopped, 1);
    driver.pass(300 * MS);
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
    driver.pass(Duration::from_secs(10));
    assert_eq!(driver.duties.len(), 1);
    for round in 1..4u16 {
        let (machine, duty) = driver.duties.last().unwrap().clone();
        assert_eq!(duty, MachineOrder::Upkeep(3));
        let number: u16 = machine[1..].parse().unwrap();
        let back = ListedWorker {
            incarnation: format!("w{}", 100 + round).into(),
            ..listed(number)
        };
        driver.core.list_worker(back, driver.now);
        driver.pass(Duration::from_secs(3));
        assert_eq!(driver.duties.len(), usize::from(round) + 1);
    }
    assert_eq!(driver.core.wave_states().get(&3), Some(&true));
}

#[test]
fn a_worker_on_trial_is_trusted_again_when_a_lasting_task_is_at_work() {
    let once = Policy {
        attempts: 1,
        ..policy()
    };
    let mut driver = Driver::new(1, once);
    driver.submit(job("1", vec![step(1)]));
    driver.submit(job("2", vec![step(1)]));
    driver.pass(200 * MS);
    let starts = driver.starts();
    for (number, (id, run)) in (1..).zip(starts) {
        driver.end(&id, run, EndReason::Failed, number);
    }
    // The worker is put aside, then tried with one run.
    let lasting = Step {
        long_running: true,
        ..step(1)
    };
    driver.submit(job("3", vec![lasting]));
    driver.pass(Duration::from_secs(4));
    let tried: Vec<Run> = driver.starts()[2..].iter().map(|(_, run)| *run).collect();
    assert_eq!(tried.len(), 1, "one run on trial");
    driver.submit(job("4", vec![step(1)]));
    driver.pass(Duration::from_secs(4));
    assert_eq!(driver.starts().len(), 3, "nothing beside the trial");
    let at_work = Active {
        name: driver.name(tried[0]),
        run: tried[0].number,
        checkpoint: "".into(),
        percent: 100,
        figure: None,
    };
    driver.at_work.push((driver.starts()[2].0.clone(), at_work));
    driver.pass(Duration::from_secs(4));
    assert_eq!(driver.starts().len(), 4, "the others follow");
}

/// It would list the same end again at once, each time.
#[test]
fn a_worker_is_not_asked_again_and_again_while_its_end_is_not_in_the_log() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("1", vec![step(2)]));
    driver.pass(200 * MS);
    let (id, run) = driver.starts()[0].clone();
    driver.store = false;
    let before = driver.core.counts().looks;
    driver.end(&id, run, EndReason::Done, 1);
    driver.listed_ends = driver.ends(run, EndReason::Done, 1);
    driver.pass(3000 * MS);
    let looks = driver.core.counts().looks - before;
    assert!((6..=14).contains(&looks), "{looks} looks in 3 s");
    driver.come_back();
    driver.listed_ends.clear();
    let before = driver.core.counts().looks;
    driver.pass(100 * MS);
    assert!(
        driver.core.counts().looks > before,
        "it is acknowledged at once"
    );
}
