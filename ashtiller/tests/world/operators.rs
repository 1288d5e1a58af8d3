//! Evacuations of availability zones, and how late owners hear of them.

use std::time::Duration;

use ashtiller::workflow::core::{Core, Now};
use ashtiller::workflow::evacuations::Zones;

/// Time after which an evacuated zone must get no starts.
pub const EVACUATION: Duration = Duration::from_secs(5);
/// Availability zones.
pub const ZONES: [&str; 3] = ["bern", "olten", "aarau"];

/// The zone of a worker.
pub fn zone_of(id: &str) -> &'static str {
    let sum: usize = id.bytes().map(usize::from).sum();
    ZONES[sum % ZONES.len()]
}

/// What operators ask for, at each time.
#[derive(Default)]
pub struct Operators {
    /// Zones under evacuation since each change.
    history: Vec<(Duration, Zones)>,
    evacuations: u64,
}

/// How an owner hears of evacuations.
#[derive(Clone, Copy, Default)]
pub struct Reader {
    /// Until when it hears nothing.
    pub silent: Duration,
}

impl Operators {
    /// Evacuates a zone, or takes it back.
    pub fn turn(&mut self, zone: &str, now: Duration) {
        let mut zones = self.zones_at(now);
        if zones.remove(zone).is_none() {
            self.evacuations += 1;
            zones.insert(zone.into(), self.evacuations);
        }
        self.history.push((now, zones));
    }

    /// No zone is under evacuation from now on.
    pub fn take_all_back(&mut self, now: Duration) {
        self.history.push((now, Zones::new()));
    }

    /// How often a zone was evacuated.
    pub fn evacuations(&self) -> u64 {
        self.evacuations
    }

    fn zones_at(&self, at: Duration) -> Zones {
        let known = self.history.iter().rfind(|(since, _)| *since <= at);
        known.map(|(_, zones)| zones.clone()).unwrap_or_default()
    }

    /// Whether a zone must get no starts: it has been under evacuation for long.
    pub fn is_shut(&self, zone: &str, now: Duration) -> bool {
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

    /// A new owner knows what its instance read some time ago.
    pub fn open(&self, core: &mut Core, age: Duration, now: Now) -> Reader {
        let zones = self.zones_at(now.at.saturating_sub(age));
        core.note_evacuations(&zones, age, now);
        Reader {
            silent: now.at + age / 2,
        }
    }

    /// Tells an owner what stands now, unless it hears nothing.
    pub fn tell(&self, reader: Reader, core: &mut Core, now: Now) {
        if now.at >= reader.silent {
            core.note_evacuations(&self.zones_at(now.at), Duration::ZERO, now);
        }
    }
}
