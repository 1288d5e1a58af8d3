//! Record of what runs use, what waiting tasks request, and what workers offer.
//!
//! It has no clock, socket or random draw. Usage follows each run as it is placed and ends; demand
//! and capacity are readings of the last placement round, and have its time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::resources::Resources;
use crate::workflow::job::Step;
use crate::workflow::room::SizeReading;

/// Class of work by the capacity that it takes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WorkClass {
    /// Reserves resources until its job is cancelled.
    LongRunning,
    /// Reserves resources until it is done.
    Short,
    /// Reserves memory and accelerators, and uses processors that others leave idle.
    BestEffort,
}

impl WorkClass {
    /// Returns the class of a step's tasks.
    #[must_use]
    pub fn of(step: &Step) -> Self {
        match () {
            () if step.fills() => Self::BestEffort,
            () if step.long_running => Self::LongRunning,
            () => Self::Short,
        }
    }

    /// Returns the name used in logs, metrics and dumps.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::LongRunning => "long_running",
            Self::Short => "short",
            Self::BestEffort => "best_effort",
        }
    }
}

/// What demand is counted by.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DemandKey {
    /// Service whose workers run the work.
    pub service: Arc<str>,
    /// Queue of the job.
    pub queue: Arc<str>,
    /// Availability zone of the instance that took the job from its caller; empty if unknown.
    pub origin: Arc<str>,
    /// Class of the work.
    pub class: WorkClass,
}

/// A number of tasks and the resources that they request. Unlike the reservation on a worker, those
/// of best-effort tasks include processors.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Number of tasks.
    pub tasks: u32,
    /// Sum of their requests.
    pub resources: Resources,
}

impl Usage {
    /// Adds tasks that request these resources each.
    pub fn add(&mut self, tasks: u32, each: &Resources) {
        self.tasks += tasks;
        let count = u64::from(tasks);
        self.resources = self.resources.plus(&Resources {
            processors: each.processors.saturating_mul(count),
            memory: each.memory.saturating_mul(count),
            accelerators: each.accelerators.saturating_mul(tasks),
        });
    }

    /// Adds the tasks of another usage.
    pub fn add_usage(&mut self, other: &Self) {
        self.tasks += other.tasks;
        self.resources = self.resources.plus(&other.resources);
    }

    /// Returns the resources that a task requests on average.
    #[must_use]
    pub fn mean(&self) -> Resources {
        let tasks = self.tasks.max(1);
        Resources {
            processors: self.resources.processors / u64::from(tasks),
            memory: self.resources.memory / u64::from(tasks),
            accelerators: self.resources.accelerators / tasks,
        }
    }

    /// Removes a task.
    pub fn remove_task(&mut self, resources: &Resources) {
        self.tasks = self.tasks.saturating_sub(1);
        self.resources = self.resources.minus(resources);
    }
}

/// Demand under one key.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Runs that may be active.
    pub used: Usage,
    /// Tasks that could start and had no worker before the last placement round.
    pub waiting: Usage,
    /// Work done since this owner began, in processor-seconds.
    pub completed: f64,
}

/// Capacity of the workers of a service that may get runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Number of workers.
    pub workers: u32,
    /// Sum of their capacities.
    pub total: Resources,
    /// Part of it that is not reserved.
    pub free: Resources,
    /// Processors, in thousandths, that are not in use by services and short runs. Best-effort
    /// runs share them.
    pub idle_processors: u64,
}

/// A reading of all demand that waits.
pub type WaitingReading = BTreeMap<DemandKey, Usage>;
/// A reading of the capacity of each service.
pub type CapacityReading = BTreeMap<Arc<str>, Capacity>;

/// Demand and capacity of all services.
#[derive(Debug, Default)]
pub struct LoadAccount {
    demands: BTreeMap<DemandKey, Demand>,
    /// Runs of short tasks by service and size.
    short_sizes: BTreeMap<Arc<str>, SizeReading>,
    capacities: CapacityReading,
    waiting_read_at: Duration,
    capacity_read_at: Option<Duration>,
}

impl LoadAccount {
    /// Records a run that may be active from now on.
    pub fn add_run(&mut self, key: &DemandKey, resources: &Resources) {
        self.demand_mut(key).used.add(1, resources);
        if key.class == WorkClass::Short {
            let sizes = self.short_sizes.entry(key.service.clone()).or_default();
            sizes.add(1, resources);
        }
    }

    /// Records that a run has ended. `work` is the time for which it was at work, if it is done.
    pub fn remove_run(&mut self, key: &DemandKey, resources: &Resources, work: Option<Duration>) {
        if key.class == WorkClass::Short
            && let Some(sizes) = self.short_sizes.get_mut(&key.service)
        {
            sizes.remove_task(resources);
        }
        let demand = self.demand_mut(key);
        demand.used.remove_task(resources);
        if let Some(work) = work {
            #[expect(clippy::cast_precision_loss, reason = "thousandths of processors")]
            let processors = resources.processors as f64 / 1000.0;
            demand.completed += processors * work.as_secs_f64();
        }
    }

    /// Replaces the reading of waiting demand.
    pub fn set_waiting(&mut self, reading: WaitingReading, now: Duration) {
        for demand in self.demands.values_mut() {
            demand.waiting = Usage::default();
        }
        for (key, waiting) in reading {
            self.demand_mut(&key).waiting = waiting;
        }
        self.demands.retain(|_, demand| {
            demand.used.tasks > 0 || demand.waiting.tasks > 0 || demand.completed > 0.0
        });
        self.waiting_read_at = now;
    }

    /// Replaces the reading of capacity.
    pub fn set_capacities(&mut self, reading: CapacityReading, now: Duration) {
        self.capacities = reading;
        self.capacity_read_at = Some(now);
    }

    /// Returns the demand under each key.
    pub fn demands(&self) -> impl Iterator<Item = (&DemandKey, &Demand)> {
        self.demands.iter()
    }

    /// Returns the demand of one class of a service, over all queues and origins.
    #[must_use]
    pub fn class_demand(&self, service: &str, class: WorkClass) -> Demand {
        let mut sum = Demand::default();
        let demands = self.demands.iter();
        let matching = demands.filter(|(key, _)| *key.service == *service && key.class == class);
        for (_, demand) in matching {
            for (total, part) in [
                (&mut sum.used, &demand.used),
                (&mut sum.waiting, &demand.waiting),
            ] {
                total.add_usage(part);
            }
            sum.completed += demand.completed;
        }
        sum
    }

    /// Returns the runs of short tasks by service and size.
    pub fn short_sizes(&self) -> impl Iterator<Item = (&Arc<str>, &SizeReading)> {
        self.short_sizes.iter()
    }

    /// Returns the capacity of a service as of the last reading, and the time of that reading.
    #[must_use]
    pub fn capacity(&self, service: &str) -> Option<(Capacity, Duration)> {
        let capacity = self.capacities.get(service)?;
        Some((*capacity, self.capacity_read_at?))
    }

    /// Returns the time of the last reading of waiting demand.
    #[must_use]
    pub fn waiting_read_at(&self) -> Duration {
        self.waiting_read_at
    }

    fn demand_mut(&mut self, key: &DemandKey) -> &mut Demand {
        self.demands.entry(key.clone()).or_default()
    }
}
