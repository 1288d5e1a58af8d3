//! Workers that start again under their ids, as the owner of a log hears of it.

use std::time::Duration;

use ashtiller::failure::Failure;
use ashtiller::workflow::agents::{EndReason, Order, OrderReply};
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::core::Effect;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::lease::Lease;
use ashtiller::workflow::record::{LogRecord, Run};
use ashtiller::workflow::tuning::Tuning;
use ashtiller::workflow::worker::LATE_MAX;

use crate::driver::{Driver, MS, job, listed, policy, step};

fn born(number: u16, at: u64) -> ListedWorker {
    ListedWorker {
        incarnation: Incarnation::new(&format!("w{number}"), Some(at)),
        ..listed(number)
    }
}

/// Two workers with births, the first of which is listed alone at first and has a run.
fn begin() -> (Driver, Incarnation, Run) {
    let mut driver = Driver::new(0, policy());
    driver.core.list_all(vec![born(0, 1000)], driver.now);
    driver.pass(100 * MS);
    driver.submit(job("1", vec![step(1)]));
    driver.pass(200 * MS);
    let (life, run) = driver.starts()[0].clone();
    assert_eq!(life, Incarnation::new("w0", Some(1000)));
    let both = vec![born(0, 1000), born(1, 1000)];
    driver.core.list_all(both, driver.now);
    driver.pass(100 * MS);
    (driver, life, run)
}

#[test]
fn a_life_is_written_as_its_id_and_its_birth() {
    let life = Incarnation::new("i-1", Some(42));
    assert_eq!((life.id(), life.born()), ("i-1", Some(42)));
    assert_eq!(Incarnation::from(life.as_str()), life);
    assert_eq!(Incarnation::from("i-1").born(), None);
    // An id that looks like a life names the same life again.
    let odd = Incarnation::new("i@7", None);
    assert_eq!(Incarnation::from(odd.as_str()), odd);
    assert!(life.is_same_worker(&Incarnation::new("i-1", Some(41))));
    assert!(!life.is_same_worker(&Incarnation::new("i-10", Some(42))));
}

/// The log and snapshots of before held ids in place of lives.
#[test]
fn lives_of_old_logs_are_their_ids() {
    let old = postcard::to_stdvec("i-0752b0d0f2").unwrap();
    assert_eq!(old, b"\x0ci-0752b0d0f2");
    let life: Incarnation = postcard::from_bytes(&old).unwrap();
    assert_eq!((life.id(), life.born()), ("i-0752b0d0f2", None));
    assert_eq!(postcard::to_stdvec(&life).unwrap(), old);
}

#[test]
fn another_birth_in_an_answer_ends_a_life() {
    let (mut driver, life, run) = begin();
    let next = Incarnation::new("w0", Some(900));
    driver.reborn.insert(life.clone(), next.clone());
    driver.pass(200 * MS);
    assert!(!driver.core.log_state().is_live(run), "nothing of it runs");
    assert_eq!(driver.core.counts().restarts, 1);
    let crashed = driver.facts.iter().any(|fact| match fact {
        LogRecord::Crashed(of, victims) => *of == life && victims.iter().any(|it| it.run == run),
        _ => false,
    });
    assert!(crashed, "the crash is in the log");
    let starts = driver.starts();
    assert_eq!(starts.len(), 2);
    assert_eq!(starts[1].0.id(), "w1", "its next life has no entry yet");
}

#[test]
fn a_life_gets_work_when_its_entry_is_there() {
    let (mut driver, life, _) = begin();
    let next = born(0, 900);
    driver.reborn.insert(life, next.incarnation.clone());
    driver.core.list_all(vec![next.clone()], driver.now);
    driver.pass(200 * MS);
    driver.submit(job("2", vec![step(1)]));
    driver.pass(200 * MS);
    assert!(
        driver
            .starts()
            .iter()
            .any(|(at, _)| *at == next.incarnation)
    );
}

/// An entry of the former life is read again and again; it ends nothing and costs few looks.
#[test]
fn an_entry_of_a_life_that_is_over_brings_nothing_back() {
    let (mut driver, life, _) = begin();
    let next = born(0, 2000);
    driver.reborn.insert(life.clone(), next.incarnation.clone());
    driver.core.list_worker(next.clone(), driver.now);
    driver.pass(200 * MS);
    let looks = driver.looked[&life];
    for _ in 0..40 {
        driver.core.list_worker(born(0, 1000), driver.now);
        driver.pass(100 * MS);
    }
    assert!(
        driver.looked[&life] - looks <= 2,
        "{}",
        driver.looked[&life] - looks
    );
    assert_eq!(driver.core.counts().restarts, 1);
    assert!(driver.core.workers().contains_key(&next.incarnation));
}

/// The start was not answered and may still be carried out, by the next life.
#[test]
fn a_start_in_doubt_is_stopped_at_the_next_life_before_its_task_starts_elsewhere() {
    let mut driver = Driver::new(0, policy());
    driver.core.list_all(vec![born(0, 1000)], driver.now);
    driver.pass(100 * MS);
    driver.deaf = Some(Incarnation::new("w0", Some(1000)));
    driver.submit(job("1", vec![step(1)]));
    driver.pass(100 * MS);
    let run = driver.starts()[0].1;
    let next = born(0, 2000);
    driver
        .reborn
        .insert(Incarnation::new("w0", Some(1000)), next.incarnation.clone());
    driver
        .core
        .list_all(vec![next.clone(), born(1, 1000)], driver.now);
    driver.pass(Duration::from_secs(1));
    let orders = driver.orders.iter();
    let orders = orders.filter(|(at, ..)| at.id() == "w1" || *at == next.incarnation);
    let mut kinds = orders.map(|(at, of, order)| (at.id(), *of == run, order.kind()));
    assert_eq!(kinds.next(), Some(("w0", true, "stop")));
    assert!(matches!(kinds.next(), Some((_, false, "start"))));
}

/// One that is repeated could be carried out by a later life, which would forget its own ends.
#[test]
fn an_end_is_acknowledged_until_one_look_with_it_was_answered() {
    let (mut driver, life, run) = begin();
    driver.end(&life, run, EndReason::Done, 7);
    driver.acknowledged.clear();
    driver.pass(Duration::from_secs(2));
    let told = driver.acknowledged.iter().filter(|(of, _)| *of == life);
    let told: Vec<u64> = told.map(|(_, seen)| *seen).collect();
    assert_eq!(told.iter().filter(|seen| **seen > 0).count(), 1, "{told:?}");
    assert!(told.contains(&7));
}

#[test]
fn an_entry_without_a_birth_says_nothing_of_a_worker_that_has_one() {
    let (mut driver, life, run) = begin();
    driver.core.list_worker(listed(0), driver.now);
    driver
        .core
        .list_all(vec![listed(0), born(1, 1000)], driver.now);
    driver.pass(Duration::from_secs(3));
    assert!(driver.core.log_state().is_live(run));
    assert!(driver.core.workers()[&life].unlisted_since.is_none());
    assert!(driver.core.workers().keys().all(|it| it.born().is_some()));
}

/// The new owner finds a run on a life that was over before it listed anybody.
#[test]
fn an_owner_that_takes_over_tells_the_lives_apart() {
    let (driver, life, run) = begin();
    let mut heir = Driver::replay(&driver.facts, 0, policy());
    let next = born(0, 2000);
    heir.reborn.insert(life, next.incarnation.clone());
    heir.core.list_all(vec![next.clone()], heir.now);
    heir.pass(Duration::from_secs(1));
    assert!(!heir.core.log_state().is_live(run));
    let first = heir.orders.iter().find(|(at, ..)| *at == next.incarnation);
    let (_, of, order) = first.expect("an order");
    assert_eq!((*of, matches!(order, Order::Stop(..))), (run, true));
}

#[test]
fn answers_that_pass_each_other_tell_of_no_other_life() {
    let mut lease = Lease::new(Duration::ZERO);
    lease.hear(5000, 100 * MS);
    assert!(!lease.lags(4990, 95 * MS), "it was sent before");
    assert!(
        lease.lags(5080, 200 * MS),
        "its clock is slow by more than it may be"
    );
    assert!(!lease.lags(5098, 200 * MS));
    assert!(!lease.is_behind(5080, 200 * MS));
    assert!(lease.is_behind(4999, 200 * MS));
}

/// Symptom: seven tasks that were done began again. Their worker had started again, and the owner
/// knew that a look to the life before could still acknowledge ends; then an old entry listed that
/// life once more, and its second end (`worker has started again`, `lost=0`) wiped this knowledge
/// out: the worker got runs at once, and forgot their ends unread 2.5 s later.
#[test]
fn an_old_entry_wipes_out_nothing_that_is_known_of_the_next_life() {
    let (mut driver, life, run) = begin();
    driver.core.list_all(vec![born(0, 1000)], driver.now);
    driver.end(&life, run, EndReason::Done, 7);
    let mut lost = false;
    for _ in 0..200 {
        driver.now.at += 5 * MS;
        driver.core.note_complete_listing(driver.now.at);
        for effect in driver.core.advance(driver.now) {
            match effect {
                Effect::Poll(target, look) if look.ends_recorded > 0 => {
                    let nothing =
                        Failure::unknown_effect("look", &target.incarnation, "no answer in time");
                    driver
                        .core
                        .handle_poll_reply(&target.incarnation, Err(nothing), driver.now);
                    lost = true;
                }
                other => driver.carry_out(other),
            }
        }
        if lost {
            break;
        }
    }
    assert!(lost, "an acknowledgement was not answered");
    let next = born(0, 2000);
    driver.reborn.insert(life, next.incarnation.clone());
    driver.core.list_worker(next.clone(), driver.now);
    driver.pass(300 * MS);
    let old = ListedWorker {
        draining: true,
        ..born(0, 1000)
    };
    driver.core.list_worker(old, driver.now);
    driver.pass(300 * MS);
    driver.core.list_worker(next.clone(), driver.now);
    driver.submit(job("2", vec![step(1)]));
    driver.pass(Duration::from_secs(11));
    assert!(
        !driver
            .starts()
            .iter()
            .any(|(at, _)| *at == next.incarnation)
    );
    driver.pass(Duration::from_secs(3));
    assert!(
        driver
            .starts()
            .iter()
            .any(|(at, _)| *at == next.incarnation)
    );
}

/// Symptom: a task ran on two workers at once. One had started again without a birth, and the
/// order to start it, meant for the life before, was carried out: its answer told a clock that
/// lagged (1569 ms where 1320 ms had been heard 1.3 s earlier). By that clock the lease ended
/// later than the owner reckoned, and the worker was cut off until then.
#[test]
fn a_lease_lasts_longer_by_a_clock_that_lags() {
    let mut driver = Driver::new(2, policy());
    driver.patient = true;
    driver.pass(300 * MS);
    let heard = driver.clock();
    driver.pass(1500 * MS);
    driver.submit(job("1", vec![step(1)]));
    let mut started: Option<(Incarnation, Duration)> = None;
    for _ in 0..2000 {
        driver.now.at += 5 * MS;
        driver.core.note_complete_listing(driver.now.at);
        for effect in driver.core.advance(driver.now) {
            match (effect, &started) {
                (Effect::Order(target, run, order @ Order::Start(_)), None) => {
                    let said = Ok(OrderReply::Done(heard));
                    driver.core.handle_order_reply(
                        &target.incarnation,
                        run,
                        &order,
                        said,
                        driver.now,
                    );
                    started = Some((target.incarnation, driver.now.at));
                }
                (Effect::Poll(target, _), Some((life, _))) if target.incarnation == *life => {
                    let nothing = Failure::unknown_effect("look", life, "no answer in time");
                    driver
                        .core
                        .handle_poll_reply(life, Err(nothing), driver.now);
                }
                (other, _) => driver.carry_out(other),
            }
        }
        if !driver.starts().is_empty() {
            break;
        }
    }
    let (_, at) = started.expect("a start");
    let elsewhere = driver.now.at.saturating_sub(at);
    // 6 s of lease, and 1.5 s by which its clock was behind.
    assert!(elsewhere > 7400 * MS, "again after {elsewhere:?}");
}

/// Symptom: a task ran on two workers at once. One had started again, and carried out a renewal
/// that the owner before had sent to its former life: 7.9 s by its new clock, where the new owner,
/// to which it then answered, reckoned with 6 s at most. It was cut off, and its task started
/// elsewhere while it still ran. Guards against leases of earlier owners that are taken for ours.
#[test]
fn a_grant_of_an_earlier_owner_may_last_as_long_as_a_worker_grants() {
    let terms = Tuning::default();
    let mut driver = Driver::new(0, policy());
    driver.began = driver.now.at;
    let both = vec![listed(0), listed(1)];
    driver.core.list_all(both, driver.now);
    driver.pass(100 * MS);
    driver.submit(job("1", vec![step(1)]));
    driver.pass(100 * MS);
    let (life, _) = driver.starts()[0].clone();
    driver.silent = Some(life);
    driver.pass(terms.hold.saturating_sub(200 * MS));
    assert_eq!(driver.starts().len(), 1, "it may still run");
    driver.pass(1000 * MS);
    assert_eq!(driver.starts().len(), 2);
}

/// Symptom: a task ran on two workers at once. An owner's start had gone unanswered; the worker
/// started again, carried it out and was cut off, and the next owner, which had read the entry of
/// that life 0.9 s before, counted the run as lost when the leases of the former life were over.
/// Guards against a lease of the dead clock that is taken for one of the living.
#[test]
fn a_run_in_doubt_may_go_on_at_a_life_that_is_listed_and_says_nothing() {
    let (driver, life, run) = begin();
    let terms = Tuning::default();
    let mut heir = Driver::replay(&driver.facts, 0, policy());
    let next = born(0, 2000);
    heir.crashed.extend([life, next.incarnation.clone()]);
    heir.core.list_all(vec![next, born(1, 1000)], heir.now);
    heir.core.note_predecessor_ended(0, heir.now);
    heir.pass(LATE_MAX + terms.hold.saturating_sub(200 * MS));
    assert!(heir.starts().is_empty(), "it may still run");
    assert!(heir.core.log_state().is_live(run));
    heir.pass(1500 * MS);
    assert_eq!(heir.starts().len(), 1);
}

/// A start names the end of a lease, which a worker takes even from a start that it refuses. One
/// that was not answered may come to the next life, whose clock began anew: a grant of 6 s by the
/// former clock lasts for 10 s there. Guards against two runs of a task when that life falls silent.
#[test]
fn a_start_that_was_not_answered_may_extend_the_lease_of_the_next_life() {
    let (mut driver, life, _) = begin();
    driver.submit(job("2", vec![step(1), step(1)]));
    let mut unanswered = false;
    while !unanswered {
        driver.now.at += 5 * MS;
        driver.core.note_complete_listing(driver.now.at);
        for effect in driver.core.advance(driver.now) {
            match effect {
                Effect::Order(target, run, order @ Order::Start(_))
                    if target.incarnation == life =>
                {
                    let nothing = Failure::unknown_effect("order", &life, "no answer in time");
                    let core = &mut driver.core;
                    core.handle_order_reply(&life, run, &order, Err(nothing), driver.now);
                    unanswered = true;
                }
                other => driver.carry_out(other),
            }
        }
    }
    let sent = driver.now.at;
    let next = born(0, 2000);
    driver.reborn.insert(life, next.incarnation.clone());
    driver.core.list_worker(next.clone(), driver.now);
    driver.pass(500 * MS);
    let bound = driver.core.workers()[&next.incarnation].lease.bound();
    let terms = Tuning::default();
    assert!(bound >= sent + LATE_MAX + terms.hold, "{bound:?}");
}
