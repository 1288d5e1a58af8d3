//! Placement of tasks on workers.

use std::collections::BTreeSet;
use std::time::Duration;

use ashtiller::resources::Resources;
use ashtiller::workflow::agents::{EndReason, Order};
use ashtiller::workflow::core::advice::AdviceRequest;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::{Advice, Policy, Sharing, Step};

use crate::driver::{Advisor, Driver, MS, job, policy, step};

#[test]
fn a_retry_avoids_the_worker_on_which_it_failed() {
    let mut driver = Driver::new(3, policy());
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(200 * MS);
    let (first, run) = driver.starts()[0].clone();
    driver.end(&first, run, EndReason::Failed, 1);
    driver.run_for(200 * MS);
    assert_ne!(driver.starts()[1].0, first);
}

#[test]
fn a_gang_starts_whole_and_under_one_number() {
    let mut driver = Driver::new(4, policy());
    let gang = Step {
        gang: true,
        one_rack: true,
        ..step(6)
    };
    driver.submit(job("1", vec![gang]));
    driver.run_for(300 * MS);
    let starts = driver.starts();
    assert_eq!(starts.len(), 6);
    assert!(starts.iter().all(|(_, run)| run.number == 1));
    // Two workers with four processors each form a rack.
    let racks: BTreeSet<u32> = starts
        .iter()
        .map(|(id, _)| id.id()[1..].parse::<u32>().unwrap() / 2)
        .collect();
    assert_eq!(racks.len(), 1);
}

#[test]
fn a_gang_that_does_not_fit_starts_nothing() {
    let mut driver = Driver::new(2, policy());
    let gang = Step {
        gang: true,
        ..step(9)
    };
    driver.submit(job("1", vec![gang]));
    driver.run_for(300 * MS);
    assert!(driver.starts().is_empty());
}

#[test]
fn spread_and_labels_bound_where_tasks_go() {
    let mut driver = Driver::new(4, policy());
    let spread = Step {
        spread: 1,
        ..step(4)
    };
    driver.submit(job("1", vec![spread]));
    driver.run_for(300 * MS);
    let workers: BTreeSet<Incarnation> = driver.starts().into_iter().map(|(id, _)| id).collect();
    assert_eq!(workers.len(), 4);
    let labelled = Step {
        label: Some("r1".into()),
        ..step(2)
    };
    driver.submit(job("2", vec![labelled]));
    driver.run_for(300 * MS);
    let starts = driver.starts();
    let late = &starts[4..];
    assert_eq!(late.len(), 2);
    assert!(late.iter().all(|(id, _)| matches!(id.id(), "w2" | "w3")));
}

#[test]
fn the_advisor_is_asked_for_likely_workers_only() {
    let advised = Policy {
        advice: Some(Advice {
            decide: 5 * MS,
            each: MS,
            valid: Duration::from_secs(3),
        }),
        ..policy()
    };
    let mut driver = Driver::new(20, advised);
    driver.submit(job("1", vec![step(2)]));
    driver.run_for(300 * MS);
    assert_eq!(driver.advice_requests.len(), 1);
    let named = driver.advice_requests[0].workers.len();
    assert!(named <= 8, "{named}");
    let tickets: Vec<bool> = driver
        .orders
        .iter()
        .map(|(_, _, order)| matches!(order, Order::Start(start) if start.ticket.is_some()))
        .collect();
    assert_eq!(tickets, [true, true]);
}

/// Decision times that the advisor states in the policy, for a request and for each worker in it.
const DECIDE: Duration = Duration::from_millis(300);
const EACH: Duration = Duration::from_millis(10);

fn advised() -> Policy {
    Policy {
        advice: Some(Advice {
            decide: DECIDE,
            each: EACH,
            valid: Duration::from_secs(3),
        }),
        ..policy()
    }
}

fn stated_time(request: &AdviceRequest) -> Duration {
    DECIDE + EACH * u32::try_from(request.workers.len()).unwrap()
}

/// A step whose policy names an advisor was started more than 4 s after it was due. The connection
/// to the advisor goes silent, the request on it gets no reply and is repeated on a new connection.
/// Every reply was allowed 4 s, whatever the policy states, although tasks must start again within
/// 3 s after a silence.
#[test]
fn a_reply_of_the_advisor_may_take_as_long_as_the_policy_states() {
    let mut driver = Driver::new(20, advised());
    driver.advisor = Advisor::LosesOne;
    driver.submit(job("1", vec![step(2)]));
    driver.run_for(600 * MS);
    let [first, again] = &driver.advice_requests[..] else {
        panic!("{:?}", driver.advice_requests);
    };
    assert!(first.limit > stated_time(first), "{first:?}");
    let answered = first.limit + 250 * MS + stated_time(again);
    assert!(answered < 3000 * MS, "{first:?}");
    // The advisor may need longer than it states, so a repeated request gets more time.
    assert!(again.limit >= 4000 * MS, "{again:?}");
}

/// The advisor processes one request at a time, so the timeout of a queued request includes the
/// time of those before it.
#[test]
fn a_request_to_the_advisor_waits_for_those_before_it() {
    let mut driver = Driver::new(20, advised());
    driver.advisor = Advisor::Works;
    driver.submit(job("1", vec![step(2)]));
    driver.submit(job("2", vec![step(2)]));
    driver.run_for(600 * MS);
    let [first, second] = &driver.advice_requests[..] else {
        panic!("{:?}", driver.advice_requests);
    };
    assert_eq!(second.limit, first.limit + stated_time(second));
}

#[test]
fn a_copy_starts_if_the_step_allows_it_and_the_worker_is_silent() {
    for (copies, starts) in [(true, 2), (false, 1)] {
        let mut driver = Driver::new(2, policy());
        driver.submit(job(
            "1",
            vec![Step {
                speculative: copies,
                ..step(1)
            }],
        ));
        driver.run_for(200 * MS);
        let (id, _) = driver.starts()[0].clone();
        driver.silent = Some(id.clone());
        driver.run_for(Duration::from_secs(4));
        let placed = driver.starts();
        assert_eq!(placed.len(), starts, "copies {copies}");
        assert!(placed.iter().skip(1).all(|(other, _)| *other != id));
    }
}

#[test]
fn a_large_long_running_task_is_not_delayed_by_short_ones() {
    let mut driver = Driver::new(1, policy());
    let large = Step {
        long_running: true,
        needs: Resources {
            processors: 3000,
            ..step(1).needs
        },
        ..step(1)
    };
    // All jobs are submitted in one round; the worker has four processors.
    driver.submit(job("1", vec![step(4)]));
    driver.submit(job("2", vec![large]));
    driver.run_for(200 * MS);
    let jobs: Vec<u32> = driver
        .starts()
        .iter()
        .map(|(_, run)| run.task.job)
        .collect();
    assert_eq!(jobs.iter().filter(|job| **job == 1).count(), 1, "{jobs:?}");
    assert_eq!(jobs.iter().filter(|job| **job == 0).count(), 1, "{jobs:?}");
}

/// More of them at once would slow each other down.
#[test]
fn fills_wait_for_unused_processors() {
    let fill = |count, processors| Step {
        sharing: Sharing::Fills,
        needs: Resources {
            processors,
            ..step(1).needs
        },
        ..step(count)
    };
    for (beside, asked, started) in [(0, 1000, 4), (2, 1000, 2), (0, 6000, 1)] {
        let mut driver = Driver::new(1, policy());
        if beside > 0 {
            driver.submit(job("1", vec![step(beside)]));
            driver.run_for(200 * MS);
        }
        driver.submit(job("2", vec![fill(8, asked)]));
        driver.run_for(500 * MS);
        let starts = driver.starts().len();
        let beside = usize::try_from(beside).unwrap();
        assert_eq!(starts - beside, started, "of 4 processors, {beside} taken");
    }
}
