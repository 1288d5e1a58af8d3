//! 840 of 6,002 workers crash at one moment. Their owner stood still for three seconds: each crash
//! was compared with all others and with all workers, and each of 182 tasks that were suspected
//! then looked through all workers for one to be tried on, and at each of those through all
//! crashes. `suspected task is tried apart` came each 12 ms, meanwhile `worker does not answer`
//! 2,219 times, and entries waited for 0.8 s (`job not taken`, `stalled_ms`).

use std::time::Duration;

use ashtiller::workflow::agents::PollReply;
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::incarnation::Incarnation;

use nix::time::{ClockId, clock_gettime};

use crate::driver::{Driver, MS, job, listed, policy, step};

/// Each seventh worker crashes.
const SPACING: u16 = 7;

fn born(number: u16, at: u64) -> ListedWorker {
    ListedWorker {
        incarnation: Incarnation::new(&format!("w{number}"), Some(at)),
        ..listed(number)
    }
}

/// Processor time of this thread so far.
fn processor_time() -> Duration {
    let spent = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    spent.expect("a clock of the thread").into()
}

/// Processor time that a fleet of this many workers takes for the half second in which a
/// seventh of them crash, without what it takes for a calm half second.
fn crash_many(workers: u16) -> Duration {
    let mut driver = Driver::new(0, policy());
    driver.patient = true;
    let list: Vec<ListedWorker> = (0..workers).map(|number| born(number, 1000)).collect();
    driver.core.list_all(list, driver.now);
    driver.pass(200 * MS);
    for number in 0..workers / 20 {
        driver.submit(job(&format!("{number:016x}"), vec![step(40)]));
    }
    driver.pass(300 * MS);
    for number in 0..workers {
        // They report what has begun there.
        driver.report(&born(number, 1000).incarnation, Vec::new(), Vec::new());
    }
    let began = processor_time();
    driver.pass(500 * MS);
    let calm = processor_time().saturating_sub(began);
    let began = processor_time();
    for number in (0..workers).step_by(SPACING.into()) {
        let former = born(number, 1000).incarnation;
        // The look that is under way there is answered by the next life.
        let next = PollReply::OtherIncarnation(Some(born(number, 1001).incarnation));
        driver.core.handle_poll_reply(&former, Ok(next), driver.now);
    }
    driver.pass(500 * MS);
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
