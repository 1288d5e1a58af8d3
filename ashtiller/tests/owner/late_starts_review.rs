//! Further orders of late starts: in which what is known of a start is dropped too early, or a task
//! waits for a worker that does not serve it.

use super::*;

/// Time after which the last copy of a start that `hold_start` leaves is certainly over.
const HELD_OVER: Duration = Duration::from_secs(16);

/// Returns a step whose task takes a whole worker.
fn whole_worker() -> Step {
    Step {
        needs: listed(0).capacity,
        ..step(1)
    }
}

/// Sends a start that is held and not answered, and has the owner withdraw the run as its worker
/// shrinks. The stop is confirmed, and the worker grows again, so that it may get the next run.
fn withdraw_start(births: bool) -> Fleet {
    let mut fleet = Fleet::new(births);
    fleet.fates.push_back(Fate::Held);
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(SECOND, |it| !it.held.is_empty()));
    fleet.update_entry("w0", |entry| entry.capacity = Resources::default());
    assert!(fleet.run_until(2 * SECOND, Fleet::is_idle));
    fleet.update_entry("w0", |entry| entry.capacity = listed(0).capacity);
    fleet
}

/// The worker of an unanswered start ends and its entry goes. A new process under its id carries
/// the start out within 13 s, and is listed only later. That no incarnation of the id is listed does
/// not mean that none has the run, so the task must not start elsewhere when the 13 s are over.
fn carried_out_while_unlisted(births: bool) {
    let mut fleet = hold_start(births, vec![step(1)]);
    fleet.duration = 8 * SECOND;
    let sent = fleet.held[0].0;
    fleet.end("w0");
    let entry = fleet.entries.remove("w0").unwrap();
    fleet.core.unlist_id("w0", fleet.now);
    fleet.add_worker(1);
    fleet.run_for((sent + 12 * SECOND).saturating_sub(fleet.now.at));
    fleet.entries.insert("w0".into(), entry);
    fleet.begin("w0");
    fleet.run_for(500 * MS);
    fleet.deliver_held();
    fleet.run_for((sent + HELD_OVER).saturating_sub(fleet.now.at));
    fleet.relist("w0");
    fleet.assert_correct();
}

scenario!(
    a_start_carried_out_by_an_unlisted_incarnation_holds_its_task_back,
    carried_out_while_unlisted
);

/// The worker restarts while a start is in flight, and the run is stopped at the next incarnation
/// before the call fails. Until it fails nothing records the start, so the task starts elsewhere,
/// and the incarnation after that one carries the start out.
fn ended_before_the_call_fails(births: bool) {
    let mut fleet = Fleet::new(births);
    // The longest time limit of an order under load.
    fleet.timeout = 800 * MS;
    fleet.fates.push_back(Fate::Held);
    fleet.duration = 15 * SECOND;
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(SECOND, |it| !it.held.is_empty()));
    fleet.end("w0");
    fleet.begin("w0");
    fleet.add_worker(1);
    fleet.run_for(50 * MS);
    fleet.relist("w0");
    fleet.run_for(250 * MS);
    fleet.drain("w0");
    fleet.run_for(2 * SECOND);
    restart_and_deliver(&mut fleet);
    fleet.assert_correct();
}

scenario!(
    a_run_that_is_moved_while_its_start_is_in_flight_leaves_it_in_doubt,
    ended_before_the_call_fails
);

/// A worker answers polls but gets no start. Each unanswered start binds the task to the worker for
/// another 13 s, and the longest quarantine is shorter, so the task is never tried elsewhere.
fn starts_never_arrive(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.deaf = Some("w0".into());
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(SECOND, |it| !it.sent.is_empty()));
    // With few workers the delay would count as one that most of them share.
    for number in 1..9 {
        fleet.add_worker(number);
    }
    assert!(
        fleet.run_until(120 * SECOND, Fleet::is_complete),
        "the task is never tried elsewhere"
    );
    fleet.assert_correct();
}

scenario!(
    a_task_leaves_a_worker_that_never_answers_its_starts,
    starts_never_arrive
);

/// A worker fails each run, and its first start was sent twice. The next run is bound to the same
/// worker, fails there as well, and uses up the attempts of its job beside a worker that works.
fn failing_worker(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.failing = Some("w0".into());
    fleet.fates.push_back(Fate::Held);
    fleet.duration = 500 * MS;
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(SECOND, |it| it.runs_at("w0", 1)));
    fleet.add_worker(1);
    fleet.assert_correct();
}

scenario!(
    a_task_that_failed_on_its_worker_is_not_tried_there_again,
    failing_worker
);

/// The end of a run is listed before its only start is answered, 100 ms later. The start is not in
/// doubt then, so the next run may start elsewhere at once, away from the worker that failed it.
fn end_overtakes_the_answer(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.failing = Some("w0".into());
    fleet.fates.push_back(Fate::AnsweredLate);
    fleet.duration = 10 * MS;
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(SECOND, |it| it.runs_at("w0", 1)));
    fleet.add_worker(1);
    fleet.run_for(100 * MS);
    fleet.duration = 3 * SECOND;
    fleet.assert_not_delayed();
    fleet.assert_correct();
}

scenario!(
    a_start_whose_end_overtakes_its_answer_is_not_in_doubt,
    end_overtakes_the_answer
);

/// A job ends while a start of it is in doubt, and the next incarnation carries the start out and
/// lists the run. Nothing of the job is left that tells what it takes, so a task of another job is
/// started beside it, over the worker's capacity.
fn listed_run_of_an_ended_job(births: bool) {
    let mut fleet = hold_start(births, vec![whole_worker()]);
    fleet.duration = 15 * SECOND;
    fleet.core.cancel("1", RequestToken(2), fleet.now);
    fleet.run_for(200 * MS);
    fleet.end("w0");
    fleet.run_for(SECOND);
    fleet.begin("w0");
    fleet.run_for(50 * MS);
    fleet.deliver_held();
    fleet.run_for(200 * MS);
    fleet.relist("w0");
    fleet.duration = 3 * SECOND;
    let other = job("2", vec![whole_worker()]);
    fleet.core.submit(other, RequestToken(3), fleet.now);
    for _ in 0..1000 {
        fleet.step();
        let runs = fleet.processes["w0"].worker.runs.len();
        assert!(runs <= 1, "{runs} runs that take the whole worker each");
    }
}

scenario!(
    a_listed_run_of_an_ended_job_takes_capacity,
    listed_run_of_an_ended_job
);

/// The worker has listed that it rejects an unanswered start, then restarts unnoticed. The next run
/// is sent to it, but the new process gets the earlier start first: both run on it. Where entries
/// carry start times, a worker refuses the second call, which names its predecessor.
#[test]
fn a_start_in_doubt_does_not_run_beside_the_next_one_on_its_worker() {
    trace::print_logs(|| {
        let mut fleet = withdraw_start(false);
        fleet.fates.push_back(Fate::AfterHeld);
        fleet.assert_correct();
    });
}

/// A run that was answered follows one whose start is in doubt. Each list of it finds starts of its
/// task in doubt, but none of its own, so there is nothing to settle or to write to the log.
fn listed_beside_an_earlier_start(births: bool) {
    let mut fleet = withdraw_start(births);
    assert!(fleet.run_until(2 * SECOND, |it| it.runs_at("w0", 2)));
    fleet.run_for(2 * SECOND);
    let records = fleet.log.iter().flatten();
    let settled = records.filter(|it| matches!(it, LogRecord::StartSettled(_)));
    assert_eq!(settled.count(), 0, "records of settled starts");
}

scenario!(
    a_listed_run_without_a_start_in_doubt_settles_nothing,
    listed_beside_an_earlier_start
);

/// The next run of a task is placed on the worker of a start in doubt when the owner is replaced,
/// and the worker restarts and carries that start out. The next owner reads in its first list that
/// the earlier run is active, and must not send the start of the later one before that has ended.
fn adopted_beside_a_listed_run(births: bool) {
    let mut fleet = withdraw_start(births);
    fleet.fates.push_back(Fate::Lost);
    fleet.duration = 8 * SECOND;
    let sent = |it: &Fleet| it.sent.iter().any(|(_, run, _)| run.number == 2);
    assert!(fleet.run_until(2 * SECOND, sent));
    fleet.end("w0");
    fleet.begin("w0");
    fleet.deliver_held();
    fleet.relist("w0");
    fleet.replace_owner();
    fleet.assert_correct();
}

scenario!(
    a_run_of_a_former_owner_does_not_start_beside_a_listed_run_of_its_task,
    adopted_beside_a_listed_run
);

/// An owner ends while a start of it is in flight, and the worker's entry goes. The next owner gives
/// the run up when the leases of the former one have ended, which is sooner than the end of the time
/// in which the start may be carried out.
fn in_flight_at_a_change_of_owner(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.run_for(EARLIER_LEASES);
    fleet.fates.push_back(Fate::Held);
    fleet.duration = 15 * SECOND;
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(SECOND, |it| !it.held.is_empty()));
    fleet.end("w0");
    let entry = fleet.entries.remove("w0").unwrap();
    fleet.replace_owner();
    fleet.add_worker(1);
    fleet.run_for(8 * SECOND);
    fleet.entries.insert("w0".into(), entry);
    restart_and_deliver(&mut fleet);
    fleet.assert_correct();
}

scenario!(
    the_end_of_earlier_leases_leaves_a_start_of_the_former_owner_in_doubt,
    in_flight_at_a_change_of_owner
);

/// As above, but the worker stays listed: its process is replaced under its id, with the entry of
/// the former one until then.
fn in_flight_at_a_change_of_owner_listed(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.run_for(EARLIER_LEASES);
    fleet.fates.push_back(Fate::Held);
    fleet.duration = 15 * SECOND;
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(SECOND, |it| !it.held.is_empty()));
    fleet.end("w0");
    fleet.replace_owner();
    fleet.add_worker(1);
    fleet.run_for(8 * SECOND);
    restart_and_deliver(&mut fleet);
    fleet.assert_correct();
}

scenario!(
    a_start_of_the_former_owner_to_a_listed_worker_stays_in_doubt,
    in_flight_at_a_change_of_owner_listed
);

/// A start in doubt binds the next run to its worker, and the first start of that run is lost as
/// well. The worker is healthy and answers polls, but each of them may wait for 2 s, and the second
/// start waits for the end of one that carries a newer fence.
fn retry_beside_long_polls(births: bool) {
    let mut fleet = withdraw_start(births);
    fleet.fates.push_back(Fate::Lost);
    fleet.poll_wait = 2 * SECOND;
    let sent = |it: &Fleet| it.sent.iter().filter(|(_, run, _)| run.number == 2).count();
    assert!(fleet.run_until(2 * SECOND, |it| sent(it) == 1));
    // The platform asks for a start within this time.
    assert!(fleet.run_until(3 * SECOND, |it| sent(it) == 2));
    fleet.assert_correct();
}

scenario!(
    a_lost_start_behind_one_in_doubt_is_repeated_soon,
    retry_beside_long_polls
);

/// The owner ends before its record of the unanswered start and of the confirmed stop is written.
/// The worker refuses the next owner's start of that run, since it has ended there, which tells that
/// a start was sent before.
fn refused_to_the_next_owner(births: bool) {
    let mut fleet = hold_start(births, vec![step(1)]);
    fleet.duration = 15 * SECOND;
    let placed = fleet.log.iter().position(|records| {
        let mut records = records.iter();
        records.any(|record| matches!(record, LogRecord::Placed(..)))
    });
    fleet.log.truncate(placed.unwrap() + 1);
    fleet.relist("w0");
    fleet.replace_owner();
    fleet.run_for(300 * MS);
    fleet.add_worker(1);
    fleet.drain("w0");
    fleet.run_for(SECOND);
    restart_and_deliver(&mut fleet);
    fleet.assert_correct();
}

scenario!(
    a_refused_start_of_a_former_owner_is_in_doubt,
    refused_to_the_next_owner
);
