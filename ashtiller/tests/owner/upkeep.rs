//! Waves of upkeep whose orders, or whose emptying of workers, do not go as planned.
//!
//! An order that had already been executed: a worker that was listed and answered got no runs any
//! more, and the wave stopped. An order was executed and not recorded, or got no reply; the machine
//! was back, and the repeated order was answered with "done already". Whichever worker the machine
//! had at the time of that reply was taken for the incarnation that the upkeep had ended. It was
//! forgotten, although the platform lists it only once, and the wave waited for yet another
//! incarnation: one order in 30 s for a wave of two machines, and no start on the new incarnation,
//! which was listed and answered.
//!
//! A worker that cannot be emptied: it got no runs any more, and the wave did not continue. A task
//! of a step that may miss one is down and another task of the step runs here, so this one must not
//! be stopped meanwhile; the one that is down fits nowhere else, or nowhere at all. The worker was
//! held until it was empty, which held back the task it waited for: no start in 3 s on a worker
//! with 1.5 of 4 processors free, and none in 8 s of a task that was stopped there and fits nowhere
//! else.
//!
//! A machine that refuses its upkeep: its worker was healthy and got no runs any more. The worker
//! is emptied, the order is refused permanently, and the wave continues without the machine. The
//! worker was marked as held when its emptying began, and nothing removed the mark: no start in 3 s
//! after the wave was over, on an idle worker.

use std::time::Duration;

use ashtiller::workflow::agents::Active;
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::Step;
use ashtiller::workflow::machines::{Done, Wave};
use ashtiller::workflow::record::Run;

use crate::driver::{Driver, job, listed, policy};
use crate::trial::{long_running, starts_of};

const SECOND: Duration = Duration::from_secs(1);

/// Time within which a long-running task starts where there is capacity.
const START: Duration = Duration::from_secs(3);

/// Time within which a new owner sends its first order to a machine.
const FIRST_ORDER: Duration = Duration::from_secs(10);

/// Requests a wave over this many machines, one at a time.
fn request_wave(driver: &mut Driver, machines: u16) {
    let wave = Wave {
        number: 3,
        machines: (0..machines).map(|it| format!("m{it}").into()).collect(),
        duration: Duration::from_mins(1),
        most: 1,
    };
    driver.core.set_wave(wave, driver.now);
}

fn is_over(driver: &Driver) -> bool {
    driver.core.wave_states().get(&3) == Some(&true)
}

#[test]
fn a_worker_whose_machine_refuses_the_upkeep_gets_runs_again() {
    let mut driver = Driver::new(1, policy());
    driver.machine_reply = Some(Done::Never);
    request_wave(&mut driver, 1);
    driver.run_for(FIRST_ORDER);
    assert_eq!(driver.machine_orders.len(), 1);
    assert!(is_over(&driver));
    driver.submit(job("lasts", vec![long_running(1000)]));
    driver.run_for(START);
    assert_eq!(starts_of(&driver, "lasts").len(), 1);
}

/// A former owner's order was executed, and the machine was back, before this owner began.
#[test]
fn an_upkeep_that_was_done_before_does_not_end_its_worker() {
    let mut driver = Driver::new(2, policy());
    request_wave(&mut driver, 2);
    driver.run_for(30 * SECOND);
    assert_eq!(driver.machine_orders.len(), 2, "the wave goes on");
    assert!(is_over(&driver));
    let alone = Step {
        spread: 1,
        count: 2,
        ..long_running(1000)
    };
    driver.submit(job("lasts", vec![alone]));
    driver.run_for(START);
    assert_eq!(starts_of(&driver, "lasts").len(), 2, "on both workers");
}

/// The order was executed and its reply lost; the interface is silent until the machine is back
/// under another id.
#[test]
fn an_upkeep_confirmed_late_does_not_end_the_new_incarnation() {
    let mut driver = Driver::new(2, policy());
    driver.machine_reply = None;
    request_wave(&mut driver, 2);
    driver.run_for(FIRST_ORDER);
    assert!(!driver.machine_orders.is_empty());
    let fresh: Incarnation = "w9".into();
    let back = ListedWorker {
        incarnation: fresh.clone(),
        ..listed(0)
    };
    driver.core.list_worker(back, driver.now);
    let alone = Step {
        spread: 1,
        count: 2,
        ..long_running(1000)
    };
    driver.submit(job("lasts", vec![alone]));
    driver.run_for(START);
    let early = starts_of(&driver, "lasts");
    driver.machine_reply = Some(Done::Yes);
    driver.run_for(30 * SECOND);
    assert_eq!(
        driver.core.counts().lost,
        0,
        "the new incarnation continues"
    );
    let starts = starts_of(&driver, "lasts");
    assert!(starts.iter().any(|(id, _)| *id == fresh), "{starts:?}");
    assert!(is_over(&driver));
    // A repeated order may be the first one that is executed.
    assert!(early.iter().all(|(id, _)| *id != fresh), "{early:?}");
}

/// Its earlier reports may arrive afterwards, and its entry may be listed again.
#[test]
fn a_machine_is_away_until_a_new_incarnation_of_it_answers() {
    let mut driver = Driver::new(2, policy());
    driver.long_polls = true;
    request_wave(&mut driver, 2);
    driver.run_for(FIRST_ORDER);
    assert_eq!(driver.machine_orders.len(), 1);
    driver.silent = Some("w0".into());
    driver.run_for(10 * SECOND);
    driver.core.list_worker(listed(0), driver.now);
    driver.run_for(10 * SECOND);
    assert_eq!(driver.machine_orders.len(), 1, "no more than one at once");
    let back = ListedWorker {
        incarnation: "w9".into(),
        ..listed(0)
    };
    driver.core.list_worker(back, driver.now);
    driver.run_for(START);
    assert_eq!(driver.machine_orders.len(), 2);
}

/// Both tasks of a step that can miss one, at work.
fn start_pair(driver: &mut Driver, processors: u64) {
    let pair = Step {
        count: 2,
        away_max: Some(1),
        ..long_running(processors)
    };
    driver.submit(job("pair", vec![pair]));
    driver.run_for(SECOND);
    for started in starts_of(driver, "pair") {
        show_running(driver, started);
    }
    driver.run_for(SECOND);
}

fn show_running(driver: &mut Driver, started: (Incarnation, Run)) {
    let (id, run) = started;
    let row = Active {
        name: driver.name(run),
        run: run.number,
        checkpoint: "".into(),
        percent: 100,
        figure: None,
    };
    driver.running.push((id, row));
}

/// The task that is down fits nowhere; the turn of another worker does not wait for it.
#[test]
fn a_worker_that_cannot_be_emptied_is_not_closed_permanently() {
    let mut driver = Driver::new(2, policy());
    start_pair(&mut driver, 2500);
    assert_eq!(starts_of(&driver, "pair").len(), 2);
    driver.silent = Some("w1".into());
    driver.run_for(FIRST_ORDER);
    request_wave(&mut driver, 2);
    driver.run_for(SECOND);
    driver.submit(job("other", vec![long_running(1000)]));
    driver.run_for(START);
    assert_eq!(
        starts_of(&driver, "other").len(),
        1,
        "there is capacity for it on w0"
    );
    driver.run_for(10 * SECOND);
    assert!(driver.stops().is_empty(), "one is down already");
    let ordered: Vec<&str> = driver
        .machine_orders
        .iter()
        .map(|(machine, _)| &**machine)
        .collect();
    assert_eq!(ordered, ["m1"], "nothing runs there");
}

/// Two tasks run on the only worker: one is stopped, and the other may not be stopped until the
/// first is active, for which there is capacity only here.
#[test]
fn a_task_that_found_no_other_worker_comes_back() {
    let mut driver = Driver::new(1, policy());
    start_pair(&mut driver, 1500);
    request_wave(&mut driver, 1);
    driver.run_for(FIRST_ORDER);
    let stops = driver.stops().len();
    assert_eq!(stops, 1, "one may be down");
    // The platform requires a long-running task to run within 9 s of its last run.
    driver.run_for(4 * SECOND);
    assert_eq!(starts_of(&driver, "pair").len(), 3);
    assert_eq!(driver.stops().len(), 1);
    assert!(driver.machine_orders.is_empty());
    let back = starts_of(&driver, "pair")[2].clone();
    show_running(&mut driver, back);
    driver.run_for(5 * SECOND);
    assert_eq!(driver.stops().len(), 1, "left alone for a while");
    driver.run_for(10 * SECOND);
    assert_eq!(driver.stops().len(), 2, "tried again");
}

/// The second task waits until the first is active elsewhere, and the wave continues.
#[test]
fn tasks_that_fit_elsewhere_move_one_after_the_other() {
    let mut driver = Driver::new(2, policy());
    start_pair(&mut driver, 1500);
    let home = starts_of(&driver, "pair")[0].0.clone();
    assert!(starts_of(&driver, "pair").iter().all(|(id, _)| *id == home));
    let wave = Wave {
        number: 3,
        machines: vec![home.id().replace('w', "m").into()],
        duration: Duration::from_mins(1),
        most: 1,
    };
    driver.core.set_wave(wave, driver.now);
    driver.run_for(FIRST_ORDER);
    assert_eq!(driver.stops().len(), 1);
    assert!(driver.machine_orders.is_empty());
    let moved = starts_of(&driver, "pair")[2].clone();
    assert_ne!(moved.0, home);
    show_running(&mut driver, moved);
    driver.run_for(SECOND);
    assert_eq!(driver.stops().len(), 2);
    assert_ne!(starts_of(&driver, "pair")[3].0, home);
    assert_eq!(driver.machine_orders.len(), 1);
}
