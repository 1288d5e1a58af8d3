//! Which waiting task goes to which worker.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::resources::Resources;
use crate::workflow::core::advice::StepKey;
use crate::workflow::core::fleet::{self, Candidate, Wish};
use crate::workflow::core::{Core, Now, share_of};
use crate::workflow::fact::{Run, Task};
use crate::workflow::job::Step;
use crate::workflow::live::{Reason, Share, Stop};
use crate::workflow::state::{JobState, Round};

/// Objective within which a job that is late still earns something, as a factor.
const LATE: u32 = 3;

/// Time for which there may be room for a lasting step while short ones are placed first.
/// The platform asks for its start within 3 s.
const PASSED_OVER: Duration = Duration::from_millis(1200);
/// Time without room after which that begins anew; room that a short run leaves is taken
/// again within a tenth of a second.
const ROOM_GAP: Duration = Duration::from_secs(1);
/// Time without room after which a lasting step gets a worker to itself.
const BLOCKED: Duration = Duration::from_secs(4);
/// Time between two steps that are too late to earn and go first all the same; one of
/// some ten tasks, which leaves nearly all room to those in time.
const RESCUE_PAUSE: Duration = Duration::from_secs(2);
/// Longest time for which a worker is kept; the short runs there end sooner.
const RESERVED_MAX: Duration = Duration::from_secs(4);
/// Time for which a run that fills is slowed down before it moves: one stuck task makes
/// its whole job late. Batch work earned 0.98 of its worth with moves and 0.92 without
/// (means over seeds of days of high load); 0.4 s and 1 s were alike.
const CROWDED: Duration = Duration::from_millis(400);
/// Progress up to which a run that keeps no checkpoints moves, in percent.
const LOSS_MAX: u32 = 20;

/// Class of what is too late to earn anything.
const TOO_LATE: u8 = 2;

/// How urgent a step is: jobs that can be on time first, then by priority, then by
/// the time that is left to begin.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Urgency {
    late: u8,
    priority: u32,
    slack: i64,
}

/// Tasks of one step of one time of a job that wait.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Waiting {
    urgency: Urgency,
    job: u32,
    time: u32,
    step: u16,
}

impl Waiting {
    fn key(&self) -> StepKey {
        (self.job, self.time, self.step)
    }

    /// Puts it first among its priority.
    fn hasten(&mut self) {
        self.urgency.late = 0;
        self.urgency.slack = i64::MIN;
    }
}

/// How long a lasting step has waited.
#[derive(Clone, Copy, Debug)]
pub(super) struct PassedOver {
    /// When it was first seen to wait.
    began: Duration,
    /// Since when there has been room for it, but for short gaps.
    since: Option<Duration>,
    /// When there was room last.
    last: Duration,
}

impl PassedOver {
    fn new(now: Duration) -> Self {
        Self {
            began: now,
            since: None,
            last: now,
        }
    }

    fn note(&mut self, has_room: bool, now: Duration) {
        if has_room {
            self.last = now;
            self.since.get_or_insert(now);
        } else if now >= self.last + ROOM_GAP {
            self.since = None;
        }
    }

    fn is_overdue(&self, now: Duration) -> bool {
        self.since.is_some_and(|since| now >= since + PASSED_OVER)
    }

    fn is_blocked(&self, now: Duration) -> bool {
        self.since.is_none() && now >= self.began + BLOCKED
    }
}

/// A worker that is kept for a lasting step.
#[derive(Clone, Debug)]
pub(super) struct Reserved {
    step: StepKey,
    worker: Arc<str>,
    since: Duration,
}

/// One round of placing.
struct Placing {
    fleet: Vec<Candidate>,
    /// Least rooms for which there was no worker.
    refused: Vec<(Arc<str>, Share, Resources)>,
    /// Worker that gets no short runs until a lasting one has room there.
    reserved: Option<Arc<str>>,
    /// A step that is too late and goes first in this round.
    rescued: Option<StepKey>,
}

impl Placing {
    /// Whether a task like this, or one that wants less, found no worker before.
    fn is_hopeless(&self, service: &Arc<str>, share: Share, room: &Resources) -> bool {
        self.refused
            .iter()
            .any(|(other, alike, least)| *other == *service && *alike == share && least.fits(room))
    }
}

impl Core {
    /// Places what waits and fits.
    pub(super) fn plan(&mut self, now: Now) {
        let mut waiting = self.collect_waiting(now);
        if !self.terms.switches.short_first {
            let lasting = waiting.iter_mut().filter(|entry| self.is_lasting(entry));
            lasting.for_each(Waiting::hasten);
        }
        let silent = self.collect_silent();
        let crowded = self.collect_crowded(now);
        if waiting.is_empty() && silent.is_empty() && crowded.is_empty() {
            return;
        }
        for entry in &waiting {
            self.ledger.note_ready(entry.key(), now.at);
        }
        let mut placing = Placing {
            fleet: self.build_fleet(now),
            refused: Vec::new(),
            reserved: None,
            rescued: None,
        };
        if self.terms.switches.room_in_time {
            self.hasten_lasting(&mut waiting, &mut placing, now);
            self.rescue_oldest(&mut waiting, &mut placing, now);
        }
        waiting.sort_unstable();
        for entry in waiting {
            self.plan_step(entry, &mut placing, now);
            if self.waiting_tasks(entry).is_empty() {
                self.ledger.note_placed(entry.key());
            }
        }
        for task in silent {
            self.place_copy(task, &mut placing, now);
        }
        for run in crowded {
            self.consider_move(run, &mut placing);
        }
    }

    /// A lasting step stands first when it begins to wait, and when there has been room for
    /// it all along: what is placed before it takes that room again and again. The one that
    /// waits longest without room gets a worker to itself until there is.
    fn hasten_lasting(&mut self, waiting: &mut [Waiting], placing: &mut Placing, now: Now) {
        let mut passed_over = std::mem::take(&mut self.passed_over);
        let keys: BTreeSet<StepKey> = waiting.iter().map(Waiting::key).collect();
        passed_over.retain(|key, _| keys.contains(key));
        for entry in waiting.iter_mut().filter(|entry| self.is_lasting(entry)) {
            let new = !passed_over.contains_key(&entry.key());
            let passed = passed_over
                .entry(entry.key())
                .or_insert(PassedOver::new(now.at));
            passed.note(self.has_room(entry, &placing.fleet), now.at);
            if new || passed.is_overdue(now.at) {
                entry.hasten();
            }
        }
        self.passed_over = passed_over;
        placing.reserved = self.reserve(waiting, &placing.fleet, now);
    }

    /// Keeps a worker for the lasting step that has waited longest without room.
    fn reserve(
        &mut self,
        waiting: &mut [Waiting],
        fleet: &[Candidate],
        now: Now,
    ) -> Option<Arc<str>> {
        if let Some(kept) = self.reserved.take()
            && now.at < kept.since + RESERVED_MAX
            && let Some(entry) = waiting.iter_mut().find(|entry| entry.key() == kept.step)
        {
            let candidate = fleet.iter().find(|candidate| candidate.id == kept.worker);
            if candidate.is_some_and(|it| self.fits_step(entry, it)) {
                entry.hasten();
            }
            let worker = kept.worker.clone();
            self.reserved = Some(kept);
            return Some(worker);
        }
        let longest = waiting
            .iter()
            .filter_map(|entry| Some((self.passed_over.get(&entry.key())?, entry)))
            .filter(|(passed, _)| passed.is_blocked(now.at))
            .min_by_key(|(passed, _)| passed.began);
        let (_, entry) = longest?;
        let worker = self.find_emptying(entry)?;
        tracing::debug!(job = entry.job, %worker, "worker kept for a lasting task");
        self.reserved = Some(Reserved {
            step: entry.key(),
            worker: worker.clone(),
            since: now.at,
        });
        Some(worker)
    }

    fn fits_step(&self, entry: &Waiting, candidate: &Candidate) -> bool {
        let job = &self.book.jobs[&entry.job];
        let room = job.job.steps[usize::from(entry.step)].room();
        candidate.has_room(&job.policy.service, &room)
    }

    /// The worker on which short runs leave room soonest for a task of a step.
    fn find_emptying(&self, entry: &Waiting) -> Option<Arc<str>> {
        let job = &self.book.jobs[&entry.job];
        let room = job.job.steps[usize::from(entry.step)].room();
        let open = self
            .workers
            .values()
            .filter(|worker| worker.listed.service == job.policy.service && worker.answers);
        let emptying = open.filter_map(|worker| {
            let mut free = worker.pool.free();
            let mut short = 0;
            for run in &worker.runs {
                let step = self
                    .book
                    .task(run.task)
                    .and_then(|(job, _)| job.step(run.task));
                if let Some(step) = step.filter(|step| !step.lasting && !step.fills()) {
                    free = free.plus(&step.room());
                    short += 1;
                }
            }
            room.fits(&free).then_some((short, worker.id()))
        });
        emptying.min().map(|(_, id)| id.clone())
    }

    /// The oldest short step that is too late to earn anything goes first now and then, so
    /// that it still ends while newer ones keep coming.
    fn rescue_oldest(&mut self, waiting: &mut [Waiting], placing: &mut Placing, now: Now) {
        if now.at < self.rescued + RESCUE_PAUSE {
            return;
        }
        let late = waiting
            .iter_mut()
            .filter(|entry| entry.urgency.late == TOO_LATE && !self.is_lasting(entry));
        let Some(oldest) = late.min_by_key(|entry| (entry.job, entry.time)) else {
            return;
        };
        oldest.hasten();
        placing.rescued = Some(oldest.key());
        if placing.reserved.is_none() && !self.has_room(oldest, &placing.fleet) {
            placing.reserved = self.find_emptying(oldest);
        }
    }

    fn is_lasting(&self, entry: &Waiting) -> bool {
        self.book.jobs[&entry.job].job.steps[usize::from(entry.step)].lasting
    }

    /// Whether some worker has room for a task of a step.
    fn has_room(&self, entry: &Waiting, fleet: &[Candidate]) -> bool {
        fleet
            .iter()
            .any(|candidate| self.fits_step(entry, candidate))
    }

    /// Runs that fill and stand still for the services beside them.
    fn collect_crowded(&self, now: Now) -> Vec<Run> {
        if !self.terms.switches.move_fills {
            return Vec::new();
        }
        let crowded = self.runs.iter().filter(|(_, live)| {
            live.stop == Stop::None && live.slow.is_some_and(|since| now.at >= since + CROWDED)
        });
        crowded.map(|(run, _)| *run).collect()
    }

    /// Stops a run that stands still when there is a worker where it would go on.
    fn consider_move(&mut self, run: Run, placing: &mut Placing) {
        let Some((job, state)) = self.book.task(run.task) else {
            return;
        };
        let (service, spec) = (job.policy.service.clone(), job.job.clone());
        let step = &spec.steps[usize::from(run.task.step)];
        let Some(live) = self.runs.get(&run) else {
            return;
        };
        if job.policy.advice.is_some() || step.gang {
            return;
        }
        if !step.checkpoints && live.percent > LOSS_MAX {
            return;
        }
        let wish = Wish {
            service: &service,
            step,
            share: live.share,
            room: step.room(),
            failed_on: state.failed_on.clone(),
            spread: BTreeMap::new(),
            advised: None,
            barred: None,
        };
        if placing.is_hopeless(&service, live.share, &wish.room) {
            return;
        }
        let Some(place) = self.choose(&placing.fleet, &wish) else {
            placing
                .refused
                .push((service.clone(), live.share, wish.room));
            return;
        };
        if placing.fleet[place].id == live.worker {
            return;
        }
        tracing::debug!(task = %run.task, run = run.number, from = %live.worker, "run that stands still moves");
        placing.fleet[place].take(&wish, &self.interference);
        self.want_stop(run, Reason::Crowded);
    }

    /// Tasks that may have copies and whose only run is on a worker that says nothing.
    fn collect_silent(&self) -> Vec<Task> {
        let silent = self
            .workers
            .values()
            .filter(|worker| worker.fenced && !worker.answers);
        let runs = silent.flat_map(|worker| worker.runs.iter());
        let copied = runs.filter(|run| {
            self.book.task(run.task).is_some_and(|(job, task)| {
                let copies = job
                    .step(run.task)
                    .is_some_and(|step| step.copies && !step.gang);
                copies && job.outcome.is_none() && !task.done && task.live.len() == 1
            })
        });
        copied.map(|run| run.task).collect()
    }

    /// Starts a copy rather than wait for the lease of a worker that says nothing.
    fn place_copy(&mut self, task: Task, placing: &mut Placing, now: Now) {
        let Some((job, state)) = self.book.task(task) else {
            return;
        };
        if job.policy.advice.is_some() {
            return;
        }
        let (service, spec, failed_on) = (
            job.policy.service.clone(),
            job.job.clone(),
            state.failed_on.clone(),
        );
        let step = &spec.steps[usize::from(task.step)];
        let (share, _) = share_of(&mut self.interference, step);
        let wish = Wish {
            service: &service,
            step,
            share,
            room: step.room(),
            failed_on,
            spread: fleet::count_spread(self, task),
            advised: None,
            barred: None,
        };
        let Some(place) = self.choose(&placing.fleet, &wish) else {
            return;
        };
        let id = placing.fleet[place].id.clone();
        if !placing.fleet[place].take(&wish, &self.interference) {
            placing.fleet.swap_remove(place);
        }
        let number = self.next_run(task);
        tracing::info!(%task, run = number, worker = %id, "copy of a run whose worker does not answer");
        self.place(Run { task, number }, &id, None, now);
    }

    fn collect_waiting(&self, now: Now) -> Vec<Waiting> {
        let mut found = Vec::new();
        for number in self.book.open() {
            let job = &self.book.jobs[number];
            if job.outcome.is_some() {
                continue;
            }
            for (time, round) in &job.rounds {
                collect_round(&mut found, *number, *time, job, round, now);
            }
        }
        found
    }

    fn plan_step(&mut self, entry: Waiting, placing: &mut Placing, now: Now) {
        let job = &self.book.jobs[&entry.job];
        let (service, spec) = (job.policy.service.clone(), job.job.clone());
        let advice = job.policy.advice.is_some();
        let service = self.share_name(&service);
        let step = &spec.steps[usize::from(entry.step)];
        let (share, _) = share_of(&mut self.interference, step);
        let room = step.room();
        if placing.is_hopeless(&service, share, &room) {
            return;
        }
        let tasks = self.waiting_tasks(entry);
        let Some(first) = tasks.first().copied() else {
            return;
        };
        let tickets = advice.then(|| self.tickets(first, now));
        let rescued = placing.rescued == Some(entry.key());
        let mut wish = Wish {
            service: &service,
            step,
            share,
            room,
            failed_on: BTreeSet::new(),
            spread: BTreeMap::new(),
            advised: tickets.as_ref(),
            barred: placing
                .reserved
                .clone()
                .filter(|_| !step.lasting && !step.fills() && !rescued),
        };
        if step.gang {
            if !self.plan_gang(&tasks, &wish, placing, now) && advice {
                self.ask_advice(first, tasks.len(), &placing.fleet, &wish, now);
            }
            return;
        }
        let alike = step.label.is_none() && step.spread == 0 && !advice;
        if step.spread > 0 {
            wish.spread = fleet::count_spread(self, first);
        }
        for (done, task) in tasks.iter().enumerate() {
            let failed_on = self
                .book
                .task(*task)
                .map(|(_, state)| state.failed_on.clone());
            wish.failed_on = failed_on.unwrap_or_default();
            let Some(place) = self.choose(&placing.fleet, &wish) else {
                if alike {
                    placing.refused.push((service.clone(), share, room));
                }
                if advice {
                    self.ask_advice(first, tasks.len() - done, &placing.fleet, &wish, now);
                }
                return;
            };
            let id = placing.fleet[place].id.clone();
            if !placing.fleet[place].take(&wish, &self.interference) {
                placing.fleet.swap_remove(place);
            }
            if step.spread > 0 {
                *wish.spread.entry(id.clone()).or_insert(0) += 1;
            }
            let run = Run {
                task: *task,
                number: self.next_run(*task),
            };
            let ticket = tickets
                .as_ref()
                .and_then(|tickets| tickets.get(&id).cloned());
            self.place(run, &id, ticket, now);
            if rescued {
                self.rescued = now.at;
            }
        }
    }

    /// A gang is placed whole or not at all, under one number.
    fn plan_gang(
        &mut self,
        tasks: &[Task],
        wish: &Wish<'_>,
        placing: &mut Placing,
        now: Now,
    ) -> bool {
        if tasks.len() < wish.step.count as usize {
            return true;
        }
        let racks = if wish.step.one_rack {
            self.racks(wish.service)
        } else {
            vec![None]
        };
        for rack in racks {
            let Some(chosen) = self.choose_gang(tasks.len(), wish, &placing.fleet, rack.as_ref())
            else {
                continue;
            };
            let number = tasks
                .iter()
                .map(|task| self.next_run(*task))
                .max()
                .unwrap_or(1);
            for (task, place) in tasks.iter().zip(chosen) {
                let candidate = &mut placing.fleet[place];
                candidate.take(wish, &self.interference);
                let id = candidate.id.clone();
                let ticket = wish.advised.and_then(|tickets| tickets.get(&id).cloned());
                self.place(
                    Run {
                        task: *task,
                        number,
                    },
                    &id,
                    ticket,
                    now,
                );
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
        count: usize,
        wish: &Wish<'_>,
        fleet: &[Candidate],
        rack: Option<&Arc<str>>,
    ) -> Option<Vec<usize>> {
        let mut free: Vec<(usize, Resources, u32)> = fleet
            .iter()
            .enumerate()
            .filter(|(_, candidate)| self.suits(candidate, wish))
            .filter(|(_, candidate)| {
                let worker = self.workers.get(&candidate.id);
                rack.is_none_or(|rack| worker.is_some_and(|worker| worker.has_label(rack)))
            })
            .map(|(place, candidate)| (place, candidate.free, 0))
            .collect();
        let mut chosen = Vec::new();
        for _ in 0..count {
            let best = free
                .iter_mut()
                .filter(|(_, left, here)| {
                    wish.room.fits(left) && (wish.step.spread == 0 || *here < wish.step.spread)
                })
                .max_by_key(|(_, left, _)| left.processors)?;
            best.1 = best.1.minus(&wish.room);
            best.2 += 1;
            chosen.push(best.0);
        }
        Some(chosen)
    }

    fn waiting_tasks(&self, entry: Waiting) -> Vec<Task> {
        let job = &self.book.jobs[&entry.job];
        let state = &job.rounds[&entry.time].steps[usize::from(entry.step)];
        let tasks = (0..).zip(&state.tasks).filter(|(_, task)| task.waits());
        tasks
            .map(|(index, _)| Task {
                job: entry.job,
                time: entry.time,
                step: entry.step,
                index,
            })
            .collect()
    }

    /// How late the job of a task is already: 0 in time, 1 late, 2 too late to earn.
    pub(super) fn lateness_of(&self, task: Task, now: Now) -> u8 {
        let Some(job) = self.book.jobs.get(&task.job) else {
            return 0;
        };
        let (due, objective) = objective_of(job, task.time);
        lateness(due, objective, Duration::ZERO, now).0
    }

    fn next_run(&self, task: Task) -> u32 {
        self.book.task(task).map_or(1, |(_, state)| state.last + 1)
    }
}

/// When a job is due, and the time within which it is on time.
fn objective_of(job: &JobState, time: u32) -> (u64, Duration) {
    let due = job.job.schedule.map_or(job.accepted, |it| it.due(time));
    let longest = job.job.chains().into_iter().max().unwrap_or_default();
    (
        due,
        longest.mul_f64(job.policy.extension) + job.policy.target,
    )
}

fn collect_round(
    found: &mut Vec<Waiting>,
    number: u32,
    time: u32,
    job: &JobState,
    round: &Round,
    now: Now,
) {
    if round.steps.iter().all(|state| state.waiting == 0) {
        return;
    }
    let chains = job.job.chains();
    let (due, objective) = objective_of(job, time);
    for (step, (state, chain)) in (0..).zip(round.steps.iter().zip(&chains)) {
        let asked: &Step = &job.job.steps[usize::from(step)];
        if state.waiting == 0 || !round.may_begin(asked) {
            continue;
        }
        let (late, slack) = lateness(due, objective, *chain, now);
        let urgency = Urgency {
            late: if asked.lasting { TOO_LATE } else { late },
            priority: job.policy.priority,
            slack: if asked.lasting { i64::MAX } else { slack },
        };
        found.push(Waiting {
            urgency,
            job: number,
            time,
            step,
        });
    }
}

/// Class of lateness and milliseconds until the step must begin.
fn lateness(due: u64, objective: Duration, chain: Duration, now: Now) -> (u8, i64) {
    let millis = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX / 8);
    let spent = i64::try_from(now.wall.saturating_sub(due)).unwrap_or(i64::MAX / 8);
    let slack = millis(objective) - spent - millis(chain);
    let last = millis(objective * LATE) - spent - millis(chain);
    let class = match (slack >= 0, last >= 0) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => TOO_LATE,
    };
    (class, slack)
}
