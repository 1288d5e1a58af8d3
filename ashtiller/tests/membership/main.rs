//! Which instances there are, and which of them owns the log, in fleets of up to 2,000.

mod heir;
mod list;
mod succession;

use std::sync::Arc;

use ashtiller::workflow::membership::member::Member;

/// Sizes of fleets.
const SIZES: [u32; 4] = [100, 300, 1000, 2000];

fn name(number: u32) -> Arc<str> {
    format!("entry-{}-{number}", zone(number)).into()
}

/// Instances are spread over six availability zones.
fn zone(number: u32) -> u32 {
    number % 6
}

/// One instance of a fleet; each eighth is large.
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
