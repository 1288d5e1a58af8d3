//! When an owner hands the log over, and to which member.
//!
//! Guards against repeated handovers on a slow link: the owner's own snapshot and the first polls
//! after a takeover delayed entries by 0.8 s, while the store answered other calls. Each owner
//! handed the log over within a second of its replay, five times in 12 s, and no task was started.

use std::time::Duration;

use ashtiller::workflow::membership::handover::{self, HandoverReason, OwnerHealth};
use ashtiller::workflow::membership::member::Member;

use crate::{fleet, name};

const MS: Duration = Duration::from_millis(1);

fn healthy() -> OwnerHealth {
    OwnerHealth {
        processors: 120,
        leaving: false,
        stalled: Duration::ZERO,
        store_age: 10 * MS,
        is_stable: false,
    }
}

/// Returns the member that the owner hands the log to, if any.
fn successor(health: &OwnerHealth, members: &[Member]) -> Option<Member> {
    let reason = health.reason()?;
    handover::choose(&name(7), health, reason, members).cloned()
}

#[test]
fn an_owner_whose_store_answers_other_calls_keeps_the_log() {
    for stalled in [800 * MS, 2000 * MS, 6000 * MS] {
        let slow = OwnerHealth {
            stalled,
            store_age: 300 * MS,
            ..healthy()
        };
        assert_eq!(slow.reason(), None, "{stalled:?}");
    }
}

#[test]
fn an_owner_that_lost_the_store_hands_the_log_to_the_largest_member_with_it() {
    let without_store = OwnerHealth {
        stalled: 810 * MS,
        store_age: 790 * MS,
        ..healthy()
    };
    assert_eq!(without_store.reason(), Some(HandoverReason::Cut(810 * MS)));
    let mut members = fleet(60);
    assert_eq!(
        successor(&without_store, &members).map(|it| it.processors),
        Some(1000)
    );
    for member in &mut members {
        member.store_age = 700;
    }
    assert_eq!(
        successor(&without_store, &members),
        None,
        "all members may have lost the store"
    );
    members[20].store_age = 100;
    assert_eq!(
        successor(&without_store, &members),
        Some(members[20].clone())
    );
    members[20].store_took = 300;
    assert_eq!(
        successor(&without_store, &members),
        None,
        "the store is slow for all members"
    );
}

#[test]
fn a_stopping_owner_hands_the_log_to_a_member_that_stays() {
    let leaving = OwnerHealth {
        leaving: true,
        ..healthy()
    };
    let mut members = fleet(60);
    let first = successor(&leaving, &members).expect("there should be a successor");
    for member in &mut members {
        member.leaving = member.name == first.name;
    }
    assert_ne!(
        successor(&leaving, &members)
            .expect("there should be a successor")
            .name,
        first.name
    );
}

#[test]
fn a_small_owner_hands_the_log_only_to_a_larger_member() {
    let stable = OwnerHealth {
        is_stable: true,
        ..healthy()
    };
    let members = fleet(60);
    assert_eq!(
        successor(&stable, &members).map(|it| it.processors),
        Some(1000)
    );
    let small: Vec<Member> = members
        .into_iter()
        .filter(|member| member.processors == 120)
        .collect();
    assert_eq!(successor(&stable, &small), None);
}
