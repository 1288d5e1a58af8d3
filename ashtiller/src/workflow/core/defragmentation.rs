//! Moves of long-running runs that merge pieces of free capacity, for short tasks that fit on no
//! worker although enough processors are free.
//!
//! A run moves to a smaller piece that it fits, so that the worker it leaves has a larger one. It is
//! stopped and started again, within the limit on unavailable tasks of its step.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::resources::Resources;
use crate::workflow::core::candidates;
use crate::workflow::core::plan::PlacementRound;
use crate::workflow::core::step_priority::{TOO_LATE, WaitingStep};
use crate::workflow::core::unconfirmed_starts::Site;
use crate::workflow::core::{Core, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::live_run::{Stage, Stop, StopReason};
use crate::workflow::record::{Run, Task};
use crate::workflow::room::RoomPrice;

/// Minimum time between two searches for moves.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a short step must have waited without room.
const WAIT_MIN: Duration = Duration::from_millis(100);
/// Minimum time between two moves of a task.
const TASK_INTERVAL: Duration = Duration::from_secs(30);
/// Time from a stop to the start elsewhere after which a move counts as over.
const MOVE_MAX: Duration = Duration::from_secs(4);
/// Number of workers for each of which one move may be under way.
const WORKERS_PER_MOVE: usize = 32;
/// Minimum difference in cost between the room that a move frees and the room that it takes.
const GAIN_MIN: f64 = 0.5;
/// Progress in percent of a long-running task that is at work.
const READY_PERCENT: u32 = 100;

/// A move that is under way, or was made a while ago.
#[derive(Clone, Debug)]
struct Move {
    /// The run that was stopped.
    run: u32,
    to: Incarnation,
    since: Duration,
}

/// Moves of long-running tasks.
#[derive(Debug, Default)]
pub(super) struct Defragmentation {
    moves: BTreeMap<Task, Move>,
    searched_at: Duration,
}

impl Defragmentation {
    /// Returns the worker to which a task moves.
    fn destination(&self, task: Task, now: Duration) -> Option<&Incarnation> {
        let found = self.moves.get(&task);
        let current = found.filter(|it| now < it.since + MOVE_MAX);
        current.map(|it| &it.to)
    }
}

/// A possible move between two candidates.
struct Proposal {
    run: Run,
    from: usize,
    to: usize,
    gain: f64,
}

/// Candidates by free processors, to find the smallest piece that a task fits.
struct Pieces(Vec<(u64, usize)>);

impl Pieces {
    fn of(round: &PlacementRound, service: &str) -> Self {
        let open = round.candidates.iter().enumerate();
        let open = open.filter(|(_, it)| *it.service == *service && it.offer().takes_many);
        let mut pieces: Vec<(u64, usize)> = open
            .filter(|(_, it)| !it.is_closed())
            .map(|(index, it)| (it.free.processors, index))
            .collect();
        pieces.sort_unstable();
        Self(pieces)
    }

    /// Returns candidates with at least these processors free, the fullest ones first.
    fn from(&self, processors: u64) -> impl Iterator<Item = usize> {
        let first = self.0.partition_point(|(free, _)| *free < processors);
        self.0[first..].iter().map(|(_, index)| *index)
    }
}

impl Core {
    /// Stops long-running runs that are to move, if short steps wait for larger pieces of capacity.
    pub(super) fn defragment(&mut self, waiting: &[WaitingStep], round: &PlacementRound, now: Now) {
        let is_due = now.at >= self.defragmentation.searched_at + SEARCH_INTERVAL;
        if !self.tuning.switches.defragment || !is_due || self.congestion.is_congested() {
            return;
        }
        self.defragmentation.searched_at = now.at;
        let moves = &mut self.defragmentation.moves;
        moves.retain(|_, it| now.at < it.since + TASK_INTERVAL);
        for service in self.services_without_room(waiting, round, now) {
            let limit = round.candidates.len() / WORKERS_PER_MOVE;
            let free = limit.max(1).saturating_sub(self.count_moves_under_way(now));
            let Some(price) = round.room.get(&service).cloned() else {
                continue;
            };
            let mut proposals = self.propose_moves(&service, &price, round, now);
            proposals.sort_by(|one, other| other.gain.total_cmp(&one.gain));
            self.begin_moves(&proposals, free, round, now);
        }
    }

    /// Returns the number of tasks that were stopped for a move and do not run again.
    fn count_moves_under_way(&self, now: Now) -> usize {
        let moves = self.defragmentation.moves.iter();
        let under_way = moves.filter(|(task, it)| {
            let live = self.log_state.task(**task).map(|(_, state)| &state.live);
            let runs_again = live.into_iter().flatten().any(|live| {
                let run = Run {
                    task: **task,
                    number: live.number,
                };
                let stage = self.runs.get(&run).map(|live| live.stage);
                live.number > it.run && matches!(stage, Some(Stage::Started(_)))
            });
            now.at < it.since + MOVE_MAX && !runs_again
        });
        under_way.count()
    }

    /// Returns the services for which short steps wait that are not too late and fit on no worker.
    fn services_without_room(
        &self,
        waiting: &[WaitingStep],
        round: &PlacementRound,
        now: Now,
    ) -> BTreeSet<Arc<str>> {
        let waiting = waiting.iter().filter(|pending| {
            let job = &self.log_state.jobs[&pending.job];
            let step = &job.job.steps[usize::from(pending.step)];
            let since = self.job_timings.ready_since(pending.key());
            pending.urgency.lateness < TOO_LATE
                && !step.long_running
                && !step.fills()
                && since.is_some_and(|since| now.at >= since + WAIT_MIN)
                && self.count_waiting(**pending) > 0
                && !self.has_capacity(pending, &round.candidates)
        });
        let services = waiting.map(|it| self.log_state.jobs[&it.job].policy.service.clone());
        services.collect()
    }

    /// Returns the moves that free more valuable room than they take.
    fn propose_moves(
        &self,
        service: &Arc<str>,
        price: &RoomPrice,
        round: &PlacementRound,
        now: Now,
    ) -> Vec<Proposal> {
        let pieces = Pieces::of(round, service);
        let mut proposals = Vec::new();
        for (from, candidate) in round.candidates.iter().enumerate() {
            if *candidate.service != **service || candidate.is_closed() {
                continue;
            }
            let room = candidate.offer().for_short();
            let Some(worker) = self.workers.get(&candidate.id) else {
                continue;
            };
            let best = worker
                .runs
                .iter()
                .filter_map(|run| {
                    let needs = self.needs_of_movable(*run, now)?;
                    let gain = price.cost(&room.plus(&needs), &needs);
                    if gain < GAIN_MIN {
                        return None;
                    }
                    let to = pieces
                        .from(needs.processors)
                        .find(|to| *to != from && needs.fits_within(&round.candidates[*to].free))?;
                    let there = round.candidates[to].offer().for_short();
                    let gain = gain - price.cost(&there, &needs);
                    (gain >= GAIN_MIN).then_some(Proposal {
                        run: *run,
                        from,
                        to,
                        gain,
                    })
                })
                .max_by(|one, other| one.gain.total_cmp(&other.gain));
            proposals.extend(best);
        }
        proposals
    }

    /// Returns the resources of a run that may move: a long-running one that is at work and may run
    /// on any worker.
    fn needs_of_movable(&self, run: Run, now: Now) -> Option<Resources> {
        let live = self.runs.get(&run)?;
        let at_work = matches!(live.stage, Stage::Started(_)) && live.percent >= READY_PERCENT;
        if !at_work || live.stop != Stop::None || live.ordering || live.isolated {
            return None;
        }
        let (job, state) = self.log_state.task(run.task)?;
        let step = job.step(run.task)?;
        let is_free = step.label.is_none() && step.rack.is_none() && !step.gang;
        let movable = step.long_running
            && is_free
            && job.policy.advice.is_none()
            && job.outcome.is_none()
            && state.live.len() == 1
            && !self.is_suspect(run.task)
            && !self.defragmentation.moves.contains_key(&run.task)
            && self.site_of(run.task) == Site::Any
            && now.at >= live.placed + MOVE_MAX;
        movable.then(|| step.reserved())
    }

    /// Begins the best moves that do not share a worker.
    fn begin_moves(
        &mut self,
        proposals: &[Proposal],
        limit: usize,
        round: &PlacementRound,
        now: Now,
    ) {
        let mut busy = BTreeSet::new();
        let mut begun = 0;
        for proposal in proposals {
            if begun >= limit {
                break;
            }
            let Proposal {
                run,
                from,
                to,
                gain,
            } = *proposal;
            if busy.contains(&from) || busy.contains(&to) || !self.may_move(run, to, round, now) {
                continue;
            }
            busy.extend([from, to]);
            begun += 1;
            let to = round.candidates[to].id.clone();
            tracing::info!(task = %run.task, run = run.number, from = %round.candidates[from].id,
                %to, gain, "moving a long-running run to make room for short tasks");
            self.counts.defragmented += 1;
            let since = now.at;
            let started = Move {
                run: run.number,
                to,
                since,
            };
            self.defragmentation.moves.insert(run.task, started);
            self.request_stop(run, StopReason::Defragmented);
        }
    }

    fn may_move(&self, run: Run, to: usize, round: &PlacementRound, now: Now) -> bool {
        let Some((job, _)) = self.log_state.task(run.task) else {
            return false;
        };
        let Some(step) = job.step(run.task) else {
            return false;
        };
        let spread = if step.spread > 0 {
            candidates::count_runs_per_worker(self, run.task)
        } else {
            BTreeMap::new()
        };
        candidates::satisfies_constraints(&round.candidates[to], step, &spread)
            && self.may_be_unavailable(run, now)
    }

    /// Returns the worker that a task moves to, if the task fits there.
    pub(super) fn destination_of(
        &self,
        task: Task,
        needs: &Resources,
        round: &PlacementRound,
        now: Now,
    ) -> Option<Incarnation> {
        let to = self.defragmentation.destination(task, now.at)?;
        let mut candidates = round.candidates.iter();
        let there = candidates.find(|it| it.id == *to)?;
        there
            .has_capacity(&there.service, needs)
            .then(|| to.clone())
    }
}
