//! Candidate workers of a placement round, and the cost of placing a task on each of them.
//!
//! A service is a latency-sensitive run (`Share::Serves`), a fill a best-effort run that uses what
//! others leave unused (`Share::Fills`).

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::resources::Resources;
use crate::workflow::core::eligibility::Eligibility;
use crate::workflow::core::plan::Demand;
use crate::workflow::core::selectivity::Tolerance;
use crate::workflow::core::{Core, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::interference::{Image, Interference, NeighborFill};
use crate::workflow::job::Step;
use crate::workflow::live_run::RunSharing;
use crate::workflow::load::account::WorkClass;
use crate::workflow::record::{Run, Task};
use crate::workflow::reserve::plan::{Offer, ServiceReserve};
use crate::workflow::room::{self, RoomPrice};
use crate::workflow::switches::Switches;
use crate::workflow::worker::Worker;

/// Share of the range between its usual headroom and its target that a service should keep
/// when a fill is placed beside it, since loads rise within seconds. The first value is the
/// minimum, the second holds for a fill that has just begun to wait.
const HEADROOM_GOAL: [f64; 2] = [0.2, 0.5];
/// Cost of headroom below that goal, as a share of the usual headroom, in units of a run's
/// slowdown. A service over its target loses four times what it earns.
const HEADROOM_DEFICIT_COST: f64 = 10.6;
/// Cost of the headroom that a fill takes from services with enough of it.
const HEADROOM_USE_COST: f64 = 2.1;
/// Cost above which a best-effort run waits instead of disturbing services.
const FILL_COST_MAX: f64 = 1.6;
/// Cost of the processors requested by fills, as a share of the worker's unused ones.
const FILL_CONTENTION_COST: f64 = 0.1;
/// Limit on the processors requested by fills on a worker, as a share of the unused ones. Above
/// it all fills slow down and none ends sooner.
const FILL_CONTENTION_MAX: f64 = 1.2;
/// Share of its requested processors that a service leaves unused at its usual headroom.
const IDLE_SHARE: f64 = 0.53;
/// Minimum share of a worker's processors that counts as unused.
const UNUSED_SHARE_MIN: f64 = 0.02;
/// Cost of each failure on a worker since its last success, in shares of a worker.
const FAILURE_COST: f64 = 1.0;
/// Cost of a worker on which the task has failed before.
const REPEATED_FAILURE_COST: f64 = 4.0;
/// Cost of each other suspect on a worker, for a task suspected of crashing workers. Otherwise
/// the tasks lost in one crash would be placed on one worker again, and a second crash would not
/// show which of them caused it.
const SUSPECT_COST: f64 = 2.0;
/// Cost of each fill on a worker, for a service.
const FILL_NEIGHBOR_COST: f64 = 0.5;
/// Cost of each service of another image on a worker, for a service.
const OTHER_IMAGE_COST: f64 = 2.0;
/// Cost reduction for services of the same image on a worker, for a service.
const SAME_IMAGE_BONUS: f64 = 1.0;
/// Cost of taking a gap of the capacity reserve, for a long-running run. It exceeds what services
/// gain beside one of their image, but not the cost of a worker on which the task has failed.
const RESERVE_COST: f64 = 3.5;
/// Cost reduction per share of the worker in use, for a run that is neither a service nor a fill.
/// It packs such runs onto few workers.
const PACKING_BONUS: f64 = 0.3;

/// Candidates kept from earlier placement rounds until something changes on the worker. Between
/// two rounds about a tenth of a large fleet changes.
pub(super) type CandidateCache = HashMap<Incarnation, Candidate>;

/// Number of runs of one step on each worker.
pub(super) type RunsPerWorker = BTreeMap<Incarnation, u32>;

/// A worker that may get runs in this placement round.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub id: Incarnation,
    pub service: Arc<str>,
    pub free: Resources,
    /// Resources that short runs have reserved.
    short: Resources,
    capacity: Resources,
    failures: u32,
    /// Whether it may get a single run only, after a quarantine.
    on_probation: bool,
    /// Services on the worker, each with the headroom that fills may still take.
    serving: Vec<(Image, f64)>,
    /// Processors in thousandths: in use by runs that do not fill, and requested by fills.
    busy: f64,
    fill_demand: f64,
    fill_count: u32,
    /// Runs of tasks that are suspected of crashing workers.
    suspects: u32,
    /// Number of runs on the worker.
    pub runs: u32,
    /// Time at which the newest run was placed.
    newest_placement: Option<Duration>,
    /// Whether a run was placed in this round.
    placed_this_round: bool,
    /// Crashes of its machine that no suspected task explains.
    pub crashes: u32,
    /// Numbers of the collections of candidates in which it was first like this, and was last.
    changed: u64,
    collected: u64,
    /// Whether it gets no more runs in this round.
    closed: bool,
    /// Labels of the worker. Looking them up by id for each of hundreds of workers and tasks took
    /// half of an owner's processor time.
    labels: Arc<[Arc<str>]>,
}

/// A candidate with the cost of placing a task on it. Equal costs are ordered by index.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RankedCandidate {
    cost: f64,
    index: usize,
}

impl Eq for RankedCandidate {}

impl PartialOrd for RankedCandidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for RankedCandidate {
    fn cmp(&self, other: &Self) -> Ordering {
        // Reversed, as `BinaryHeap` is a max-heap.
        let cost = other.cost.total_cmp(&self.cost);
        cost.then(other.index.cmp(&self.index))
    }
}

/// Candidates for the tasks of one step, cheapest first. Placing a task changes only one worker,
/// so for each further task only that worker is ranked again instead of all.
#[derive(Default)]
pub(super) struct CandidateRanking(BinaryHeap<RankedCandidate>);

/// Requirements and preferences of a task to be placed.
pub(super) struct PlacementRequest<'a> {
    pub service: &'a Arc<str>,
    pub step: &'a Step,
    pub share: RunSharing,
    pub resources: Resources,
    /// Workers on which the task has failed before.
    pub failed_on: BTreeSet<Incarnation>,
    /// Number of runs of the same step on each worker.
    pub runs_per_worker: RunsPerWorker,
    /// Workers that the advisor allows, with their tickets; `None` if the policy asks no advisor.
    pub tickets: Option<&'a BTreeMap<Incarnation, Arc<str>>>,
    /// Worker that is reserved for another task.
    pub excluded: Option<Incarnation>,
    /// The only worker that may get the task, if it is bound to one.
    pub only: Option<Incarnation>,
    /// Whether the task is suspected of crashing workers.
    pub suspect: bool,
    /// Selectivity of a best-effort run about the services beside it, from 0 to 1.
    pub selectivity: f64,
    /// What a best-effort run may take from the services beside it.
    pub tolerance: Tolerance,
    /// Capacity that the task has to leave to short ones, if it is long-running.
    pub reserve: Option<Arc<ServiceReserve>>,
    /// Price of the room that the task takes from short ones, if it is long-running.
    pub room: Option<Arc<RoomPrice>>,
    /// Workers that have not changed since this collection of candidates are unsuitable.
    pub searched: u64,
}

impl Core {
    /// Returns the workers that may get runs now.
    pub(super) fn collect_candidates(&mut self, now: Now) -> Vec<Candidate> {
        self.collections += 1;
        let current = self.collections;
        let mut summaries = std::mem::take(&mut self.candidate_cache);
        let eligible = self
            .workers
            .values()
            .filter(|worker| self.may_get_runs(worker, now));
        let candidates = eligible.map(|worker| {
            let cached = summaries
                .entry(worker.incarnation().clone())
                .or_insert_with(|| self.summarize(worker));
            let is_new = cached.collected == 0;
            if is_new || cached.collected + 1 < current {
                cached.changed = current;
            }
            cached.collected = current;
            cached.clone()
        });
        let candidates = candidates.collect();
        self.candidate_cache = summaries;
        candidates
    }

    /// Returns the workers that could get runs but for a task on trial there.
    pub(super) fn collect_trial_hosts(&self, now: Now) -> Vec<Candidate> {
        let hosts = self.workers.values();
        let hosts =
            hosts.filter(|worker| self.eligibility(worker, now) == Eligibility::RunsSuspect);
        let candidates = hosts.map(|worker| Candidate {
            changed: self.collections,
            ..self.summarize(worker)
        });
        candidates.collect()
    }

    /// Returns whether a worker may get runs now.
    fn may_get_runs(&self, worker: &Worker, now: Now) -> bool {
        self.eligibility(worker, now) == Eligibility::Eligible
    }

    /// Returns whether runs may start on a worker: the platform lists it and it is not draining.
    pub(super) fn accepts_starts(&self, worker: &Worker, now: Now) -> bool {
        worker.has_entry
            && worker.draining_since.is_none()
            && worker
                .unlisted_since
                .is_none_or(|since| self.may_be_relisted(since, now))
    }

    /// Returns whether a worker missing from the list since `since` may be listed again: its entry
    /// may have expired during an outage of the store that ended a moment ago.
    pub(super) fn may_be_relisted(&self, since: Duration, now: Now) -> bool {
        self.store_returned_at.is_some_and(|back| {
            let until = back + self.tuning.relist;
            now.at < until && since < until && since + self.tuning.relist > back
        })
    }

    fn summarize(&self, worker: &Worker) -> Candidate {
        let mut candidate = Candidate {
            id: worker.incarnation().clone(),
            service: worker.listed.service.clone(),
            free: worker.pool.free(),
            short: worker.short,
            capacity: *worker.pool.capacity(),
            failures: worker.failures(),
            on_probation: worker.on_probation(),
            serving: Vec::new(),
            busy: 0.0,
            fill_demand: 0.0,
            fill_count: worker.filling,
            suspects: self.count_suspects(worker),
            runs: u32::try_from(worker.runs.len()).unwrap_or(u32::MAX),
            newest_placement: None,
            placed_this_round: false,
            crashes: self.count_crashes(worker),
            changed: 0,
            collected: 0,
            closed: false,
            labels: worker.listed.labels.clone(),
        };
        let mut fills = Vec::new();
        let processors = candidate.processors();
        for live in worker.runs.iter().filter_map(|run| self.runs.get(run)) {
            candidate.newest_placement = candidate.newest_placement.max(Some(live.placed));
            match live.share {
                RunSharing::Apart => candidate.busy += live.requested_processors,
                RunSharing::Serves(..) => {}
                RunSharing::Fills(image) => {
                    candidate.fill_demand += live.requested_processors;
                    let share = live.requested_processors / processors;
                    fills.push(NeighborFill { image, share });
                }
            }
        }
        for live in worker.runs.iter().filter_map(|run| self.runs.get(run)) {
            if let RunSharing::Serves(image, _) = live.share {
                let headroom = live.headroom.map_or(1.0, |headroom| headroom.min(1.0));
                candidate.busy += live.requested_processors * (1.0 - IDLE_SHARE * headroom);
                let pressure = self.interference.headroom_loss(image, &fills);
                let spare = headroom - pressure - self.interference.floor(image);
                candidate.serving.push((image, spare));
            }
        }
        candidate
    }

    /// Returns the index of the cheapest candidate for a task.
    pub(super) fn choose_worker(
        &self,
        candidates: &[Candidate],
        request: &PlacementRequest<'_>,
    ) -> Option<usize> {
        let mut best: Option<RankedCandidate> = None;
        for (index, candidate) in candidates.iter().enumerate() {
            if let Some(cost) = self.placement_cost(candidate, request)
                && best.is_none_or(|best| cost < best.cost)
            {
                best = Some(RankedCandidate { cost, index });
            }
        }
        best.map(|best| best.index)
    }

    /// Returns the cost of placing a task on a worker, or `None` if it must not be placed there.
    pub(super) fn placement_cost(
        &self,
        candidate: &Candidate,
        request: &PlacementRequest<'_>,
    ) -> Option<f64> {
        if !is_eligible(candidate, request) {
            return None;
        }
        let cost = candidate.cost(request, &self.interference, self.tuning.switches);
        let near = request.step.rack.as_ref();
        let far = near.is_some_and(|rack| !candidate.has_label(rack));
        let cost = if far { cost + self.tuning.far } else { cost };
        let reserve = request.reserve.as_ref();
        let avoided =
            reserve.is_some_and(|it| it.is_better_avoided(&candidate.offer(), &request.resources));
        // The reserve goes before the price of other room.
        let cost = if avoided {
            cost + RESERVE_COST + room::COST_MAX
        } else {
            cost
        };
        let room = request.room.as_ref();
        let taken = room.map(|it| it.cost(&candidate.offer().for_short(), &request.resources));
        let cost = cost + taken.unwrap_or_default();
        cost.is_finite().then_some(cost)
    }

    /// Ranks all candidates for the tasks of a step.
    pub(super) fn rank_candidates(
        &self,
        candidates: &[Candidate],
        request: &PlacementRequest<'_>,
    ) -> CandidateRanking {
        rank_by(candidates, |candidate| {
            self.placement_cost(candidate, request)
        })
    }

    /// Removes and returns the best candidate of a ranking, which is made if there is none. With a
    /// reserve, each placement may raise the costs of other workers or rule them out, and never
    /// lowers them.
    pub(super) fn choose_ranked(
        &self,
        ranking: &mut Option<CandidateRanking>,
        candidates: &[Candidate],
        request: &PlacementRequest<'_>,
    ) -> Option<usize> {
        let ranking = ranking.get_or_insert_with(|| self.rank_candidates(candidates, request));
        if request.reserve.is_none() {
            return ranking.pop_best(candidates);
        }
        while let Some(best) = ranking.0.pop() {
            let Some(cost) = self.placement_cost(&candidates[best.index], request) else {
                continue;
            };
            if cost <= best.cost {
                return Some(best.index);
            }
            ranking.0.push(RankedCandidate { cost, ..best });
        }
        None
    }

    /// Adds a candidate again that was popped as the best and has changed since.
    pub(super) fn rerank_candidate(
        &self,
        ranking: &mut CandidateRanking,
        candidates: &[Candidate],
        index: usize,
        request: &PlacementRequest<'_>,
    ) {
        if let Some(cost) = self.placement_cost(&candidates[index], request) {
            ranking.0.push(RankedCandidate { cost, index });
        }
    }
}

/// Ranks the candidates that have a cost.
pub(super) fn rank_by(
    candidates: &[Candidate],
    cost: impl Fn(&Candidate) -> Option<f64>,
) -> CandidateRanking {
    let costs = candidates.iter().enumerate();
    let costs = costs.filter_map(|(index, candidate)| {
        let cost = cost(candidate)?;
        Some(RankedCandidate { cost, index })
    });
    CandidateRanking(costs.collect())
}

/// Returns whether a worker may run a task at all.
pub(super) fn is_eligible(candidate: &Candidate, request: &PlacementRequest<'_>) -> bool {
    let advised = request.tickets;
    candidate.has_changed_since(request.searched)
        && candidate.has_capacity(request.service, &request.resources)
        && request.excluded.as_ref() != Some(&candidate.id)
        && request
            .only
            .as_ref()
            .is_none_or(|only| *only == candidate.id)
        && satisfies_constraints(candidate, request.step, &request.runs_per_worker)
        && request.leaves_reserve(candidate)
        && advised.is_none_or(|tickets| tickets.contains_key(&candidate.id))
}

/// Returns whether a worker meets a step's label and spread constraints for one more task,
/// regardless of free capacity.
pub(super) fn satisfies_constraints(
    candidate: &Candidate,
    step: &Step,
    spread: &RunsPerWorker,
) -> bool {
    let label = step.label.as_ref();
    let labelled = label.is_none_or(|label| candidate.has_label(label));
    let runs_here = || spread.get(&candidate.id).copied().unwrap_or(0);
    labelled && (step.spread == 0 || runs_here() < step.spread)
}

impl CandidateRanking {
    /// Removes and returns the best candidate that is not closed. One may have been closed by an
    /// isolated run since it was ranked.
    pub fn pop_best(&mut self, candidates: &[Candidate]) -> Option<usize> {
        while let Some(best) = self.0.pop() {
            if !candidates[best.index].closed {
                return Some(best.index);
            }
        }
        None
    }
}

impl Candidate {
    fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|have| **have == *label)
    }

    /// Returns whether it was not like this in a collection of candidates.
    pub fn has_changed_since(&self, collection: u64) -> bool {
        self.changed > collection
    }

    /// Returns whether a task that needs these resources of a worker of this service fits.
    pub fn has_capacity(&self, service: &Arc<str>, resources: &Resources) -> bool {
        !self.closed && resources.fits_within(&self.free) && same_name(&self.service, service)
    }

    /// Returns whether all runs on the worker were placed at least `age` ago.
    pub fn is_settled(&self, age: Duration, now: Duration) -> bool {
        let settled = self
            .newest_placement
            .is_none_or(|placed| now >= placed + age);
        settled && !self.placed_this_round
    }

    /// Excludes the worker from the rest of this round.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Returns whether the worker is excluded from the rest of this round.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Returns what the worker offers. One on probation gets a single run, whatever its size.
    pub fn offer(&self) -> Offer<'_> {
        Offer {
            free: self.free,
            short: self.short,
            capacity: self.capacity,
            labels: &self.labels,
            takes_many: !self.on_probation,
        }
    }

    /// Returns the capacity of the worker.
    pub fn capacity(&self) -> &Resources {
        &self.capacity
    }

    /// Returns the processors, in thousandths, that services and short runs leave idle.
    pub fn idle_processors(&self) -> f64 {
        (self.processors() - self.busy).max(0.0)
    }

    fn processors(&self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "thousandths of processors")]
        let processors = self.capacity.processors as f64;
        processors.max(1.0)
    }

    /// Returns the relative cost of a task of a step here, without those of its history; infinite if
    /// it must not be placed here.
    pub fn demand_cost(&self, step: &Step, demand: &Demand, core: &Core) -> f64 {
        let request = PlacementRequest {
            service: &demand.service,
            step,
            share: demand.share,
            resources: demand.resources,
            failed_on: BTreeSet::new(),
            runs_per_worker: RunsPerWorker::new(),
            tickets: None,
            excluded: None,
            only: None,
            suspect: false,
            selectivity: demand.selectivity,
            tolerance: demand.tolerance,
            reserve: None,
            room: None,
            searched: 0,
        };
        self.cost(&request, &core.interference, core.tuning.switches)
    }

    /// Returns the relative cost of placing a run on this worker.
    fn cost(
        &self,
        request: &PlacementRequest<'_>,
        interference: &Interference,
        switches: Switches,
    ) -> f64 {
        let mut cost = FAILURE_COST * f64::from(self.failures);
        if request.failed_on.contains(&self.id) {
            cost += REPEATED_FAILURE_COST;
        }
        if request.suspect {
            cost += SUSPECT_COST * f64::from(self.suspects);
        }
        let used = self
            .capacity
            .minus(&self.free)
            .plus(&request.resources)
            .dominant_share_of(&self.capacity);
        match request.share {
            RunSharing::Fills(image) => {
                cost += self.fill_cost(image, request, interference, switches);
            }
            // Services of one image tolerate the same fills, so they share workers; filling
            // up workers leaves others free.
            RunSharing::Serves(image, _) => {
                let same_image = self
                    .serving
                    .iter()
                    .filter(|(other, _)| *other == image)
                    .count();
                let other_images =
                    u32::try_from(self.serving.len() - same_image).unwrap_or(u32::MAX);
                cost += FILL_NEIGHBOR_COST * f64::from(self.fill_count.min(4));
                cost -= used;
                if switches.group_images {
                    cost += OTHER_IMAGE_COST * f64::from(other_images);
                    cost -= if same_image > 0 {
                        SAME_IMAGE_BONUS
                    } else {
                        0.0
                    };
                }
            }
            RunSharing::Apart => cost -= PACKING_BONUS * used,
        }
        cost
    }

    /// Returns the cost of a best-effort run: the headroom it would take from the services here,
    /// and the contention with other fills. Infinite if it must not be placed here.
    fn fill_cost(
        &self,
        image: Image,
        request: &PlacementRequest<'_>,
        interference: &Interference,
        switches: Switches,
    ) -> f64 {
        let requested = requested_processors(request.step);
        let share = requested / self.processors();
        let unused = (self.processors() - self.busy).max(self.processors() * UNUSED_SHARE_MIN);
        let contention = (self.fill_demand + requested) / unused;
        // A fill that requests more than any worker leaves unused runs without other fills.
        if switches.bound_fills && contention > FILL_CONTENTION_MAX && self.fill_count > 0 {
            return f64::INFINITY;
        }
        let [minimum, initial] = HEADROOM_GOAL;
        let goal = if switches.keep_headroom {
            minimum + (initial - minimum) * request.selectivity
        } else {
            0.0
        };
        let (mut headroom_cost, mut exceeds_target) = (0.0, false);
        for (serves, spare) in &self.serving {
            let pressure = interference.factor(*serves, image) * share;
            let reserve = goal * (1.0 - interference.floor(*serves)).max(0.0);
            exceeds_target |= pressure > *spare;
            headroom_cost += HEADROOM_DEFICIT_COST * (pressure + reserve - spare).max(0.0)
                + HEADROOM_USE_COST * pressure;
        }
        let cost = headroom_cost + (contention - 1.0).max(0.0) + FILL_CONTENTION_COST * contention;
        let is_tolerated = match request.tolerance {
            Tolerance::Usual => cost <= FILL_COST_MAX,
            Tolerance::WithinTargets => !exceeds_target,
            Tolerance::Any => true,
        };
        if is_tolerated { cost } else { f64::INFINITY }
    }

    /// Accounts for a run that was placed here. Returns false if the worker may get no more runs.
    pub(super) fn add_run(
        &mut self,
        request: &PlacementRequest<'_>,
        interference: &Interference,
    ) -> bool {
        self.free = self.free.minus(&request.resources);
        if WorkClass::of(request.step) == WorkClass::Short {
            self.short = self.short.plus(&request.resources);
        }
        self.runs += 1;
        self.placed_this_round = true;
        self.suspects += u32::from(request.suspect);
        let requested = requested_processors(request.step);
        match request.share {
            RunSharing::Apart => self.busy += requested,
            RunSharing::Serves(image, _) => {
                self.busy += requested * (1.0 - IDLE_SHARE);
                self.serving.push((image, 1.0 - interference.floor(image)));
            }
            RunSharing::Fills(image) => {
                self.fill_demand += requested;
                self.fill_count += 1;
                let share = requested / self.processors();
                for (serves, spare) in &mut self.serving {
                    *spare -= interference.factor(*serves, image) * share;
                }
            }
        }
        !self.on_probation
    }
}

/// Compares two names, by pointer first: equal names mostly share one allocation.
fn same_name(one: &Arc<str>, other: &Arc<str>) -> bool {
    Arc::ptr_eq(one, other) || one == other
}

#[expect(clippy::cast_precision_loss, reason = "thousandths of processors")]
fn requested_processors(step: &Step) -> f64 {
    step.needs.processors as f64
}

/// Counts the runs of a task's step on each worker.
pub(super) fn count_runs_per_worker(core: &Core, task: Task) -> RunsPerWorker {
    let mut counts = BTreeMap::new();
    let Some((job, _)) = core.log_state.task(task) else {
        return counts;
    };
    let Some(occurrence) = job.occurrences.get(&task.occurrence) else {
        return counts;
    };
    let tasks = &occurrence.steps[usize::from(task.step)].tasks;
    for (index, state) in (0..).zip(tasks) {
        for live in &state.live {
            let run = Run {
                task: Task { index, ..task },
                number: live.number,
            };
            // The worker may have restarted since the run was placed.
            let current = core.runs.get(&run).map(|live| &live.worker);
            let worker = current.unwrap_or(&live.worker);
            *counts.entry(worker.clone()).or_insert(0) += 1;
        }
    }
    counts
}
