//! The copy of the overload state that instances hold.

use std::time::Duration;

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
