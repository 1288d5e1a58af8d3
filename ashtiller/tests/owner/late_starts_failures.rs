//! Runs that fail at the worker which may still carry out a start of theirs.

use super::*;

/// Time within which a task that has failed starts again.
const RESTART_MAX: Duration = Duration::from_secs(2);
/// Longer than a start may be in doubt.
const LONG: Duration = Duration::from_mins(1);

fn long_running() -> Step {
    Step {
        long_running: true,
        ..step(1)
    }
}

/// Runs a task whose first start gets no answer, and lets its run fail at `w0` after 2 s. The next runs
/// go on for long. Another worker is empty.
fn fail_after(births: bool, fate: Fate, steps: Vec<Step>, attempts: u32) -> Fleet {
    let mut fleet = Fleet::new(births);
    let policy = Policy {
        attempts,
        ..policy()
    };
    fleet.core.set_config(Arc::new(Config {
        version: 2,
        queues: vec![Queue {
            host: "jobs".into(),
            prefix: "/q/".into(),
            policy,
        }],
        ..Config::default()
    }));
    fleet.fates.push_back(fate);
    // The connection is reset, and the start is sent again before the worker lists the run.
    fleet.timeout = STEP;
    fleet.failing = Some("w0".into());
    fleet.duration = 2 * SECOND;
    fleet.submit(steps);
    assert!(fleet.run_until(SECOND, |it| it.runs_at("w0", 1)));
    fleet.add_worker(1);
    fleet.duration = LONG;
    assert!(fleet.run_until(4 * SECOND, has_failed));
    fleet.failing = None;
    fleet
}

/// Returns whether the failure of a run is in the log.
fn has_failed(fleet: &Fleet) -> bool {
    let mut records = fleet.log.iter().flatten();
    records.any(|it| matches!(it, LogRecord::Ended(_, End::Failed, _)))
}

/// A long-running task had no run for 14 s after it failed, as its start had got no answer before: it was
/// bound to the worker of that start, and excluded there because it had failed there.
fn long_running_task_fails(births: bool) {
    for fate in [Fate::Unanswered, Fate::Held] {
        let mut fleet = fail_after(births, fate, vec![long_running()], 1);
        let again = |it: &Fleet| it.runs_at("w0", 2) || it.runs_at("w1", 2);
        assert!(fleet.run_until(RESTART_MAX, again), "no run");
        fleet.deliver_held();
        fleet.run_for(20 * SECOND);
        assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
    }
}

scenario!(
    a_long_running_task_that_fails_after_an_unanswered_start_starts_again,
    long_running_task_fails
);

/// The same for a task that has further attempts.
fn short_task_fails(births: bool) {
    let mut fleet = fail_after(births, Fate::Unanswered, vec![step(1)], 3);
    let again = |it: &Fleet| it.runs_at("w0", 2) || it.runs_at("w1", 2);
    assert!(fleet.run_until(RESTART_MAX, again), "no run");
}

scenario!(
    a_short_task_with_attempts_left_starts_again_after_an_unanswered_start,
    short_task_fails
);

/// The worker's next process under its id carries the unanswered start out after the task has started
/// again there. The task must not have a second run elsewhere.
fn carried_out_by_the_next_process(births: bool) {
    let mut fleet = fail_after(births, Fate::Held, vec![long_running()], 1);
    assert!(fleet.run_until(RESTART_MAX, |it| it.runs_at("w0", 2)));
    fleet.run_for(SECOND);
    fleet.end("w0");
    fleet.begin("w0");
    fleet.run_for(100 * MS);
    fleet.deliver_held();
    fleet.relist("w0");
    fleet.run_for(30 * SECOND);
    assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
}

scenario!(
    a_start_carried_out_after_the_next_run_of_a_failed_task_does_not_run_beside_it,
    carried_out_by_the_next_process
);
