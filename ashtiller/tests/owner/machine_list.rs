//! What an owner concludes about silent workers from the platform's list of machines.
//!
//! Guards against tasks that wait for 6 to 22 s for leases and starts of a worker of which the
//! platform says that it is gone, and against a worker that runs being taken for ended.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::core::Effect;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::Step;
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::machines::{Machine, MachineList, Process};
use ashtiller::workflow::record::{LogRecord, Run, Task};
use ashtiller::workflow::snapshot;
use ashtiller::workflow::worker_machines::WorkerMachines;

use crate::driver::{Driver, MS, job, listed, policy, step};

const SECOND: Duration = Duration::from_secs(1);
/// Time within which a lasting task whose run is lost runs again.
const START_LIMIT: Duration = Duration::from_secs(3);
/// Longer than any lease or unanswered start lasts.
const LONG: Duration = Duration::from_secs(40);

fn run(number: u32) -> Run {
    let task = Task {
        job: 0,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    Run { task, number }
}

fn long_running() -> Step {
    Step {
        long_running: true,
        ..step(1)
    }
}

fn running(machine: &str, id: &str) -> Machine {
    Machine {
        name: machine.into(),
        process: Process::Running(id.into()),
    }
}

fn machine(name: &str, process: Process) -> Machine {
    Machine {
        name: name.into(),
        process,
    }
}

fn list(machines: &[Machine]) -> MachineList {
    MachineList {
        machines: machines.to_vec(),
        paged: false,
    }
}

/// Returns the log of an earlier owner with a lasting run on `w0`.
fn log_with_run() -> Vec<LogRecord> {
    vec![
        LogRecord::Accepted(
            Box::new(job("1", vec![long_running()])),
            policy(),
            1_000_000,
        ),
        LogRecord::Placed(run(1), "w0".into(), Arc::from("")),
    ]
}

/// Returns a new owner of that log, which an earlier owner may have outlived. `w0` does not answer
/// it, `w1` does.
fn begin(machines: Option<MachineList>) -> Driver {
    begin_with(&log_with_run(), machines)
}

fn begin_with(records: &[LogRecord], machines: Option<MachineList>) -> Driver {
    let mut driver = Driver::replay(records, 0, policy());
    driver.core.enable_machine_list();
    driver.core.set_predecessors(&[4]);
    driver.timing_out = Some("w0".into());
    driver.machine_list = machines;
    driver.core.list_all(vec![listed(0), listed(1)], driver.now);
    driver
}

/// Returns the workers on which runs with this number have started.
fn started_on(driver: &Driver, number: u32) -> Vec<String> {
    let starts = driver.starts();
    let starts = starts.iter().filter(|(_, run)| run.number == number);
    starts.map(|(worker, _)| worker.to_string()).collect()
}

fn assert_starts_soon(driver: &mut Driver) {
    driver.run_for(START_LIMIT);
    assert_eq!(started_on(driver, 2), ["w1"]);
}

/// Asserts that the task waits for the leases of the earlier owner, and no longer.
fn assert_waits_for_leases(driver: &mut Driver) {
    driver.run_for(17 * SECOND);
    assert!(started_on(driver, 2).is_empty(), "a lease may be active");
    driver.run_for(START_LIMIT);
    assert_eq!(started_on(driver, 2), ["w1"]);
}

#[test]
fn a_task_starts_soon_after_its_owner_and_its_machine_are_gone() {
    let mut driver = begin(Some(list(&[running("m1", "w1")])));
    assert_starts_soon(&mut driver);
    assert_eq!(driver.core.counts().proved_gone, 1);
}

#[test]
fn a_task_starts_soon_after_its_owner_is_gone_and_another_worker_runs_on_the_machine() {
    let mut driver = begin(Some(list(&[running("m0", "w9"), running("m1", "w1")])));
    assert_starts_soon(&mut driver);
    assert_eq!(driver.core.counts().proved_replaced, 1);
}

#[test]
fn a_task_starts_soon_after_its_owner_is_gone_and_the_machine_is_down() {
    let machines = [machine("m0", Process::Ended), running("m1", "w1")];
    let mut driver = begin(Some(list(&machines)));
    assert_starts_soon(&mut driver);
    assert_eq!(driver.core.counts().proved_down, 1);
}

/// The worker's entry lapsed before the new owner began, so that its machine is not known.
#[test]
fn a_task_on_a_worker_without_an_entry_starts_soon_if_no_machine_runs_it() {
    let mut driver = Driver::replay(&log_with_run(), 0, policy());
    driver.core.enable_machine_list();
    driver.core.set_predecessors(&[4]);
    driver.machine_list = Some(list(&[running("m1", "w1")]));
    driver.core.list_all(vec![listed(1)], driver.now);
    assert_starts_soon(&mut driver);
}

/// As above, but a machine that is moving may be running it.
#[test]
fn a_machine_that_moves_may_run_a_worker_without_an_entry() {
    let mut driver = Driver::replay(&log_with_run(), 0, policy());
    driver.core.enable_machine_list();
    driver.core.set_predecessors(&[4]);
    driver.machine_list = Some(list(&[
        running("m1", "w1"),
        machine("m5", Process::Unknown),
    ]));
    driver.core.list_all(vec![listed(1)], driver.now);
    assert_waits_for_leases(&mut driver);
}

/// The worker is cut off from the owner, and runs on.
#[test]
fn a_worker_that_is_listed_as_running_keeps_its_runs() {
    let mut driver = begin(Some(list(&[running("m0", "w0"), running("m1", "w1")])));
    assert_waits_for_leases(&mut driver);
}

/// It is told under another machine, for example after its entry was overwritten.
#[test]
fn a_worker_that_another_machine_runs_keeps_its_runs() {
    let machines = [
        running("m0", "w9"),
        running("m7", "w0"),
        running("m1", "w1"),
    ];
    let mut driver = begin(Some(list(&machines)));
    assert_waits_for_leases(&mut driver);
}

#[test]
fn a_machine_that_is_moving_or_in_maintenance_proves_nothing() {
    let machines = [machine("m0", Process::Unknown), running("m1", "w1")];
    let mut driver = begin(Some(list(&machines)));
    assert_waits_for_leases(&mut driver);
}

#[test]
fn a_machine_that_is_listed_twice_proves_nothing() {
    let machines = [
        machine("m0", Process::Ended),
        running("m0", "w9"),
        running("m1", "w1"),
    ];
    let mut driver = begin(Some(list(&machines)));
    assert_waits_for_leases(&mut driver);
}

#[test]
fn no_answer_costs_no_more_than_the_leases() {
    let mut driver = begin(None);
    assert_waits_for_leases(&mut driver);
}

#[test]
fn a_list_without_a_worker_that_answers_does_not_show_that_machines_are_gone() {
    let mut driver = begin(Some(list(&[])));
    assert_waits_for_leases(&mut driver);
}

/// Runs until the list was asked for once.
fn run_until_requested(driver: &mut Driver) {
    let end = driver.now.at + START_LIMIT;
    while driver.machine_list_requests.is_empty() {
        assert!(driver.now.at < end, "the list was not asked for");
        driver.run_for(5 * MS);
    }
}

fn paged(machines: &[Machine]) -> MachineList {
    MachineList {
        machines: machines.to_vec(),
        paged: true,
    }
}

#[test]
fn two_lists_in_several_pages_show_that_a_machine_is_gone() {
    let mut driver = begin(Some(paged(&[running("m1", "w1"), running("m2", "w2")])));
    assert_starts_soon(&mut driver);
}

/// A machine that is removed while the pages are read may hide the one after it, in each of two lists.
#[test]
fn a_list_in_several_pages_proves_nothing_if_a_machine_was_removed_meanwhile() {
    let machines = [
        running("m1", "w1"),
        running("m2", "w2"),
        running("m3", "w3"),
    ];
    let mut driver = begin(Some(paged(&machines)));
    run_until_requested(&mut driver);
    driver.machine_list = Some(paged(&machines[..2]));
    driver.run_for(1100 * MS);
    assert_eq!(driver.machine_list_requests.len(), 2);
    driver.machine_list = None;
    driver.run_for(5 * SECOND);
    assert!(started_on(&driver, 2).is_empty());
}

#[test]
fn a_single_list_in_several_pages_does_not_show_that_a_machine_is_gone() {
    let mut driver = begin(Some(paged(&[running("m1", "w1")])));
    run_until_requested(&mut driver);
    driver.machine_list = None;
    driver.run_for(10 * SECOND);
    assert!(started_on(&driver, 2).is_empty());
}

/// Returns an owner that has started a lasting task on `w0`, which has fallen silent.
fn begin_with_own_run() -> Driver {
    let mut driver = Driver::new(2, policy());
    driver.core.enable_machine_list();
    driver.submit(job("1", vec![long_running()]));
    driver.run_for(2 * SECOND);
    let worker: Incarnation = driver.starts()[0].0.clone();
    assert_eq!(worker, "w0".into());
    driver
}

/// The lease of this owner lasts for 6.3 s more.
#[test]
fn a_task_of_a_worker_that_is_gone_does_not_wait_for_the_lease_of_this_owner() {
    let mut driver = begin_with_own_run();
    driver.crash(&"w0".into());
    driver.machine_list = Some(list(&[running("m1", "w1")]));
    assert_starts_soon(&mut driver);
}

/// Runs until the list is asked for, and leaves the request unanswered.
fn hold_request(driver: &mut Driver) {
    let end = driver.now.at + START_LIMIT;
    let mut requested = false;
    while !requested {
        assert!(driver.now.at < end, "the list was not asked for");
        driver.now.at += 5 * MS;
        for effect in driver.core.advance(driver.now) {
            if matches!(effect, Effect::ListMachines) {
                requested = true;
            } else {
                driver.carry_out(effect);
            }
        }
    }
}

#[test]
fn a_worker_that_has_answered_since_the_request_keeps_its_runs() {
    let mut driver = begin_with_own_run();
    driver.timing_out = Some("w0".into());
    hold_request(&mut driver);
    driver.timing_out = None;
    driver.run_for(SECOND);
    let gone = list(&[machine("m0", Process::Ended), running("m1", "w1")]);
    driver.core.handle_machine_list(Ok(gone), driver.now);
    driver.run_for(SECOND);
    assert!(started_on(&driver, 2).is_empty());
}

/// It was down when the list was made, started again under its id, and is silent again.
#[test]
fn a_worker_that_has_answered_since_the_request_and_is_silent_again_keeps_its_runs() {
    let mut driver = begin_with_own_run();
    driver.timing_out = Some("w0".into());
    hold_request(&mut driver);
    driver.timing_out = None;
    driver.run_for(SECOND);
    driver.timing_out = Some("w0".into());
    driver.run_for(SECOND);
    let gone = list(&[machine("m0", Process::Ended), running("m1", "w1")]);
    driver.core.handle_machine_list(Ok(gone), driver.now);
    driver.run_for(SECOND);
    assert!(started_on(&driver, 2).is_empty());
}

/// The list of then may name the worker before it.
#[test]
fn a_worker_that_was_not_silent_at_the_request_is_not_ended_by_the_answer() {
    let mut driver = Driver::new(3, policy());
    driver.core.enable_machine_list();
    let whole_worker = Step {
        needs: listed(0).capacity,
        count: 2,
        ..long_running()
    };
    driver.submit(job("1", vec![whole_worker]));
    driver.run_for(2 * SECOND);
    let [first, second] = [0, 1].map(|index| driver.starts()[index].0.clone());
    driver.crash(&first);
    hold_request(&mut driver);
    driver.crash(&second);
    driver.run_for(500 * MS);
    let down = |worker: &Incarnation| {
        let name = worker.id().replace('w', "m");
        machine(&name, Process::Ended)
    };
    let machines = list(&[down(&first), down(&second)]);
    driver.core.handle_machine_list(Ok(machines), driver.now);
    driver.run_for(500 * MS);
    let runs_on = |worker: &Incarnation| !driver.core.workers()[worker].runs.is_empty();
    assert!(!runs_on(&first) && runs_on(&second));
}

#[test]
fn a_worker_that_is_listed_as_down_and_answers_again_gets_runs() {
    let mut driver = begin_with_own_run();
    driver.timing_out = Some("w0".into());
    driver.machine_list = Some(list(&[machine("m0", Process::Ended), running("m1", "w1")]));
    assert_starts_soon(&mut driver);
    driver.timing_out = None;
    driver.run_for(SECOND);
    assert!(driver.core.workers()["w0"].answers);
}

/// Returns an owner whose only start, on `w0`, got no answer before the worker's process ended.
fn begin_with_unanswered_start(worker: &Incarnation, machines: MachineList) -> Driver {
    let mut driver = Driver::new(0, policy());
    driver.core.enable_machine_list();
    let mut entry = listed(0);
    entry.incarnation = worker.clone();
    driver.core.list_all(vec![entry], driver.now);
    driver.run_for(SECOND);
    driver.drops_orders = Some(worker.clone());
    driver.submit(job("1", vec![long_running()]));
    while driver.starts().is_empty() {
        driver.run_for(5 * MS);
    }
    driver.drops_orders = None;
    driver.crash(worker);
    driver.machine_list = Some(machines);
    driver.core.list_worker(listed(1), driver.now);
    driver
}

#[test]
fn an_unanswered_start_is_settled_once_its_machine_is_gone() {
    let mut driver = begin_with_unanswered_start(&"w0".into(), list(&[running("m1", "w1")]));
    assert_starts_soon(&mut driver);
}

#[test]
fn an_unanswered_start_is_settled_once_another_worker_runs_on_the_machine() {
    let machines = list(&[running("m0", "w9"), running("m1", "w1")]);
    let mut driver = begin_with_unanswered_start(&"w0".into(), machines);
    assert_starts_soon(&mut driver);
}

/// The next process under the id may carry it out.
#[test]
fn an_unanswered_start_is_not_settled_while_its_machine_is_down() {
    for worker in [Incarnation::from("w0"), Incarnation::new("w0", Some(1000))] {
        let machines = list(&[machine("m0", Process::Ended), running("m1", "w1")]);
        let mut driver = begin_with_unanswered_start(&worker, machines);
        driver.run_for(12 * SECOND);
        assert!(started_on(&driver, 2).is_empty(), "{worker}");
        driver.run_for(LONG);
        assert_eq!(started_on(&driver, 2), ["w1"], "{worker}");
    }
}

/// Returns the log of an owner that ended right after it had sent a start to `w0`.
fn log_of_a_sent_start() -> Vec<LogRecord> {
    let worker = Incarnation::from("w0");
    let driver = begin_with_unanswered_start(&worker, list(&[]));
    let records = driver.records.into_iter();
    // All owners of these tests have one epoch.
    let records = records.map(|record| match record {
        LogRecord::StartPending(run, _) => LogRecord::StartPending(run, 4),
        other => other,
    });
    records.collect()
}

/// Returns an owner of that log that has never seen an entry of `w0`.
fn begin_without_entry(records: &[LogRecord], machines: &[Machine]) -> Driver {
    let mut driver = Driver::replay(records, 0, policy());
    driver.core.enable_machine_list();
    driver.core.set_predecessors(&[4]);
    driver.machine_list = Some(list(machines));
    driver.core.list_all(vec![listed(1)], driver.now);
    driver
}

/// The worker has crashed and its entry has gone before the owner ends. The next owner did not know
/// the machine, and the task waited for 13 s, or 17 s, although the list showed another worker there.
#[test]
fn a_start_to_a_crashed_worker_is_settled_by_an_owner_that_never_saw_its_entry() {
    let records = log_of_a_sent_start();
    let machines = [
        running("m0", "w9"),
        running("m1", "w1"),
        machine("m2", Process::Ended),
        machine("m3", Process::Unknown),
    ];
    let mut driver = begin_without_entry(&records, &machines);
    assert_starts_soon(&mut driver);
}

/// As above, with the machine removed.
#[test]
fn a_start_to_a_removed_machine_is_settled_by_an_owner_that_never_saw_its_entry() {
    let records = log_of_a_sent_start();
    let machines = [running("m1", "w1"), machine("m2", Process::Ended)];
    let mut driver = begin_without_entry(&records, &machines);
    assert_starts_soon(&mut driver);
}

/// While the machine is down, its next process may have the same id.
#[test]
fn a_start_to_a_machine_that_is_down_stays_in_doubt_for_the_next_owner() {
    let records = log_of_a_sent_start();
    for process in [Process::Ended, Process::Unknown] {
        let machines = [machine("m0", process), running("m1", "w1")];
        let mut driver = begin_without_entry(&records, &machines);
        driver.run_for(12 * SECOND);
        assert!(started_on(&driver, 2).is_empty());
        driver.run_for(LONG);
        assert_eq!(started_on(&driver, 2), ["w1"]);
    }
}

/// A snapshot keeps the machines of workers.
#[test]
fn a_snapshot_tells_the_machine_of_a_worker_whose_entry_has_gone() {
    let mut state = LogState::default();
    for record in log_of_a_sent_start() {
        state.apply(&record, Duration::ZERO);
    }
    let state = snapshot::decode(&snapshot::encode(&state).unwrap()).unwrap();
    assert_eq!(state.worker_machines().get("w0"), Some(&Arc::from("m0")));
}

/// Workers come and go for as long as the log is kept, and each crash gives another id.
#[test]
fn the_machines_of_the_workers_that_were_recorded_first_are_dropped() {
    let mut machines = WorkerMachines::default();
    for number in 0..10_000 {
        let (worker, machine) = (format!("w{number}"), format!("m{}", number % 100));
        machines.add(&worker.into(), &machine.into());
    }
    let bytes = machines.encode().unwrap();
    assert!(bytes.len() < 128 << 10, "{} bytes", bytes.len());
    let decoded = WorkerMachines::decode(&bytes).unwrap();
    assert_eq!(decoded.get("w0"), None);
    assert_eq!(decoded.get("w9999"), Some(&Arc::from("m99")));
    assert_eq!(decoded.encode().unwrap(), bytes);
}

/// An owner that has recorded a start in flight ends, and the worker of that start is gone.
#[test]
fn a_start_in_flight_as_its_owner_ended_is_settled_once_the_machine_is_gone() {
    let mut records = log_with_run();
    records.push(LogRecord::StartPending(run(1), 4));
    let mut driver = begin_with(&records, Some(list(&[running("m1", "w1")])));
    assert_starts_soon(&mut driver);
}

/// As above, but the entry of that worker has lapsed before the next owner begins. Its machine is not
/// known, and may be down and come back.
#[test]
fn a_start_in_flight_to_a_worker_without_an_entry_stays_in_doubt() {
    let mut records = log_with_run();
    records.push(LogRecord::StartPending(run(1), 4));
    let mut driver = Driver::replay(&records, 0, policy());
    driver.core.enable_machine_list();
    driver.core.set_predecessors(&[4]);
    driver.machine_list = Some(list(&[running("m1", "w1")]));
    driver.core.list_all(vec![listed(1)], driver.now);
    driver.run_for(12 * SECOND);
    assert!(started_on(&driver, 2).is_empty());
    driver.run_for(LONG);
    assert_eq!(started_on(&driver, 2), ["w1"]);
}

#[test]
fn the_list_is_read_only_while_something_waits_and_ever_less_often() {
    let mut driver = begin_with_own_run();
    driver.machine_list = Some(list(&[running("m0", "w0"), running("m1", "w1")]));
    driver.run_for(5 * SECOND);
    assert!(driver.machine_list_requests.is_empty());
    driver.timing_out = Some("w0".into());
    driver.run_for(5 * SECOND);
    let requests = driver.machine_list_requests.clone();
    let gaps = requests
        .windows(2)
        .map(|pair| pair[1].saturating_sub(pair[0]));
    let gaps: Vec<Duration> = gaps.collect();
    assert!(gaps[0] >= 500 * MS && gaps[1] >= SECOND, "{gaps:?}");
    assert!((3..=4).contains(&requests.len()), "{gaps:?}");
}

/// On a link of 2 Mbit/s the lists delayed the first replies of 192 workers, and more leases lapsed.
#[test]
fn a_new_owner_that_most_workers_have_not_answered_reads_no_list_at_first() {
    let mut driver = Driver::replay(&log_with_run(), 0, policy());
    driver.core.enable_machine_list();
    driver.core.set_predecessors(&[4]);
    driver.machine_list = Some(list(&[running("m0", "w0"), running("m3", "w3")]));
    let silent = (0..3).map(|number| listed(number).incarnation);
    driver.crashed.extend(silent);
    driver
        .core
        .list_all((0..4).map(listed).collect(), driver.now);
    driver.run_for(5 * SECOND);
    assert!(driver.machine_list_requests.is_empty());
    driver.run_for(2 * SECOND);
    assert_eq!(driver.machine_list_requests.len(), 1);
}
