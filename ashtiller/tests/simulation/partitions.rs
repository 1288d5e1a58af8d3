//! Owners that lose the store for good, while each reaches other workers than its successors.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::Simulation;

/// Number of changes of owner.
const CHANGES: u32 = 4;
/// Bounds of the time from one change of owner to the next, in milliseconds: around the time after
/// which an owner without the store ceases to renew leases.
const TURN_MS: [u64; 2] = [3_000, 13_000];
/// Time for which an owner does not reach a worker, in milliseconds.
const CUT_MS: [u64; 2] = [500, 20_000];
/// Time for which an owner loses the store: it is not told of its successor before it has ceased to
/// renew leases.
const STORE_OUTAGE: Duration = Duration::from_mins(1);
/// Time without changes of owner after the last one.
const TAIL: Duration = Duration::from_secs(30);

/// Workers that owners do not reach.
#[derive(Default)]
pub struct Partitions {
    /// Time until which the owner with this index does not reach a worker.
    cut: BTreeMap<(usize, Arc<str>), Duration>,
}

impl Partitions {
    /// Returns whether an owner does not reach a worker.
    pub fn is_cut(&self, owner: usize, worker: &str, now: Duration) -> bool {
        let until = self.cut.get(&(owner, worker.into()));
        until.is_some_and(|until| now < *until)
    }

    /// Returns whether any owner does not reach a worker.
    pub fn is_active(&self, now: Duration) -> bool {
        self.cut.values().any(|until| now < *until)
    }
}

impl Simulation {
    /// Lets owners follow each other, of which each loses the store and goes on, and does not reach
    /// some of the workers for a while.
    pub fn run_partitions(&mut self, seed: u64) {
        let mut rng = Pcg64::seed_from_u64(seed.rotate_left(16) ^ 0x7061_7274_6974_696f);
        let mut draw = |[from, to]: [u64; 2]| Duration::from_millis(rng.random_range(from..=to));
        for _ in 0..CHANGES {
            self.lose_store(STORE_OUTAGE);
            self.take_over();
            // A few workers, so that several owners fail to reach the same one.
            let workers: Vec<Arc<str>> = self.workers.keys().take(4).cloned().collect();
            for worker in workers {
                let until = self.now + draw(CUT_MS);
                if !draw([0, 2]).is_zero() {
                    self.partitions.cut.insert((self.newest, worker), until);
                }
            }
            let turn = draw(TURN_MS);
            self.run(turn, false);
        }
        self.run(TAIL, false);
    }
}
