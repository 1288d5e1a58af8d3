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

    /// Returns what it competes within: a class of a service, or one of its queues.
    fn family(&self) -> Family {
        let queue = self.origin.as_ref().map(|_| self.queue.clone());
        (self.service.clone(), self.class, queue)
    }
}

/// Keys that compete directly: the queues of a class of a service, or the origins of one queue.
type Family = (Arc<str>, WorkClass, Option<Arc<str>>);

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

    /// Returns by how much the level rises with additional runs that use this share.
    #[must_use]
    pub fn level_of_use(used: f64) -> f64 {
        f64::midpoint(used, 0.0)
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
        let contended = self.contended();
        for (key, share) in &mut self.shares {
            let lowest = contended.get(&key.family());
            share.past *= kept;
            if lowest.is_some() {
                share.past += share.used * gained;
            }
            let (used, waiting) = current.remove(key).unwrap_or_default();
            let capacity = load.capacity(&key.service).map(|(it, _)| it.total);
            let share_of = |usage: &Usage| {
                capacity.map_or(0.0, |total| usage.resources.dominant_share_of(&total))
            };
            share.used = share_of(&used);
            share.waiting = share_of(&waiting);
            // Time in which a key asked for nothing is no shortage to be compensated.
            let waited = std::mem::replace(&mut share.waits, waiting.tasks > 0);
            if share.waits && !waited {
                share.past = lowest.map_or(share.past, |lowest| share.past.max(lowest * kept));
            }
        }
        self.shares
            .retain(|_, share| share.past > NEGLIGIBLE || share.used > 0.0 || share.waits);
    }

    /// Returns the families of which a key waited in the last round, with the lowest past usage of
    /// those that waited.
    fn contended(&self) -> BTreeMap<Family, f64> {
        let mut found = BTreeMap::new();
        for (key, share) in self.shares.iter().filter(|(_, share)| share.waits) {
            let lowest = found.entry(key.family()).or_insert(share.past);
            *lowest = share.past.min(*lowest);
        }
        found
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
