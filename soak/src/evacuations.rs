//! Evacuations of availability zones, drawn apart from all else.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::standin::store::ZONES;
use crate::world::World;

/// Keeps these draws apart from those of the other faults.
const SALT: u64 = 0x6576_6163;
/// One step in so many evacuates a zone or takes it back.
const TURNS: u32 = 12;
/// What operators' entries may hold.
const VALUES: [&str; 3] = ["{}", "", "\u{0}not json"];

/// What is drawn here.
pub struct Draws(Pcg64);

impl Draws {
    /// The draws of a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(Pcg64::seed_from_u64(seed ^ SALT))
    }
}

impl World {
    /// Zones are evacuated and taken back, now and then; all at once, too.
    pub fn evacuate(&mut self) {
        let Some(draws) = &mut self.evacuations else {
            return;
        };
        if draws.0.random_range(0..TURNS) != 0 {
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

    /// No zone is under evacuation any more.
    pub fn take_zones_back(&mut self) {
        for zone in std::mem::take(&mut *self.checks.evacuated.lock()).into_keys() {
            self.checks.store.cancel_evacuation(zone);
        }
    }
}
