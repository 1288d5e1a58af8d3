//! What the workers of a service could run if nothing else ran there.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::resources::Resources;
use crate::workflow::job::Step;

/// Number of worker sizes kept for a service and label. Fleets have two or three.
const SIZES_MAX: usize = 8;

/// Sizes of workers, none of which is within another.
#[derive(Clone, Debug, Default)]
struct Sizes(Vec<Resources>);

impl Sizes {
    fn add(&mut self, capacity: &Resources) {
        if self.fits(capacity) {
            return;
        }
        self.0.retain(|size| !size.fits_within(capacity));
        let mut capacity = *capacity;
        if self.0.len() >= SIZES_MAX
            && let Some(last) = self.0.pop()
        {
            // An upper bound: some requests may count as possible that are not.
            capacity = Resources {
                processors: last.processors.max(capacity.processors),
                memory: last.memory.max(capacity.memory),
                accelerators: last.accelerators.max(capacity.accelerators),
            };
        }
        self.0.push(capacity);
    }

    fn fits(&self, resources: &Resources) -> bool {
        self.0.iter().any(|size| resources.fits_within(size))
    }
}

#[derive(Clone, Debug, Default)]
struct ServiceSizes {
    workers: u32,
    total: Resources,
    all: Sizes,
    by_label: BTreeMap<Arc<str>, Sizes>,
}

/// Sizes of all known workers by service and label.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    services: BTreeMap<Arc<str>, ServiceSizes>,
}

impl Catalog {
    /// Adds a worker.
    pub fn add(&mut self, service: &Arc<str>, capacity: &Resources, labels: &[Arc<str>]) {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServiceSizes::default());
        }
        let Some(sizes) = self.services.get_mut(service) else {
            return;
        };
        sizes.workers += 1;
        sizes.total = sizes.total.plus(capacity);
        sizes.all.add(capacity);
        for label in labels {
            if let Some(known) = sizes.by_label.get_mut(label) {
                known.add(capacity);
            } else {
                sizes.by_label.insert(label.clone(), Sizes(vec![*capacity]));
            }
        }
    }

    /// Returns whether the workers could run a step if they were empty. Otherwise it waits for
    /// workers that are not there, and not for others to end.
    #[must_use]
    pub fn could_run(&self, service: &str, step: &Step) -> bool {
        let Some(sizes) = self.services.get(service) else {
            return false;
        };
        let resources = step.reserved();
        let fits = match &step.label {
            None => sizes.all.fits(&resources),
            Some(label) => sizes
                .by_label
                .get(label)
                .is_some_and(|it| it.fits(&resources)),
        };
        if !step.gang {
            return fits;
        }
        let count = u64::from(step.count);
        let members = Resources {
            processors: resources.processors.saturating_mul(count),
            memory: resources.memory.saturating_mul(count),
            accelerators: resources.accelerators.saturating_mul(step.count),
        };
        let spread = step.spread == 0 || sizes.workers.saturating_mul(step.spread) >= step.count;
        fits && spread && members.fits_within(&sizes.total)
    }
}
