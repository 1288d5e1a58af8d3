//! After a takeover of 3,000 workers an owner wrote no log entry for 2 to 4 s, although it had
//! polled at most 160 of them. That is long enough to be replaced, and each new owner was replaced
//! in turn. It compared every worker in the first list with all others, to find earlier
//! incarnations, and with all runs of the former owner, to find runs to take over. 9 million and 39
//! million comparisons took 0.8 to 2.3 s of a whole processor, and an instance has half of one.
//!
//! The log showed `hands over the log` with `stalled_ms: 2244`, and `no longer the owner of the
//! log` with `looks: 160, orders: 0`.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::core::{Core, Now};
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::record::{LogRecord, Run, Task};
use ashtiller::workflow::tuning::Tuning;

use nix::time::{ClockId, clock_gettime};

use crate::driver::{job, listed, policy, step};

const WORKERS: u16 = 3000;
const JOBS: u32 = 600;
const TASKS: u16 = 22;
/// Time without an answer to its heartbeat after which a follower suspects the owner.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(250);

fn take_over(now: Now) -> Core {
    let mut state = LogState::default();
    let mut place = 0;
    for number in 0..JOBS {
        let job = job(&format!("{number:016x}"), vec![step(TASKS.into())]);
        let accepted = LogRecord::Accepted(Box::new(job), policy(), now.wall);
        state.apply(&accepted, now.at);
        for index in 0..TASKS {
            let task = Task {
                job: number,
                occurrence: 0,
                step: 0,
                index,
            };
            let placed = LogRecord::Placed(
                Run { task, number: 1 },
                listed(place).incarnation,
                Arc::from(""),
            );
            state.apply(&placed, now.at);
            place = (place + 1) % WORKERS;
        }
    }
    Core::new(Tuning::default(), 5, state, 1, now)
}

/// Returns the processor time that this thread has used, so that other load on the machine does not
/// count.
fn processor_time() -> Duration {
    let spent = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    spent.expect("a clock of the thread").into()
}

#[test]
fn the_first_list_of_a_large_fleet_takes_little_time() {
    let now = Now {
        at: Duration::from_mins(10),
        wall: 1_000_000,
    };
    let mut core = take_over(now);
    let list: Vec<ListedWorker> = (0..WORKERS).map(listed).collect();
    let began = processor_time();
    core.list_all(list, now);
    let took = processor_time().saturating_sub(began);
    assert!(took < HEARTBEAT_TIMEOUT, "{took:?}");
    let runs: usize = core.workers().values().map(|it| it.runs.len()).sum();
    assert_eq!(runs, usize::from(TASKS) * JOBS as usize);
}
