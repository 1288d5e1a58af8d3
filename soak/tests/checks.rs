//! Guards against checks of refusals, starts and long-running tasks that cannot fail: each is
//! given recorded events that break its rule, and the same ones without the fault.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::agents::TaskName;
use ashtiller::workflow::incarnation::Incarnation;
use hyper::{Response, StatusCode};
use soak::checks::Observations;
use soak::client::DEADLINE;
use soak::health::{EntryHealth, SLACK};
use soak::long_running::{LOSS_REST, REST, START_LIMIT, Sighting, StartRule};
use soak::refusals;
use soak::standin::start_log::StartLog;

const STEP: Duration = Duration::from_millis(10);

fn task(job: &str) -> TaskName {
    TaskName {
        job: job.into(),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn seen(answers: &[Option<StatusCode>]) -> Observations {
    let mut seen = Observations::default();
    for status in answers {
        seen.take_answer(&"a".into(), *status);
    }
    seen
}

fn refusal(seconds: &str, body: &'static str) -> Response<&'static [u8]> {
    let response = Response::builder()
        .status(503)
        .header("retry-after", seconds);
    response.body(body.as_bytes()).expect("a response")
}

#[test]
fn a_start_of_a_job_that_was_refused_in_every_attempt_is_found() {
    let refused = Some(StatusCode::SERVICE_UNAVAILABLE);
    let busy = Some(StatusCode::TOO_MANY_REQUESTS);
    let started: BTreeSet<Arc<str>> = ["a".into()].into();
    let found = |answers: &[Option<StatusCode>]| seen(answers).refused_and_started(&started).len();
    assert_eq!(found(&[refused, busy]), 1);
    assert_eq!(found(&[refused, None]), 0, "one attempt got no answer");
    assert_eq!(found(&[refused, Some(StatusCode::GATEWAY_TIMEOUT)]), 0);
    assert_eq!(
        found(&[refused, Some(StatusCode::OK)]),
        0,
        "it was accepted"
    );
    assert!(
        seen(&[refused])
            .refused_and_started(&BTreeSet::new())
            .is_empty()
    );
}

#[test]
fn refusals_with_missing_or_different_delays_are_found() {
    let delay = |seconds, body| refusals::retry_delay(&refusal(seconds, body));
    let sound = delay("2", r#"{"retry_after_ms":1001}"#);
    assert_eq!(sound, Ok(Duration::from_millis(1001)));
    delay("1", r#"{"retry_after_ms":1001}"#).expect_err("rounded down");
    delay("2", r#"{"retry_after_ms":1000}"#).expect_err("a second too many");
    delay("2", "{}").expect_err("no milliseconds");
    delay("soon", r#"{"retry_after_ms":1001}"#).expect_err("no seconds");
    let bare = Response::new(r#"{"retry_after_ms":1001}"#);
    refusals::retry_delay(&bare).expect_err("no header");
}

#[test]
fn refusals_after_the_time_limit_are_found_unless_the_process_was_suspended() {
    assert!(refusals::describe_late(DEADLINE + SLACK).is_none());
    assert!(refusals::describe_late(DEADLINE + SLACK + STEP).is_some());
    let second = Duration::from_secs(1);
    let mut health = EntryHealth::new(1);
    health.change(0, second, |state| state.disturbed = true);
    assert!(health.has_run_since(0, second), "it was not suspended");
    health.change(0, 2 * second, |state| state.frozen = true);
    health.change(0, 3 * second, |state| state.frozen = false);
    assert!(!health.has_run_since(0, second));
    assert!(health.has_run_since(0, 4 * second));
}

#[test]
fn an_accepted_job_that_is_unknown_before_its_end_is_found() {
    let id: Arc<str> = "a".into();
    let mut lost = seen(&[Some(StatusCode::OK)]);
    lost.take_state(&id, "entry 0", StatusCode::GATEWAY_TIMEOUT, b"");
    lost.take_state(&id, "entry 0", StatusCode::OK, br#"{"state":"running"}"#);
    assert!(lost.broken.is_empty());
    lost.take_state(&id, "entry 0", StatusCode::GONE, b"");
    assert_eq!(lost.broken.len(), 1);
    let mut ended = seen(&[Some(StatusCode::OK)]);
    ended.take_state(&id, "entry 0", StatusCode::OK, br#"{"state":"complete"}"#);
    ended.take_state(&id, "entry 0", StatusCode::GONE, b"");
    assert!(ended.broken.is_empty(), "ended jobs may be forgotten");
}

#[test]
fn tasks_that_run_twice_are_found() {
    let (one, other) = (Incarnation::new("w1", None), Incarnation::new("w2", None));
    let at = Duration::from_secs;
    let mut starts = StartLog::default();
    starts.record_start(&one, &task("a"), 1, at(1));
    starts.record_start(&one, &task("a"), 1, at(1));
    starts.record_start(&other, &task("a"), 2, at(2));
    assert!(starts.repeated.is_empty(), "{:?}", starts.repeated);
    starts.record_start(&other, &task("a"), 1, at(3));
    assert_eq!(starts.repeated.len(), 1, "one run on two workers");
    starts.record_start(&one, &task("b"), 1, at(1));
    starts.record_acknowledged(&task("b"), at(2));
    starts.record_start(&other, &task("b"), 2, at(3));
    assert_eq!(starts.repeated.len(), 1, "a new owner may not know yet");
    starts.record_start(&other, &task("b"), 3, at(4));
    assert_eq!(starts.repeated.len(), 2, "started after its end");
}

/// Shows the same sighting each 10 ms for a time and returns what was found.
fn watch(rule: &mut StartRule, now: &mut Duration, span: Duration, seen: &Sighting) -> usize {
    let end = *now + span;
    let mut found = 0;
    while *now < end {
        found += rule.take(*now, seen).len();
        *now += STEP;
    }
    found
}

/// A calm sighting of a waiting task and a worker with room.
fn waiting() -> Sighting {
    let worker = Incarnation::new("w1", None);
    Sighting {
        calm: true,
        owner: Some(1),
        wanted: [task("a")].into(),
        running: BTreeSet::new(),
        present: [worker.clone()].into(),
        roomy: [worker].into(),
    }
}

const LIMIT: Duration = START_LIMIT.saturating_add(SLACK);

#[test]
fn a_long_running_task_that_waits_beside_room_is_found_once() {
    let (mut rule, mut now) = (StartRule::default(), Duration::ZERO);
    assert_eq!(watch(&mut rule, &mut now, LIMIT, &waiting()), 0);
    assert_eq!(watch(&mut rule, &mut now, 2 * LIMIT, &waiting()), 1);
}

#[test]
fn a_long_running_task_without_room_or_calm_is_not_found() {
    let (mut rule, mut now) = (StartRule::default(), Duration::ZERO);
    let full = Sighting {
        roomy: BTreeSet::new(),
        ..waiting()
    };
    let disturbed = Sighting {
        calm: false,
        ..waiting()
    };
    let other_owner = Sighting {
        owner: Some(2),
        ..waiting()
    };
    for _ in 0..3 {
        for seen in [&waiting(), &full, &waiting(), &disturbed, &other_owner] {
            assert_eq!(watch(&mut rule, &mut now, LIMIT, seen), 0);
        }
    }
}

#[test]
fn the_rule_holds_from_six_seconds_after_a_run_and_twenty_after_the_loss_of_a_worker() {
    let (mut rule, mut now) = (StartRule::default(), Duration::ZERO);
    let running = Sighting {
        running: [task("a")].into(),
        ..waiting()
    };
    assert_eq!(watch(&mut rule, &mut now, 2 * LIMIT, &running), 0);
    assert_eq!(watch(&mut rule, &mut now, REST + LIMIT, &waiting()), 0);
    assert_eq!(watch(&mut rule, &mut now, LIMIT, &waiting()), 1);
    let mut two = running;
    two.present.insert(Incarnation::new("w2", None));
    assert_eq!(watch(&mut rule, &mut now, STEP, &two), 0);
    assert_eq!(watch(&mut rule, &mut now, LOSS_REST + LIMIT, &waiting()), 0);
    assert_eq!(watch(&mut rule, &mut now, LIMIT, &waiting()), 1);
}
