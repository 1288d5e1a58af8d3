//! Relief for runs that serve, from runs that fill beside them.

use std::sync::Arc;
use std::time::Duration;

use crate::workflow::core::{Core, Now};
use crate::workflow::fact::Run;
use crate::workflow::interference::{self, Beside};
use crate::workflow::live::Stop;
use crate::workflow::worker::Worker;

/// Share of use up to which what fills may bring a service: its tail is at 0.93 of
/// its target.
const LIMIT: f64 = 0.785;
/// Lower limit for a service that has been over its target for a while: what is known
/// of its pairs is too little.
const LIMIT_OVER: f64 = 0.62;
/// Time over the target after which the lower limit holds.
const OVER_SOON: Duration = Duration::from_millis(600);
/// Time over the target after which all that fills beside it stands still; the
/// platform allows 4 s, and an order may go unanswered.
const STILL_AFTER: Duration = Duration::from_millis(1500);
/// Share of use that a service should keep free when a fill is placed beside it.
const GOAL: f64 = 0.70;
/// Least change of a pace that is worth an order, in percent.
const STEP: u32 = 12;

fn limit_after(over: Duration) -> f64 {
    if over > OVER_SOON { LIMIT_OVER } else { LIMIT }
}

/// A run that serves, as its worker last reported it.
struct Service {
    image: Arc<str>,
    used: f64,
    tail: f64,
}

impl Core {
    /// Learns from a worker's report, slows what fills beside a run that is near its
    /// target, and lets it go faster when all that serves is well under.
    pub(super) fn pace_worker(&mut self, id: &str, now: Now) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.serving == 0 && worker.filling == 0 {
            return;
        }
        let services = self.services_of(worker);
        let beside = self.fills_of(worker);
        let fresh = worker.settled < now.at;
        if fresh {
            for service in &services {
                self.interference
                    .learn(&service.image, service.used, &beside);
            }
        }
        if beside.is_empty() {
            return;
        }
        let over = services.iter().any(|service| service.tail > 1.0);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.over = if over {
            worker.over.or(Some(now.at))
        } else {
            None
        };
        let over = worker
            .over
            .map_or(Duration::ZERO, |since| now.at.saturating_sub(since));
        if fresh || services.is_empty() {
            self.choose_paces(id, &services, over, now);
        }
    }

    fn services_of(&self, worker: &Worker) -> Vec<Service> {
        let served = worker.runs.iter().filter_map(|run| {
            let (job, _) = self.book.task(run.task)?;
            let step = job.step(run.task)?;
            let target = step.target()?;
            let tail = Duration::from_millis(self.runs.get(run)?.tail.filter(|tail| *tail > 0)?);
            let tail = tail.as_secs_f64() / target.as_secs_f64().max(0.001);
            Some(Service {
                image: step.image.clone().unwrap_or_default(),
                used: interference::use_of(tail),
                tail,
            })
        });
        served.collect()
    }

    fn fill_runs(&self, worker: &Worker) -> Vec<(Run, Beside)> {
        let whole = processors(worker.pool.whole().processors);
        let fills = worker.runs.iter().filter_map(|run| {
            let (job, _) = self.book.task(run.task)?;
            let step = job.step(run.task).filter(|step| step.fills())?;
            let live = self.runs.get(run)?;
            let asked = processors(step.needs.processors) * f64::from(live.pace) / 100.0;
            let beside = Beside {
                image: step.image.clone().unwrap_or_default(),
                share: asked / whole.max(1.0),
            };
            Some((*run, beside))
        });
        fills.collect()
    }

    fn fills_of(&self, worker: &Worker) -> Vec<Beside> {
        self.fill_runs(worker)
            .into_iter()
            .map(|(_, beside)| beside)
            .collect()
    }

    /// Chooses the pace of each fill anew: all work in full, less what the services
    /// cannot bear by what is known of the pairs, the most harmful first.
    fn choose_paces(&mut self, id: &str, services: &[Service], over: Duration, now: Now) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let limit = limit_after(over);
        let fills = self.fill_runs(worker);
        let present: Vec<Beside> = fills.iter().map(|(_, beside)| beside.clone()).collect();
        let whole = processors(worker.pool.whole().processors).max(1.0);
        let mut loads: Vec<f64> = Vec::new();
        for service in services {
            let own = service.used - self.interference.pressure(&service.image, &present);
            loads.push(own.clamp(0.0, 1.0));
        }
        let mut plan: Vec<(Run, Arc<str>, f64, f64)> = fills
            .iter()
            .map(|(run, beside)| {
                let step = self
                    .book
                    .task(run.task)
                    .and_then(|(job, _)| job.step(run.task));
                let full = step.map_or(0.0, |step| processors(step.needs.processors)) / whole;
                (*run, beside.image.clone(), full, 1.0)
            })
            .collect();
        for (service, own) in services.iter().zip(&loads) {
            let used = |plan: &[(Run, Arc<str>, f64, f64)]| {
                let added = plan.iter().map(|(_, image, full, pace)| {
                    self.interference.factor(&service.image, image) * full * pace
                });
                own + added.sum::<f64>()
            };
            let mut excess = used(&plan) - limit;
            let mut order: Vec<usize> = (0..plan.len()).collect();
            let factor = |at: &usize| self.interference.factor(&service.image, &plan[*at].1);
            order.sort_by(|one, two| factor(two).total_cmp(&factor(one)));
            for at in order {
                if excess <= 0.0 {
                    break;
                }
                let harm = self.interference.factor(&service.image, &plan[at].1) * plan[at].2;
                let cut = (excess / harm.max(1e-6)).min(plan[at].3);
                plan[at].3 -= cut;
                excess -= cut * harm;
            }
        }
        let still = over > STILL_AFTER;
        for (run, _, _, pace) in plan {
            let goal = if still { 0 } else { percent(pace * 100.0) };
            self.set_pace(run, goal, now);
        }
    }

    fn set_pace(&mut self, run: Run, goal: u32, now: Now) {
        let delay = self.terms.pace_delay;
        let Some(live) = self.runs.get_mut(&run) else {
            return;
        };
        let small = live.pace_goal.abs_diff(goal) < STEP && goal > 0 && goal < 100;
        if live.stop != Stop::None || live.pace_goal == goal || small {
            return;
        }
        tracing::debug!(task = %run.task, run = run.number, worker = %live.worker, from = live.pace_goal, to = goal, "pace changed");
        live.pace_goal = goal;
        let id = live.worker.clone();
        if let Some(worker) = self.workers.get_mut(&id) {
            // Reports are averages over half a second: older ones say nothing of it.
            worker.settled = now.at + delay + self.terms.report / 2;
        }
    }

    /// What a run that fills would add to the services of a worker, beyond what they
    /// can bear, and the share of its processors that it would get.
    pub(super) fn fill_cost(&self, worker: &Worker, image: &Arc<str>, needs: u64) -> f64 {
        let whole = processors(worker.pool.whole().processors).max(1.0);
        let share = processors(needs) / whole;
        let mut beside = self.fills_of(worker);
        beside.push(Beside {
            image: image.clone(),
            share,
        });
        let mut harm = 0.0;
        let mut loads = 0.0;
        for run in &worker.runs {
            let Some((job, _)) = self.book.task(run.task) else {
                continue;
            };
            let Some(step) = job.step(run.task) else {
                continue;
            };
            match step.target() {
                Some(target) => {
                    let serves = step.image.clone().unwrap_or_default();
                    let own = self.own_load(*run, &serves, target, &beside);
                    let used = own + self.interference.pressure(&serves, &beside);
                    harm += (used - GOAL).max(0.0)
                        + self.interference.factor(&serves, image) * share * 0.2;
                    loads += processors(step.needs.processors) * own;
                }
                None if !step.fills() => loads += processors(step.needs.processors),
                None => {}
            }
        }
        let free = (whole - loads).max(whole * 0.02);
        let crowd = (processors(worker.filled) + processors(needs)) / free;
        harm * HARM_COST + (crowd - 1.0).max(0.0) + crowd * 0.1
    }

    /// Share of use of a service by its own load: the larger of its image's usual one
    /// and what its last report leaves unexplained.
    fn own_load(&self, run: Run, image: &Arc<str>, target: Duration, beside: &[Beside]) -> f64 {
        let usual = self.interference.load(image);
        let tail = self
            .runs
            .get(&run)
            .and_then(|live| live.tail)
            .filter(|tail| *tail > 0);
        let Some(tail) = tail else {
            return usual;
        };
        let tail = Duration::from_millis(tail).as_secs_f64() / target.as_secs_f64().max(0.001);
        let present = &beside[..beside.len().saturating_sub(1)];
        let left = interference::use_of(tail) - self.interference.pressure(image, present);
        // Loads swing by half within some seconds.
        usual.max(left.clamp(0.0, 1.0))
    }
}

/// Cost of one unit of use beyond a service's goal, in units of a run's slowdown: a
/// service over its target loses four times what it earns.
const HARM_COST: f64 = 20.0;

#[expect(
    clippy::cast_precision_loss,
    reason = "a share needs no more than 52 bits"
)]
fn processors(thousandths: u64) -> f64 {
    thousandths as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "between 0 and 100"
)]
fn percent(value: f64) -> u32 {
    value.clamp(0.0, 100.0).floor() as u32
}
