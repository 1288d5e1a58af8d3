//! Membership, handover and failover order in fleets of up to 2,000 instances.

mod failover;
mod handover;
mod list;
mod owners;

use std::sync::Arc;

use ashtiller::workflow::membership::member::Member;

/// Numbers of instances in the fleets of these tests.
const SIZES: [u32; 4] = [100, 300, 1000, 2000];

fn name(number: u32) -> Arc<str> {
    format!("entry-{}-{number}", zone(number)).into()
}

/// Returns the number of an instance's availability zone, of six.
fn zone(number: u32) -> u32 {
    number % 6
}

/// Returns an instance of a fleet; every eighth one is large.
fn member(number: u32) -> Member {
    let [high, low] = [number / 250, number % 250].map(|part| u8::try_from(part).unwrap());
    Member {
        name: name(number),
        address: ([10, zone(number).try_into().unwrap(), high, low], 7720).into(),
        store_age: 40,
        store_took: 4,
        leaving: false,
        processors: if (number / 6).is_multiple_of(8) {
            1000
        } else {
            120
        },
        zone: format!("zone-{}", zone(number)).into(),
    }
}

fn fleet(size: u32) -> Vec<Member> {
    (0..size).map(member).collect()
}
