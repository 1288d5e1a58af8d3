//! Small state machines by themselves: what no larger test reaches for certain.

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
use ashtiller::resources::{Pool as Room, Resources};
use ashtiller::retry_budget::RetryBudget;
use ashtiller::service_dispatcher::{Admitted, ServiceDispatcher};
use ashtiller::session::{Change, LeaseTerms, ReportHeader, Session};
use ashtiller::template::Class;

struct Still;

impl Clock for Still {
    fn now(&self) -> Duration {
        Duration::from_secs(1)
    }
}

fn desk_of_one_slot() -> Arc<ServiceDispatcher> {
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
        Arc::new(Still),
    )
}

fn ticket(id: u64) -> AdmissionRequest {
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
async fn a_slot_given_to_a_caller_that_has_gone_is_given_on() {
    let desk = desk_of_one_slot();
    let Admitted::Slot(first) = desk.admit(ticket(1)).await else {
        panic!("no slot")
    };
    {
        let mut second = pin!(desk.admit(ticket(2)));
        let mut context = Context::from_waker(Waker::noop());
        assert!(second.as_mut().poll(&mut context).is_pending());
        // The slot is the second caller's now, who goes before it learns of it.
        drop(first);
    }
    let mut third = pin!(desk.admit(ticket(3)));
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
    let mut ledger = ConfigState::default();
    assert_eq!(
        ledger.adopt(
            &account,
            StoredTemplate {
                revision: 7,
                text: text.clone()
            }
        ),
        AdoptResult::Adopted
    );
    assert_eq!(
        ledger.adopt(
            &account,
            StoredTemplate {
                revision: 6,
                text: "".into()
            }
        ),
        AdoptResult::Older
    );
    assert!(ledger.active().templates.contains_key(&account));
    assert_eq!(
        ledger.adopt(
            &account,
            StoredTemplate {
                revision: 8,
                text: "".into()
            }
        ),
        AdoptResult::Adopted
    );
    assert!(
        !ledger.active().templates.contains_key(&account),
        "removed by a newer one"
    );
    assert!(matches!(
        ledger.adopt(
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
fn a_head_that_does_not_continue_makes_everything_be_read() {
    let account: Arc<str> = "north".into();
    let mut ledger = ConfigState::default();
    let one = Head::default().next(&account, 10);
    assert_eq!(
        ledger.next_action(&one),
        HeadAction::ReadAll,
        "nothing was read yet"
    );
    ledger.advance_to(one.revision, true);
    let two = one.next(&"south".into(), 20);
    assert_eq!(
        ledger.next_action(&two),
        HeadAction::Read(vec!["south".into()])
    );
    let other = Head::default().next(&"east".into(), 30);
    assert_eq!(
        ledger.next_action(&other),
        HeadAction::ReadAll,
        "the store fell back in between"
    );
    assert_eq!(
        ledger.next_action(&Head::default().next(&account, 5)),
        HeadAction::Repair(Vec::new())
    );
    assert!(ledger.missing_in_store(&BTreeMap::new()).is_empty());
}

#[test]
fn a_late_grant_extends_no_lease() {
    let terms = LeaseTerms {
        lease: Duration::from_secs(10),
        margin: Duration::from_secs(1),
    };
    let mut session = Session::new(Duration::ZERO);
    let answer = ReportHeader {
        epoch: 3,
        seq: 1,
        boot: 9,
        clock: 50_000,
    };
    let at = Duration::from_secs(100);
    assert_eq!(session.handle_report(3, answer, &terms, at), Change::Fenced);
    // However late it is sent, it ends ten seconds after the clock that was read.
    assert_eq!(session.grant(&terms, true).until, 60_000);
    assert_eq!(session.lease_bound(), Duration::from_secs(111));
    let late = Duration::from_mins(5);
    assert_eq!(
        session.handle_report(3, answer, &terms, late),
        Change::Stale
    );
    assert_eq!(session.grant(&terms, true).until, 60_000);
    assert_eq!(session.lease_bound(), Duration::from_secs(111));
}

#[test]
fn an_answer_from_a_former_life_is_stale() {
    let terms = LeaseTerms {
        lease: Duration::from_secs(10),
        margin: Duration::from_secs(1),
    };
    let mut session = Session::new(Duration::ZERO);
    let at = Duration::from_secs(100);
    let answer = |epoch, seq, boot| ReportHeader {
        epoch,
        seq,
        boot,
        clock: 1,
    };
    assert_eq!(
        session.handle_report(3, answer(3, 1, 9), &terms, at),
        Change::Fenced
    );
    assert_eq!(
        session.handle_report(3, answer(0, 0, 10), &terms, at),
        Change::Rebooted
    );
    assert_eq!(
        session.handle_report(3, answer(3, 2, 9), &terms, at),
        Change::Stale
    );
    assert_eq!(session.boot(), Some(10));
    assert_eq!(
        session.handle_report(3, answer(4, 1, 10), &terms, at),
        Change::Superseded
    );
}

#[test]
fn nothing_is_granted_beyond_what_there_is() {
    let whole = Resources {
        processors: 4000,
        memory: 100,
        accelerators: 1,
    };
    let mut room = Room::new(whole);
    let most = [
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
    for amount in &most {
        assert!(!room.can_allocate(amount), "{amount}");
    }
    assert!(room.can_allocate(&whole));
    room.allocate(&whole);
    assert!(!room.can_allocate(&Resources {
        processors: 1,
        ..Resources::default()
    }));
    room.release(&whole);
    assert_eq!(room.free(), whole);
}

#[test]
fn one_name_more_moves_only_its_own_keys() {
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
        "{moved} of 1000 moved for a tenth"
    );
}
