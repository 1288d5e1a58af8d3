//! An owner whose machine is suspended. Its clock counts the suspended time, so after resuming it
//! must re-check ownership, leases and its list of workers before it sends anything.

use std::time::Duration;

use ashtiller::workflow::agents::{Order, PollReply};
use ashtiller::workflow::core::Effect;
use ashtiller::workflow::job::Step;

use crate::driver::{Driver, MS, job, policy, step};

/// Suspensions shorter and longer than each proof is valid: 2 s for lists, 6 s for leases, 11 s for
/// ownership.
const SPANS: [u64; 6] = [500, 1900, 2500, 5000, 9000, 30_000];

fn is_start(effect: &Effect) -> bool {
    matches!(effect, Effect::Order(_, _, Order::Start(_)))
}

/// Suspends the owner for `span` and returns the first effects after it resumes.
fn suspend(driver: &mut Driver, span: Duration) -> Vec<Effect> {
    driver.now.at += span;
    driver.now.wall += u64::try_from(span.as_millis()).unwrap();
    driver.core.advance(driver.now)
}

#[test]
fn no_start_is_sent_on_a_list_that_became_stale_during_a_suspension() {
    for span in SPANS.map(Duration::from_millis) {
        // Suspended while the append is in flight, and while the start is due.
        for durable in [false, true] {
            let mut driver = Driver::new(2, policy());
            driver.store_available = false;
            driver.submit(job("1", vec![step(1)]));
            driver.run_for(60 * MS);
            assert!(driver.starts().is_empty());
            if durable {
                driver.restore_store();
            }
            let mut effects = suspend(&mut driver, span);
            if !durable {
                driver.restore_store();
                effects.extend(driver.core.advance(driver.now));
            }
            let starts = effects.iter().any(is_start);
            let fresh = span < Duration::from_millis(1500);
            assert!(fresh || !starts, "{span:?}, durable {durable}");
        }
    }
}

#[test]
fn leases_are_not_renewed_on_a_proof_that_became_stale_during_a_suspension() {
    for span in SPANS.map(Duration::from_millis) {
        let mut driver = Driver::new(1, policy());
        driver.submit(job("1", vec![step(1)]));
        driver.run_for(200 * MS);
        driver.store_available = false;
        driver.run_for(100 * MS);
        let effects = suspend(&mut driver, span);
        let mut polls = effects.iter().filter_map(|effect| match effect {
            Effect::Poll(_, poll) => poll.until,
            _ => None,
        });
        let renews = polls.next().is_some();
        assert!(
            span < Duration::from_secs(11) || !renews,
            "{span:?}: a lease is renewed without proof"
        );
    }
}

/// The reply was received before the suspension and is processed after it.
#[test]
fn a_clock_that_is_processed_late_extends_no_lease_beyond_its_length() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(200 * MS);
    let clock = driver.clock();
    driver.now.at += Duration::from_secs(5);
    let reply = PollReply::Report {
        clock,
        active: Vec::new(),
        finished: Vec::new(),
        more_ends: false,
    };
    driver
        .core
        .handle_poll_reply(&"w0".into(), Ok(reply), driver.now);
    driver.core.note_complete_listing(driver.now.at);
    let lease = 6000;
    for effect in driver.core.advance(driver.now) {
        if let Effect::Poll(_, poll) = effect {
            let until = poll.until.unwrap_or(0);
            assert!(
                until <= driver.clock() + lease,
                "longer than a lease from now"
            );
        }
    }
}

/// Covers consecutive suspensions with a short time awake between them.
#[test]
fn runs_survive_suspensions() {
    for spans in [[3000, 3000], [9000, 200], [30_000, 30_000]] {
        let mut driver = Driver::new(2, policy());
        let long_running = Step {
            long_running: true,
            ..step(2)
        };
        driver.submit(job("1", vec![long_running]));
        driver.run_for(200 * MS);
        for span in spans {
            let effects = suspend(&mut driver, span * MS);
            assert!(!effects.iter().any(is_start));
            for effect in effects {
                driver.carry_out(effect);
            }
            driver.run_for(500 * MS);
        }
        let starts = driver.starts();
        assert_eq!(starts.len(), 2, "the runs never left their workers");
    }
}
