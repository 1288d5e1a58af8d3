//! What a new owner makes of the log that it finds.

use std::sync::Arc;

use ashtiller::workflow::fact::{End, Fact, Run, Task};
use ashtiller::workflow::job::Step;

use crate::driver::{Driver, MS, job, policy, step};

fn run(number: u32) -> Run {
    let task = Task {
        job: 0,
        time: 0,
        step: 0,
        index: 0,
    };
    Run { task, number }
}

fn placed(number: u32, worker: &str) -> Fact {
    Fact::Placed(run(number), worker.into(), Arc::from(""))
}

/// The former owner placed a copy that it never started, or started in vain, and then
/// recorded that the first run was done.
#[test]
fn a_copy_of_a_task_that_is_done_is_not_started() {
    let copied = Step {
        copies: true,
        ..step(2)
    };
    let facts = [
        Fact::Accepted(Box::new(job("1", vec![copied])), policy(), 1_000_000),
        placed(1, "w0"),
        placed(2, "w1"),
        Fact::Ended(run(1), End::Done, Arc::from("")),
    ];
    let mut driver = Driver::replay(&facts, 2, policy());
    driver.pass(1000 * MS);
    let starts = driver.starts();
    assert!(
        starts.iter().all(|(_, it)| it.task.index != 0),
        "{starts:?}"
    );
    assert!(!driver.core.book().is_live(run(2)), "its stop is recorded");
}
