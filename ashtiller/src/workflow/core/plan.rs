//! Which waiting task goes to which worker.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::resources::Resources;
use crate::workflow::core::advice::StepKey;
use crate::workflow::core::candidates::{self, Candidate, PlacementRequest};
use crate::workflow::core::step_priority::WaitingStep;
use crate::workflow::core::trials::{ActiveTrials, TrialResult};
use crate::workflow::core::{Core, Now, share_of};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::live_run::RunSharing;
use crate::workflow::record::{Run, Task};

/// What a task asks of a worker.
#[derive(Clone)]
pub(super) struct Demand {
    pub service: Arc<str>,
    pub share: RunSharing,
    pub resources: Resources,
    /// How selective it is, if it fills.
    pub selectivity: f64,
}

impl Demand {
    /// Whether this is as much as another task asks, or less.
    fn is_within(&self, other: &Self) -> bool {
        self.service == other.service
            && self.share == other.share
            && self.resources.fits_within(&other.resources)
            && self.selectivity <= other.selectivity
    }
}

/// One round of placing.
pub(super) struct PlacementRound {
    pub fleet: Vec<Candidate>,
    /// What found no worker.
    refused: Vec<Demand>,
    /// Worker that gets no short runs until a lasting one has room there.
    pub reserved: Option<Incarnation>,
    /// A step that is too late and goes first in this round.
    pub promoted_late: Option<StepKey>,
    /// Trials of tasks that are suspected of crashing workers.
    pub trials: ActiveTrials,
}

impl PlacementRound {
    pub fn new(fleet: Vec<Candidate>, trials: ActiveTrials) -> Self {
        Self {
            fleet,
            refused: Vec::new(),
            reserved: None,
            promoted_late: None,
            trials,
        }
    }

    /// Whether a task like this, or one that wants less, found no worker before.
    pub fn is_known_unplaceable(&self, demand: &Demand) -> bool {
        self.refused.iter().any(|refused| refused.is_within(demand))
    }

    /// Notes that no worker takes a task like this.
    pub fn note_unplaceable(&mut self, demand: Demand) {
        self.refused.push(demand);
    }
}

/// A worker for members of a gang.
struct Seat {
    place: usize,
    left: Resources,
    /// Members that it got.
    here: u32,
    /// Whether one of them is tried there.
    tried: bool,
}

impl Seat {
    fn new(place: usize, left: Resources) -> Self {
        Self {
            place,
            left,
            here: 0,
            tried: false,
        }
    }

    fn admits(&self, wish: &PlacementRequest<'_>) -> bool {
        let spread = wish.step.spread;
        wish.resources.fits_within(&self.left) && (spread == 0 || self.here < spread)
    }
}

impl Core {
    /// Places what waits and fits.
    pub(super) fn plan(&mut self, now: Now) {
        self.freed_workers.clear();
        let mut waiting = self.collect_waiting_steps(now);
        self.backlog = u32::try_from(waiting.len()).unwrap_or(u32::MAX);
        if !self.terms.switches.short_first {
            let lasting = waiting.iter_mut().filter(|entry| self.is_lasting(entry));
            lasting.for_each(WaitingStep::promote);
        }
        let silent = self.collect_copyable_tasks();
        let crowded = self.collect_throttled_runs(now);
        if waiting.is_empty() && silent.is_empty() && crowded.is_empty() {
            return;
        }
        for entry in &waiting {
            self.ledger.note_ready(entry.key(), now.at);
        }
        // What was placed now would pile up on workers that may be leaving.
        if !self.may_start(now) {
            self.hold_starts(now);
            return;
        }
        let fleet = self.collect_candidates(now);
        let trials = self.count_trials(&fleet, now);
        let mut placing = PlacementRound::new(fleet, trials);
        if self.terms.switches.room_in_time {
            self.promote_lasting(&mut waiting, &mut placing, now);
            self.promote_oldest_late(&mut waiting, &mut placing, now);
        }
        waiting.sort_unstable();
        for entry in waiting {
            self.plan_step(entry, &mut placing, now);
            if self.waiting_tasks(entry).is_empty() {
                self.ledger.note_placed(entry.key());
                self.wait_logged_at.remove(&entry.key());
            } else {
                self.log_wait(entry, &placing, now);
            }
        }
        for task in silent {
            self.place_copy(task, &mut placing, now);
        }
        for run in crowded {
            self.consider_move(run, &mut placing, now);
        }
    }

    fn demand_of(&mut self, entry: WaitingStep, now: Now) -> Demand {
        let job = &self.log_state.jobs[&entry.job];
        let (service, spec) = (job.policy.service.clone(), job.job.clone());
        let step = &spec.steps[usize::from(entry.step)];
        let (share, _) = share_of(&mut self.interference, step);
        Demand {
            service: self.intern_service(&service),
            share,
            resources: step.room(),
            selectivity: if step.fills() {
                self.selectivity(entry.key(), now)
            } else {
                0.0
            },
        }
    }

    pub(super) fn plan_step(&mut self, entry: WaitingStep, placing: &mut PlacementRound, now: Now) {
        let demand = self.demand_of(entry, now);
        if placing.is_known_unplaceable(&demand) {
            return;
        }
        let job = &self.log_state.jobs[&entry.job];
        let spec = job.job.clone();
        let advice = job.policy.advice.is_some();
        let step = &spec.steps[usize::from(entry.step)];
        let tasks = self.waiting_tasks(entry);
        let Some(first) = tasks.first().copied() else {
            return;
        };
        let tickets = advice.then(|| self.tickets(first, now));
        let rescued = placing.promoted_late == Some(entry.key());
        let mut wish = PlacementRequest {
            service: &demand.service,
            step,
            share: demand.share,
            resources: demand.resources,
            failed_on: BTreeSet::new(),
            runs_per_worker: BTreeMap::new(),
            advised: tickets.as_ref(),
            excluded: placing
                .reserved
                .clone()
                .filter(|_| !step.long_running && !step.fills() && !rescued),
            suspect: tasks.iter().any(|task| self.is_suspect(*task)),
            selectivity: demand.selectivity,
        };
        if step.gang {
            if !self.plan_gang(&tasks, &wish, placing, now) && advice {
                self.request_advice(first, tasks.len(), &placing.fleet, &wish, now);
            }
            return;
        }
        let alike = step.label.is_none() && step.spread == 0 && !advice;
        if step.spread > 0 {
            wish.runs_per_worker = candidates::count_runs_per_worker(self, first);
        }
        let mut choices = None;
        for (done, task) in tasks.iter().enumerate() {
            let failed_on = self
                .log_state
                .task(*task)
                .map(|(_, state)| state.failed_on.clone());
            wish.failed_on = failed_on.unwrap_or_default();
            match self.try_suspect(*task, &wish, placing, now) {
                TrialResult::None => {}
                TrialResult::Placed | TrialResult::Waits => continue,
            }
            let usual = wish.failed_on.is_empty();
            let place = if usual {
                let choices =
                    choices.get_or_insert_with(|| self.rank_candidates(&placing.fleet, &wish));
                choices.pop_best(&placing.fleet)
            } else {
                self.choose_worker(&placing.fleet, &wish)
            };
            debug_assert_eq!(place, self.choose_worker(&placing.fleet, &wish));
            let Some(place) = place else {
                if alike {
                    placing.note_unplaceable(demand.clone());
                }
                if advice {
                    self.request_advice(first, tasks.len() - done, &placing.fleet, &wish, now);
                }
                return;
            };
            let id = placing.fleet[place].id.clone();
            let stays = placing.fleet[place].add_run(&wish, &self.interference);
            if step.spread > 0 {
                *wish.runs_per_worker.entry(id.clone()).or_insert(0) += 1;
            }
            if !stays {
                placing.fleet[place].close();
            }
            match &mut choices {
                Some(choices) if usual => {
                    self.rerank_candidate(choices, &placing.fleet, place, &wish);
                }
                // What is known of one worker has changed.
                _ => choices = None,
            }
            let run = Run {
                task: *task,
                number: self.next_run_number(*task),
            };
            let ticket = tickets
                .as_ref()
                .and_then(|tickets| tickets.get(&id).cloned());
            self.place_run(run, &id, ticket, now);
            if rescued {
                self.last_rescue = now.at;
            }
        }
    }

    /// A gang is placed whole or not at all, under one number.
    fn plan_gang(
        &mut self,
        tasks: &[Task],
        wish: &PlacementRequest<'_>,
        placing: &mut PlacementRound,
        now: Now,
    ) -> bool {
        if tasks.len() < wish.step.count as usize {
            return true;
        }
        let apart: Vec<bool> = tasks
            .iter()
            .map(|task| self.is_strong_suspect(*task))
            .collect();
        let tried = tasks.iter().zip(&apart).filter(|(_, apart)| **apart);
        let mut tried = tried.map(|(task, _)| *task);
        let waits = |task| !self.may_begin_trial(task, wish.service, &placing.trials, now);
        if tried.any(|task| self.has_reached_crash_limit(task) || waits(task)) {
            return true;
        }
        let racks = if wish.step.one_rack {
            self.racks(wish.service)
        } else {
            vec![None]
        };
        for rack in racks {
            let Some(chosen) = self.choose_gang(&apart, wish, &placing.fleet, rack.as_ref()) else {
                continue;
            };
            let number = tasks
                .iter()
                .map(|task| self.next_run_number(*task))
                .max()
                .unwrap_or(1);
            for (task, place) in tasks.iter().zip(&chosen) {
                let candidate = &mut placing.fleet[*place];
                candidate.add_run(wish, &self.interference);
                let id = candidate.id.clone();
                let ticket = wish.advised.and_then(|tickets| tickets.get(&id).cloned());
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
            for (task, _) in tasks.iter().zip(&apart).filter(|(_, apart)| **apart) {
                let run = Run {
                    task: *task,
                    number,
                };
                if let Some(live) = self.runs.get_mut(&run) {
                    live.isolated = true;
                }
            }
            for (place, _) in chosen.iter().zip(&apart).filter(|(_, apart)| **apart) {
                placing.fleet[*place].close();
            }
            return true;
        }
        false
    }

    /// Labels of a service's workers, racks among them, and last no label at all.
    fn racks(&self, service: &Arc<str>) -> Vec<Option<Arc<str>>> {
        let mut racks: BTreeSet<Arc<str>> = BTreeSet::new();
        for worker in self
            .workers
            .values()
            .filter(|worker| worker.listed.service == *service)
        {
            // The first label is the worker's kind, which a rack does not share.
            racks.extend(worker.listed.labels.iter().skip(1).cloned());
        }
        racks.into_iter().map(Some).chain([None]).collect()
    }

    fn choose_gang(
        &self,
        apart: &[bool],
        wish: &PlacementRequest<'_>,
        fleet: &[Candidate],
        rack: Option<&Arc<str>>,
    ) -> Option<Vec<usize>> {
        let mut free: Vec<Seat> = fleet
            .iter()
            .enumerate()
            .filter(|(_, candidate)| candidates::is_eligible(candidate, wish))
            .filter(|(_, candidate)| {
                let worker = self.workers.get(&candidate.id);
                rack.is_none_or(|rack| worker.is_some_and(|worker| worker.has_label(rack)))
            })
            .map(|(place, candidate)| Seat::new(place, candidate.free))
            .collect();
        let mut chosen = Vec::new();
        for apart in apart {
            let best = free
                .iter_mut()
                .filter(|seat| seat.admits(wish) && !(*apart && seat.tried))
                .max_by_key(|seat| seat.left.processors)?;
            best.left = best.left.minus(&wish.resources);
            best.here += 1;
            best.tried |= *apart;
            chosen.push(best.place);
        }
        Some(chosen)
    }

    pub(super) fn next_run_number(&self, task: Task) -> u32 {
        self.log_state
            .task(task)
            .map_or(1, |(_, state)| state.last + 1)
    }
}
