//! 840 of 6,002 workers crashed at one moment, and their owner stalled for three seconds. It
//! compared each crash with all other crashes and all workers; then, for each of 182 suspected
//! tasks, it searched all workers for one to try the task on, and for each of those workers
//! searched all crashes. `suspected task is tried in isolation` was logged every 12 ms and `worker
//! does not answer` 2,219 times, and log entries waited for 0.8 s (`job rejected: the store does
//! not answer`, `stalled_ms`).

use std::time::Duration;

use ashtiller::workflow::agents::PollReply;
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::incarnation::Incarnation;

use nix::time::{ClockId, clock_gettime};

use crate::driver::{Driver, MS, job, listed, policy, step};

/// Every seventh worker crashes.
const SPACING: u16 = 7;

fn started_at(number: u16, at: u64) -> ListedWorker {
    ListedWorker {
        incarnation: Incarnation::new(&format!("w{number}"), Some(at)),
        ..listed(number)
    }
}

/// Returns the processor time that this thread has used.
fn processor_time() -> Duration {
    let spent = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    spent.expect("a clock of the thread").into()
}

/// Returns the processor time that a fleet of this size needs for the half second in which a
/// seventh of its workers crash, less the time it needs for an idle half second.
fn crash_many(workers: u16) -> Duration {
    let mut driver = Driver::new(0, policy());
    driver.long_polls = true;
    let list: Vec<ListedWorker> = (0..workers)
        .map(|number| started_at(number, 1000))
        .collect();
    driver.core.list_all(list, driver.now);
    driver.run_for(200 * MS);
    for number in 0..workers / 20 {
        driver.submit(job(&format!("{number:016x}"), vec![step(40)]));
    }
    driver.run_for(300 * MS);
    for number in 0..workers {
        // Each worker reports its runs.
        driver.report(
            &started_at(number, 1000).incarnation,
            Vec::new(),
            Vec::new(),
        );
    }
    let began = processor_time();
    driver.run_for(500 * MS);
    let calm = processor_time().saturating_sub(began);
    let began = processor_time();
    for number in (0..workers).step_by(SPACING.into()) {
        let former = started_at(number, 1000).incarnation;
        // The next incarnation answers the poll that is in flight.
        let next = PollReply::OtherIncarnation(Some(started_at(number, 1001).incarnation));
        driver.core.handle_poll_reply(&former, Ok(next), driver.now);
    }
    driver.run_for(500 * MS);
    let took = processor_time().saturating_sub(began);
    let counts = driver.core.counts();
    assert!(counts.crashes >= u64::from(workers / SPACING), "{counts:?}");
    took.saturating_sub(calm)
}

#[test]
fn the_time_that_many_crashes_take_grows_as_the_fleet_does() {
    let [small, large] = [400, 1600].map(crash_many);
    let most = small * 10 + 100 * MS;
    assert!(large < most, "{small:?} of 400 workers, {large:?} of 1,600");
}
