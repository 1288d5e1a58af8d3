//! The workers that may get something now, summed up once for each round of placing.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::resources::Resources;
use crate::workflow::core::eligibility::Eligibility;
use crate::workflow::core::{Core, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::interference::{Image, Interference, NeighborFill};
use crate::workflow::job::Step;
use crate::workflow::live_run::RunSharing;
use crate::workflow::record::{Run, Task};
use crate::workflow::switches::Switches;
use crate::workflow::worker::Worker;

/// Share of the room between its usual headroom and its target that a service should
/// keep when a fill is placed beside it, since loads rise within seconds: at least, and for
/// a fill that has just begun to wait.
const GOAL: [f64; 2] = [0.2, 0.5];
/// Cost of headroom below that, as a share of the usual, in units of a run's slowdown: a
/// service over its target loses four times what it earns.
const HARM_COST: f64 = 10.6;
/// Cost of the headroom that a fill takes from services that have enough of it.
const MILD_COST: f64 = 2.1;
/// Cost above which a run that fills waits rather than disturbs.
const FILL_MAX: f64 = 1.6;
/// Cost of processors that are already asked for by fills, as a share of the unused.
const CROWD_COST: f64 = 0.1;
/// Processors that fills may ask for on a worker, as a share of the unused ones. Beyond it
/// all of them slow down and none ends sooner.
const CROWD_MAX: f64 = 1.2;
/// Share of the processors that a service asked for which it leaves unused at its usual
/// headroom.
const IDLE_SHARE: f64 = 0.53;
/// Least share of a worker's processors that counts as unused.
const UNUSED_MIN: f64 = 0.02;
/// Cost of one failure on a worker since the last success, in shares of a worker.
const FAILURE_COST: f64 = 1.0;
/// Cost of a worker on which the task failed before.
const AGAIN_COST: f64 = 4.0;
/// Cost of each other suspect on a worker, for a task under which a worker crashed: what was
/// lost together would go to one worker again, and one more crash would tell nothing.
const SUSPECT_COST: f64 = 2.0;
/// Cost of a run that fills on a worker, for a run that serves.
const FILL_COST: f64 = 0.5;
/// Cost of a run that serves on a worker, for a run of another image that serves.
const OTHER_COST: f64 = 2.0;
/// Worth of runs of the same image on a worker, for a run that serves.
const SAME_WORTH: f64 = 1.0;
/// Worth of a worker's fullness for a run that neither serves nor fills.
const PACK_COST: f64 = 0.3;

/// Workers summed up earlier, until something changes there: in one round of placing
/// a tenth of a large fleet has changed.
pub(super) type CandidateCache = HashMap<Incarnation, Candidate>;

/// Runs of one step on each worker.
pub(super) type RunsPerWorker = BTreeMap<Incarnation, u32>;

/// A worker that may get something now.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub id: Incarnation,
    pub service: Arc<str>,
    pub free: Resources,
    whole: Resources,
    failures: u32,
    /// Whether it may get one run only, to show that it works again.
    trial: bool,
    /// What serves there, with the headroom that fills may still take.
    serving: Vec<(Image, f64)>,
    /// Processors that runs use which do not fill, and those that fills ask for.
    busy: f64,
    filled: f64,
    filling: u32,
    /// Runs of tasks under which workers crashed.
    suspects: u32,
    /// Runs there.
    pub runs: u32,
    /// When the youngest of them was placed.
    youngest: Option<Duration>,
    /// Whether one was placed in this round.
    fresh: bool,
    /// Crashes of its machine that no task explains.
    pub crashes: u32,
    /// Whether it gets nothing more in this round.
    closed: bool,
    /// Its labels, at hand: looked up by id for each of hundreds of workers and tasks, they
    /// took half of an owner's processor time.
    labels: Arc<[Arc<str>]>,
}

/// A worker by what placing a task there costs, the first of equals in front.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Choice {
    cost: f64,
    place: usize,
}

impl Eq for Choice {}

impl PartialOrd for Choice {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Choice {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap has its greatest in front.
        let cost = other.cost.total_cmp(&self.cost);
        cost.then(other.place.cmp(&self.place))
    }
}

/// Workers for the tasks of one step, best first. Where one task is placed only that worker
/// changes, so that each further task costs one worker's comparison in place of all.
#[derive(Default)]
pub(super) struct CandidateRanking(BinaryHeap<Choice>);

/// What a task wants of its worker.
pub(super) struct PlacementRequest<'a> {
    pub service: &'a Arc<str>,
    pub step: &'a Step,
    pub share: RunSharing,
    pub resources: Resources,
    /// Workers on which it failed before.
    pub failed_on: BTreeSet<Incarnation>,
    /// Runs of the same step on each worker.
    pub runs_per_worker: RunsPerWorker,
    /// Workers that the advisor lets run it, where one is asked.
    pub advised: Option<&'a BTreeMap<Incarnation, Arc<str>>>,
    /// A worker that is kept for another task.
    pub excluded: Option<Incarnation>,
    /// Whether workers crashed under the task.
    pub suspect: bool,
    /// How selective a run that fills is about services beside it, from 0 to 1.
    pub selectivity: f64,
}

impl Core {
    /// Sums up the workers that may get something now.
    pub(super) fn collect_candidates(&mut self, now: Now) -> Vec<Candidate> {
        let mut summaries = std::mem::take(&mut self.summaries);
        let open = self
            .workers
            .values()
            .filter(|worker| self.is_open(worker, now));
        let fleet = open.map(|worker| {
            let known = summaries
                .entry(worker.incarnation().clone())
                .or_insert_with(|| self.sum_up(worker));
            known.clone()
        });
        let fleet = fleet.collect();
        self.summaries = summaries;
        fleet
    }

    /// Whether a worker may get something now.
    fn is_open(&self, worker: &Worker, now: Now) -> bool {
        self.eligibility(worker, now) == Eligibility::Eligible
    }

    /// Whether a worker may start something, by what the platform lists of it.
    pub(super) fn accepts_starts(&self, worker: &Worker, now: Now) -> bool {
        worker.entered
            && worker.draining.is_none()
            && worker
                .absent
                .is_none_or(|since| self.may_be_relisted(since, now))
    }

    /// Whether a worker that is missing since then may be listed again: its entry may have
    /// lapsed while the store was away, which came back a moment ago.
    pub(super) fn may_be_relisted(&self, since: Duration, now: Now) -> bool {
        self.store_returned_at.is_some_and(|back| {
            let until = back + self.terms.relist;
            now.at < until && since < until && since + self.terms.relist > back
        })
    }

    fn sum_up(&self, worker: &Worker) -> Candidate {
        let mut candidate = Candidate {
            id: worker.incarnation().clone(),
            service: worker.listed.service.clone(),
            free: worker.pool.free(),
            whole: *worker.pool.capacity(),
            failures: worker.failures(),
            trial: worker.on_trial(),
            serving: Vec::new(),
            busy: 0.0,
            filled: 0.0,
            filling: worker.filling,
            suspects: self.count_suspects(worker),
            runs: u32::try_from(worker.runs.len()).unwrap_or(u32::MAX),
            youngest: None,
            fresh: false,
            crashes: self.count_crashes(worker),
            closed: false,
            labels: worker.listed.labels.clone(),
        };
        let mut beside = Vec::new();
        let whole = candidate.processors();
        for live in worker.runs.iter().filter_map(|run| self.runs.get(run)) {
            candidate.youngest = candidate.youngest.max(Some(live.placed));
            match live.share {
                RunSharing::Apart => candidate.busy += live.asked,
                RunSharing::Serves(..) => {}
                RunSharing::Fills(image) => {
                    candidate.filled += live.asked;
                    let share = live.asked / whole;
                    beside.push(NeighborFill { image, share });
                }
            }
        }
        for live in worker.runs.iter().filter_map(|run| self.runs.get(run)) {
            if let RunSharing::Serves(image, _) = live.share {
                let own = live.headroom.map_or(1.0, |own| own.min(1.0));
                candidate.busy += live.asked * (1.0 - IDLE_SHARE * own);
                let taken = self.interference.pressure(image, &beside);
                let spare = own - taken - self.interference.floor(image);
                candidate.serving.push((image, spare));
            }
        }
        candidate
    }

    /// Finds the best worker for a task.
    pub(super) fn choose_worker(
        &self,
        fleet: &[Candidate],
        wish: &PlacementRequest<'_>,
    ) -> Option<usize> {
        let mut best: Option<Choice> = None;
        for (place, candidate) in fleet.iter().enumerate() {
            if let Some(cost) = self.placement_cost(candidate, wish)
                && best.is_none_or(|best| cost < best.cost)
            {
                best = Some(Choice { cost, place });
            }
        }
        best.map(|best| best.place)
    }

    /// What placing a task on a worker costs, where it may go there.
    pub(super) fn placement_cost(
        &self,
        candidate: &Candidate,
        wish: &PlacementRequest<'_>,
    ) -> Option<f64> {
        if !is_eligible(candidate, wish) {
            return None;
        }
        let cost = candidate.cost(wish, &self.interference, self.terms.switches);
        let near = wish.step.rack.as_ref();
        let far = near.is_some_and(|rack| !candidate.has_label(rack));
        let cost = if far { cost + self.terms.far } else { cost };
        cost.is_finite().then_some(cost)
    }

    /// Ranks all workers for the tasks of a step.
    pub(super) fn rank_candidates(
        &self,
        fleet: &[Candidate],
        wish: &PlacementRequest<'_>,
    ) -> CandidateRanking {
        rank_by(fleet, |candidate| self.placement_cost(candidate, wish))
    }

    /// Ranks one worker again, which was taken out as the best and has changed.
    pub(super) fn rerank_candidate(
        &self,
        choices: &mut CandidateRanking,
        fleet: &[Candidate],
        place: usize,
        wish: &PlacementRequest<'_>,
    ) {
        if let Some(cost) = self.placement_cost(&fleet[place], wish) {
            choices.0.push(Choice { cost, place });
        }
    }
}

/// Ranks the workers for which there is a cost.
pub(super) fn rank_by(
    fleet: &[Candidate],
    cost: impl Fn(&Candidate) -> Option<f64>,
) -> CandidateRanking {
    let costs = fleet.iter().enumerate();
    let costs = costs.filter_map(|(place, candidate)| {
        let cost = cost(candidate)?;
        Some(Choice { cost, place })
    });
    CandidateRanking(costs.collect())
}

/// Whether a worker may run a task at all.
pub(super) fn is_eligible(candidate: &Candidate, wish: &PlacementRequest<'_>) -> bool {
    let advised = wish.advised;
    candidate.has_capacity(wish.service, &wish.resources)
        && wish.excluded.as_ref() != Some(&candidate.id)
        && satisfies_constraints(candidate, wish.step, &wish.runs_per_worker)
        && advised.is_none_or(|good| good.contains_key(&candidate.id))
}

/// Whether a step may have one more task on a worker, whatever room there is.
pub(super) fn satisfies_constraints(
    candidate: &Candidate,
    step: &Step,
    spread: &RunsPerWorker,
) -> bool {
    let label = step.label.as_ref();
    let labelled = label.is_none_or(|label| candidate.has_label(label));
    let here = || spread.get(&candidate.id).copied().unwrap_or(0);
    labelled && (step.spread == 0 || here() < step.spread)
}

impl CandidateRanking {
    /// Takes out the best worker that is not closed; one may have got a trial since it was ranked.
    pub fn pop_best(&mut self, fleet: &[Candidate]) -> Option<usize> {
        while let Some(best) = self.0.pop() {
            if !fleet[best.place].closed {
                return Some(best.place);
            }
        }
        None
    }
}

impl Candidate {
    fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|have| **have == *label)
    }

    /// Whether a task that wants this much of a service's worker fits here.
    pub fn has_capacity(&self, service: &Arc<str>, room: &Resources) -> bool {
        !self.closed && room.fits_within(&self.free) && is_same(&self.service, service)
    }

    /// Whether all runs there were placed so long ago.
    pub fn is_settled(&self, age: Duration, now: Duration) -> bool {
        let settled = self.youngest.is_none_or(|placed| now >= placed + age);
        settled && !self.fresh
    }

    /// It gets nothing more in this round.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Whether it gets nothing more in this round.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    fn processors(&self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "thousandths of processors")]
        let whole = self.whole.processors as f64;
        whole.max(1.0)
    }

    /// What placing a run here costs, for comparison among workers.
    fn cost(&self, wish: &PlacementRequest<'_>, known: &Interference, on: Switches) -> f64 {
        let mut cost = FAILURE_COST * f64::from(self.failures);
        if wish.failed_on.contains(&self.id) {
            cost += AGAIN_COST;
        }
        if wish.suspect {
            cost += SUSPECT_COST * f64::from(self.suspects);
        }
        let used = self
            .whole
            .minus(&self.free)
            .plus(&wish.resources)
            .dominant_share_of(&self.whole);
        match wish.share {
            RunSharing::Fills(image) => {
                cost += self.fill_cost(image, asked(wish.step), wish.selectivity, known, on);
            }
            // Services of one image on a worker bear the same fills; full workers leave
            // others free.
            RunSharing::Serves(image, _) => {
                let same = self
                    .serving
                    .iter()
                    .filter(|(other, _)| *other == image)
                    .count();
                let others = u32::try_from(self.serving.len() - same).unwrap_or(u32::MAX);
                cost += FILL_COST * f64::from(self.filling.min(4));
                cost -= used;
                if on.group_images {
                    cost += OTHER_COST * f64::from(others);
                    cost -= if same > 0 { SAME_WORTH } else { 0.0 };
                }
            }
            RunSharing::Apart => cost -= PACK_COST * used,
        }
        cost
    }

    /// What a run that fills would add to the services here, beyond what they can bear,
    /// and how little it would get.
    fn fill_cost(
        &self,
        image: Image,
        asked: f64,
        selective: f64,
        known: &Interference,
        on: Switches,
    ) -> f64 {
        let share = asked / self.processors();
        let unused = (self.processors() - self.busy).max(self.processors() * UNUSED_MIN);
        let crowd = (self.filled + asked) / unused;
        // One that asks for more than any worker leaves unused runs alone.
        if on.bound_fills && crowd > CROWD_MAX && self.filling > 0 {
            return f64::INFINITY;
        }
        let [least, first] = GOAL;
        let goal = if on.keep_headroom {
            least + (first - least) * selective
        } else {
            0.0
        };
        let mut harm = 0.0;
        for (serves, spare) in &self.serving {
            let takes = known.factor(*serves, image) * share;
            let kept = goal * (1.0 - known.floor(*serves)).max(0.0);
            harm += HARM_COST * (takes + kept - spare).max(0.0) + MILD_COST * takes;
        }
        let cost = harm + (crowd - 1.0).max(0.0) + CROWD_COST * crowd;
        if cost > FILL_MAX { f64::INFINITY } else { cost }
    }

    /// Counts a run that was placed here; false when it may get no more.
    pub(super) fn add_run(&mut self, wish: &PlacementRequest<'_>, known: &Interference) -> bool {
        self.free = self.free.minus(&wish.resources);
        self.runs += 1;
        self.fresh = true;
        self.suspects += u32::from(wish.suspect);
        let asked = asked(wish.step);
        match wish.share {
            RunSharing::Apart => self.busy += asked,
            RunSharing::Serves(image, _) => {
                self.busy += asked * (1.0 - IDLE_SHARE);
                self.serving.push((image, 1.0 - known.floor(image)));
            }
            RunSharing::Fills(image) => {
                self.filled += asked;
                self.filling += 1;
                let share = asked / self.processors();
                for (serves, spare) in &mut self.serving {
                    *spare -= known.factor(*serves, image) * share;
                }
            }
        }
        !self.trial
    }
}

/// Whether two names are the same; those of one service are mostly one string.
fn is_same(one: &Arc<str>, other: &Arc<str>) -> bool {
    Arc::ptr_eq(one, other) || one == other
}

#[expect(clippy::cast_precision_loss, reason = "thousandths of processors")]
fn asked(step: &Step) -> f64 {
    step.needs.processors as f64
}

/// Runs of a step on each worker, where that is bounded.
pub(super) fn count_runs_per_worker(core: &Core, task: Task) -> RunsPerWorker {
    let mut counts = BTreeMap::new();
    let Some((job, _)) = core.log_state.task(task) else {
        return counts;
    };
    let Some(round) = job.occurrences.get(&task.occurrence) else {
        return counts;
    };
    let tasks = &round.steps[usize::from(task.step)].tasks;
    for (index, state) in (0..).zip(tasks) {
        for live in &state.live {
            let run = Run {
                task: Task { index, ..task },
                number: live.number,
            };
            // Its worker may have started again since it was placed.
            let known = core.runs.get(&run).map(|live| &live.worker);
            let worker = known.unwrap_or(&live.worker);
            *counts.entry(worker.clone()).or_insert(0) += 1;
        }
    }
    counts
}
