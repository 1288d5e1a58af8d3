//! Workers that restart under their ids, as observed by the owner of a log.

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

fn started_at(number: u16, at: u64) -> ListedWorker {
    ListedWorker {
        incarnation: Incarnation::new(&format!("w{number}"), Some(at)),
        ..listed(number)
    }
}

/// Returns two workers with start times; the first is listed alone at first and has a run.
fn two_workers() -> (Driver, Incarnation, Run) {
    let mut driver = Driver::new(0, policy());
    driver.core.list_all(vec![started_at(0, 1000)], driver.now);
    driver.run_for(100 * MS);
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(200 * MS);
    let (incarnation, run) = driver.starts()[0].clone();
    assert_eq!(incarnation, Incarnation::new("w0", Some(1000)));
    let both = vec![started_at(0, 1000), started_at(1, 1000)];
    driver.core.list_all(both, driver.now);
    driver.run_for(100 * MS);
    (driver, incarnation, run)
}

#[test]
fn an_incarnation_is_written_as_its_id_and_its_start_time() {
    let incarnation = Incarnation::new("i-1", Some(42));
    assert_eq!((incarnation.id(), incarnation.born()), ("i-1", Some(42)));
    assert_eq!(Incarnation::from(incarnation.as_str()), incarnation);
    assert_eq!(Incarnation::from("i-1").born(), None);
    // An id that looks like an incarnation names the same incarnation again.
    let odd = Incarnation::new("i@7", None);
    assert_eq!(Incarnation::from(odd.as_str()), odd);
    assert!(incarnation.is_same_worker(&Incarnation::new("i-1", Some(41))));
    assert!(!incarnation.is_same_worker(&Incarnation::new("i-10", Some(42))));
}

/// Older logs and snapshots hold ids in place of incarnations.
#[test]
fn incarnations_of_old_logs_are_their_ids() {
    let old = postcard::to_stdvec("i-0752b0d0f2").unwrap();
    assert_eq!(old, b"\x0ci-0752b0d0f2");
    let incarnation: Incarnation = postcard::from_bytes(&old).unwrap();
    assert_eq!(
        (incarnation.id(), incarnation.born()),
        ("i-0752b0d0f2", None)
    );
    assert_eq!(postcard::to_stdvec(&incarnation).unwrap(), old);
}

#[test]
fn another_start_time_in_a_reply_ends_an_incarnation() {
    let (mut driver, incarnation, run) = two_workers();
    let next = Incarnation::new("w0", Some(900));
    driver.restarted.insert(incarnation.clone(), next.clone());
    driver.run_for(200 * MS);
    assert!(
        !driver.core.log_state().is_live(run),
        "none of its runs is active"
    );
    assert_eq!(driver.core.counts().restarts, 1);
    let crashed = driver.records.iter().any(|record| match record {
        LogRecord::Crashed(of, lost_runs) => {
            *of == incarnation && lost_runs.iter().any(|it| it.run == run)
        }
        _ => false,
    });
    assert!(crashed, "the crash is in the log");
    let starts = driver.starts();
    assert_eq!(starts.len(), 2);
    assert_eq!(
        starts[1].0.id(),
        "w1",
        "its next incarnation has no entry yet"
    );
}

#[test]
fn an_incarnation_gets_work_when_its_entry_is_listed() {
    let (mut driver, incarnation, _) = two_workers();
    let next = started_at(0, 900);
    driver
        .restarted
        .insert(incarnation, next.incarnation.clone());
    driver.core.list_all(vec![next.clone()], driver.now);
    driver.run_for(200 * MS);
    driver.submit(job("2", vec![step(1)]));
    driver.run_for(200 * MS);
    assert!(
        driver
            .starts()
            .iter()
            .any(|(at, _)| *at == next.incarnation)
    );
}

/// An entry of the former incarnation is read repeatedly; it ends no incarnation and costs few
/// polls.
#[test]
fn an_entry_of_an_ended_incarnation_restores_nothing() {
    let (mut driver, incarnation, _) = two_workers();
    let next = started_at(0, 2000);
    driver
        .restarted
        .insert(incarnation.clone(), next.incarnation.clone());
    driver.core.list_worker(next.clone(), driver.now);
    driver.run_for(200 * MS);
    let polls = driver.poll_counts[&incarnation];
    for _ in 0..40 {
        driver.core.list_worker(started_at(0, 1000), driver.now);
        driver.run_for(100 * MS);
    }
    assert!(
        driver.poll_counts[&incarnation] - polls <= 2,
        "{}",
        driver.poll_counts[&incarnation] - polls
    );
    assert_eq!(driver.core.counts().restarts, 1);
    assert!(driver.core.workers().contains_key(&next.incarnation));
}

/// The start was not answered and may still be executed, by the next incarnation.
#[test]
fn an_unanswered_start_is_stopped_at_the_next_incarnation_before_its_task_starts_elsewhere() {
    let mut driver = Driver::new(0, policy());
    driver.core.list_all(vec![started_at(0, 1000)], driver.now);
    driver.run_for(100 * MS);
    driver.drops_orders = Some(Incarnation::new("w0", Some(1000)));
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(100 * MS);
    let run = driver.starts()[0].1;
    let next = started_at(0, 2000);
    driver
        .restarted
        .insert(Incarnation::new("w0", Some(1000)), next.incarnation.clone());
    driver
        .core
        .list_all(vec![next.clone(), started_at(1, 1000)], driver.now);
    driver.run_for(Duration::from_secs(1));
    let orders = driver.orders.iter();
    let orders = orders.filter(|(at, ..)| at.id() == "w1" || *at == next.incarnation);
    let mut kinds = orders.map(|(at, of, order)| (at.id(), *of == run, order.kind()));
    assert_eq!(kinds.next(), Some(("w0", true, "stop")));
    assert!(matches!(kinds.next(), Some((_, false, "start"))));
}

/// A repeated acknowledgement could reach a later incarnation, which would then forget its own
/// ends.
#[test]
fn an_end_is_acknowledged_until_one_poll_with_it_was_answered() {
    let (mut driver, incarnation, run) = two_workers();
    driver.end(&incarnation, run, EndReason::Done, 7);
    driver.acknowledged.clear();
    driver.run_for(Duration::from_secs(2));
    let acknowledged_ends = driver
        .acknowledged
        .iter()
        .filter(|(of, _)| *of == incarnation);
    let acknowledged_ends: Vec<u64> = acknowledged_ends.map(|(_, seen)| *seen).collect();
    assert_eq!(
        acknowledged_ends.iter().filter(|seen| **seen > 0).count(),
        1,
        "{acknowledged_ends:?}"
    );
    assert!(acknowledged_ends.contains(&7));
}

#[test]
fn an_entry_without_a_start_time_does_not_affect_a_worker_that_has_one() {
    let (mut driver, incarnation, run) = two_workers();
    driver.core.list_worker(listed(0), driver.now);
    driver
        .core
        .list_all(vec![listed(0), started_at(1, 1000)], driver.now);
    driver.run_for(Duration::from_secs(3));
    assert!(driver.core.log_state().is_live(run));
    assert!(driver.core.workers()[&incarnation].unlisted_since.is_none());
    assert!(driver.core.workers().keys().all(|it| it.born().is_some()));
}

/// The new owner finds a run on an incarnation that had ended before the owner listed any worker.
#[test]
fn an_owner_that_takes_over_distinguishes_incarnations() {
    let (driver, incarnation, run) = two_workers();
    let mut successor = Driver::replay(&driver.records, 0, policy());
    let next = started_at(0, 2000);
    successor
        .restarted
        .insert(incarnation, next.incarnation.clone());
    successor.core.list_all(vec![next.clone()], successor.now);
    successor.run_for(Duration::from_secs(1));
    assert!(!successor.core.log_state().is_live(run));
    let first = successor
        .orders
        .iter()
        .find(|(at, ..)| *at == next.incarnation);
    let (_, of, order) = first.expect("an order");
    assert_eq!((*of, matches!(order, Order::Stop(..))), (run, true));
}

#[test]
fn reordered_replies_do_not_indicate_another_incarnation() {
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

/// An old entry must not discard what is known of the next incarnation. Seven tasks that were done
/// started again: their worker had restarted, and the owner knew that a poll of the former
/// incarnation could still acknowledge ends. Then an old entry listed that incarnation once more,
/// and its second end (`worker has restarted under its id`, `lost=0`) discarded this knowledge. The
/// worker got runs immediately, and forgot their ends unread 2.5 s later.
#[test]
fn an_old_entry_discards_nothing_that_is_known_of_the_next_incarnation() {
    let (mut driver, incarnation, run) = two_workers();
    driver.core.list_all(vec![started_at(0, 1000)], driver.now);
    driver.end(&incarnation, run, EndReason::Done, 7);
    let mut lost = false;
    for _ in 0..200 {
        driver.now.at += 5 * MS;
        driver.core.note_complete_listing(driver.now.at);
        for effect in driver.core.advance(driver.now) {
            match effect {
                Effect::Poll(target, poll) if poll.ends_recorded > 0 => {
                    let failure =
                        Failure::unknown_effect("look", &target.incarnation, "no answer in time");
                    driver
                        .core
                        .handle_poll_reply(&target.incarnation, Err(failure), driver.now);
                    lost = true;
                }
                other => driver.carry_out(other),
            }
        }
        if lost {
            break;
        }
    }
    assert!(lost, "an acknowledgement went unanswered");
    let next = started_at(0, 2000);
    driver
        .restarted
        .insert(incarnation, next.incarnation.clone());
    driver.core.list_worker(next.clone(), driver.now);
    driver.run_for(300 * MS);
    let old = ListedWorker {
        draining: true,
        ..started_at(0, 1000)
    };
    driver.core.list_worker(old, driver.now);
    driver.run_for(300 * MS);
    driver.core.list_worker(next.clone(), driver.now);
    driver.submit(job("2", vec![step(1)]));
    driver.run_for(Duration::from_secs(11));
    assert!(
        !driver
            .starts()
            .iter()
            .any(|(at, _)| *at == next.incarnation)
    );
    driver.run_for(Duration::from_secs(3));
    assert!(
        driver
            .starts()
            .iter()
            .any(|(at, _)| *at == next.incarnation)
    );
}

/// A task ran on two workers at once. One had restarted without a start time and executed a start
/// meant for its former incarnation: its reply contained a clock that lagged (1569 ms, where 1320
/// ms had been read 1.3 s earlier). By that clock the lease ended later than the owner calculated,
/// and the worker was cut off until then.
#[test]
fn a_lease_lasts_longer_by_a_clock_that_lags() {
    let mut driver = Driver::new(2, policy());
    driver.long_polls = true;
    driver.run_for(300 * MS);
    let heard = driver.clock();
    driver.run_for(1500 * MS);
    driver.submit(job("1", vec![step(1)]));
    let mut started: Option<(Incarnation, Duration)> = None;
    for _ in 0..2000 {
        driver.now.at += 5 * MS;
        driver.core.note_complete_listing(driver.now.at);
        for effect in driver.core.advance(driver.now) {
            match (effect, &started) {
                (Effect::Order(target, run, order @ Order::Start(_)), None) => {
                    let reply = Ok(OrderReply::Done(heard));
                    driver.core.handle_order_reply(
                        &target.incarnation,
                        run,
                        &order,
                        reply,
                        driver.now,
                    );
                    started = Some((target.incarnation, driver.now.at));
                }
                (Effect::Poll(target, _), Some((incarnation, _)))
                    if target.incarnation == *incarnation =>
                {
                    let failure = Failure::unknown_effect("look", incarnation, "no answer in time");
                    driver
                        .core
                        .handle_poll_reply(incarnation, Err(failure), driver.now);
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
    assert!(elsewhere > 7400 * MS, "started again after {elsewhere:?}");
}

/// Leases granted by earlier owners must not be taken for the current owner's. A task ran on two
/// workers at once. One had restarted and executed a renewal that the previous owner had sent to
/// its former incarnation: 7.9 s by its new clock, where the new owner, to which it then answered,
/// assumed 6 s at most. It was cut off, and its task was started elsewhere while it still ran.
#[test]
fn a_grant_of_an_earlier_owner_may_last_as_long_as_a_worker_grants() {
    let tuning = Tuning::default();
    let mut driver = Driver::new(0, policy());
    driver.clock_start = driver.now.at;
    let both = vec![listed(0), listed(1)];
    driver.core.list_all(both, driver.now);
    driver.run_for(100 * MS);
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(100 * MS);
    let (incarnation, _) = driver.starts()[0].clone();
    driver.silent = Some(incarnation);
    driver.run_for(tuning.hold.saturating_sub(200 * MS));
    assert_eq!(driver.starts().len(), 1, "it may still run");
    driver.run_for(1000 * MS);
    assert_eq!(driver.starts().len(), 2);
}

/// A lease by the clock of an ended incarnation must not be taken for one of the current
/// incarnation. A task ran on two workers at once: an owner's start had gone unanswered, and the
/// worker restarted, executed it and was cut off. The next owner had read the entry of the new
/// incarnation 0.9 s before, and recorded the run as lost when the leases of the former incarnation
/// had expired.
#[test]
fn a_run_in_doubt_may_continue_at_a_listed_incarnation_that_does_not_answer() {
    let (driver, incarnation, run) = two_workers();
    let tuning = Tuning::default();
    let mut successor = Driver::replay(&driver.records, 0, policy());
    let next = started_at(0, 2000);
    successor
        .crashed
        .extend([incarnation, next.incarnation.clone()]);
    successor
        .core
        .list_all(vec![next, started_at(1, 1000)], successor.now);
    successor.core.note_predecessor_ended(0, successor.now);
    successor.run_for(LATE_MAX + tuning.hold.saturating_sub(200 * MS));
    assert!(successor.starts().is_empty(), "it may still run");
    assert!(successor.core.log_state().is_live(run));
    successor.run_for(1500 * MS);
    assert_eq!(successor.starts().len(), 1);
}

/// A start carries the end of a lease, which a worker applies even if it refuses the start. An
/// unanswered start may reach the next incarnation, whose clock started anew: a grant of 6 s by the
/// former clock lasts for 10 s there. Guards against two runs of a task when that incarnation stops
/// answering.
#[test]
fn an_unanswered_start_may_extend_the_lease_of_the_next_incarnation() {
    let (mut driver, incarnation, _) = two_workers();
    driver.submit(job("2", vec![step(1), step(1)]));
    let mut unanswered = false;
    while !unanswered {
        driver.now.at += 5 * MS;
        driver.core.note_complete_listing(driver.now.at);
        for effect in driver.core.advance(driver.now) {
            match effect {
                Effect::Order(target, run, order @ Order::Start(_))
                    if target.incarnation == incarnation =>
                {
                    let failure =
                        Failure::unknown_effect("order", &incarnation, "no answer in time");
                    let core = &mut driver.core;
                    core.handle_order_reply(&incarnation, run, &order, Err(failure), driver.now);
                    unanswered = true;
                }
                other => driver.carry_out(other),
            }
        }
    }
    let sent = driver.now.at;
    let next = started_at(0, 2000);
    driver
        .restarted
        .insert(incarnation, next.incarnation.clone());
    driver.core.list_worker(next.clone(), driver.now);
    driver.run_for(500 * MS);
    let bound = driver.core.workers()[&next.incarnation].lease.bound();
    let tuning = Tuning::default();
    assert!(bound >= sent + LATE_MAX + tuning.hold, "{bound:?}");
}

/// A task ran on two workers at once. Its worker had restarted, and the next incarnation was listed
/// before a reply named it. The runs that moved there were then counted against the lease of an
/// incarnation without runs, which had long expired, and ended as lost at once. One of them was
/// active there and had 44 percent of its work left.
#[test]
fn a_run_in_doubt_has_a_lease_at_an_incarnation_that_was_listed_before() {
    let mut driver = Driver::new(0, policy());
    driver.core.list_all(vec![started_at(0, 1000)], driver.now);
    driver.core.note_predecessor_ended(0, driver.now);
    driver.run_for(Duration::from_secs(8));
    let incarnation = Incarnation::new("w0", Some(1000));
    driver.drops_orders = Some(incarnation.clone());
    driver.submit(job("1", vec![step(1)]));
    driver.run_for(100 * MS);
    let (_, run) = driver.starts()[0].clone();
    let next = started_at(0, 2000);
    driver.silent = Some(next.incarnation.clone());
    driver
        .restarted
        .insert(incarnation, next.incarnation.clone());
    driver
        .core
        .list_all(vec![next, started_at(1, 1000)], driver.now);
    driver.run_for(Duration::from_secs(2));
    assert_eq!(driver.core.counts().restarts, 1);
    assert!(driver.core.log_state().is_live(run), "it may be active");
    assert!(driver.starts().iter().all(|(at, _)| at.id() == "w0"));
}
