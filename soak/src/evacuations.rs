//! Evacuations of availability zones, drawn from a random generator of their own.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::standin::store::ZONES;
use crate::world::World;

/// Mixed into the seed so that these draws are independent of those of the other faults.
const SALT: u64 = 0x6576_6163;
/// One step in this many starts or cancels the evacuation of a zone.
const CHANGES: u32 = 12;
/// Values that an operator may write for an evacuated zone.
const VALUES: [&str; 3] = ["{}", "", "\u{0}not json"];

/// Random generator for evacuations.
pub struct Draws(Pcg64);

impl Draws {
    /// Seeds the generator.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(Pcg64::seed_from_u64(seed ^ SALT))
    }
}

impl World {
    /// Occasionally starts or cancels the evacuation of a zone; all zones may be evacuated at once.
    pub fn evacuate(&mut self) {
        let Some(draws) = &mut self.evacuations else {
            return;
        };
        if draws.0.random_range(0..CHANGES) != 0 {
            return;
        }
        let zone = ZONES[draws.0.random_range(0..ZONES.len())];
        let value = VALUES[draws.0.random_range(0..VALUES.len())];
        let now = self.now();
        let taken_back = self.checks.evacuated.lock().remove(zone).is_some();
        if taken_back {
            self.checks.store.cancel_evacuation(zone);
        } else {
            self.checks.store.evacuate(zone, value.as_bytes());
            self.checks.evacuated.lock().insert(zone, now);
        }
        self.note(&format!("zone {zone} is taken back: {taken_back}"));
    }

    /// Cancels every evacuation.
    pub fn cancel_evacuations(&mut self) {
        for zone in std::mem::take(&mut *self.checks.evacuated.lock()).into_keys() {
            self.checks.store.cancel_evacuation(zone);
        }
    }
}
