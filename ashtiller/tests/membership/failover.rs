//! Order and delays in which instances replace an owner, whoever is lost together with it.
//!
//! Guards against slow failover: with a delay of 150 ms for each instance ahead in the order of
//! names, a fleet had no owner for 1.7 s after the loss of a zone with twelve large instances, and
//! for 11 s after the loss of all 72 large ones.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::membership::failover_order;
use ashtiller::workflow::membership::member::Member;

use crate::{SIZES, fleet, zone};

/// Time until the others know a new owner: two calls to the store and one message.
const ANNOUNCEMENT: Duration = Duration::from_millis(30);

/// Limit of the first delay. With a heartbeat that detects the loss and a replay of the log, the
/// first task starts 1.5 s after the loss of the owner.
const DELAY_MAX: Duration = Duration::from_secs(1);

/// Returns the delays of the remaining instances, shortest first, when the first in order is the
/// owner and is lost together with those that `is_lost` selects. All of them knew all members.
fn delays(size: u32, is_lost: impl Fn(u32, &Member) -> bool) -> Vec<Duration> {
    let members = fleet(size);
    let rank = |member: &Member, lost: &str| {
        failover_order::rank(member.processors, &member.name, lost, &members)
    };
    let owner = members
        .iter()
        .find(|member| rank(member, "") == 0)
        .expect("one member should be first");
    let left = (0..).zip(&members);
    let left = left.filter(|(number, it)| it.name != owner.name && !is_lost(*number, it));
    let mut delays: Vec<Duration> = left
        .map(|(_, it)| failover_order::delay(rank(it, &owner.name)))
        .collect();
    delays.sort_unstable();
    delays
}

#[test]
fn the_failover_delay_does_not_grow_with_the_fleet() {
    for size in SIZES {
        let cases: [(&str, Duration, Vec<Duration>); 5] = [
            ("the owner", Duration::ZERO, delays(size, |_, _| false)),
            (
                "its zone",
                DELAY_MAX,
                delays(size, |number, _| zone(number) == 0),
            ),
            (
                "more than half",
                DELAY_MAX,
                delays(size, |number, _| number % 7 < 4),
            ),
            (
                "five zones of six",
                DELAY_MAX,
                delays(size, |number, _| zone(number) != 3),
            ),
            (
                "all large ones",
                Duration::from_millis(1250),
                delays(size, |_, member| member.processors == 1000),
            ),
        ];
        for (loss, limit, delays) in cases {
            let first = delays[0];
            assert!(first <= limit, "{loss} of {size}: {first:?}");
            let concurrent = delays
                .iter()
                .take_while(|delay| **delay < first + ANNOUNCEMENT);
            let concurrent = concurrent.count();
            assert!(concurrent <= 40, "{loss} of {size}: {concurrent} at once");
        }
    }
}

/// The delays of the first three must differ by more than the time until a new owner is known, so
/// that they do not usually compete.
#[test]
fn the_first_candidates_are_spread_apart() {
    let delays = delays(2000, |_, _| false);
    assert!(delays[1] > delays[0] + ANNOUNCEMENT, "{:?}", &delays[..3]);
    assert!(delays[2] > delays[1] + ANNOUNCEMENT, "{:?}", &delays[..3]);
}

#[test]
fn ineligible_members_delay_nobody() {
    let mut members = fleet(100);
    let own: Arc<str> = "zzz".into();
    let rank = |members: &[Member]| failover_order::rank(120, &own, "", members);
    let all = rank(&members);
    for member in &mut members {
        member.leaving = member.processors == 1000 && zone(u32::from(member.address.port())) == 4;
        member.store_age = if member.processors == 1000 { 9000 } else { 40 };
    }
    assert!(rank(&members) < all);
    let large = |member: &&Member| member.processors == 1000;
    assert_eq!(rank(&members), all - members.iter().filter(large).count());
}
