//! Calls of the capacity reserve from the state machine: what it learns, and whom it holds back.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::resources::Resources;
use crate::workflow::core::advice::StepKey;
use crate::workflow::core::candidates::{Candidate, PlacementRequest};
use crate::workflow::core::plan::PlacementRound;
use crate::workflow::core::step_priority::WaitingStep;
use crate::workflow::core::unconfirmed_starts::Site;
use crate::workflow::core::{Core, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::interference::Interference;
use crate::workflow::job::Step;
use crate::workflow::load::account::{Usage, WorkClass};
use crate::workflow::record::LogRecord;
use crate::workflow::reserve::demand::{DemandHistory, DemandReading};
use crate::workflow::reserve::plan::{Offer, ReservePlan, ServiceReserve};
use crate::workflow::room::{RoomDemand, RoomPrice, RoomPrices, SizeReading};

/// Minimum time between two records of the learned demand.
const RECORD_INTERVAL: Duration = Duration::from_secs(3);
/// Time without a step that is held back after which the hold of a service ends in the log.
const HOLD_GAP: Duration = Duration::from_secs(1);
/// Minimum time between two log lines about steps that are held back.
const HELD_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// State of the capacity reserve.
#[derive(Debug, Default)]
pub(super) struct ReserveState {
    history: DemandHistory,
    /// Demand of short tasks by service and size.
    room: BTreeMap<Arc<str>, RoomDemand>,
    /// Encoded history as last recorded, and when.
    recorded: Vec<u8>,
    recorded_at: Duration,
    /// Long-running steps that have waited for as long as the reserve may hold a step back.
    expired_steps: BTreeSet<StepKey>,
    /// Long-running steps that were held back in the last placement round.
    held_steps: BTreeSet<StepKey>,
    /// Current holds by service.
    holds: BTreeMap<Arc<str>, Hold>,
    /// When a wait was last logged.
    logged_at: Option<Duration>,
    /// Reserves as of the last round in which a long-running step waited, and the time of that.
    last_plan: ReservePlan,
    planned_at: Duration,
}

/// A time in which the reserve of a service holds long-running steps back.
#[derive(Clone, Copy, Debug)]
struct Hold {
    since: Duration,
    last: Duration,
}

/// Gaps of one kind in the reserve of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ReserveSummary {
    /// Name of the service.
    pub service: Arc<str>,
    /// Size of a gap.
    pub unit: Resources,
    /// Labels that a worker must have.
    pub labels: Vec<Arc<str>>,
    /// Largest number of gaps that count on a worker; 0 for no limit.
    pub spread: u32,
    /// Number that the demand asks for.
    pub wanted: u64,
    /// Number that is reserved, within the limit of the capacity.
    pub reserved: u64,
    /// Number that is free or used by short runs.
    pub present: u64,
    /// Whether they are for the whole demand of the service, not for a single step.
    pub covers_all: bool,
    /// Time since the reserve was computed.
    pub age: Duration,
}

impl ReserveState {
    /// Returns the state of a new owner, which takes the recorded demand as current.
    pub fn new(recorded: &[u8], is_enabled: bool, now: Now) -> Self {
        let recorded = if is_enabled { recorded } else { &[] };
        Self {
            history: DemandHistory::import(recorded, now.at),
            recorded: recorded.to_vec(),
            recorded_at: now.at,
            ..Self::default()
        }
    }
}

impl Core {
    /// Learns the demand of short work from a reading of the load account and from the steps that
    /// wait.
    pub(super) fn observe_short_demand(&mut self, waiting: &[WaitingStep], now: Now) {
        if !self.tuning.switches.capacity_reserve {
            return;
        }
        self.end_holds(now);
        self.reserve.held_steps.clear();
        self.reserve.expired_steps = self.collect_expired_steps(waiting, now);
        let mut waiting_sizes: BTreeMap<Arc<str>, SizeReading> = BTreeMap::new();
        let mut reading = DemandReading::new();
        for (key, demand) in self.load.demands() {
            if key.class == WorkClass::Short {
                let sum = reading
                    .entry((key.service.clone(), key.queue.clone()))
                    .or_default();
                for part in [&demand.used, &demand.waiting] {
                    sum.tasks += part.tasks;
                    sum.resources = sum.resources.plus(&part.resources);
                }
            }
        }
        let limits = self.largest_workers(waiting);
        let mut possible = Vec::new();
        for pending in waiting {
            let job = &self.log_state.jobs[&pending.job];
            let step = &job.job.steps[usize::from(pending.step)];
            if WorkClass::of(step) != WorkClass::Short {
                continue;
            }
            let key = (job.policy.service.clone(), job.job.queue.clone());
            let place = (&*job.policy.service, step.label.as_deref());
            let limit = limits.get(&place).copied().unwrap_or_default();
            if step.needs.fits_within(&limit) {
                let state = &job.occurrences[&pending.occurrence].steps[usize::from(pending.step)];
                let sizes = waiting_sizes.entry(key.0.clone()).or_default();
                sizes.add(state.waiting, &step.needs);
                possible.push((key, job.job.clone(), pending.step));
            } else if let Some(sum) = reading.get_mut(&key) {
                let state = &job.occurrences[&pending.occurrence].steps[usize::from(pending.step)];
                let mut waiting = Usage::default();
                waiting.add(state.waiting, &step.needs);
                sum.tasks = sum.tasks.saturating_sub(waiting.tasks);
                sum.resources = sum.resources.minus(&waiting.resources);
            }
        }
        self.observe_sizes(&waiting_sizes, now);
        self.reserve.history.observe(&reading, now.at);
        for (key, job, step) in possible {
            let step = &job.steps[usize::from(step)];
            self.reserve.history.note_step(&key, step, now.at);
        }
    }

    /// Learns the demand of short work by size.
    fn observe_sizes(&mut self, waiting: &BTreeMap<Arc<str>, SizeReading>, now: Now) {
        let none = SizeReading::default();
        let running: BTreeMap<&Arc<str>, &SizeReading> = self.load.short_sizes().collect();
        for service in running.keys().copied().chain(waiting.keys()) {
            if !self.reserve.room.contains_key(service) {
                self.reserve
                    .room
                    .insert(service.clone(), RoomDemand::default());
            }
        }
        for (service, demand) in &mut self.reserve.room {
            let running = running.get(service).copied().unwrap_or(&none);
            demand.observe(running, waiting.get(service).unwrap_or(&none), now.at);
        }
    }

    /// Returns the prices of the room that long-running tasks would take in a round, if any waits.
    pub(super) fn price_room(&self, fleet: &[Candidate], waiting: &[WaitingStep]) -> RoomPrices {
        let mut prices = RoomPrices::new();
        let mut lasting: BTreeMap<Arc<str>, Usage> = BTreeMap::new();
        for pending in waiting {
            let job = &self.log_state.jobs[&pending.job];
            let state = &job.occurrences[&pending.occurrence].steps[usize::from(pending.step)];
            let step = &job.job.steps[usize::from(pending.step)];
            let sum = lasting.entry(job.policy.service.clone()).or_default();
            if step.long_running {
                sum.add(state.waiting, &step.reserved());
            }
        }
        if !self.tuning.switches.capacity_reserve {
            return prices;
        }
        for (service, waiting) in lasting {
            let workers = fleet.iter().filter(|it| it.service == service);
            let rooms: Vec<Resources> = workers.clone().map(|it| it.offer().for_short()).collect();
            let known = self.reserve.room.get(&service);
            let expected = || {
                let capacities: Vec<Resources> = workers.map(|it| *it.capacity()).collect();
                RoomDemand::expected(&capacities)
            };
            let demand = known.cloned().unwrap_or_else(expected);
            let price = RoomPrice::new(&demand, &rooms, &waiting.resources);
            prices.insert(service, Arc::new(price));
        }
        prices
    }

    /// Returns the long-running steps that wait for longer than the reserve may hold one back. They
    /// may start wherever they fit: the platform asks for a start within 3 s if there is capacity.
    fn collect_expired_steps(&self, waiting: &[WaitingStep], now: Now) -> BTreeSet<StepKey> {
        let keys = waiting.iter().map(WaitingStep::key);
        let expired = keys.filter(|key| {
            let since = self.job_timings.ready_since(*key);
            since.is_some_and(|since| now.at >= since + self.tuning.reserve_hold)
        });
        expired.collect()
    }

    /// Returns the largest capacity by service, and by label for the labels that short steps ask for:
    /// tasks that no worker can ever run must not raise the reserve.
    fn largest_workers(
        &self,
        waiting: &[WaitingStep],
    ) -> BTreeMap<(&str, Option<&str>), Resources> {
        let steps = waiting.iter().map(|pending| {
            let job = &self.log_state.jobs[&pending.job];
            &job.job.steps[usize::from(pending.step)]
        });
        let short = steps.filter(|step| WorkClass::of(step) == WorkClass::Short);
        let short: Vec<&Step> = short.collect();
        let mut largest = BTreeMap::new();
        if short.is_empty() {
            return largest;
        }
        let labels: BTreeSet<&str> = short.iter().filter_map(|it| it.label.as_deref()).collect();
        for worker in self.workers.values() {
            let capacity = worker.pool.capacity();
            let listed = &worker.listed;
            let wanted = listed.labels.iter().map(|label| &**label);
            let wanted = wanted.filter(|label| labels.contains(label)).map(Some);
            for label in wanted.chain([None]) {
                let sum: &mut Resources = largest.entry((&*listed.service, label)).or_default();
                sum.processors = sum.processors.max(capacity.processors);
                sum.memory = sum.memory.max(capacity.memory);
                sum.accelerators = sum.accelerators.max(capacity.accelerators);
            }
        }
        largest
    }

    /// Returns the reserves for a round in which these steps wait.
    pub(super) fn plan_reserve(
        &mut self,
        fleet: &[Candidate],
        waiting: &[WaitingStep],
        now: Now,
    ) -> ReservePlan {
        let mut plan = ReservePlan::default();
        let mut lasting: BTreeMap<Arc<str>, Usage> = BTreeMap::new();
        for pending in waiting {
            let job = &self.log_state.jobs[&pending.job];
            let step = &job.job.steps[usize::from(pending.step)];
            if self.is_reserve_bound(pending.key(), step) {
                let sum = lasting.entry(job.policy.service.clone()).or_default();
                sum.add(1, &step.reserved());
            }
        }
        if !self.tuning.switches.capacity_reserve || lasting.is_empty() {
            return plan;
        }
        for service in self.reserve.history.services() {
            let needs = self.reserve.history.needs(service, now.at);
            let workers = fleet.iter().filter(|it| it.service == *service);
            let offers: Vec<Offer<'_>> = workers.map(Candidate::offer).collect();
            let lasting = lasting.get(service).map(Usage::mean).unwrap_or_default();
            let reserve = ServiceReserve::new(needs, lasting, &offers);
            plan.add(service, reserve);
        }
        self.reserve.last_plan = plan.clone();
        self.reserve.planned_at = now.at;
        plan
    }

    /// Returns whether the reserve applies to the tasks of a step that are not bound to a worker. All
    /// members of a gang start together, which a reserve could prevent for ever.
    pub(super) fn is_reserve_bound(&self, key: StepKey, step: &Step) -> bool {
        step.long_running && !step.gang && !self.reserve.expired_steps.contains(&key)
    }

    /// Returns whether a task of a step is bound to one worker.
    pub(super) fn has_bound_tasks(&self, pending: WaitingStep) -> bool {
        !self.log_state.unconfirmed().is_empty()
            && self
                .waiting_tasks(pending)
                .iter()
                .any(|task| matches!(self.site_of(*task), Site::Only(_)))
    }

    /// Returns the reserve that may hold a step back, if there is one.
    pub(super) fn reserve_against<'a>(
        &self,
        pending: &WaitingStep,
        plan: &'a ReservePlan,
    ) -> Option<&'a ServiceReserve> {
        let job = &self.log_state.jobs[&pending.job];
        let step = &job.job.steps[usize::from(pending.step)];
        let reserve = plan.of(&job.policy.service)?;
        let applies = self.is_reserve_bound(pending.key(), step) && !self.has_bound_tasks(*pending);
        applies.then_some(&**reserve)
    }

    /// Records that tasks of a long-running step were not placed, if there was room for one that
    /// the reserve keeps.
    pub(super) fn note_held_step(
        &mut self,
        pending: WaitingStep,
        round: &PlacementRound,
        now: Now,
    ) {
        let job = &self.log_state.jobs[&pending.job];
        let step = &job.job.steps[usize::from(pending.step)];
        let service = job.policy.service.clone();
        let Some(reserve) = round.reserve.of(&service) else {
            return;
        };
        if !self.is_reserve_bound(pending.key(), step)
            || !self.had_capacity(&pending, &round.candidates, now)
        {
            return;
        }
        let figures = describe(reserve);
        let asks = step.reserved();
        self.reserve.held_steps.insert(pending.key());
        let hold = self
            .reserve
            .holds
            .entry(service.clone())
            .or_insert_with(|| {
                tracing::info!(%service, reserve = %figures, asks = %asks,
                "capacity reserve begins to hold long-running work back");
                Hold {
                    since: now.at,
                    last: now.at,
                }
            });
        hold.last = now.at;
        let is_due = |at: Duration| now.at >= at + HELD_LOG_INTERVAL;
        if self.reserve.logged_at.is_none_or(is_due) {
            self.reserve.logged_at = Some(now.at);
            let since = self
                .job_timings
                .ready_since(pending.key())
                .unwrap_or(now.at);
            tracing::info!(job = %job.job.id, number = pending.job, step = pending.step, %service,
                tasks = self.waiting_tasks(pending).len(),
                waited_ms = now.at.saturating_sub(since).as_millis(), asks = %asks,
                reserve = %figures, held_steps = self.reserve.held_steps.len(),
                "lasting task waits for capacity beyond the reserve");
        }
    }

    /// Logs the end of holds that no step has met for a while.
    fn end_holds(&mut self, now: Now) {
        let plan = &self.reserve.last_plan;
        self.reserve.holds.retain(|service, hold| {
            let continues = now.at < hold.last + HOLD_GAP;
            if !continues {
                let figures = plan.of(service).map_or_else(String::new, |it| describe(it));
                tracing::info!(%service, reserve = %figures,
                    held_ms = hold.last.saturating_sub(hold.since).as_millis(),
                    "capacity reserve no longer holds long-running work back");
            }
            continues
        });
    }

    /// Returns whether a freed worker may get a task of a long-running step. One that is held back
    /// starts at once where it fits twice; for other room it waits for a placement round.
    pub(super) fn may_use_freed(&self, key: StepKey, freed: &BTreeSet<Incarnation>) -> bool {
        if !self.reserve.held_steps.contains(&key) {
            return true;
        }
        let job = self.log_state.jobs.get(&key.0);
        let step = job.and_then(|job| job.job.steps.get(usize::from(key.2)));
        let needs = step.map(Step::reserved).unwrap_or_default();
        let twice = needs.plus(&needs);
        let mut freed = freed.iter().filter_map(|id| self.workers.get(id));
        freed.any(|worker| twice.fits_within(&worker.pool.free()))
    }

    /// Records the learned demand for later owners, if it has changed.
    pub(super) fn record_demand(&mut self, now: Now) {
        let is_due = now.at >= self.reserve.recorded_at + RECORD_INTERVAL;
        if !is_due || !self.tuning.switches.capacity_reserve {
            return;
        }
        self.reserve.recorded_at = now.at;
        let bytes = self.reserve.history.export();
        if bytes != self.reserve.recorded {
            self.reserve.recorded.clone_from(&bytes);
            self.record(LogRecord::DemandLearned(bytes), now);
        }
    }

    /// Returns the reserves as of the last round in which a long-running step waited.
    #[must_use]
    pub fn reserve_summaries(&self, now: Now) -> Vec<ReserveSummary> {
        let services = self.reserve.last_plan.services();
        let summaries = services.flat_map(|(service, reserve)| {
            reserve.gaps().iter().map(|gaps| ReserveSummary {
                service: service.clone(),
                unit: gaps.need.unit,
                labels: gaps.need.place.labels.clone(),
                spread: gaps.need.place.spread,
                wanted: gaps.need.count,
                reserved: gaps.reserved,
                present: gaps.present,
                covers_all: gaps.need.covers_all,
                age: now.at.saturating_sub(self.reserve.planned_at),
            })
        });
        summaries.collect()
    }

    /// Returns the number of long-running steps that the reserve held back in the last round.
    #[must_use]
    pub fn held_back_steps(&self) -> usize {
        self.reserve.held_steps.len()
    }

    /// Returns the reserves for a dump.
    pub(super) fn dump_reserve(&self, now: Now) -> serde_json::Value {
        let gaps = self.reserve_summaries(now).into_iter().map(|it| {
            serde_json::json!({
                "service": &*it.service, "size": it.unit.to_string(),
                "labels": it.labels.iter().map(|label| &**label).collect::<Vec<_>>(),
                "per_worker": it.spread, "wanted": it.wanted, "reserved": it.reserved,
                "present": it.present,
                "age_ms": u64::try_from(it.age.as_millis()).unwrap_or(u64::MAX),
            })
        });
        serde_json::json!({
            "held_steps": self.held_back_steps(), "gaps": gaps.collect::<Vec<_>>(),
        })
    }
}

impl PlacementRound {
    /// Accounts for a run that is placed on a candidate, also in the reserve. Returns false if the
    /// worker may get no more runs.
    pub fn add_run(
        &mut self,
        index: usize,
        request: &PlacementRequest<'_>,
        interference: &Interference,
    ) -> bool {
        let candidate = &mut self.candidates[index];
        // What a short run takes still counts as part of the reserve.
        if WorkClass::of(request.step) == WorkClass::Short {
            return candidate.add_run(request, interference);
        }
        let before = candidate.clone();
        let takes_more = candidate.add_run(request, interference);
        self.reserve
            .update(&before.service, &before.offer(), &candidate.offer());
        takes_more
    }
}

impl PlacementRequest<'_> {
    /// Returns whether the reserve lets the task start on a worker.
    pub fn leaves_reserve(&self, candidate: &Candidate) -> bool {
        self.only.is_some()
            || self
                .reserve
                .as_ref()
                .is_none_or(|reserve| reserve.allows(&candidate.offer(), &self.resources))
    }
}

/// Returns the gaps of a reserve in words, for a log line.
fn describe(reserve: &ServiceReserve) -> String {
    let gaps = reserve.gaps().iter().map(|gaps| {
        let place = &gaps.need.place;
        let labels = place.labels.join("+");
        format!(
            "{}/{} gaps of {} (demand {}, labels '{labels}', per worker {})",
            gaps.present, gaps.reserved, gaps.need.unit, gaps.need.count, place.spread
        )
    });
    gaps.collect::<Vec<_>>().join("; ")
}
