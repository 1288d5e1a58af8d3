//! What each queue and origin uses and has used of a service's capacity.
//!
//! Usage is the share of the dominant resource in the service's capacity. The past counts only for
//! the time in which work of the same service and class waited: what a key used while others needed
//! nothing is never held against it. It decays within seconds.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::resources::Resources;
use crate::workflow::load::account::{Capacity, DemandKey, LoadAccount, Usage, WorkClass};

/// Time constant with which past usage decays. After a shortage, a key is compensated within about
/// this time: a few times the run time of a short task, and well below the 13 s in which the peak
/// of the callers' traffic moves once around the zones.
pub const MEMORY: Duration = Duration::from_secs(3);
/// Longest time between two rounds that counts as usage. Rounds with waiting work follow each other
/// within 200 ms, so that after a longer pause nothing waited in between.
const ROUND_GAP_MAX: Duration = Duration::from_millis(400);
/// Past usage below which a key without current demand is dropped.
const NEGLIGIBLE: f64 = 1e-4;

/// Weight of a queue or origin: its claim relative to that of its siblings.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Weight(f64);

impl Weight {
    /// The weight of everything that the configuration names no weight for.
    pub const EQUAL: Self = Self(1.0);

    /// Returns a weight; values that are not positive count as [`Weight::EQUAL`].
    #[must_use]
    pub fn new(weight: f64) -> Self {
        if weight.is_finite() && weight > 0.0 {
            Self(weight)
        } else {
            Self::EQUAL
        }
    }

    /// Returns its value.
    #[must_use]
    pub fn get(self) -> f64 {
        self.0
    }
}

/// A queue, or an origin within a queue, among the work of one class of a service.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ShareKey {
    /// Service whose workers run the work.
    pub service: Arc<str>,
    /// Class of the work.
    pub class: WorkClass,
    /// Queue of the jobs.
    pub queue: Arc<str>,
    /// Origin of the jobs; `None` for the whole queue.
    pub origin: Option<Arc<str>>,
}

impl ShareKey {
    fn of_queue(key: &DemandKey) -> Self {
        Self {
            service: key.service.clone(),
            class: key.class,
            queue: key.queue.clone(),
            origin: None,
        }
    }

    fn of_origin(key: &DemandKey) -> Self {
        Self {
            origin: Some(key.origin.clone()),
            ..Self::of_queue(key)
        }
    }

    /// Returns whether both compete directly: queues of one class, or origins of one queue.
    fn is_sibling(&self, other: &Self) -> bool {
        self.service == other.service
            && self.class == other.class
            && match (&self.origin, &other.origin) {
                (None, None) => true,
                (Some(_), Some(_)) => self.queue == other.queue,
                _ => false,
            }
    }
}

/// Usage of one key, in shares of the service's capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Usage of runs that may be active.
    pub used: f64,
    /// Average usage of the last seconds while work waited.
    pub past: f64,
    /// Demand of tasks that wait.
    pub waiting: f64,
    /// Whether tasks waited in the last round.
    waits: bool,
}

impl Share {
    /// Returns the usage by which keys are compared: half of it is the present, half the past.
    #[must_use]
    pub fn level(&self) -> f64 {
        f64::midpoint(self.used, self.past)
    }
}

/// Usage of all keys.
#[derive(Debug, Default)]
pub struct Ledger {
    shares: BTreeMap<ShareKey, Share>,
    observed_at: Option<Duration>,
}

impl Ledger {
    /// Takes over the demand of a placement round.
    pub fn observe(&mut self, load: &LoadAccount, now: Duration) {
        let elapsed = self
            .observed_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        self.observed_at = Some(now);
        let kept = (-elapsed.div_duration_f64(MEMORY)).exp();
        let gained = 1.0 - (-elapsed.min(ROUND_GAP_MAX).div_duration_f64(MEMORY)).exp();
        let mut current: BTreeMap<ShareKey, (Usage, Usage)> = BTreeMap::new();
        for (key, demand) in load.demands() {
            for key in [ShareKey::of_queue(key), ShareKey::of_origin(key)] {
                let (used, waiting) = current.entry(key).or_default();
                used.add_usage(&demand.used);
                waiting.add_usage(&demand.waiting);
            }
        }
        for key in current.keys() {
            self.shares.entry(key.clone()).or_default();
        }
        let contended = self.lowest_waiting_past();
        for (key, share) in &mut self.shares {
            let before = share.used;
            share.past *= kept;
            if contended.iter().any(|(other, _)| other.is_sibling(key)) {
                share.past += before * gained;
            }
            let (used, waiting) = current.remove(key).unwrap_or_default();
            let capacity = load.capacity(&key.service).map(|(it, _)| it.total);
            let share_of = |usage: &Usage| {
                capacity.map_or(0.0, |total| usage.resources.dominant_share_of(&total))
            };
            share.used = share_of(&used);
            share.waiting = share_of(&waiting);
        }
        self.forgive_idle_time(&contended);
        self.shares
            .retain(|_, share| share.past > NEGLIGIBLE || share.used > 0.0 || share.waiting > 0.0);
    }

    /// Returns, for each set of siblings of which one waited in the last round, one of them and the
    /// lowest past usage of those that waited.
    fn lowest_waiting_past(&self) -> Vec<(ShareKey, f64)> {
        let mut found: Vec<(ShareKey, f64)> = Vec::new();
        // Siblings are not adjacent in the map, but there are few sets of them.
        for (key, share) in self.shares.iter().filter(|(_, share)| share.waits) {
            match found.iter_mut().find(|(other, _)| other.is_sibling(key)) {
                Some((_, lowest)) => *lowest = lowest.min(share.past),
                None => found.push((key.clone(), share.past)),
            }
        }
        found
    }

    /// Raises the past usage of a key that begins to wait to the lowest one among those that waited
    /// already: time in which it asked for nothing is no shortage to be compensated.
    fn forgive_idle_time(&mut self, contended: &[(ShareKey, f64)]) {
        for (key, share) in &mut self.shares {
            let waits = share.waiting > 0.0;
            if waits && !share.waits {
                let floor = contended.iter().find(|(other, _)| other.is_sibling(key));
                share.past = floor.map_or(share.past, |(_, floor)| share.past.max(*floor));
            }
            share.waits = waits;
        }
    }

    /// Returns the usage of a key.
    #[must_use]
    pub fn share(&self, key: &ShareKey) -> Share {
        self.shares.get(key).copied().unwrap_or_default()
    }

    /// Returns all keys with their usage.
    pub fn shares(&self) -> impl Iterator<Item = (&ShareKey, &Share)> {
        self.shares.iter()
    }
}

/// Returns the part of a service's capacity that a class can have: what its runs use and what is
/// free. Best-effort work takes idle processors, also reserved ones.
#[must_use]
pub fn attainable(capacity: &Capacity, used: &Resources, class: WorkClass) -> f64 {
    let mut free = capacity.free;
    if class == WorkClass::BestEffort {
        free.processors = capacity.idle_processors;
    }
    used.plus(&free).dominant_share_of(&capacity.total)
}
