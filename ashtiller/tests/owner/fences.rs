//! Fences that rise during the time of one owner, so that a later incarnation of a worker does not
//! execute earlier calls.
//!
//! A task that was done started again. A poll that acknowledged ends up to 6 went unanswered; the
//! worker restarted under its id, without a start time. The network refused a start, which was sent
//! once more: the new incarnation accepted it (clock 1281 ms) and ended the run, and then the poll
//! arrived, 3.3 s late. The new incarnation forgot an end that nobody had read, and the run was
//! counted as lost. That incarnation received the start at 71.845 s and the poll at 73.640 s, both
//! with fence 2.

use std::time::Duration;

use ashtiller::failure::Failure;
use ashtiller::workflow::agents::{EndReason, Order, OrderReply, Poll, PollReply, Refusal, Target};
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::core::Effect;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::record::Run;

use crate::driver::{Driver, MS, job, listed, policy, step};

/// Advances time until a call that `wants` accepts is made and returns it; other calls are
/// executed.
fn await_call<T>(driver: &mut Driver, mut wants: impl FnMut(&Effect) -> Option<T>) -> T {
    for _ in 0..2000 {
        driver.now.at += 5 * MS;
        driver.core.note_complete_listing(driver.now.at);
        let mut found = None;
        for effect in driver.core.advance(driver.now) {
            match found.is_none().then(|| wants(&effect)).flatten() {
                Some(call) => found = Some(call),
                None => driver.carry_out(effect),
            }
        }
        if let Some(call) = found {
            return call;
        }
    }
    panic!("no such call within 10 s");
}

fn acknowledges(effect: &Effect) -> Option<(Target, Poll)> {
    match effect {
        Effect::Poll(target, poll) if poll.ends_recorded > 0 => {
            Some((target.clone(), poll.clone()))
        }
        _ => None,
    }
}

fn starts(effect: &Effect) -> Option<(Target, Run, Order)> {
    match effect {
        Effect::Order(target, run, order @ Order::Start(_)) => {
            Some((target.clone(), *run, order.clone()))
        }
        _ => None,
    }
}

/// Returns a worker with an end that is acknowledged by a poll in flight, and the target of that
/// poll.
fn with_ack_in_flight(listed: ListedWorker) -> (Driver, Target) {
    let mut driver = Driver::new(0, policy());
    driver.core.list_all(vec![listed], driver.now);
    driver.run_for(100 * MS);
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(200 * MS);
    let (incarnation, run) = driver.starts()[0].clone();
    driver.end(&incarnation, run, EndReason::Done, 6);
    let (target, _) = await_call(&mut driver, acknowledges);
    (driver, target)
}

fn note_entry(driver: &mut Driver, number: u64) {
    let revision = driver.core.epoch() + number;
    driver.core.note_revision(revision);
}

#[test]
fn calls_after_a_failed_call_fence_out_an_earlier_acknowledgement() {
    let (mut driver, polled) = with_ack_in_flight(listed(0));
    note_entry(&mut driver, 1);
    driver.submit(job("2", vec![step(1)]));
    let (first, run, order) = await_call(&mut driver, starts);
    assert_eq!(first.fence, polled.fence);
    let refused = Failure::no_effect("order", &first.incarnation, "connection refused");
    let core = &mut driver.core;
    core.handle_order_reply(&first.incarnation, run, &order, Err(refused), driver.now);
    let (again, ..) = await_call(&mut driver, starts);
    assert!(
        again.fence > polled.fence,
        "the poll arrives after this start"
    );
}

#[test]
fn a_later_owner_has_a_higher_fence_than_all_earlier_calls() {
    let (mut driver, polled) = with_ack_in_flight(listed(0));
    note_entry(&mut driver, 9);
    let failure = Failure::unknown_effect("look", &polled.incarnation, "no answer in time");
    driver
        .core
        .handle_poll_reply(&polled.incarnation, Err(failure), driver.now);
    let (target, ..) = await_call(&mut driver, |effect| match effect {
        Effect::Poll(target, poll) => Some((target.clone(), poll.clone())),
        _ => None,
    });
    // The revision of the store increases with every write, and the epoch of a later owner is such
    // a revision.
    assert_eq!(target.fence, driver.core.epoch() + 9);
}

/// An order that was in flight when the fence rose is rejected, which does not prove that there is
/// another owner.
#[test]
fn an_order_rejected_by_its_own_fence_is_sent_again() {
    let (mut driver, polled) = with_ack_in_flight(listed(0));
    driver.submit(job("2", vec![step(1)]));
    let (first, run, order) = await_call(&mut driver, starts);
    note_entry(&mut driver, 1);
    let failure = Failure::unknown_effect("look", &polled.incarnation, "no answer in time");
    driver
        .core
        .handle_poll_reply(&polled.incarnation, Err(failure), driver.now);
    let fenced = Ok(OrderReply::Refused(Refusal::Fenced));
    let core = &mut driver.core;
    core.handle_order_reply(&first.incarnation, run, &order, fenced, driver.now);
    assert!(!driver.core.is_superseded());
    let (again, of, _) = await_call(&mut driver, starts);
    assert_eq!((again.fence > first.fence, of), (true, run));
    driver.run_for(4000 * MS);
    let fenced = Ok(OrderReply::Refused(Refusal::Fenced));
    let core = &mut driver.core;
    core.handle_order_reply(&again.incarnation, run, &order, fenced, driver.now);
    assert!(driver.core.is_superseded(), "no earlier call is in flight");
}

#[test]
fn a_poll_rejected_by_its_own_fence_does_not_prove_another_owner() {
    let (mut driver, polled) = with_ack_in_flight(listed(0));
    driver.submit(job("2", vec![step(1)]));
    let (first, run, order) = await_call(&mut driver, starts);
    note_entry(&mut driver, 1);
    let failure = Failure::unknown_effect("order", &first.incarnation, "no answer in time");
    let core = &mut driver.core;
    core.handle_order_reply(&first.incarnation, run, &order, Err(failure), driver.now);
    driver
        .core
        .handle_poll_reply(&polled.incarnation, Ok(PollReply::Fenced), driver.now);
    assert!(!driver.core.is_superseded());
}

/// A poll waits for 2 s and may take 2 s more where replies queue. One that is rejected 3.4 s after
/// the fence rose was sent before, with a lower one, and does not prove that there is another owner
/// either: the owner gave up the log.
#[test]
fn a_slow_poll_rejected_by_its_own_fence_does_not_prove_another_owner() {
    let (mut driver, polled) = with_ack_in_flight(listed(0));
    driver.submit(job("2", vec![step(1)]));
    let (first, run, order) = await_call(&mut driver, starts);
    note_entry(&mut driver, 1);
    let failure = Failure::unknown_effect("order", &first.incarnation, "no answer in time");
    let core = &mut driver.core;
    core.handle_order_reply(&first.incarnation, run, &order, Err(failure), driver.now);
    driver.run_for(3400 * MS);
    driver
        .core
        .handle_poll_reply(&polled.incarnation, Ok(PollReply::Fenced), driver.now);
    assert!(!driver.core.is_superseded());
}

/// The next incarnation used to wait for 13 s, until no acknowledgement meant for the previous one
/// could arrive.
#[test]
fn an_incarnation_that_has_accepted_a_higher_fence_gets_work_immediately() {
    let started_at = |at| ListedWorker {
        incarnation: Incarnation::new("w0", Some(at)),
        ..listed(0)
    };
    let (mut driver, polled) = with_ack_in_flight(started_at(1000));
    note_entry(&mut driver, 1);
    let failure = Failure::unknown_effect("look", &polled.incarnation, "no answer in time");
    driver
        .core
        .handle_poll_reply(&polled.incarnation, Err(failure), driver.now);
    let next = started_at(2000);
    driver
        .restarted
        .insert(polled.incarnation, next.incarnation.clone());
    driver.core.list_worker(next.clone(), driver.now);
    driver.submit(job("2", vec![step(1)]));
    driver.run_for(Duration::from_secs(1));
    assert!(
        driver
            .starts()
            .iter()
            .any(|(at, _)| *at == next.incarnation)
    );
}

/// All incarnations of a worker must share one fence. An owner gave up the log although there was
/// no other owner: the next incarnation had accepted a call to the former one, with a raised fence,
/// and then rejected the first poll under its own start time, which carried the owner's epoch.
#[test]
fn all_incarnations_of_a_worker_are_called_with_one_fence() {
    let started_at = |at| ListedWorker {
        incarnation: Incarnation::new("w0", Some(at)),
        ..listed(0)
    };
    let (mut driver, polled) = with_ack_in_flight(started_at(1000));
    note_entry(&mut driver, 1);
    let failure = Failure::unknown_effect("look", &polled.incarnation, "no answer in time");
    driver
        .core
        .handle_poll_reply(&polled.incarnation, Err(failure), driver.now);
    let next = started_at(2000);
    driver.core.list_worker(next.clone(), driver.now);
    let (target, _) = await_call(&mut driver, |effect| match effect {
        Effect::Poll(target, poll) if target.incarnation == next.incarnation => {
            Some((target.clone(), poll.clone()))
        }
        _ => None,
    });
    assert!(target.fence > polled.fence);
}
