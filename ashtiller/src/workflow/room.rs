//! Price of the room that long-running tasks take from short ones.
//!
//! Short tasks need their processors in one piece. The demand for them is learned by size, and
//! compared with the pieces that workers have for them: free space, and what short runs use. A
//! placement that leaves a worker with fewer pieces of a size displaces tasks of this size as often
//! as all its pieces are in use.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::resources::Resources;
use crate::workflow::load::account::Usage;
use crate::workflow::reserve::plan;

/// Number of size classes. Each is larger than the one before by a factor of √2, up to 128
/// processors.
const CLASSES: usize = 16;
/// Largest size of the first class, in thousandths of processors.
const SMALLEST: f64 = 700.0;
/// Time in which a past demand decays to 1/e. Traffic varies with periods of 11 to 13 s.
const DEMAND_DECAY: Duration = Duration::from_secs(8);
/// Number of tasks below which the demand for a size is forgotten.
const DEMAND_MIN: f64 = 0.1;
/// Largest cost of a placement, when it surely displaces a short task. It exceeds what a service may
/// gain by the choice of its neighbors.
pub const COST_MAX: f64 = 16.0;
/// Part of the processors of a service that short tasks are expected to use before any was seen.
const EXPECTED_SHARE: f64 = 0.05;
/// Divisors of a worker's capacity that give the sizes of these tasks.
const EXPECTED_SIZES: [u64; 4] = [8, 4, 2, 1];
/// Smallest part of the room that counts as left by the long-running tasks that wait.
const ROOM_LEFT_MIN: f64 = 0.02;
/// Exponent of the part of the pieces that is in use, for the probability that all are.
const SCARCITY_EXPONENT: i32 = 3;

/// Short tasks of one service by size: those that run and those that could start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SizeReading([Usage; CLASSES]);

impl SizeReading {
    /// Adds tasks with these requests each.
    pub fn add(&mut self, tasks: u32, each: &Resources) {
        self.0[class_of(each)].add(tasks, each);
    }

    /// Removes a task.
    pub fn remove_task(&mut self, needs: &Resources) {
        self.0[class_of(needs)].remove_task(needs);
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a class number, bounded on both sides"
)]
fn class_of(needs: &Resources) -> usize {
    let steps = (needs.processors as f64 / SMALLEST).max(1.0).log2() * 2.0;
    (steps.ceil() as usize).min(CLASSES - 1)
}

/// Demand for one size.
#[derive(Clone, Copy, Debug, Default)]
struct SizeDemand {
    /// Recent peak of the tasks that run or could start.
    tasks: f64,
    /// Mean request of a task.
    unit: Resources,
}

/// Demand of the short tasks of a service by size.
#[derive(Clone, Debug, Default)]
pub struct RoomDemand {
    sizes: [SizeDemand; CLASSES],
    observed_at: Duration,
}

impl RoomDemand {
    /// Returns the demand that is expected before any short task was seen, for workers of these
    /// capacities.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "thousandths of processors")]
    pub fn expected(capacities: &[Resources]) -> Self {
        let mut demand = Self::default();
        let mut sum = Resources::default();
        for capacity in capacities {
            sum = sum.plus(capacity);
        }
        let workers = capacities.len().max(1) as u64;
        let each = sum.processors as f64 * EXPECTED_SHARE / EXPECTED_SIZES.len() as f64;
        for divisor in EXPECTED_SIZES {
            let unit = Resources {
                processors: sum.processors / workers / divisor,
                memory: sum.memory / workers / divisor,
                accelerators: 0,
            };
            demand.sizes[class_of(&unit)] = SizeDemand {
                tasks: each / unit.processors.max(1) as f64,
                unit,
            };
        }
        demand
    }

    /// Adds a reading: what runs, and what waits.
    pub fn observe(&mut self, running: &SizeReading, waiting: &SizeReading, now: Duration) {
        let passed = now.saturating_sub(self.observed_at);
        self.observed_at = now;
        let kept = (-passed.div_duration_f64(DEMAND_DECAY)).exp();
        let readings = running.0.iter().zip(&waiting.0);
        for (size, (running, waiting)) in self.sizes.iter_mut().zip(readings) {
            let mut present = *running;
            present.add_usage(waiting);
            size.tasks *= kept;
            if present.tasks > 0 {
                size.tasks = size.tasks.max(f64::from(present.tasks));
                size.unit = present.mean();
            }
        }
    }
}

/// Pieces of one size.
#[derive(Clone, Copy, Debug)]
struct Pieces {
    unit: Resources,
    /// Cost of one piece less.
    price: f64,
}

/// Price of the room of one service in a placement round.
#[derive(Clone, Debug, Default)]
pub struct RoomPrice(Vec<Pieces>);

impl RoomPrice {
    /// Returns the price for a demand while workers have these resources for short tasks, free or
    /// used by some, and long-running tasks wait that ask for `waiting` in all.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts")]
    pub fn new(demand: &RoomDemand, workers: &[Resources], waiting: &Resources) -> Self {
        let used = |size: &SizeDemand| size.tasks * size.unit.processors.max(1) as f64;
        let all: f64 = demand.sizes.iter().map(used).sum();
        let free: u64 = workers.iter().map(|room| room.processors).sum();
        let left = 1.0 - waiting.processors as f64 / free.max(1) as f64;
        let left = left.max(ROOM_LEFT_MIN);
        let mut pieces = Vec::new();
        // Processors of tasks of this size and of larger ones, which compete for its pieces.
        let mut processors = 0.0;
        for size in demand.sizes.iter().rev() {
            if size.tasks < DEMAND_MIN {
                continue;
            }
            let unit = size.unit.processors.max(1) as f64;
            processors += size.tasks * unit;
            let present: u64 = workers
                .iter()
                .map(|room| plan::times_within(&size.unit, room))
                .sum();
            let used = (processors / unit / (present.max(1) as f64 * left)).min(1.0);
            pieces.push(Pieces {
                unit: size.unit,
                price: COST_MAX * size.tasks * unit / all * used.powi(SCARCITY_EXPONENT),
            });
        }
        Self(pieces)
    }

    /// Returns the cost of reserving `needs` on a worker that has `room` for short tasks.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "pieces of one worker")]
    pub fn cost(&self, room: &Resources, needs: &Resources) -> f64 {
        let left = room.minus(needs);
        let costs = self.0.iter().map(|pieces| {
            let lost = plan::times_within(&pieces.unit, room)
                .saturating_sub(plan::times_within(&pieces.unit, &left));
            pieces.price * lost as f64
        });
        costs.sum::<f64>().min(COST_MAX)
    }
}

/// Prices of a placement round, by service.
pub type RoomPrices = BTreeMap<Arc<str>, Arc<RoomPrice>>;
