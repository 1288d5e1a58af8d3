//! Tasks that crash the workers that start them.
//!
//! Symptom: two tasks were started 33 times each within two minutes, and each time their
//! worker was gone; 273 runs were lost with them in the first half minute.
//! Sequence: a run is started, its worker's process ends within 10 ms and is back after some
//! seconds under another id; all its runs are recorded as lost and wait at once.
//! Cause: a run whose worker crashed ended like one whose lease had lapsed, which is no
//! attempt. Nothing counted crashes, so nothing bounded them.
//! Settled by: `worker's life is over … came back under another id … runs 14`, then `run ended
//! … Lost` for runs 1 to 6 of one task on six workers, under one owner.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::config::Listed;
use ashtiller::workflow::fact::{Outcome, Run};
use ashtiller::workflow::job::{Job, Step};
use ashtiller::workflow::message::{Reply, State};

use crate::driver::{Driver, MS, job, policy, step};

/// Time between a crash and the worker's next life.
const BACK: Duration = Duration::from_millis(2800);
/// Crashes after which a task may be started twice more at most.
const CRASHES: usize = 3;

/// Workers that crash when they start a task of the job `bad`.
pub struct Crashing {
    pub driver: Driver,
    bad: Arc<str>,
    /// Runs that took their worker down, in order.
    pub crashed: Vec<Run>,
    seen: usize,
    lives: u16,
}

impl Crashing {
    pub fn new(driver: Driver, bad: &str) -> Self {
        Self {
            driver,
            bad: bad.into(),
            crashed: Vec::new(),
            seen: 0,
            lives: 100,
        }
    }

    fn is_bad(&self, run: Run) -> bool {
        let job = &self.driver.core.book().jobs[&run.task.job];
        job.job.id == self.bad
    }

    /// Lets time pass; each worker that starts a bad task is gone, and back later.
    pub fn pass(&mut self, span: Duration) {
        let end = self.driver.now.at + span;
        while self.driver.now.at < end {
            self.driver.pass(10 * MS);
            let starts = self.driver.starts();
            let new = starts[self.seen..].to_vec();
            self.seen = starts.len();
            if let Some((id, run)) = new.into_iter().find(|(_, run)| self.is_bad(*run)) {
                self.crash(&id, run);
            }
        }
    }

    fn crash(&mut self, id: &Arc<str>, run: Run) {
        self.crashed.push(run);
        self.driver.crash(id);
        self.driver.pass(BACK);
        self.lives += 1;
        let former = self.driver.core.workers()[id].listed.clone();
        let back = Listed {
            id: format!("w{}", self.lives).into(),
            ..former
        };
        self.driver.come_back_as(id, back);
    }

    pub fn state(&self, id: &str) -> Reply {
        self.driver.core.state(id)
    }
}

pub fn bad_job(steps: Vec<Step>) -> Job {
    job("bad", steps)
}

fn failed() -> Reply {
    Reply::State(State::Over(Outcome::Failed))
}

#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    let mut world = Crashing::new(Driver::new(6, policy()), "bad");
    world.driver.submit(bad_job(vec![step(1)]));
    world.pass(Duration::from_secs(30));
    let starts = world.crashed.len();
    assert!(starts <= CRASHES, "started {starts} times");
    assert_eq!(world.state("bad"), failed());
}

/// The same, where each crash ends with another owner that replays the log.
#[test]
fn crashes_count_across_owners() {
    let mut facts = Vec::new();
    let mut starts = 0;
    for _ in 0..8 {
        let mut world = Crashing::new(Driver::replay(&facts, 6, policy()), "bad");
        if facts.is_empty() {
            world.driver.submit(bad_job(vec![step(1)]));
        }
        while world.crashed.is_empty() && world.driver.now.at < Duration::from_secs(630) {
            world.pass(50 * MS);
        }
        starts += world.crashed.len();
        facts.extend(world.driver.facts);
    }
    assert!(starts <= CRASHES, "started {starts} times");
}
