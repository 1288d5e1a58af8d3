//! The product's policy and the baselines that it is compared with.

use ashtiller::placement::{CandidateHost, InterferenceAware, PlacementPolicy};
use ashtiller::template::Class;

/// A way to place and control tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Any worker with room.
    Random,
    /// The fullest worker with room.
    BestFit,
    /// Batch work only where no service runs.
    Apart,
    /// Best fit, and the newest batch task is evicted whenever a service is over.
    Threshold,
    /// The product's.
    Product,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 5] = [
        Self::Random,
        Self::BestFit,
        Self::Apart,
        Self::Threshold,
        Self::Product,
    ];

    /// The policy's name.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random fit",
            Self::BestFit => "best fit",
            Self::Apart => "never colocate",
            Self::Threshold => "threshold",
            Self::Product => "ashtiller",
        }
    }

    /// How it chooses a worker.
    #[must_use]
    pub fn fit(self) -> Box<dyn PlacementPolicy> {
        match self {
            Self::Random => Box::new(Random),
            Self::BestFit | Self::Threshold => Box::new(BestFit),
            Self::Apart => Box::new(Apart),
            Self::Product => Box::new(InterferenceAware),
        }
    }
}

struct Random;

impl PlacementPolicy for Random {
    fn cost(&self, site: &CandidateHost) -> Option<f64> {
        // Any order that has nothing to do with load.
        let mixed = site.now.as_secs() ^ site.host.pool().allocated().memory;
        let address = site
            .host
            .address
            .map_or(0, |address| u64::from(address.port()));
        let hash = (mixed + address).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
        Some(f64::from(u32::try_from(hash).unwrap_or(0)))
    }
}

struct BestFit;

impl PlacementPolicy for BestFit {
    fn cost(&self, site: &CandidateHost) -> Option<f64> {
        Some(-site.utilization())
    }
}

struct Apart;

impl PlacementPolicy for Apart {
    fn cost(&self, site: &CandidateHost) -> Option<f64> {
        let service = site
            .host
            .work_counts
            .keys()
            .any(|work| work.class == Class::LatencyCritical);
        (!service).then(|| -site.utilization())
    }
}
