//! Tasks that are suspected of crashing workers, as operators see them, and what the log keeps of
//! the losses that count against them.

use std::time::Duration;

use ashtiller::workflow::blame::LostRun;
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::core::suspicion_report::{SuspicionSummary, TrialWait};
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::Step;
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::metrics::Metrics;
use ashtiller::workflow::record::{End, LogRecord, Run, Task};
use ashtiller::workflow::recorded_losses::{self, RecordedLosses};
use ashtiller::workflow::snapshot;
use prometheus::proto::MetricFamily;

use crate::driver::{Driver, MS, job, listed, policy, step};

/// Age of the lost runs; longer than the tests last, so that no run clears its task.
const LOST_AGE: u32 = 8000;
/// Time in which a listed worker answers and gets its first run.
const START: Duration = Duration::from_millis(500);
/// Time within which a silent worker is polled again.
const RETRY: Duration = Duration::from_secs(1);
/// Span within which the leases of a worker that does not answer expire.
const LEASES: Duration = Duration::from_secs(8);

fn run(index: u16) -> Run {
    let task = Task {
        job: 0,
        occurrence: 0,
        step: 0,
        index,
    };
    Run { task, number: 1 }
}

fn lost_run(index: u16, weight: u32) -> LostRun {
    LostRun {
        run: run(index),
        age: LOST_AGE,
        weight,
        begun: true,
    }
}

/// Returns the log of a long-running job whose tasks were all lost with a worker. The weights are
/// those of the tasks.
fn log_of_loss(worker: &Incarnation, weights: &[u32]) -> Vec<LogRecord> {
    let long_running = Step {
        long_running: true,
        ..step(u32::try_from(weights.len()).unwrap())
    };
    let lost_runs = (0..).zip(weights);
    let lost_runs = lost_runs.map(|(index, weight)| lost_run(index, *weight));
    let lost_runs: Vec<LostRun> = lost_runs.collect();
    let accepted = job("suspects", vec![long_running]);
    let mut records = vec![LogRecord::Accepted(Box::new(accepted), policy(), 1_000_000)];
    let placed = |lost: &LostRun| LogRecord::Placed(lost.run, worker.clone(), "".into());
    records.extend(lost_runs.iter().map(placed));
    records.push(LogRecord::Crashed(worker.clone(), lost_runs.clone()));
    let ended = |lost: &LostRun| LogRecord::Ended(lost.run, End::Lost, "".into());
    records.extend(lost_runs.iter().map(ended));
    records
}

/// Returns the record that takes back the loss of the first tasks with the worker `w9`.
fn explained(tasks: u16) -> LogRecord {
    LogRecord::LossExplained("w9".into(), (0..tasks).map(run).collect())
}

fn replay(records: &[LogRecord]) -> LogState {
    let mut state = LogState::default();
    for record in records {
        state.apply(record, MS);
    }
    state
}

fn listed_as(incarnation: Incarnation) -> ListedWorker {
    ListedWorker {
        incarnation,
        ..listed(0)
    }
}

/// Returns an owner that begins after the loss of a worker and finds the given one at its address.
fn begin_after_loss(lost: &Incarnation, found: &Incarnation) -> Driver {
    let mut driver = Driver::replay(&log_of_loss(lost, &[2]), 0, policy());
    driver
        .core
        .list_all(vec![listed_as(found.clone())], driver.now);
    driver.run_for(START);
    assert!(driver.granted.contains(found), "it answers");
    driver
}

/// Guards against tasks that stay suspected although the process in question goes on.
#[test]
fn a_later_owner_takes_back_a_loss_when_the_same_process_answers() {
    let lost = Incarnation::new("w0", Some(7));
    let driver = begin_after_loss(&lost, &lost);
    assert!(driver.core.log_state().suspects().is_empty());
    assert_eq!(driver.core.counts().explained, 1);
    let explained = LogRecord::LossExplained(lost, vec![run(0)]);
    assert!(driver.records.contains(&explained), "{:?}", driver.records);
}

/// Guards against tasks that are cleared of a real crash by the next process under the id.
#[test]
fn a_later_owner_keeps_a_loss_when_another_process_answers() {
    let cases = [
        ("started again", Some(7), Some(8)),
        ("without start times", None, None),
    ];
    for (name, lost, found) in cases {
        let lost = Incarnation::new("w0", lost);
        let driver = begin_after_loss(&lost, &Incarnation::new("w0", found));
        assert_eq!(driver.core.log_state().suspects().len(), 1, "{name}");
        assert_eq!(driver.core.counts().explained, 0, "{name}");
    }
}

/// Returns an owner whose only worker, which reports no start time, lost a task with its leases.
fn owner_of_lapsed_worker() -> Driver {
    let long_running = Step {
        long_running: true,
        ..step(1)
    };
    let mut driver = Driver::new(1, policy());
    driver.submit(job("1", vec![long_running]));
    driver.run_for(START);
    assert_eq!(driver.starts().len(), 1);
    driver.unreachable.insert("w0".into());
    driver.run_for(LEASES);
    assert_eq!(driver.core.log_state().suspects().len(), 1);
    driver
}

/// The owner that gave the runs up knows that the worker was only out of reach.
#[test]
fn an_owner_takes_back_the_loss_of_a_worker_without_a_start_time_that_it_gave_up_itself() {
    let mut driver = owner_of_lapsed_worker();
    driver.unreachable.clear();
    driver.run_for(RETRY);
    assert!(driver.core.log_state().suspects().is_empty());
    assert_eq!(driver.core.counts().explained, 1);
}

/// The next owner did not see the worker fall silent, and another process may answer under its id.
#[test]
fn the_next_owner_keeps_the_loss_of_a_lapsed_worker_without_a_start_time() {
    let mut former = owner_of_lapsed_worker();
    former.run_for(START);
    let mut next = Driver::replay(&former.records, 1, policy());
    next.run_for(START);
    assert_eq!(next.starts().len(), 1, "the worker answers");
    assert_eq!(next.core.log_state().suspects().len(), 1);
    assert_eq!(next.core.counts().explained, 0);
}

/// Without the recorded losses, an owner that begins from a snapshot could take back none.
#[test]
fn a_snapshot_keeps_the_losses_that_count_against_suspects() {
    let state = replay(&log_of_loss(&"w9".into(), &[2, 1]));
    let mut read = snapshot::decode(&snapshot::encode(&state).unwrap()).unwrap();
    read.index(MS);
    let expected = [lost_run(0, 2), lost_run(1, 1)];
    assert_eq!(read.losses().of(&"w9".into()), expected);
    read.apply(&explained(2), MS);
    assert!(read.suspects().is_empty());
    assert!(read.losses().is_empty());
}

/// An earlier version wrote the snapshot: suspects stay, and nothing can be taken back.
#[test]
fn a_snapshot_without_recorded_losses_is_readable() {
    let state = replay(&log_of_loss(&"w9".into(), &[2]));
    let mut extensions = state.extensions().unwrap();
    assert!(extensions.remove(&recorded_losses::EXTENSION).is_some());
    let bytes = postcard::to_stdvec(&state).unwrap();
    let bytes = postcard::to_extend(state.suspects(), bytes).unwrap();
    let bytes = postcard::to_extend(state.unconfirmed(), bytes).unwrap();
    let bytes = postcard::to_extend(state.pending_starts(), bytes).unwrap();
    let bytes = postcard::to_extend(&extensions, bytes).unwrap();
    let mut read = snapshot::decode(&bytes).unwrap();
    read.index(MS);
    assert_eq!(read.suspects(), state.suspects());
    assert!(read.losses().is_empty());
    read.apply(&explained(1), MS);
    assert_eq!(read.suspects(), state.suspects());
}

/// Guards against suspects that keep the weight of a loss that was taken back beside others.
#[test]
fn a_loss_that_is_taken_back_leaves_the_other_losses_of_its_tasks() {
    let mut records = log_of_loss(&"w9".into(), &[2]);
    let again = Run {
        number: 2,
        ..run(0)
    };
    let lost = LostRun {
        run: again,
        ..lost_run(0, 1)
    };
    records.push(LogRecord::Placed(again, "w8".into(), "".into()));
    records.push(LogRecord::Crashed("w8".into(), vec![lost]));
    records.push(LogRecord::Ended(again, End::Lost, "".into()));
    let mut state = replay(&records);
    state.apply(&explained(1), MS);
    let suspect = &state.suspects()[&run(0).task];
    assert_eq!((suspect.crashes, suspect.sure, suspect.weight), (1, 1, 1));
    assert_eq!(suspect.crashed, [2]);
    assert!(!suspect.is_strong());
    // A second copy of the record changes nothing.
    state.apply(&explained(1), MS);
    assert_eq!(state.suspects()[&run(0).task].crashes, 1);
}

/// Workers are lost for as long as the log is kept.
#[test]
fn the_losses_of_the_workers_that_were_lost_first_are_dropped() {
    let mut losses = RecordedLosses::default();
    for number in 0..10_000 {
        let worker = Incarnation::new(&format!("w{number}"), Some(1));
        losses.add(&worker, vec![lost_run(0, 1)]);
    }
    let bytes = losses.encode(|_| true).unwrap();
    assert!(bytes.len() < 128 << 10, "{} bytes", bytes.len());
    let decoded = RecordedLosses::decode(&bytes).unwrap();
    assert!(!decoded.contains(&Incarnation::new("w0", Some(1))));
    assert!(decoded.contains(&Incarnation::new("w9999", Some(1))));
    assert_eq!(decoded.encode(|_| true).unwrap(), bytes);
}

#[test]
fn suspects_that_wait_are_counted_by_strength() {
    let driver = Driver::replay(&log_of_loss(&"w9".into(), &[2, 1, 3]), 0, policy());
    let expected = SuspicionSummary {
        suspects: 3,
        strong: 2,
        waiting: 2,
        waiting_long_running: 2,
        trial_workers: 0,
        withheld: 0,
    };
    assert_eq!(driver.core.summarize_suspicion(driver.now), expected);
    let [(_, long_running), (_, short)] = driver.core.summarize_waits(driver.now);
    assert_eq!((long_running.tasks, long_running.suspected), (3, 2));
    assert_eq!(short.suspected, 0);
    let dump = driver.core.dump(driver.now);
    assert_eq!(dump["suspicion"]["waiting"], 2);
    assert_eq!(dump["waiting"][0]["suspected"], 2);
}

/// The tasks with the most evidence against them come first, as there may be thousands.
#[test]
fn a_dump_lists_the_strongest_suspects() {
    let mut weights = [1; 300];
    weights[299] = 2;
    let driver = Driver::replay(&log_of_loss(&"w9".into(), &weights), 0, policy());
    let dump = driver.core.dump(driver.now);
    let suspects = dump["suspects"].as_array().expect("suspects");
    assert_eq!(suspects.len(), 100);
    let expected = serde_json::json!({
        "job": "suspects", "task": run(299).task.to_string(), "lasting": true, "crashes": 1,
        "certain": 1, "weight": 2, "oldest_ms": LOST_AGE, "strong": true, "waits": true,
    });
    assert_eq!(suspects[0], expected);
    assert_eq!(suspects[1]["strong"], false);
}

#[test]
fn a_trial_counts_with_the_processors_that_it_withholds() {
    let mut driver = Driver::replay(&log_of_loss(&"w9".into(), &[2]), 4, policy());
    driver.run_for(START);
    let summary = driver.core.summarize_suspicion(driver.now);
    assert_eq!((summary.strong, summary.waiting), (1, 0));
    assert_eq!(summary.trial_workers, 1);
    let free = listed(0).capacity.processors - step(1).needs.processors;
    assert_eq!(summary.withheld, free);
}

/// The wait of a suspect that no worker took counts from the beginning of its owner, or from the end
/// of its last run, and once.
#[test]
fn the_wait_of_a_suspect_ends_with_its_next_run() {
    let mut driver = Driver::replay(&log_of_loss(&"w9".into(), &[2, 1]), 0, policy());
    driver.run_for(Duration::from_secs(3));
    assert!(driver.core.drain_trial_waits().is_empty());
    driver.core.list_all(vec![listed(0)], driver.now);
    driver.run_for(START);
    assert_wait(&mut driver, Duration::from_secs(3));
    driver.crash(&"w0".into());
    driver.run_for(LEASES);
    assert!(driver.core.drain_trial_waits().is_empty());
    driver.core.list_all(vec![listed(1)], driver.now);
    driver.run_for(2 * START);
    let waits = driver.core.drain_trial_waits();
    let shorter = |wait: &TrialWait| wait.waited < LEASES;
    assert!(!waits.is_empty() && waits.iter().all(shorter), "{waits:?}");
}

/// Asserts that one long-running suspect got its run after about this time.
fn assert_wait(driver: &mut Driver, expected: Duration) {
    let waits = driver.core.drain_trial_waits();
    let [wait] = waits[..] else {
        panic!("{waits:?}");
    };
    assert!(wait.long_running);
    assert!(
        wait.waited >= expected && wait.waited < expected + 2 * START,
        "{wait:?}"
    );
}

/// Returns the values of a metric with the label `what`.
fn gauges(metrics: &Metrics, name: &str) -> Vec<(String, f64)> {
    let families = metrics.registry().gather();
    let families = families.iter().filter(|family| family.name() == name);
    let gauges = families.flat_map(MetricFamily::get_metric);
    gauges
        .map(|metric| {
            let what = metric.get_label()[0].value().to_owned();
            (what, metric.get_gauge().get_value())
        })
        .collect()
}

/// A process that no longer owns the log must not show the suspects of then.
#[test]
fn gauges_of_suspects_are_reset_with_the_ownership() {
    let metrics = Metrics::open().unwrap();
    metrics.suspicion().note_summary(&SuspicionSummary {
        suspects: 9,
        strong: 5,
        waiting: 3,
        waiting_long_running: 2,
        trial_workers: 2,
        withheld: 30_500,
    });
    let suspects = gauges(&metrics, "ashtiller_entry_suspects");
    let expected = [
        ("all", 9.0),
        ("strong", 5.0),
        ("waiting", 3.0),
        ("waiting_lasting", 2.0),
    ];
    assert_eq!(suspects, expected.map(|(what, value)| (what.into(), value)));
    let trials = gauges(&metrics, "ashtiller_entry_trials");
    let expected = [("withheld_processors", 30.0), ("workers", 2.0)];
    assert_eq!(trials, expected.map(|(what, value)| (what.into(), value)));
    metrics.forget_waits();
    assert!(gauges(&metrics, "ashtiller_entry_suspects").is_empty());
    assert!(gauges(&metrics, "ashtiller_entry_trials").is_empty());
}
