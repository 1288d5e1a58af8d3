//! Waiting work of one class of a service, summed so that the work ahead of a new job is found in
//! constant time per priority.

use std::collections::BTreeMap;
use std::time::Duration;

/// Number of size classes. Each doubles: from 1 ms to 2^31 ms, about 25 days.
const SIZES: usize = 32;

/// How a job stands relative to its time objective.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// A task of it has begun, and it can still be in time.
    Begun,
    /// None has begun, and it can still be in time.
    Fresh,
    /// It will be late and is still worth something.
    Late,
    /// It can no longer be worth anything.
    Worthless,
}

/// Waiting work of one job in one class.
#[derive(Clone, Copy, Debug)]
pub struct JobWork {
    /// Priority of its queue; 0 is the highest.
    pub priority: u32,
    /// Time within which the job is on time.
    pub objective: Duration,
    /// How the job stands.
    pub standing: Standing,
    /// Waiting work in processor-seconds, by estimates.
    pub work: f64,
}

/// Sums of one priority, in processor-seconds.
#[derive(Clone, Debug, Default)]
struct PrioritySums {
    begun: f64,
    /// Work of jobs that have not begun, by size of the job.
    fresh: [f64; SIZES],
    /// All work, by time objective.
    by_objective: [f64; SIZES],
}

/// Waiting work by what decides its order.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    priorities: BTreeMap<u32, PrioritySums>,
    total: f64,
    worthless: f64,
}

/// Returns the size class of a time.
fn size_of(time: Duration) -> usize {
    let doublings = time.as_millis().checked_ilog2().map_or(0, |log| log + 1);
    usize::try_from(doublings).map_or(SIZES - 1, |size| size.min(SIZES - 1))
}

fn work_size(work: f64) -> usize {
    size_of(Duration::try_from_secs_f64(work.max(0.0)).unwrap_or(Duration::MAX))
}

impl Backlog {
    /// Removes all work.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Adds the waiting work of a job.
    pub fn add(&mut self, job: &JobWork) {
        let sums = self.priorities.entry(job.priority).or_default();
        match job.standing {
            Standing::Begun => sums.begun += job.work,
            Standing::Fresh => sums.fresh[work_size(job.work)] += job.work,
            Standing::Late => {}
            Standing::Worthless => self.worthless += job.work,
        }
        sums.by_objective[size_of(job.objective)] += job.work;
        self.total += job.work;
    }

    /// Returns all waiting work.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.total
    }

    /// Returns the waiting work of jobs that are worth nothing any more.
    #[must_use]
    pub fn worthless(&self) -> f64 {
        self.worthless
    }

    /// Returns the work that comes before a new job in the order of [`super::triage`]: jobs of
    /// higher priority that can be in time, and of its own priority those that have begun or are
    /// not larger.
    #[must_use]
    pub fn ahead_of(&self, priority: u32, work: f64) -> f64 {
        let higher = self.priorities.range(..priority);
        let higher = higher.map(|(_, sums)| sums.begun + sums.fresh.iter().sum::<f64>());
        let same = self.priorities.get(&priority).map_or(0.0, |sums| {
            sums.begun + sums.fresh[..=work_size(work)].iter().sum::<f64>()
        });
        higher.sum::<f64>() + same
    }

    /// Returns all waiting work of at least this priority whose time objective is not longer.
    #[must_use]
    pub fn accepted_before(&self, priority: u32, objective: Duration) -> f64 {
        let sums = self.priorities.range(..=priority);
        let sums = sums.map(|(_, sums)| &sums.by_objective[..=size_of(objective)]);
        sums.flatten().sum()
    }
}
