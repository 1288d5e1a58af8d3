//! Where long-running tasks may start in one placement round.
//!
//! The reserve of a service is a list of gaps: free space for short tasks, by size and place. A gap
//! that a short run uses counts like a free one, since it is free again when the run ends. So the
//! reserve limits what long-running work takes, and short runs never change whether it is in force.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::resources::Resources;
use crate::workflow::reserve::demand::GapNeed;

/// Largest share of a service's capacity that is reserved. Long-running work reserves most of a
/// fleet and runs for a minute; short work at its highest peak of 2.6 times the mean uses an eighth
/// of the larger deployment.
const SHARE_MAX_PERCENT: u64 = 25;

/// Number of workers below which a service has no reserve: a rack of the first deployment. Gaps are
/// spread over workers, and on a few of them a gap is a large part of the capacity.
const WORKERS_MIN: usize = 8;

/// What a worker offers to short and long-running tasks.
#[derive(Clone, Copy, Debug)]
pub struct Offer<'a> {
    /// Resources that are not reserved.
    pub free: Resources,
    /// Resources that short runs have reserved.
    pub short: Resources,
    /// Capacity of the worker.
    pub capacity: Resources,
    /// Labels of the worker.
    pub labels: &'a [Arc<str>],
    /// Whether it takes more than one run; others have no gaps.
    pub takes_many: bool,
}

impl Offer<'_> {
    /// Returns the resources that no other than short runs have reserved.
    #[must_use]
    pub fn for_short(&self) -> Resources {
        self.free.plus(&self.short)
    }

    /// Returns the resources for short runs once long-running tasks of one size have taken all that
    /// the rule on starts gives them.
    fn protected(&self, lasting: &Resources) -> Resources {
        let given = times_within(lasting, &self.free).saturating_sub(1);
        let taken = Resources {
            processors: lasting.processors * given,
            memory: lasting.memory * given,
            accelerators: u32::try_from(u64::from(lasting.accelerators) * given).unwrap_or(0),
        };
        self.after(&taken).for_short()
    }

    /// Returns the offer after a task has been placed that reserves these resources.
    fn after(&self, needs: &Resources) -> Self {
        Self {
            free: self.free.minus(needs),
            ..*self
        }
    }
}

/// A number of gaps that the reserve of a service consists of.
#[derive(Clone, Debug, PartialEq)]
pub struct Gaps {
    /// Size, place, and number that the demand asks for.
    pub need: GapNeed,
    /// Number that is reserved: that of the need, within the limit of the service's capacity.
    pub reserved: u64,
    /// Number of gaps that are free or used by short runs.
    pub present: u64,
    /// Number of these that are left when long-running tasks start wherever two of them fit.
    pub protected: u64,
}

impl Gaps {
    /// Returns the number of gaps of a worker when it has these resources for short runs.
    fn count(&self, offer: &Offer<'_>, resources: &Resources) -> u64 {
        let place = &self.need.place;
        if !offer.takes_many || !place.labels.iter().all(|it| offer.labels.contains(it)) {
            return 0;
        }
        let count = times_within(&self.need.unit, resources);
        match place.spread {
            0 => count,
            spread => count.min(spread.into()),
        }
    }
}

/// Returns how many tasks of one size fit within a limit.
#[must_use]
pub fn times_within(unit: &Resources, limit: &Resources) -> u64 {
    let times = |unit: u64, limit: u64| limit.checked_div(unit).unwrap_or(u64::MAX);
    let times = times(unit.processors, limit.processors)
        .min(times(unit.memory, limit.memory))
        .min(times(unit.accelerators.into(), limit.accelerators.into()));
    // A task that needs nothing fits without a gap.
    if times == u64::MAX { 0 } else { times }
}

/// The reserve of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceReserve {
    gaps: Vec<Gaps>,
    /// Size of the long-running tasks that wait.
    lasting: Resources,
}

impl ServiceReserve {
    /// Returns the reserve that meets the needs as far as the workers allow, while long-running
    /// tasks of the size `lasting` wait.
    #[must_use]
    pub fn new(needs: Vec<GapNeed>, lasting: Resources, workers: &[Offer<'_>]) -> Self {
        if workers.len() < WORKERS_MIN {
            return Self::default();
        }
        let gaps = needs.into_iter().map(|need| {
            let mut gaps = Gaps {
                need,
                reserved: 0,
                present: 0,
                protected: 0,
            };
            let mut all: u64 = 0;
            for offer in workers {
                all += gaps.count(offer, &offer.capacity);
                gaps.present += gaps.count(offer, &offer.for_short());
                gaps.protected += gaps.count(offer, &offer.protected(&lasting));
            }
            let limit = all.saturating_mul(SHARE_MAX_PERCENT) / 100;
            gaps.reserved = gaps.need.count.min(limit);
            gaps
        });
        Self {
            gaps: gaps.filter(|gaps| gaps.reserved > 0).collect(),
            lasting,
        }
    }

    /// Returns whether a long-running task may start on a worker: the reserve remains whole, or the
    /// worker has its resources free twice.
    ///
    /// The second rule has precedence over any reserve. The platform requires a start within 3 s
    /// whenever a worker has free resources for two tasks.
    #[must_use]
    pub fn allows(&self, offer: &Offer<'_>, needs: &Resources) -> bool {
        fits_twice(offer, needs) || self.remains_after(offer, needs)
    }

    /// Returns whether the reserve is whole after a task has been placed on a worker, or the worker
    /// has as many gaps as before: it may have room that no short task of a known size fits.
    #[must_use]
    pub fn remains_after(&self, offer: &Offer<'_>, needs: &Resources) -> bool {
        let after = offer.after(needs);
        self.gaps.iter().all(|gaps| {
            let before = gaps.count(offer, &offer.for_short());
            let left = gaps.count(&after, &after.for_short());
            let lost = before - left.min(before);
            lost == 0 || gaps.present >= gaps.reserved + lost
        })
    }

    /// Returns whether a task had better start on another worker: here it takes a gap of the reserve
    /// that the rule on starts does not give away.
    ///
    /// Tasks that fill up one worker after the other would leave the reserve on workers that are
    /// empty, and the rule gives those to the next long-running tasks.
    #[must_use]
    pub fn is_better_avoided(&self, offer: &Offer<'_>, needs: &Resources) -> bool {
        let after = offer.after(needs);
        let takes_protected = |gaps: &Gaps| {
            let before = gaps.count(offer, &offer.protected(&self.lasting));
            let left = gaps.count(&after, &after.protected(&self.lasting));
            let lost = before - left.min(before);
            lost > 0 && gaps.protected < gaps.reserved + lost
        };
        !fits_twice(offer, needs) && self.gaps.iter().any(takes_protected)
    }

    /// Updates the gaps that are present when the offer of a worker changes.
    pub fn update(&mut self, before: &Offer<'_>, after: &Offer<'_>) {
        for gaps in &mut self.gaps {
            let left = gaps.count(after, &after.for_short());
            let had = gaps.count(before, &before.for_short());
            gaps.present = (gaps.present + left).saturating_sub(had);
            let left = gaps.count(after, &after.protected(&self.lasting));
            let had = gaps.count(before, &before.protected(&self.lasting));
            // A task of another size than the waiting ones may add to it. Rankings of candidates rely
            // on costs that never fall in a round.
            let protected = (gaps.protected + left).saturating_sub(had);
            gaps.protected = gaps.protected.min(protected);
        }
    }

    /// Returns whether there are fewer gaps than reserved, or just as many.
    #[must_use]
    pub fn is_in_force(&self) -> bool {
        self.gaps.iter().any(|gaps| gaps.present <= gaps.reserved)
    }

    /// Returns the gaps, the sum of the demand first.
    #[must_use]
    pub fn gaps(&self) -> &[Gaps] {
        &self.gaps
    }
}

/// Returns whether a worker has the resources of a task free twice over.
#[must_use]
pub fn fits_twice(offer: &Offer<'_>, needs: &Resources) -> bool {
    needs.plus(needs).fits_within(&offer.free)
}

/// The reserves of a placement round, by service.
#[derive(Clone, Debug, Default)]
pub struct ReservePlan {
    services: BTreeMap<Arc<str>, Arc<ServiceReserve>>,
}

impl ReservePlan {
    /// Adds the reserve of a service, unless it is empty.
    pub fn add(&mut self, service: &Arc<str>, reserve: ServiceReserve) {
        if !reserve.gaps.is_empty() {
            self.services.insert(service.clone(), Arc::new(reserve));
        }
    }

    /// Returns the reserve of a service, if there is one.
    #[must_use]
    pub fn of(&self, service: &str) -> Option<&Arc<ServiceReserve>> {
        self.services.get(service)
    }

    /// Returns whether a long-running task may start on a worker.
    #[must_use]
    pub fn allows(&self, service: &str, offer: &Offer<'_>, needs: &Resources) -> bool {
        self.of(service)
            .is_none_or(|reserve| reserve.allows(offer, needs))
    }

    /// Updates the reserve of a service when the offer of a worker changes.
    pub fn update(&mut self, service: &str, before: &Offer<'_>, after: &Offer<'_>) {
        if let Some(reserve) = self.services.get_mut(service) {
            Arc::make_mut(reserve).update(before, after);
        }
    }

    /// Returns the reserves by service.
    pub fn services(&self) -> impl Iterator<Item = (&Arc<str>, &ServiceReserve)> {
        self.services
            .iter()
            .map(|(name, reserve)| (name, &**reserve))
    }
}
