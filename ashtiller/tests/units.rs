//! Small state machines in isolation: cases that no larger test reliably reaches.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use ashtiller::balance::Kind;
use ashtiller::clock::Clock;
use ashtiller::config_state::{AdoptResult, ConfigState, Head, HeadAction, StoredTemplate};
use ashtiller::dispatch::{self, Limits};
use ashtiller::endpoint::{Listing, Phase};
use ashtiller::pool::ConnectionPool;
use ashtiller::rendezvous;
use ashtiller::request_queue::AdmissionRequest;
use ashtiller::resources::{Pool as ResourcePool, Resources};
use ashtiller::retry_budget::RetryBudget;
use ashtiller::service_dispatcher::{Admitted, ServiceDispatcher};
use ashtiller::session::{Change, LeaseTerms, ReportHeader, Session};
use ashtiller::template::Class;

/// A clock that stays at 1 s.
struct FixedClock;

impl Clock for FixedClock {
    fn now(&self) -> Duration {
        Duration::from_secs(1)
    }
}

fn dispatcher_with_one_slot() -> Arc<ServiceDispatcher> {
    let limits = Limits {
        max_connections: 1,
        max_ejected_share: 0.3,
    };
    let mut dispatch = dispatch::build(Kind::Dealt, 1, limits);
    dispatch.update_listings(&[Listing {
        name: "e1".into(),
        address: ([127, 0, 0, 1], 1).into(),
        slots: 1,
        phase: Phase::Live,
    }]);
    dispatch.allocate_slots(&["g1".into()], "g1");
    let pool = ConnectionPool::new(Duration::from_secs(1), Duration::from_secs(1), 8192);
    ServiceDispatcher::new(
        "fleet".into(),
        dispatch,
        pool,
        RetryBudget::new(0.1),
        Arc::new(FixedClock),
    )
}

/// Returns a request that fits the limits and has a distant deadline.
fn request(id: u64) -> AdmissionRequest {
    AdmissionRequest {
        id,
        account: "north".into(),
        class: Class::LatencyCritical,
        deadline: Duration::from_secs(100),
        max_in_flight: 10,
        max_queued: 10,
        avoid: None,
    }
}

#[tokio::test]
async fn a_slot_granted_to_a_cancelled_caller_goes_to_the_next() {
    let dispatcher = dispatcher_with_one_slot();
    let Admitted::Slot(first) = dispatcher.admit(request(1)).await else {
        panic!("no slot was granted")
    };
    {
        let mut second = pin!(dispatcher.admit(request(2)));
        let mut context = Context::from_waker(Waker::noop());
        assert!(second.as_mut().poll(&mut context).is_pending());
        // The slot now belongs to the second caller, which leaves before it is notified.
        drop(first);
    }
    let mut third = pin!(dispatcher.admit(request(3)));
    let mut context = Context::from_waker(Waker::noop());
    assert!(matches!(
        third.as_mut().poll(&mut context),
        Poll::Ready(Admitted::Slot(_))
    ));
}

#[test]
fn an_older_template_is_refused() {
    let account: Arc<str> = "north".into();
    let text: Arc<str> = "[account]\nname = north\n".into();
    let mut state = ConfigState::default();
    assert_eq!(
        state.adopt(
            &account,
            StoredTemplate {
                revision: 7,
                text: text.clone()
            }
        ),
        AdoptResult::Adopted
    );
    assert_eq!(
        state.adopt(
            &account,
            StoredTemplate {
                revision: 6,
                text: "".into()
            }
        ),
        AdoptResult::Older
    );
    assert!(state.active().templates.contains_key(&account));
    assert_eq!(
        state.adopt(
            &account,
            StoredTemplate {
                revision: 8,
                text: "".into()
            }
        ),
        AdoptResult::Adopted
    );
    assert!(
        !state.active().templates.contains_key(&account),
        "removed by a newer revision"
    );
    assert!(matches!(
        state.adopt(
            &account,
            StoredTemplate {
                revision: 9,
                text: "[wine]".into()
            }
        ),
        AdoptResult::Invalid(_)
    ));
}

#[test]
fn a_head_that_does_not_follow_the_last_one_causes_a_full_read() {
    let account: Arc<str> = "north".into();
    let mut state = ConfigState::default();
    let one = Head::default().next(&account, 10);
    assert_eq!(
        state.next_action(&one),
        HeadAction::ReadAll,
        "no head was read yet"
    );
    state.advance_to(one.revision, true);
    let two = one.next(&"south".into(), 20);
    assert_eq!(
        state.next_action(&two),
        HeadAction::Read(vec!["south".into()])
    );
    let other = Head::default().next(&"east".into(), 30);
    assert_eq!(
        state.next_action(&other),
        HeadAction::ReadAll,
        "the store returned to an older state in between"
    );
    assert_eq!(
        state.next_action(&Head::default().next(&account, 5)),
        HeadAction::Repair(Vec::new())
    );
    assert!(state.missing_in_store(&BTreeMap::new()).is_empty());
}

#[test]
fn a_late_grant_extends_no_lease() {
    let terms = LeaseTerms {
        lease: Duration::from_secs(10),
        margin: Duration::from_secs(1),
    };
    let mut session = Session::new(Duration::ZERO);
    let report = ReportHeader {
        epoch: 3,
        seq: 1,
        boot: 9,
        clock: 50_000,
    };
    let at = Duration::from_secs(100);
    assert_eq!(session.handle_report(3, report, &terms, at), Change::Fenced);
    // Whenever the grant is sent, it ends 10 s after the reported clock.
    assert_eq!(session.grant(&terms, true).until, 60_000);
    assert_eq!(session.lease_bound(), Duration::from_secs(111));
    let late = Duration::from_mins(5);
    assert_eq!(
        session.handle_report(3, report, &terms, late),
        Change::Stale
    );
    assert_eq!(session.grant(&terms, true).until, 60_000);
    assert_eq!(session.lease_bound(), Duration::from_secs(111));
}

#[test]
fn a_report_from_a_previous_incarnation_is_stale() {
    let terms = LeaseTerms {
        lease: Duration::from_secs(10),
        margin: Duration::from_secs(1),
    };
    let mut session = Session::new(Duration::ZERO);
    let at = Duration::from_secs(100);
    let report = |epoch, seq, boot| ReportHeader {
        epoch,
        seq,
        boot,
        clock: 1,
    };
    assert_eq!(
        session.handle_report(3, report(3, 1, 9), &terms, at),
        Change::Fenced
    );
    assert_eq!(
        session.handle_report(3, report(0, 0, 10), &terms, at),
        Change::Rebooted
    );
    assert_eq!(
        session.handle_report(3, report(3, 2, 9), &terms, at),
        Change::Stale
    );
    assert_eq!(session.boot(), Some(10));
    assert_eq!(
        session.handle_report(3, report(4, 1, 10), &terms, at),
        Change::Superseded
    );
}

#[test]
fn nothing_is_allocated_beyond_capacity() {
    let whole = Resources {
        processors: 4000,
        memory: 100,
        accelerators: 1,
    };
    let mut pool = ResourcePool::new(whole);
    let too_much = [
        Resources {
            processors: 4001,
            ..Resources::default()
        },
        Resources {
            memory: 101,
            ..Resources::default()
        },
        Resources {
            accelerators: 2,
            ..Resources::default()
        },
        Resources {
            processors: u64::MAX,
            memory: u64::MAX,
            accelerators: u32::MAX,
        },
    ];
    for amount in &too_much {
        assert!(!pool.can_allocate(amount), "{amount}");
    }
    assert!(pool.can_allocate(&whole));
    pool.allocate(&whole);
    assert!(!pool.can_allocate(&Resources {
        processors: 1,
        ..Resources::default()
    }));
    pool.release(&whole);
    assert_eq!(pool.free(), whole);
}

#[test]
fn adding_a_name_moves_only_the_keys_that_it_gets() {
    let names: Vec<Arc<str>> = (0..9).map(|number| format!("g{number}").into()).collect();
    let more: Vec<Arc<str>> = names.iter().cloned().chain(["g9".into()]).collect();
    let mut moved = 0;
    for key in 0..1000 {
        let key = format!("cell-{key}");
        let (before, after) = (
            rendezvous::first(&key, &names),
            rendezvous::first(&key, &more),
        );
        if before != after {
            moved += 1;
            assert_eq!(after.as_deref(), Some("g9"));
        }
    }
    assert!(
        (50..200).contains(&moved),
        "{moved} of 1000 moved; about a tenth is expected"
    );
}
