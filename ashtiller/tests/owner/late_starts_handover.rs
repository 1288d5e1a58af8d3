//! Owners that end at different points of a start: what the log says of it to the next owner.

use super::*;

/// Time within which a task of a lost worker runs again if no start of it is in doubt: the longest
/// lease that earlier owners grant, with a margin.
const LEASES_OVER: Duration = Duration::from_secs(8);

/// Submits a task and runs until its start was sent this many times.
fn send_starts(fleet: &mut Fleet, count: usize) {
    fleet.duration = 15 * SECOND;
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(2 * SECOND, |it| it.sent.len() == count));
}

/// Leaves the log as a version writes it that records no pending starts.
fn remove_optional_records(fleet: &mut Fleet) {
    for records in &mut fleet.log {
        records.retain(|record| !record.is_optional());
    }
}

/// Adds a worker and lets the owner move the run off `w0`, which drains. The process of `w0` is
/// replaced later, and the next one gets the starts that were held.
fn drain_and_deliver(fleet: &mut Fleet) {
    fleet.drain("w0");
    fleet.add_worker(1);
    fleet.run_for(3 * SECOND);
    restart_and_deliver(fleet);
}

/// Replaces the owner, and the next one once it has sent a start of its own. Checks that no start
/// that was held runs beside the next run.
fn replace_owner_twice(fleet: &mut Fleet) {
    fleet.replace_owner();
    assert!(fleet.run_until(2 * SECOND, |it| it.sent.len() == 2));
    fleet.replace_owner();
    drain_and_deliver(fleet);
    fleet.assert_correct();
}

/// Two owners in a row end while a start of theirs is in flight. The second one's record must not
/// hide the start of the first.
fn left_by_two_owners(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.fates.extend([Fate::Held, Fate::Held]);
    send_starts(&mut fleet, 1);
    replace_owner_twice(&mut fleet);
}

scenario!(
    starts_that_two_owners_left_in_flight_stay_in_doubt,
    left_by_two_owners
);

/// The first start got no reply. The owner ends while the second one is in flight, which begins the
/// run. A list that names the run says nothing about the first start.
fn second_copy_is_listed(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.fates.extend([Fate::Held, Fate::Unanswered]);
    send_starts(&mut fleet, 2);
    fleet.replace_owner();
    fleet.run_for(500 * MS);
    drain_and_deliver(&mut fleet);
    fleet.assert_correct();
}

scenario!(
    a_list_does_not_settle_the_first_of_two_starts_of_a_former_owner,
    second_copy_is_listed
);

/// The former owner is of a version that records no pending starts. This one sends a start of its own
/// for the run, and ends while it is in flight.
fn sent_for_an_adopted_run(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.fates.extend([Fate::Lost, Fate::Held]);
    send_starts(&mut fleet, 1);
    remove_optional_records(&mut fleet);
    replace_owner_twice(&mut fleet);
}

scenario!(
    a_start_in_flight_for_an_adopted_run_is_in_doubt,
    sent_for_an_adopted_run
);

/// The worker restarts while a start of a former owner is in doubt. That owner has sent none since, so
/// the time in which the start may be carried out does not begin anew.
fn restart_in_doubt(births: bool, known_for: Duration) {
    let mut fleet = Fleet::new(births);
    fleet.fates.push_back(Fate::Lost);
    send_starts(&mut fleet, 1);
    fleet.end("w0");
    fleet.replace_owner();
    fleet
        .core
        .set_known_owners(vec![(1, 30 * SECOND), (2, known_for)], fleet.now);
    fleet.add_worker(1);
    let began = fleet.now.at.saturating_sub(known_for);
    fleet.run_for(5 * SECOND);
    fleet.begin("w0");
    fleet.relist("w0");
    fleet.drain("w0");
    let over = began + Tuning::default().drain + LATE_MAX;
    let left = (over + SECOND).saturating_sub(fleet.now.at);
    assert!(fleet.run_until(left, |it| it.runs_at("w1", 2)));
    assert!(fleet.now.at >= over);
    fleet.assert_correct();
}

scenario!(
    the_doubt_of_a_former_start_does_not_begin_anew_with_a_restart,
    |births| restart_in_doubt(births, Duration::ZERO)
);

scenario!(
    the_doubt_of_a_former_start_counts_from_the_first_later_owner_that_was_known,
    |births| restart_in_doubt(births, 4 * SECOND)
);

/// The only start began the run, but the owner ended before it was answered. Once the incarnation
/// that the start was meant for lists the run, the start cannot be carried out by another one.
fn only_start_is_listed(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.fates.push_back(Fate::Unanswered);
    send_starts(&mut fleet, 1);
    fleet.replace_owner();
    fleet.run_for(500 * MS);
    fleet.drain("w0");
    fleet.add_worker(1);
    assert!(fleet.run_until(3 * SECOND, |it| it.runs_at("w1", 2)));
    fleet.assert_correct();
}

scenario!(
    a_list_settles_the_only_start_of_a_former_owner,
    only_start_is_listed
);

/// Replaces the owner once its start was answered and the log says so. The worker is gone.
fn answered_by_a_lost_worker(births: bool) -> Fleet {
    let mut fleet = Fleet::new(births);
    fleet.run_for(EARLIER_LEASES);
    send_starts(&mut fleet, 1);
    fleet.run_for(SECOND);
    fleet.end("w0");
    fleet.entries.remove("w0");
    fleet.replace_owner();
    fleet.add_worker(1);
    fleet
}

/// A start that was answered is not in doubt for the next owner: the task waits for the leases of
/// its predecessor only.
fn answer_is_recorded(births: bool) {
    let mut fleet = answered_by_a_lost_worker(births);
    assert!(fleet.run_until(LEASES_OVER, |it| it.runs_at("w1", 2)));
    fleet.assert_correct();
}

scenario!(
    an_answered_start_of_a_former_owner_is_not_in_doubt,
    answer_is_recorded
);

/// The answer of a start that is never followed by another record is durable within the interval of
/// the entries that prove ownership, and needs no entry of its own.
fn answer_waits_for_the_next_entry(births: bool) {
    let mut fleet = Fleet::new(births);
    send_starts(&mut fleet, 1);
    let entries = fleet.log.len();
    fleet.run_for(300 * MS);
    assert_eq!(fleet.log.len(), entries);
    fleet.run_for(300 * MS);
    let [later] = &fleet.log[entries..] else {
        panic!("{:?}", &fleet.log[entries..]);
    };
    assert!(matches!(later[..], [LogRecord::StartAnswered(_)]));
}

scenario!(
    the_record_of_an_answer_needs_no_entry_of_its_own,
    answer_waits_for_the_next_entry
);

/// The owner's records of a start are in a snapshot by the time it ends.
fn replayed_from_a_snapshot(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.fates.push_back(Fate::Held);
    send_starts(&mut fleet, 1);
    let bytes = snapshot::encode(fleet.core.log_state()).unwrap();
    let state = snapshot::decode(&bytes).unwrap();
    assert_eq!(state.pending_starts().len(), 1);
    fleet.replace_owner_of(state);
    drain_and_deliver(&mut fleet);
    fleet.assert_correct();
}

scenario!(
    a_start_in_flight_outlasts_a_snapshot,
    replayed_from_a_snapshot
);

/// A log of a version that records no pending starts, with a run that its owner started.
#[test]
fn a_log_without_pending_starts_leaves_nothing_in_doubt() {
    trace::print_logs(|| {
        let mut fleet = Fleet::new(true);
        send_starts(&mut fleet, 1);
        fleet.run_for(SECOND);
        remove_optional_records(&mut fleet);
        fleet.replace_owner();
        fleet.run_for(500 * MS);
        fleet.drain("w0");
        fleet.add_worker(1);
        assert!(fleet.run_until(3 * SECOND, |it| it.runs_at("w1", 2)));
        assert_eq!(fleet.core.counts().unconfirmed, 0);
        fleet.assert_correct();
    });
}

/// The connection of the only start is refused, as the worker is gone, and the owner ends soon after
/// that. The next one waited for 13 s for a start that was never sent.
fn refused_before_the_end(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.run_for(EARLIER_LEASES);
    fleet.fates.push_back(Fate::Refused);
    send_starts(&mut fleet, 1);
    fleet.end("w0");
    fleet.entries.remove("w0");
    // The record goes with the next entry, which is written at the latest to prove the ownership.
    fleet.run_for(Tuning::default().proof + SECOND);
    fleet.replace_owner();
    fleet.add_worker(1);
    assert!(fleet.run_until(LEASES_OVER, |it| it.runs_at("w1", 2)));
    fleet.assert_correct();
}

scenario!(
    a_start_that_was_refused_is_not_in_doubt_for_the_next_owner,
    refused_before_the_end
);

/// As above, but a start before it got no answer and may be carried out.
fn refused_after_an_unanswered_one(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.fates.extend([Fate::Held, Fate::Refused]);
    send_starts(&mut fleet, 2);
    fleet.run_for(500 * MS);
    fleet.replace_owner();
    drain_and_deliver(&mut fleet);
    fleet.assert_correct();
}

scenario!(
    a_start_that_was_refused_does_not_settle_the_one_before_it,
    refused_after_an_unanswered_one
);
