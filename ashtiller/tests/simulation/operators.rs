//! Evacuations of availability zones, and the delays with which owners read them.

use std::time::Duration;

use ashtiller::workflow::core::{Core, Now};
use ashtiller::workflow::evacuations::Zones;

/// Time after the order to evacuate a zone from which it must get no starts.
pub const EVACUATION: Duration = Duration::from_secs(5);
/// Availability zones.
pub const ZONES: [&str; 3] = ["bern", "olten", "aarau"];

/// Returns the availability zone of a worker.
pub fn zone_of(id: &str) -> &'static str {
    let sum: usize = id.bytes().map(usize::from).sum();
    ZONES[sum % ZONES.len()]
}

/// Evacuations that operators ordered.
#[derive(Default)]
pub struct Operators {
    /// Zones under evacuation after each change, with its time.
    history: Vec<(Duration, Zones)>,
    evacuations: u64,
}

/// State of an owner's reads of evacuations.
#[derive(Clone, Copy, Default)]
pub struct Reader {
    /// Time until which the owner reads nothing.
    pub silent_until: Duration,
}

impl Operators {
    /// Evacuates a zone, or revokes its evacuation.
    pub fn toggle(&mut self, zone: &str, now: Duration) {
        let mut zones = self.zones_at(now);
        if zones.remove(zone).is_none() {
            self.evacuations += 1;
            zones.insert(zone.into(), self.evacuations);
        }
        self.history.push((now, zones));
    }

    /// Revokes all evacuations.
    pub fn revoke_all(&mut self, now: Duration) {
        self.history.push((now, Zones::new()));
    }

    /// Returns the number of evacuations so far.
    pub fn evacuations(&self) -> u64 {
        self.evacuations
    }

    fn zones_at(&self, at: Duration) -> Zones {
        let current = self.history.iter().rfind(|(since, _)| *since <= at);
        current.map(|(_, zones)| zones.clone()).unwrap_or_default()
    }

    /// Returns whether a zone must get no starts, because it has been under evacuation for long.
    pub fn refuses_starts(&self, zone: &str, now: Duration) -> bool {
        let mut since = None;
        for (at, zones) in &self.history {
            if zones.contains_key(zone) {
                since.get_or_insert(*at);
            } else {
                since = None;
            }
        }
        since.is_some_and(|since| now > since + EVACUATION)
    }

    /// Passes a new owner what its instance read `age` ago.
    pub fn open(&self, core: &mut Core, age: Duration, now: Now) -> Reader {
        let zones = self.zones_at(now.at.saturating_sub(age));
        core.note_evacuations(&zones, age, now);
        Reader {
            silent_until: now.at + age / 2,
        }
    }

    /// Sends the current evacuations to an owner, unless its reader is silent.
    pub fn send_state(&self, reader: Reader, core: &mut Core, now: Now) {
        if now.at >= reader.silent_until {
            core.note_evacuations(&self.zones_at(now.at), Duration::ZERO, now);
        }
    }
}
