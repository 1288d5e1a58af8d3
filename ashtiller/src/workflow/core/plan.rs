//! Placement of waiting tasks on workers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::resources::Resources;
use crate::workflow::core::advice::StepKey;
use crate::workflow::core::candidates::{self, Candidate, CandidateRanking, PlacementRequest};
use crate::workflow::core::selectivity::Tolerance;
use crate::workflow::core::step_priority::WaitingStep;
use crate::workflow::core::trials::{ActiveTrials, Isolation, TrialResult};
use crate::workflow::core::unconfirmed_starts::Site;
use crate::workflow::core::{Core, Now, sharing_of};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::job::Step;
use crate::workflow::live_run::RunSharing;
use crate::workflow::record::{Run, Task};
use crate::workflow::reserve::plan::{ReservePlan, ServiceReserve};
use crate::workflow::room::RoomPrices;

/// Requirements of a task, used to remember which requirements no worker meets.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    pub service: Arc<str>,
    pub share: RunSharing,
    pub resources: Resources,
    /// Selectivity about services beside it for a best-effort task, 0 for others.
    pub selectivity: f64,
    /// Whether the capacity reserve applies.
    pub leaves_reserve: bool,
    /// Processors that the task uses beside services, in thousandths, if it is a best-effort one.
    pub fill_processors: u64,
    /// What a best-effort task may take from services beside it.
    pub tolerance: Tolerance,
}

impl Demand {
    /// Returns a description for log messages.
    pub fn describe(&self) -> String {
        format!("{:?} of {}", self.share, self.resources)
    }

    /// Returns whether these requirements are at most those of `other`.
    pub fn is_within(&self, other: &Self) -> bool {
        self.service == other.service
            && self.share == other.share
            && self.resources.fits_within(&other.resources)
            && self.fill_processors <= other.fill_processors
            && self.selectivity <= other.selectivity
            && self.leaves_reserve <= other.leaves_reserve
            && self.tolerance >= other.tolerance
    }
}

/// State of one placement round.
pub(super) struct PlacementRound {
    pub candidates: Vec<Candidate>,
    /// Requirements for which no worker was found.
    unplaceable: Vec<Demand>,
    /// Steps that were not tried, with the index of the unplaceable requirements that theirs exceed.
    passed_over: BTreeMap<StepKey, usize>,
    /// Worker that gets no short runs until a long-running one fits there.
    pub reserved: Option<Incarnation>,
    /// Steps that are too late to earn anything and are placed first in this round.
    pub promoted_late: BTreeSet<StepKey>,
    /// Isolated runs of tasks that are suspected of crashing workers.
    pub trials: ActiveTrials,
    /// How tasks that are strongly suspected are placed.
    pub isolation: Isolation,
    /// Capacity that long-running tasks leave to short ones.
    pub reserve: ReservePlan,
    /// Prices of the room that long-running tasks take from short ones.
    pub room: RoomPrices,
}

impl PlacementRound {
    pub fn new(fleet: Vec<Candidate>, trials: ActiveTrials) -> Self {
        Self {
            candidates: fleet,
            unplaceable: Vec::new(),
            passed_over: BTreeMap::new(),
            reserved: None,
            promoted_late: BTreeSet::new(),
            trials,
            isolation: Isolation::default(),
            reserve: ReservePlan::default(),
            room: RoomPrices::new(),
        }
    }

    /// Returns whether no worker was found for the same or smaller requirements in this round.
    pub fn is_known_unplaceable(&self, demand: &Demand) -> bool {
        self.find_unplaceable(demand).is_some()
    }

    /// Returns the index of requirements that are at most these and for which no worker was found.
    fn find_unplaceable(&self, demand: &Demand) -> Option<usize> {
        let mut unplaceable = self.unplaceable.iter();
        unplaceable.position(|unplaceable| unplaceable.is_within(demand))
    }

    /// Returns the requirements because of which a step was not tried in this round, if so.
    pub fn passed_over_for(&self, step: StepKey) -> Option<&Demand> {
        let index = *self.passed_over.get(&step)?;
        self.unplaceable.get(index)
    }

    /// Returns the reserve that applies to a task with these requirements.
    fn reserve_for(&self, demand: &Demand) -> Option<Arc<ServiceReserve>> {
        let reserve = self.reserve.of(&demand.service);
        reserve.filter(|_| demand.leaves_reserve).cloned()
    }

    /// Returns a request for the tasks of a step, without what is known of single tasks.
    fn request_for<'a>(
        &self,
        service: &'a Arc<str>,
        step: &'a Step,
        demand: &Demand,
        tickets: Option<&'a BTreeMap<Incarnation, Arc<str>>>,
    ) -> PlacementRequest<'a> {
        PlacementRequest {
            service,
            step,
            share: demand.share,
            resources: demand.resources,
            failed_on: BTreeSet::new(),
            runs_per_worker: BTreeMap::new(),
            tickets,
            excluded: None,
            only: None,
            suspect: false,
            selectivity: demand.selectivity,
            tolerance: demand.tolerance,
            reserve: self.reserve_for(demand),
            searched: 0,
            room: self
                .room
                .get(service)
                .filter(|_| step.long_running)
                .cloned(),
        }
    }

    /// Records that no worker meets these requirements.
    pub fn note_unplaceable(&mut self, demand: Demand) {
        self.unplaceable.push(demand);
    }
}

/// Capacity of a worker for members of a gang.
struct GangCandidate {
    index: usize,
    free: Resources,
    /// Gang members assigned to the worker.
    members: u32,
    /// Whether one of them is suspected of crashing workers.
    has_suspect: bool,
}

/// Restrictions on the placement of a gang member.
struct GangMember<'a> {
    /// Whether its task is suspected of crashing workers.
    suspect: bool,
    site: &'a Site,
}

impl GangMember<'_> {
    /// Returns whether it may be placed on a worker beside the members that are already there.
    fn may_join(&self, candidate: &GangCandidate, worker: &Incarnation) -> bool {
        let here = match self.site {
            Site::Any => true,
            Site::Only(only) => only == worker,
            Site::Nowhere => false,
        };
        here && !(self.suspect && candidate.has_suspect)
    }
}

impl GangCandidate {
    fn new(index: usize, free: Resources) -> Self {
        Self {
            index,
            free,
            members: 0,
            has_suspect: false,
        }
    }

    fn fits(&self, request: &PlacementRequest<'_>) -> bool {
        let spread = request.step.spread;
        request.resources.fits_within(&self.free) && (spread == 0 || self.members < spread)
    }
}

impl Core {
    /// Places waiting tasks that fit, starts copies of runs on workers that do not answer and
    /// moves runs that are slowed down.
    pub(super) fn place_tasks(&mut self, now: Now) {
        self.freed_workers.clear();
        self.admission.begin_reading();
        let mut waiting = self.collect_waiting_steps(now);
        self.read_waiting(&waiting, now);
        self.observe_short_demand(&waiting, now);
        self.backlog = u32::try_from(waiting.len()).unwrap_or(u32::MAX);
        if !self.tuning.switches.short_first {
            let long_running = waiting
                .iter_mut()
                .filter(|pending| self.is_long_running(pending));
            long_running.for_each(WaitingStep::promote);
        }
        let copyable = self.collect_copyable_tasks();
        let throttled = self.collect_throttled_runs(now);
        if waiting.is_empty() && copyable.is_empty() && throttled.is_empty() {
            self.observe_shares(now);
            return;
        }
        for pending in &waiting {
            self.job_timings.note_ready(pending.key(), now.at);
        }
        // Runs placed now would pile up on workers that may be leaving.
        if !self.may_start(now) {
            self.hold_starts(now);
            return;
        }
        self.counts.rounds += 1;
        self.log_round(&waiting, now);
        let fleet = self.collect_candidates(now);
        self.read_capacities(&fleet, now);
        let trials = self.count_trials(&fleet, now);
        let mut round = PlacementRound::new(fleet, trials);
        round.reserve = self.plan_reserve(&round.candidates, &waiting, now);
        round.room = self.price_room(&round.candidates, &waiting);
        if self.tuning.switches.room_in_time {
            self.promote_long_running(&mut waiting, &mut round, now);
            if !self.tuning.switches.admission_control {
                self.promote_oldest_late(&mut waiting, &mut round, now);
            }
        }
        self.apply_triage(&mut waiting, &mut round, now);
        waiting.sort_unstable();
        let mut order = self.order_by_shares(&waiting, now);
        let mut slots = self.free_start_slots();
        let mut is_limited = false;
        while let Some(pending) = order.take_next() {
            if slots == 0 && !self.is_long_running(&pending) {
                is_limited = true;
                continue;
            }
            let before = self.count_waiting(pending);
            self.place_step(pending, &mut round, now);
            self.note_placement(pending, before, &round, now);
            let left = self.count_waiting(pending);
            let placed = (before - left) as usize;
            slots = slots.saturating_sub(placed);
            order.charge(self.charge_of_tasks(pending, placed));
            if left == 0 {
                self.job_timings.note_placed(pending.key());
                self.searches.forget(pending.key());
                self.wait_logged_at.remove(&pending.key());
            } else {
                self.log_wait(pending, &round, now);
            }
        }
        self.place_despite_trials(&waiting, &mut round, now);
        self.log_shares(order.reordered(), now);
        if is_limited {
            self.counts.limited_rounds += 1;
            self.needs_planning = true;
        } else {
            self.defragment(&waiting, &round, now);
        }
        for task in copyable {
            self.place_copy(task, &mut round, now);
        }
        for run in throttled {
            self.try_relocate(run, &mut round, now);
        }
    }

    /// Returns the requirements of the tasks of a waiting step.
    pub(super) fn demand_of(&mut self, pending: WaitingStep, now: Now) -> Demand {
        let job = &self.log_state.jobs[&pending.job];
        let (service, spec) = (job.policy.service.clone(), job.job.clone());
        let step = &spec.steps[usize::from(pending.step)];
        let (share, _) = sharing_of(&mut self.interference, step);
        let fills = step.fills();
        Demand {
            service: self.intern_service(&service),
            share,
            resources: step.reserved(),
            selectivity: if fills {
                self.selectivity(pending.key(), now)
            } else {
                0.0
            },
            leaves_reserve: self.is_reserve_bound(pending.key(), step),
            fill_processors: if fills { step.needs.processors } else { 0 },
            tolerance: if fills {
                self.tolerance(pending.key(), now)
            } else {
                Tolerance::Usual
            },
        }
    }

    /// Places the waiting tasks of a step until no worker takes the next one.
    pub(super) fn place_step(
        &mut self,
        pending: WaitingStep,
        round: &mut PlacementRound,
        now: Now,
    ) {
        self.counts.steps_examined += 1;
        let mut demand = self.demand_of(pending, now);
        if let Some(index) = round.find_unplaceable(&demand)
            && !self.has_bound_tasks(pending)
        {
            round.passed_over.insert(pending.key(), index);
            return self.note_held_step(pending, round, now);
        }
        let job = &self.log_state.jobs[&pending.job];
        let spec = job.job.clone();
        let asks_advisor = job.policy.advice.is_some();
        let step = &spec.steps[usize::from(pending.step)];
        let tasks = self.waiting_tasks(pending);
        let Some(first) = tasks.first().copied() else {
            return;
        };
        let tickets = asks_advisor.then(|| self.tickets(first, now));
        let service = demand.service.clone();
        let is_promoted = round.promoted_late.contains(&pending.key());
        let mut request = round.request_for(&service, step, &demand, tickets.as_ref());
        request.excluded = round
            .reserved
            .clone()
            .filter(|_| !step.long_running && !step.fills() && !is_promoted);
        request.suspect = tasks.iter().any(|task| self.is_suspect(*task));
        // Long-running tasks are to start within a bound wherever there is room.
        let is_remembered = !(step.long_running
            || asks_advisor
            || request.suspect
            || self.has_bound_tasks(pending));
        if is_remembered {
            let excluded = request.excluded.as_ref();
            request.searched = self.searched_collection(pending.key(), &demand, excluded, now);
        }
        if step.gang {
            if !self.place_gang(&tasks, &request, round, now) {
                self.advise_on(&tasks, &request, round, now);
            }
            return;
        }
        let uniform = step.label.is_none() && step.spread == 0 && !asks_advisor;
        if step.spread > 0 {
            request.runs_per_worker = candidates::count_runs_per_worker(self, first);
        }
        let mut ranking = None;
        let mut is_held = false;
        for (placed, task) in tasks.iter().enumerate() {
            if request.tolerance != Tolerance::Usual && self.has_runs(pending.job) {
                // Its other tasks wait for better workers.
                (demand.tolerance, request.tolerance) = (Tolerance::Usual, Tolerance::Usual);
                request.searched = 0;
                ranking = None;
            }
            request.only = match self.site_in_round(*task, &demand, round, now) {
                Site::Any if is_held => continue,
                Site::Any => None,
                Site::Only(worker) => Some(worker),
                Site::Nowhere => continue,
            };
            request.failed_on = self.failed_on(*task);
            match self.place_as_trial(*task, &request, round, now) {
                TrialResult::None => {}
                TrialResult::Placed | TrialResult::Waits => continue,
            }
            // The ranking holds for tasks without restrictions of their own.
            let is_ranked = request.failed_on.is_empty() && request.only.is_none();
            let usable = is_ranked.then_some(&mut ranking);
            let Some(index) = self.choose_candidate(usable, &round.candidates, &request) else {
                self.advise_on(&tasks[placed..], &request, round, now);
                if request.only.is_some() {
                    continue;
                }
                if is_remembered && is_ranked {
                    let (excluded, since) = (request.excluded.as_ref(), request.searched);
                    self.note_search(pending.key(), &demand, excluded, since, now);
                }
                if uniform {
                    round.note_unplaceable(demand.clone());
                }
                if request.reserve.is_none() {
                    return;
                }
                // The reserve does not apply to tasks that are bound to a worker.
                self.note_held_step(pending, round, now);
                is_held = true;
                continue;
            };
            let id = self.add_to_candidate(index, &mut request, round);
            if request.reserve.is_some() {
                request.reserve = round.reserve_for(&demand);
            }
            match &mut ranking {
                Some(ranking) if is_ranked => {
                    self.rerank_candidate(ranking, &round.candidates, index, &request);
                }
                // The worker's state has changed, so the ranking is out of date.
                _ => ranking = None,
            }
            let run = self.next_run(*task);
            let ticket = tickets.as_ref().and_then(|it| it.get(&id).cloned());
            self.place_run(run, &id, ticket, now);
            if is_promoted {
                self.last_rescue = now.at;
            }
        }
    }

    /// Returns the workers on which a task has failed.
    fn failed_on(&self, task: Task) -> BTreeSet<Incarnation> {
        let state = self.log_state.task(task).map(|(_, state)| state);
        state.map_or_else(BTreeSet::new, |it| it.failed_on.clone())
    }

    fn next_run(&self, task: Task) -> Run {
        let number = self.next_run_number(task);
        Run { task, number }
    }

    /// Returns where a task may be placed: it may be bound to a worker, or move to one.
    fn site_in_round(&self, task: Task, demand: &Demand, round: &PlacementRound, now: Now) -> Site {
        match self.site_of(task) {
            Site::Any => self
                .destination_of(task, &demand.resources, round, now)
                .map_or(Site::Any, Site::Only),
            bound => bound,
        }
    }

    /// Returns the index of the cheapest candidate for a task, by a ranking if it may be used.
    fn choose_candidate(
        &mut self,
        ranking: Option<&mut Option<CandidateRanking>>,
        fleet: &[Candidate],
        request: &PlacementRequest<'_>,
    ) -> Option<usize> {
        if ranking.as_ref().is_none_or(|it| it.is_none()) {
            let compared = fleet.iter();
            let compared = compared.filter(|it| it.has_changed_since(request.searched));
            self.counts.candidates_compared += compared.count() as u64;
        }
        let index = match ranking {
            Some(ranking) => self.choose_ranked(ranking, fleet, request),
            None => self.choose_worker(fleet, request),
        };
        debug_assert_eq!(index, self.choose_worker(fleet, request));
        index
    }

    /// Accounts for a run that is placed on a candidate, and returns the worker.
    fn add_to_candidate(
        &self,
        index: usize,
        request: &mut PlacementRequest<'_>,
        round: &mut PlacementRound,
    ) -> Incarnation {
        let id = round.candidates[index].id.clone();
        let takes_more = round.add_run(index, request, &self.interference);
        if request.step.spread > 0 {
            *request.runs_per_worker.entry(id.clone()).or_insert(0) += 1;
        }
        if !takes_more {
            round.candidates[index].close();
        }
        id
    }

    /// Asks the advisor about workers for tasks that were not placed, if their step needs advice.
    fn advise_on(
        &mut self,
        tasks: &[Task],
        request: &PlacementRequest<'_>,
        round: &PlacementRound,
        now: Now,
    ) {
        if let Some(first) = tasks.first()
            && request.tickets.is_some()
        {
            self.request_advice(*first, tasks.len(), &round.candidates, request, now);
        }
    }

    /// Places all members of a gang under one run number, or none of them. Returns false if no
    /// set of workers can take the gang.
    fn place_gang(
        &mut self,
        tasks: &[Task],
        request: &PlacementRequest<'_>,
        round: &mut PlacementRound,
        now: Now,
    ) -> bool {
        if tasks.len() < request.step.count as usize {
            return true;
        }
        let suspects: Vec<bool> = tasks
            .iter()
            .map(|task| self.is_strong_suspect(*task))
            .collect();
        let isolated = tasks.iter().zip(&suspects).filter(|(_, suspect)| **suspect);
        let mut isolated = isolated.map(|(task, _)| *task);
        let must_wait = |task| !self.may_begin_trial(task, request.service, &round.trials, now);
        if isolated.any(|task| self.has_reached_crash_limit(task) || must_wait(task)) {
            return true;
        }
        let sites: Vec<Site> = tasks.iter().map(|task| self.site_of(*task)).collect();
        if sites.contains(&Site::Nowhere) {
            return true;
        }
        let members: Vec<GangMember<'_>> = suspects
            .iter()
            .zip(&sites)
            .map(|(suspect, site)| GangMember {
                suspect: *suspect,
                site,
            })
            .collect();
        let racks = if request.step.one_rack {
            self.racks(request.service)
        } else {
            vec![None]
        };
        for rack in racks {
            let Some(chosen) =
                self.choose_gang(&members, request, &round.candidates, rack.as_ref())
            else {
                continue;
            };
            let number = tasks
                .iter()
                .map(|task| self.next_run_number(*task))
                .max()
                .unwrap_or(1);
            for (task, index) in tasks.iter().zip(&chosen) {
                round.add_run(*index, request, &self.interference);
                let id = round.candidates[*index].id.clone();
                let ticket = request
                    .tickets
                    .and_then(|tickets| tickets.get(&id).cloned());
                self.place_run(
                    Run {
                        task: *task,
                        number,
                    },
                    &id,
                    ticket,
                    now,
                );
            }
            for (task, _) in tasks.iter().zip(&suspects).filter(|(_, suspect)| **suspect) {
                let run = Run {
                    task: *task,
                    number,
                };
                if let Some(live) = self.runs.get_mut(&run) {
                    live.isolated = true;
                }
            }
            for (index, _) in chosen
                .iter()
                .zip(&suspects)
                .filter(|(_, suspect)| **suspect)
            {
                round.candidates[*index].close();
            }
            return true;
        }
        false
    }

    /// Returns the labels of a service's workers, which include their racks, followed by `None`
    /// for a gang that spans racks.
    fn racks(&self, service: &Arc<str>) -> Vec<Option<Arc<str>>> {
        let mut racks: BTreeSet<Arc<str>> = BTreeSet::new();
        for worker in self
            .workers
            .values()
            .filter(|worker| worker.listed.service == *service)
        {
            // The first label is the kind of the worker, which says nothing about its rack.
            racks.extend(worker.listed.labels.iter().skip(1).cloned());
        }
        racks.into_iter().map(Some).chain([None]).collect()
    }

    /// Returns a candidate for each member of a gang, if all of them fit.
    fn choose_gang(
        &self,
        members: &[GangMember<'_>],
        request: &PlacementRequest<'_>,
        fleet: &[Candidate],
        rack: Option<&Arc<str>>,
    ) -> Option<Vec<usize>> {
        let mut free: Vec<GangCandidate> = fleet
            .iter()
            .enumerate()
            .filter(|(_, candidate)| candidates::is_eligible(candidate, request))
            .filter(|(_, candidate)| {
                let worker = self.workers.get(&candidate.id);
                rack.is_none_or(|rack| worker.is_some_and(|worker| worker.has_label(rack)))
            })
            .map(|(index, candidate)| GangCandidate::new(index, candidate.free))
            .collect();
        // Members that are bound to a worker come first, before others use its capacity.
        let mut order: Vec<usize> = (0..members.len()).collect();
        order.sort_by_key(|member| *members[*member].site == Site::Any);
        let mut chosen = vec![0; members.len()];
        for place in order {
            let member = &members[place];
            let best = free
                .iter_mut()
                .filter(|it| it.fits(request) && member.may_join(it, &fleet[it.index].id))
                .max_by_key(|candidate| candidate.free.processors)?;
            best.free = best.free.minus(&request.resources);
            best.members += 1;
            best.has_suspect |= member.suspect;
            chosen[place] = best.index;
        }
        Some(chosen)
    }

    /// Returns the number of the next run of a task; the first is 1.
    pub(super) fn next_run_number(&self, task: Task) -> u32 {
        self.log_state
            .task(task)
            .map_or(1, |(_, state)| state.last + 1)
    }
}
