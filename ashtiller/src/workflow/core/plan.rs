//! Which waiting task goes to which worker.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::resources::Resources;
use crate::workflow::book::{JobState, Round, StepState};
use crate::workflow::core::{Core, Now};
use crate::workflow::fact::{Run, Task};
use crate::workflow::job::{Sharing, Step};
use crate::workflow::worker::Worker;

/// Objective within which a job that is late still earns something, as a factor.
const LATE: u32 = 3;
/// Share of a worker that its free room is worth against a failure there.
const FAILURE_COST: f64 = 1.0;
/// Cost of a run that fills on a worker, for a run that serves.
const FILL_COST: f64 = 0.5;
/// Cost of a run that serves on a worker, for a run of another image that serves.
const OTHER_COST: f64 = 2.0;
/// Worth of runs of the same image on a worker, for a run that serves.
const SAME_WORTH: f64 = 1.0;
/// Cost above which a run that fills waits rather than disturbs.
const FILL_MAX: f64 = 1.6;
/// Worth of a worker's fullness for a run that neither serves nor fills.
const PACK_COST: f64 = 0.3;

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

impl Core {
    /// Places what waits and fits.
    pub(super) fn plan(&mut self, now: Now) {
        let mut waiting = self.collect_waiting(now);
        waiting.sort_unstable();
        let mut refused: Vec<(Arc<str>, Resources)> = Vec::new();
        for entry in waiting {
            self.plan_step(entry, &mut refused, now);
        }
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

    fn plan_step(&mut self, entry: Waiting, refused: &mut Vec<(Arc<str>, Resources)>, now: Now) {
        let job = &self.book.jobs[&entry.job];
        let service = job.policy.service.clone();
        let step = job.job.steps[usize::from(entry.step)].clone();
        if step.gang {
            self.plan_gang(entry, &service, &step, now);
            return;
        }
        let free = step.label.is_none() && step.spread == 0;
        let room = step.room();
        let hopeless = |refused: &[(Arc<str>, Resources)]| {
            refused
                .iter()
                .any(|(other, least)| *other == service && least.fits(&room))
        };
        if hopeless(refused) {
            return;
        }
        for task in self.waiting_tasks(entry) {
            let Some(id) = self.choose(task, &service, &step, &BTreeSet::new(), now) else {
                if free {
                    refused.push((service, room));
                }
                return;
            };
            let number = self.next_run(task);
            self.place(Run { task, number }, &id, now);
        }
    }

    /// A gang is placed whole or not at all, under one number.
    fn plan_gang(&mut self, entry: Waiting, service: &Arc<str>, step: &Step, now: Now) {
        let tasks = self.waiting_tasks(entry);
        if tasks.len() < step.count as usize {
            return;
        }
        let racks: Vec<Option<Arc<str>>> = if step.one_rack {
            self.racks(service)
        } else {
            vec![None]
        };
        for rack in racks {
            let Some(chosen) = self.choose_gang(&tasks, service, step, rack.as_ref()) else {
                continue;
            };
            let number = tasks
                .iter()
                .map(|task| self.next_run(*task))
                .max()
                .unwrap_or(1);
            for (task, id) in tasks.iter().zip(&chosen) {
                self.place(
                    Run {
                        task: *task,
                        number,
                    },
                    id,
                    now,
                );
            }
            return;
        }
    }

    /// Racks of a service, those with most room first, and last no rack at all.
    fn racks(&self, service: &Arc<str>) -> Vec<Option<Arc<str>>> {
        let mut racks: BTreeSet<Arc<str>> = BTreeSet::new();
        for worker in self
            .workers
            .values()
            .filter(|worker| worker.listed.service == *service)
        {
            racks.extend(worker.listed.labels.iter().cloned());
        }
        racks.into_iter().map(Some).chain([None]).collect()
    }

    fn choose_gang(
        &self,
        tasks: &[Task],
        service: &Arc<str>,
        step: &Step,
        rack: Option<&Arc<str>>,
    ) -> Option<Vec<Arc<str>>> {
        let mut free: Vec<(Arc<str>, Resources, u32)> = self
            .workers
            .values()
            .filter(|worker| self.is_open(worker, service))
            .filter(|worker| rack.is_none_or(|rack| worker.has_label(rack)))
            .filter(|worker| {
                step.label
                    .as_ref()
                    .is_none_or(|label| worker.has_label(label))
            })
            .map(|worker| (worker.id().clone(), worker.pool.free(), 0))
            .collect();
        let room = step.room();
        let mut chosen = Vec::new();
        for _ in tasks {
            let best = free
                .iter_mut()
                .filter(|(_, left, here)| {
                    room.fits(left) && (step.spread == 0 || *here < step.spread)
                })
                .max_by_key(|(_, left, _)| left.processors)?;
            best.1 = best.1.minus(&room);
            best.2 += 1;
            chosen.push(best.0.clone());
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

    fn next_run(&self, task: Task) -> u32 {
        self.book.task(task).map_or(1, |(_, state)| state.last + 1)
    }

    /// Whether a worker may get something now.
    fn is_open(&self, worker: &Worker, service: &Arc<str>) -> bool {
        worker.listed.service == *service
            && worker.fenced
            && worker.answers
            && worker.draining.is_none()
            && worker.absent.is_none_or(|since| self.is_just_back(since))
    }

    /// After the store was away, workers may be listed again a little later.
    fn is_just_back(&self, since: Duration) -> bool {
        self.returned.is_some_and(|back| {
            since < back + self.terms.relist && since + self.terms.relist > back
        })
    }

    /// Finds the best worker for a task.
    pub(super) fn choose(
        &self,
        task: Task,
        service: &Arc<str>,
        step: &Step,
        except: &BTreeSet<Arc<str>>,
        now: Now,
    ) -> Option<Arc<str>> {
        let room = step.room();
        let (job, state) = self.book.task(task)?;
        let steps = &job.rounds.get(&task.time)?.steps[usize::from(task.step)];
        let mut best: Option<(f64, &Worker)> = None;
        for worker in self.workers.values() {
            if !self.is_open(worker, service)
                || !worker.pool.grants(&room)
                || except.contains(worker.id())
                || is_shut(worker, now)
                || !step
                    .label
                    .as_ref()
                    .is_none_or(|label| worker.has_label(label))
                || (step.spread > 0 && count_on(steps, worker.id()) >= step.spread)
            {
                continue;
            }
            let mut cost = self.cost(worker, step, &room);
            if state.failed_on.contains(worker.id()) {
                cost += FAILURE_COST * 4.0;
            }
            if step.fills() && cost > FILL_MAX {
                continue;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, worker));
            }
        }
        best.map(|(_, worker)| worker.id().clone())
    }

    /// Runs on a worker that serve: those of this image, and others.
    fn count_images(&self, worker: &Worker, image: Option<&Arc<str>>) -> (u32, u32) {
        let mut counts = (0, 0);
        for run in &worker.runs {
            let Some(step) = self
                .book
                .task(run.task)
                .and_then(|(job, _)| job.step(run.task))
            else {
                continue;
            };
            if step.target().is_some() {
                let same = step.image.as_ref() == image;
                counts.0 += u32::from(same);
                counts.1 += u32::from(!same);
            }
        }
        counts
    }

    /// What placing a run on a worker costs, for comparison among workers.
    fn cost(&self, worker: &Worker, step: &Step, room: &Resources) -> f64 {
        let mut cost = FAILURE_COST * f64::from(worker.failures());
        if step
            .rack
            .as_ref()
            .is_some_and(|rack| !worker.has_label(rack))
        {
            cost += self.terms.far;
        }
        let used = worker.pool.taken().plus(room).share_of(worker.pool.whole());
        match step.sharing {
            Sharing::Fills => {
                let image = step.image.clone().unwrap_or_default();
                cost += self.fill_cost(worker, &image, step.needs.processors);
            }
            // Services of one image on a worker bear the same fills; full workers leave
            // others free.
            Sharing::Serves(_) => {
                let (same, other) = self.count_images(worker, step.image.as_ref());
                let fills = f64::from(worker.filling.min(4));
                cost += FILL_COST * fills + OTHER_COST * f64::from(other) - used;
                cost -= if same > 0 { SAME_WORTH } else { 0.0 };
            }
            Sharing::Apart => cost -= PACK_COST * used,
        }
        cost
    }
}

/// Whether a worker was put aside, or is on trial and busy with its trial.
fn is_shut(worker: &Worker, now: Now) -> bool {
    match worker.aside {
        Some(until) if until > now.at => true,
        _ => worker.on_trial() && !worker.runs.is_empty(),
    }
}

fn count_on(steps: &StepState, id: &str) -> u32 {
    let live = steps.tasks.iter().flat_map(|task| &task.live);
    live.filter(|live| *live.worker == *id).map(|_| 1).sum()
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
    let due = job.job.schedule.map_or(job.accepted, |it| it.due(time));
    let longest = chains.iter().max().copied().unwrap_or_default();
    let objective = longest.mul_f64(job.policy.extension) + job.policy.target;
    for (step, (state, chain)) in (0..).zip(round.steps.iter().zip(&chains)) {
        let asked = &job.job.steps[usize::from(step)];
        if state.waiting == 0 || !round.may_begin(asked) {
            continue;
        }
        let (late, slack) = lateness(due, objective, *chain, now);
        let urgency = Urgency {
            // A lasting task earns for as long as it runs.
            late: if asked.lasting { 0 } else { late },
            priority: job.policy.priority,
            slack,
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
        (false, false) => 2,
    };
    (class, slack)
}
