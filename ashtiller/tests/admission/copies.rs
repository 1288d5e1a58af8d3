//! The copy of the overload state that instances hold, and the table of refused ids.

use std::time::Duration;

use ashtiller::resources::Resources;
use ashtiller::workflow::admission::backlog::{JobWork, Standing};
use ashtiller::workflow::admission::control::{
    Control, JobPart, Newcomer, OVERLOAD_AFTER, Verdict,
};
use ashtiller::workflow::admission::copy::{COPY_MAX_AGE, ClassReading, OverloadCopy};
use ashtiller::workflow::admission::refusals::{REFUSED_MAX, RETRY_MAX, RefusalTable, Refused};
use ashtiller::workflow::load::account::WorkClass;
use ashtiller::workflow::message::Reply;

use crate::driver::MS;

fn copy() -> OverloadCopy {
    OverloadCopy {
        age_ms: 100,
        classes: vec![ClassReading {
            waiting: 180.0,
            rate: 100.0,
        }],
    }
}

/// Guards against a copy that is used after it stopped coming, and against equal delays.
#[test]
fn an_old_copy_counts_as_none() {
    let copy = copy();
    let delay = |held, id: &str| OverloadCopy::retry_delay(Some((&copy, held)), id, 1000 * MS);
    let none = OverloadCopy::retry_delay(None, "a", 1000 * MS);
    assert!(delay(Duration::ZERO, "a") >= 1800 * MS);
    assert_eq!(delay(COPY_MAX_AGE, "a"), none);
    assert!(none >= 1000 * MS && none < 1500 * MS, "{none:?}");
    assert_ne!(delay(Duration::ZERO, "a"), delay(Duration::ZERO, "b"));
    let endless = OverloadCopy {
        age_ms: 0,
        classes: vec![ClassReading {
            waiting: 1e30,
            rate: 0.0,
        }],
    };
    let longest = OverloadCopy::retry_delay(Some((&endless, Duration::ZERO)), "a", 1000 * MS);
    assert!(longest <= RETRY_MAX, "{longest:?}");
}

/// Guards against an older version that cannot read the reply to its heartbeat because of the
/// section, and against a reply without one.
#[test]
fn the_section_is_ignored_by_versions_that_do_not_know_it() {
    let reply = Reply::Welcome(Box::default());
    let bytes = postcard::to_stdvec(&reply).unwrap();
    let length = bytes.len();
    let bytes = postcard::to_extend(&copy(), bytes).unwrap();
    assert!(bytes.len() - length < 40, "{}", bytes.len() - length);
    assert_eq!(postcard::from_bytes::<Reply>(&bytes).unwrap(), reply);
    let (_, rest) = postcard::take_from_bytes::<Reply>(&bytes).unwrap();
    assert_eq!(postcard::from_bytes::<OverloadCopy>(rest).unwrap(), copy());
}

/// Guards against a table that grows with the number of refused callers.
#[test]
fn the_table_of_refused_ids_has_a_fixed_size() {
    let mut table = RefusalTable::default();
    for key in 0..10 * REFUSED_MAX as u64 {
        let refused = Refused {
            first: Duration::ZERO,
            returns: Duration::from_millis(key),
            class: ("fleet".into(), WorkClass::Short),
            work: 1.0,
            in_time: true,
        };
        table.insert(key, refused, Duration::ZERO);
    }
    assert_eq!(table.len(), REFUSED_MAX);
    assert!(table.get(0).is_none());
    assert!(table.get(10 * REFUSED_MAX as u64 - 1).is_some());
}

fn newcomer(id: &str) -> Newcomer<'_> {
    Newcomer {
        id,
        service: "fleet".into(),
        priority: 0,
        objective: 1250 * MS,
        chain: 500 * MS,
        parts: vec![JobPart {
            class: WorkClass::Short,
            work: 12.0,
            needs: vec![Resources::default()],
        }],
        exempt: false,
    }
}

/// Guards against newcomers that take the capacity for which refused callers return.
#[test]
fn a_refused_caller_that_is_due_goes_ahead_of_newcomers() {
    let class = ("fleet".into(), WorkClass::Short);
    let mut control = Control::default();
    for _ in 0..40 {
        control.note_end(&class, 1.0, Some(1.0), Duration::ZERO);
    }
    let read = |control: &mut Control, work, now| {
        let work = JobWork {
            priority: 0,
            objective: 1250 * MS,
            standing: Standing::Begun,
            work,
        };
        control.begin_reading();
        control.note_unplaced(&class, &Resources::default(), false);
        control.end_reading(&[(class.clone(), work)], now);
    };
    // 10 processor-seconds complete per second: 40.6 may be ahead of a newcomer.
    let decide = |control: &mut Control, id: &str, now| {
        let verdict = control.decide(&newcomer(id), |_| 10.0, now);
        match verdict {
            Verdict::Admit { .. } => None,
            Verdict::Refuse(refusal) => Some(refusal.retry),
        }
    };
    read(&mut control, 45.0, Duration::ZERO);
    read(&mut control, 45.0, OVERLOAD_AFTER);
    let retry = decide(&mut control, "first", OVERLOAD_AFTER).expect("a refusal");
    let due = OVERLOAD_AFTER + retry;
    read(&mut control, 30.0, due);
    assert!(decide(&mut control, "newcomer", due).is_some());
    assert_eq!(decide(&mut control, "first", due), None);
    // Without a caller that is due, a newcomer is admitted.
    let later = due + 10 * OVERLOAD_AFTER;
    read(&mut control, 30.0, later);
    assert_eq!(decide(&mut control, "another", later), None);
}
