//! When an owner hands the log over. On a thin link its own snapshot and the first looks of a
//! take-over delayed entries by 0.8 s, while the store answered other calls; each owner handed
//! the log on within a second of its replay, five times in 12 s, and nothing was started.

use std::time::Duration;

use ashtiller::workflow::membership::handover::{self, HandoverReason, OwnerHealth};
use ashtiller::workflow::membership::member::Member;

use crate::{fleet, name};

const MS: Duration = Duration::from_millis(1);

fn standing() -> OwnerHealth {
    OwnerHealth {
        processors: 120,
        leaving: false,
        stalled: Duration::ZERO,
        store_age: 10 * MS,
        is_stable: false,
    }
}

fn heir(standing: &OwnerHealth, members: &[Member]) -> Option<Member> {
    let reason = standing.reason()?;
    handover::choose(&name(7), standing, reason, members).cloned()
}

#[test]
fn an_owner_whose_store_answers_other_calls_keeps_the_log() {
    for stalled in [800 * MS, 2000 * MS, 6000 * MS] {
        let slow = OwnerHealth {
            stalled,
            store_age: 300 * MS,
            ..standing()
        };
        assert_eq!(slow.reason(), None, "{stalled:?}");
    }
}

#[test]
fn an_owner_that_lost_the_store_hands_the_log_to_the_largest_that_has_it() {
    let cut = OwnerHealth {
        stalled: 810 * MS,
        store_age: 790 * MS,
        ..standing()
    };
    assert_eq!(cut.reason(), Some(HandoverReason::Cut(810 * MS)));
    let mut members = fleet(60);
    assert_eq!(heir(&cut, &members).map(|it| it.processors), Some(1000));
    for member in &mut members {
        member.store_age = 700;
    }
    assert_eq!(heir(&cut, &members), None, "all of them may have lost it");
    members[20].store_age = 100;
    assert_eq!(heir(&cut, &members), Some(members[20].clone()));
    members[20].store_took = 300;
    assert_eq!(heir(&cut, &members), None, "the store is slow for all");
}

#[test]
fn an_owner_that_stops_hands_the_log_to_one_that_does_not() {
    let leaves = OwnerHealth {
        leaving: true,
        ..standing()
    };
    let mut members = fleet(60);
    let first = heir(&leaves, &members).expect("an heir");
    for member in &mut members {
        member.leaving = member.name == first.name;
    }
    assert_ne!(heir(&leaves, &members).expect("an heir").name, first.name);
}

#[test]
fn a_small_owner_hands_the_log_to_a_larger_one_only() {
    let calm = OwnerHealth {
        is_stable: true,
        ..standing()
    };
    let members = fleet(60);
    assert_eq!(heir(&calm, &members).map(|it| it.processors), Some(1000));
    let small: Vec<Member> = members
        .into_iter()
        .filter(|member| member.processors == 120)
        .collect();
    assert_eq!(heir(&calm, &small), None);
}
