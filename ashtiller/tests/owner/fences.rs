//! Fences that rise within the time of one owner.
//!
//! Symptom: a task that was done began again. A look that acknowledged ends up to 6 went
//! unanswered; the worker started again under its id, without a birth, and a start was refused
//! by the network and sent once more: the new life took it (clock 1281 ms), ended it, and then the
//! look came, 3.3 s late. The new life forgot an end that nobody had read, and the run counted as
//! lost. Settled by the order of the calls at that life: start at 71.845 s, look at 73.640 s, both
//! with fence 2. Guards against calls of before that a later life carries out.

use std::time::Duration;

use ashtiller::failure::Failure;
use ashtiller::workflow::agents::{EndReason, Order, OrderReply, Poll, PollReply, Refusal, Target};
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::core::Effect;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::record::Run;

use crate::driver::{Driver, MS, job, listed, policy, step};

/// Passes time until a call is made that `wants` takes; the others are carried out.
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
        Effect::Poll(target, look) if look.ends_recorded > 0 => {
            Some((target.clone(), look.clone()))
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

/// A worker with an end that was acknowledged by a look which is on its way.
fn begin(listed: ListedWorker) -> (Driver, Target) {
    let mut driver = Driver::new(0, policy());
    driver.core.list_all(vec![listed], driver.now);
    driver.pass(100 * MS);
    driver.submit(job("1", vec![step(1)]));
    driver.pass(200 * MS);
    let (life, run) = driver.starts()[0].clone();
    driver.end(&life, run, EndReason::Done, 6);
    let (target, _) = await_call(&mut driver, acknowledges);
    (driver, target)
}

fn see_entry(driver: &mut Driver, number: u64) {
    let revision = driver.core.epoch() + number;
    driver.core.note_revision(revision);
}

#[test]
fn what_is_sent_after_a_call_failed_keeps_out_an_acknowledgement_of_before() {
    let (mut driver, look) = begin(listed(0));
    see_entry(&mut driver, 1);
    driver.submit(job("2", vec![step(1)]));
    let (first, run, order) = await_call(&mut driver, starts);
    assert_eq!(first.fence, look.fence);
    let refused = Failure::no_effect("order", &first.incarnation, "connection refused");
    let core = &mut driver.core;
    core.handle_order_reply(&first.incarnation, run, &order, Err(refused), driver.now);
    let (again, ..) = await_call(&mut driver, starts);
    assert!(again.fence > look.fence, "the look comes after this start");
}

#[test]
fn a_later_owner_has_a_higher_fence_than_any_of_before() {
    let (mut driver, look) = begin(listed(0));
    see_entry(&mut driver, 9);
    let nothing = Failure::unknown_effect("look", &look.incarnation, "no answer in time");
    driver
        .core
        .handle_poll_reply(&look.incarnation, Err(nothing), driver.now);
    let (target, ..) = await_call(&mut driver, |effect| match effect {
        Effect::Poll(target, look) => Some((target.clone(), look.clone())),
        _ => None,
    });
    // The store counts on with each write, and a later owner's epoch is such a revision.
    assert_eq!(target.fence, driver.core.epoch() + 9);
}

/// An order that was on its way when the fence rose is refused, which is no word of another owner.
#[test]
fn an_order_that_its_own_fence_keeps_out_goes_out_again() {
    let (mut driver, look) = begin(listed(0));
    driver.submit(job("2", vec![step(1)]));
    let (first, run, order) = await_call(&mut driver, starts);
    see_entry(&mut driver, 1);
    let nothing = Failure::unknown_effect("look", &look.incarnation, "no answer in time");
    driver
        .core
        .handle_poll_reply(&look.incarnation, Err(nothing), driver.now);
    let fenced = Ok(OrderReply::Refused(Refusal::Fenced));
    let core = &mut driver.core;
    core.handle_order_reply(&first.incarnation, run, &order, fenced, driver.now);
    assert!(!driver.core.is_superseded());
    let (again, of, _) = await_call(&mut driver, starts);
    assert_eq!((again.fence > first.fence, of), (true, run));
    driver.pass(4000 * MS);
    let fenced = Ok(OrderReply::Refused(Refusal::Fenced));
    let core = &mut driver.core;
    core.handle_order_reply(&again.incarnation, run, &order, fenced, driver.now);
    assert!(
        driver.core.is_superseded(),
        "nothing of before is under way"
    );
}

#[test]
fn a_look_that_its_own_fence_keeps_out_is_no_word_of_another_owner() {
    let (mut driver, look) = begin(listed(0));
    driver.submit(job("2", vec![step(1)]));
    let (first, run, order) = await_call(&mut driver, starts);
    see_entry(&mut driver, 1);
    let nothing = Failure::unknown_effect("order", &first.incarnation, "no answer in time");
    let core = &mut driver.core;
    core.handle_order_reply(&first.incarnation, run, &order, Err(nothing), driver.now);
    driver
        .core
        .handle_poll_reply(&look.incarnation, Ok(PollReply::Fenced), driver.now);
    assert!(!driver.core.is_superseded());
}

/// A next life waited for 13 s, until no acknowledgement meant for the one before could come.
#[test]
fn a_life_that_has_taken_a_higher_fence_gets_work_at_once() {
    let born = |at| ListedWorker {
        incarnation: Incarnation::new("w0", Some(at)),
        ..listed(0)
    };
    let (mut driver, look) = begin(born(1000));
    see_entry(&mut driver, 1);
    let nothing = Failure::unknown_effect("look", &look.incarnation, "no answer in time");
    driver
        .core
        .handle_poll_reply(&look.incarnation, Err(nothing), driver.now);
    let next = born(2000);
    driver
        .reborn
        .insert(look.incarnation, next.incarnation.clone());
    driver.core.list_worker(next.clone(), driver.now);
    driver.submit(job("2", vec![step(1)]));
    driver.pass(Duration::from_secs(1));
    assert!(
        driver
            .starts()
            .iter()
            .any(|(at, _)| *at == next.incarnation)
    );
}

/// Symptom: an owner gave the log up without another one. A call to the former life had been taken
/// by the next, with a fence that had risen; the first look at that life, listed under its own birth,
/// bore the owner's epoch and was refused. Guards against fences that are kept for a life.
#[test]
fn all_lives_of_a_worker_are_called_with_one_fence() {
    let born = |at| ListedWorker {
        incarnation: Incarnation::new("w0", Some(at)),
        ..listed(0)
    };
    let (mut driver, look) = begin(born(1000));
    see_entry(&mut driver, 1);
    let nothing = Failure::unknown_effect("look", &look.incarnation, "no answer in time");
    driver
        .core
        .handle_poll_reply(&look.incarnation, Err(nothing), driver.now);
    let next = born(2000);
    driver.core.list_worker(next.clone(), driver.now);
    let (target, _) = await_call(&mut driver, |effect| match effect {
        Effect::Poll(target, look) if target.incarnation == next.incarnation => {
            Some((target.clone(), look.clone()))
        }
        _ => None,
    });
    assert!(target.fence > look.fence);
}
