//! An owner whose machine is suspended: its clock counts that time, so that after the wake
//! it judges ownership, leases and its list of workers anew before anything goes out.

use std::time::Duration;

use ashtiller::workflow::agents::{Order, PollReply};
use ashtiller::workflow::core::Effect;
use ashtiller::workflow::job::Step;

use crate::driver::{Driver, MS, job, policy, step};

/// Spans up to and beyond what each proof allows: 2 s for lists, 6 s for leases, 11 s for
/// ownership.
const SPANS: [u64; 6] = [500, 1900, 2500, 5000, 9000, 30_000];

fn is_start(effect: &Effect) -> bool {
    matches!(effect, Effect::Order(_, _, Order::Start(_)))
}

/// Sleeps at the point that the driver has reached; what the core wants first after the wake.
fn wake(driver: &mut Driver, span: Duration) -> Vec<Effect> {
    driver.now.at += span;
    driver.now.wall += u64::try_from(span.as_millis()).unwrap();
    driver.core.advance(driver.now)
}

#[test]
fn no_start_goes_out_by_a_list_that_has_aged_in_a_sleep() {
    for span in SPANS.map(Duration::from_millis) {
        // Asleep while the entry is on its way, and while the start is due.
        for durable in [false, true] {
            let mut driver = Driver::new(2, policy());
            driver.store = false;
            driver.submit(job("1", vec![step(1)]));
            driver.pass(60 * MS);
            assert!(driver.starts().is_empty());
            if durable {
                driver.come_back();
            }
            let mut effects = wake(&mut driver, span);
            if !durable {
                driver.come_back();
                effects.extend(driver.core.advance(driver.now));
            }
            let starts = effects.iter().any(is_start);
            let fresh = span < Duration::from_millis(1500);
            assert!(fresh || !starts, "{span:?}, durable {durable}");
        }
    }
}

#[test]
fn leases_are_not_renewed_on_a_proof_that_has_aged_in_a_sleep() {
    for span in SPANS.map(Duration::from_millis) {
        let mut driver = Driver::new(1, policy());
        driver.submit(job("1", vec![step(1)]));
        driver.pass(200 * MS);
        driver.store = false;
        driver.pass(100 * MS);
        let effects = wake(&mut driver, span);
        let mut looks = effects.iter().filter_map(|effect| match effect {
            Effect::Poll(_, look) => look.until,
            _ => None,
        });
        let renews = looks.next().is_some();
        assert!(
            span < Duration::from_secs(11) || !renews,
            "{span:?}: a lease is renewed without proof"
        );
    }
}

/// The answer was received before the sleep, and is read after it.
#[test]
fn a_clock_that_was_read_late_grants_no_more_than_it_says() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("1", vec![step(1)]));
    driver.pass(200 * MS);
    let clock = driver.clock();
    driver.now.at += Duration::from_secs(5);
    let looked = PollReply::Report {
        clock,
        active: Vec::new(),
        finished: Vec::new(),
    };
    driver
        .core
        .handle_poll_reply(&"w0".into(), Ok(looked), driver.now);
    driver.core.note_complete_listing(driver.now.at);
    let lease = 6000;
    for effect in driver.core.advance(driver.now) {
        if let Effect::Poll(_, look) = effect {
            let until = look.until.unwrap_or(0);
            assert!(until <= driver.clock() + lease, "beyond a lease from now");
        }
    }
}

/// Also one after the other, with a moment awake between them.
#[test]
fn what_ran_is_found_again_after_sleeps() {
    for spans in [[3000, 3000], [9000, 200], [30_000, 30_000]] {
        let mut driver = Driver::new(2, policy());
        let lasting = Step {
            long_running: true,
            ..step(2)
        };
        driver.submit(job("1", vec![lasting]));
        driver.pass(200 * MS);
        for span in spans {
            let effects = wake(&mut driver, span * MS);
            assert!(!effects.iter().any(is_start));
            for effect in effects {
                driver.carry_out(effect);
            }
            driver.pass(500 * MS);
        }
        let starts = driver.starts();
        assert_eq!(starts.len(), 2, "its workers have the runs all along");
    }
}
