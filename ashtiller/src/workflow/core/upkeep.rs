//! Waves of upkeep: workers are emptied, then their machines go, a few at a time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::failure::Failure;
use crate::workflow::core::{Core, Effect, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::live_run::{Stage, Stop, StopReason};
use crate::workflow::machines::{Done, MachineOrder, Wave};
use crate::workflow::record::{LogRecord, Run, Task};
use crate::workflow::worker::Worker;

/// Time after which a machine that no worker was ever seen of counts as gone.
const UNKNOWN: Duration = Duration::from_secs(8);
/// Pause before an order to a machine is given again.
const RETRY: Duration = Duration::from_millis(400);
/// Part of a machine's share of the wave's time after which its runs are stopped.
const PATIENCE: f64 = 0.35;
/// Longest time that a worker is emptied by waiting for its runs to end.
const EMPTY_MAX: Duration = Duration::from_secs(6);

/// Longest time for which a worker is held while a task that is away keeps it from being
/// emptied: the platform asks for a lasting task within 9 s of its last run, and a worker
/// that is kept for one elsewhere leaves room within some 5 s.
const BLOCKED_MAX: Duration = Duration::from_secs(6);
/// Time for which such a worker is then left alone: twice what its tasks lost.
const REST: Duration = Duration::from_secs(12);

/// Time after a confirmed upkeep in which its worker is not looked at: what runs there ends
/// at once, and a new life comes 2 s later by the platform's sheets. Until then a look would
/// be in vain, and afterwards an answer shows that nothing ended.
const SETTLE: Duration = Duration::from_secs(3);

/// How far the upkeep of one machine has come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// Its worker gets nothing new, since then.
    Emptying {
        since: Duration,
        /// Since when nothing there may be stopped.
        blocked: Option<Duration>,
    },
    /// Its worker could not be emptied; it gets runs until then.
    Resting(Duration),
    /// The order is under way.
    Ordered,
    /// The order was not taken; it is given again then.
    Again(Duration),
    /// It is away until a worker of it answers.
    Away,
}

/// How far a worker is emptied.
enum Emptied {
    /// Nothing runs there.
    Whole,
    /// Runs end by themselves, or are being stopped.
    Partly,
    /// A run may not be stopped while others of its step are away.
    Blocked,
}

/// A wave that is not over.
#[derive(Clone, Debug)]
pub struct WaveProgress {
    wave: Wave,
    seen: Duration,
    steps: BTreeMap<Arc<str>, Step>,
}

impl Step {
    /// Whether the machine counts among those that may be away at once.
    fn is_turn(&self) -> bool {
        !matches!(self, Self::Resting(_))
    }
}

impl Wave {
    /// Time after which runs on a worker that is emptied are stopped.
    fn patience(&self) -> Duration {
        let turns = self.machines.len().div_ceil(self.most.max(1) as usize);
        let share = self.duration / u32::try_from(turns.max(1)).unwrap_or(u32::MAX);
        share.mul_f64(PATIENCE).min(EMPTY_MAX)
    }
}

/// Gives a worker that cannot be emptied back to those who wait, sooner or later.
fn keep_or_rest(since: Duration, blocked: Duration, now: Now) -> Step {
    if now.at >= blocked + BLOCKED_MAX {
        return Step::Resting(now.at + REST);
    }
    Step::Emptying {
        since,
        blocked: Some(blocked),
    }
}

impl Core {
    /// An operator asks for a wave.
    pub fn set_wave(&mut self, wave: Wave, now: Now) {
        if self.log_state.waves_over.contains(&wave.number) {
            return;
        }
        let going = self.waves.entry(wave.number);
        going.or_insert_with(|| {
            tracing::info!(
                wave = wave.number,
                machines = wave.machines.len(),
                most = wave.most,
                "wave of upkeep"
            );
            WaveProgress {
                wave,
                seen: now.at,
                steps: BTreeMap::new(),
            }
        });
    }

    /// Waves that an operator asked for and that are not over, with those that are.
    #[must_use]
    pub fn wave_states(&self) -> BTreeMap<u64, bool> {
        let over = self
            .log_state
            .waves_over
            .iter()
            .map(|number| (*number, true));
        let going = self.waves.keys().map(|number| (*number, false));
        over.chain(going).collect()
    }

    /// Goes on with the waves, once earlier owners' orders are too old to mix with.
    pub(super) fn drive_waves(&mut self, now: Now) {
        // A former owner that has not learned of this one may order for half a turn.
        if now.at < self.began + self.terms.turn * 2 {
            return;
        }
        for number in self.waves.keys().copied().collect::<Vec<u64>>() {
            let Some(mut going) = self.waves.remove(&number) else {
                continue;
            };
            self.drive_wave(&mut going, now);
            if self.is_over(&going, now) {
                tracing::info!(wave = number, "wave of upkeep is over");
                self.record(LogRecord::WaveOver(number), now);
            } else {
                self.waves.insert(number, going);
            }
        }
    }

    fn worker_of(&self, machine: &str) -> Option<Incarnation> {
        let mut lives = self.workers.values().filter(|worker| {
            worker.listed.machine.as_deref() == Some(machine) && worker.absent.is_none()
        });
        lives.next().map(|worker| worker.incarnation().clone())
    }

    /// Whether a worker gets nothing as its machine has its turn in a wave. This follows from
    /// the wave, so that whichever way the turn ends opens the worker again, and an order that
    /// is given again ends nothing on a new life if the earlier one was in vain.
    pub(super) fn is_closed_for_upkeep(&self, worker: &Worker) -> bool {
        if worker.doubted.is_some() {
            return true;
        }
        let Some(machine) = &worker.listed.machine else {
            return false;
        };
        let mut steps = self.waves.values().map(|going| going.steps.get(machine));
        steps.any(|step| step.is_some_and(Step::is_turn))
    }

    fn is_upkept(&self, number: u64, machine: &Arc<str>) -> bool {
        self.log_state.upkept.contains(&(number, machine.clone()))
    }

    fn is_over(&self, going: &WaveProgress, now: Now) -> bool {
        going.wave.machines.iter().all(|machine| {
            let gone = self.worker_of(machine).is_none() && now.at > going.seen + UNKNOWN;
            self.is_upkept(going.wave.number, machine)
                || (gone && !going.steps.contains_key(machine))
        })
    }

    fn drive_wave(&mut self, going: &mut WaveProgress, now: Now) {
        for machine in going.wave.machines.clone() {
            if let Some(step) = going.steps.get(&machine).copied() {
                self.drive_machine(going, &machine, step, now);
            }
        }
        let room = going.wave.most as usize;
        for machine in going.wave.machines.clone() {
            let busy = going.steps.values().filter(|step| step.is_turn());
            if busy.count() >= room {
                return;
            }
            let done = self.is_upkept(going.wave.number, &machine);
            if done || going.steps.contains_key(&machine) {
                continue;
            }
            let worker = self.worker_of(&machine);
            if worker.is_some_and(|id| !self.is_blocked(&id, now)) {
                let (since, blocked) = (now.at, None);
                going
                    .steps
                    .insert(machine, Step::Emptying { since, blocked });
            }
        }
    }

    fn drive_machine(
        &mut self,
        going: &mut WaveProgress,
        machine: &Arc<str>,
        step: Step,
        now: Now,
    ) {
        match step {
            Step::Emptying { since, blocked } => {
                let Some(id) = self.worker_of(machine) else {
                    going.steps.remove(machine);
                    return;
                };
                let urge = now.at > since + going.wave.patience();
                let next = match self.empty_worker(&id, urge, now) {
                    Emptied::Whole => return self.order_upkeep(going, machine, now),
                    Emptied::Partly => Step::Emptying {
                        since,
                        blocked: None,
                    },
                    Emptied::Blocked => keep_or_rest(since, blocked.unwrap_or(now.at), now),
                };
                if matches!(next, Step::Resting(_)) {
                    tracing::info!(wave = going.wave.number, %machine, worker = %id,
                        "worker is not emptied: tasks that its runs wait for stay away");
                }
                going.steps.insert(machine.clone(), next);
            }
            Step::Resting(until) if now.at >= until => {
                going.steps.remove(machine);
            }
            Step::Again(at) if now.at >= at => self.order_upkeep(going, machine, now),
            Step::Away if self.is_back(machine) => {
                going.steps.remove(machine);
            }
            Step::Resting(_) | Step::Away | Step::Again(_) | Step::Ordered => {}
        }
    }

    /// Whether a worker of a machine has answered since its upkeep was confirmed: a new life,
    /// or the one that there was if the upkeep had been done before.
    fn is_back(&self, machine: &str) -> bool {
        let id = self.worker_of(machine);
        let worker = id.and_then(|id| self.workers.get(&id));
        worker.is_some_and(|worker| worker.fenced && worker.doubted.is_none())
    }

    /// The upkeep of a machine has ended its worker, unless it was done before.
    fn doubt_workers(&mut self, machine: &Arc<str>, now: Now) {
        let workers = self.workers.values_mut();
        for worker in workers.filter(|worker| worker.listed.machine.as_ref() == Some(machine)) {
            worker.doubted = Some(now.at + SETTLE);
        }
    }

    fn order_upkeep(&mut self, going: &mut WaveProgress, machine: &Arc<str>, now: Now) {
        if !self.may_renew(now) || self.proof_age(now) > self.terms.turn / 2 {
            return;
        }
        going.steps.insert(machine.clone(), Step::Ordered);
        let duty = MachineOrder::Upkeep(going.wave.number);
        self.effects.push(Effect::Duty(machine.clone(), duty));
    }

    /// Takes the answer to an order to a machine.
    pub fn handle_machine_reply(
        &mut self,
        machine: &Arc<str>,
        duty: &MachineOrder,
        done: Result<Done, Failure>,
        now: Now,
    ) {
        let MachineOrder::Upkeep(number) = duty else {
            return;
        };
        let Some(mut going) = self.waves.remove(number) else {
            return;
        };
        match done {
            Ok(Done::Yes) => {
                tracing::info!(wave = number, %machine, "machine has its upkeep");
                going.steps.insert(machine.clone(), Step::Away);
                self.record(LogRecord::Upkept(*number, machine.clone()), now);
                self.doubt_workers(machine, now);
            }
            Ok(Done::Busy) => {
                going
                    .steps
                    .insert(machine.clone(), Step::Again(now.at + RETRY));
            }
            Ok(Done::Fenced) => self.superseded = true,
            Ok(Done::Never) => {
                tracing::warn!(wave = number, %machine, "machine does not take the upkeep");
                going.steps.remove(machine);
                self.record(LogRecord::Upkept(*number, machine.clone()), now);
            }
            Err(failure) => {
                tracing::info!(wave = number, %machine, %failure, "upkeep not confirmed");
                going
                    .steps
                    .insert(machine.clone(), Step::Again(now.at + RETRY));
            }
        }
        self.waves.insert(*number, going);
    }

    /// Empties a worker: waits for what ends by itself, and stops the rest where its
    /// step can miss it.
    fn empty_worker(&mut self, id: &Incarnation, urge: bool, now: Now) -> Emptied {
        let Some(worker) = self.workers.get(id) else {
            return Emptied::Whole;
        };
        let runs: Vec<Run> = worker.runs.iter().copied().collect();
        for run in &runs {
            let Some((job, _)) = self.log_state.task(run.task) else {
                continue;
            };
            let step = job.step(run.task);
            let lasting = step.is_some_and(|step| step.long_running);
            if (lasting || urge) && self.may_be_unavailable(*run, now) {
                self.request_stop(*run, StopReason::Upkeep);
            }
        }
        match () {
            () if runs.is_empty() => Emptied::Whole,
            () if runs.iter().any(|run| self.is_stopping(*run)) => Emptied::Partly,
            () if self.is_blocked(id, now) => Emptied::Blocked,
            () => Emptied::Partly,
        }
    }

    /// Whether a lasting run on a worker may not be stopped now.
    fn is_blocked(&self, id: &Incarnation, now: Now) -> bool {
        let mut runs = self.workers.get(id).into_iter().flat_map(|it| &it.runs);
        runs.any(|run| {
            let task = self.log_state.task(run.task);
            let step = task.and_then(|(job, _)| job.step(run.task));
            step.is_some_and(|step| step.long_running) && !self.may_be_unavailable(*run, now)
        })
    }

    /// Whether a run's step can miss it besides those that are away.
    pub(super) fn may_be_unavailable(&self, run: Run, now: Now) -> bool {
        let job = self.log_state.jobs.get(&run.task.job);
        let most = job.and_then(|job| job.step(run.task)?.away_max);
        most.is_none_or(|most| self.count_away(run, now) < most)
    }

    /// Other tasks of a run's step that are not at work.
    fn count_away(&self, run: Run, now: Now) -> u32 {
        let Some((job, _)) = self.log_state.task(run.task) else {
            return 0;
        };
        let Some(round) = job.occurrences.get(&run.task.occurrence) else {
            return 0;
        };
        let tasks = &round.steps[usize::from(run.task.step)].tasks;
        let mut away = 0;
        for (index, state) in (0..).zip(tasks) {
            let task = Task { index, ..run.task };
            let at_work = state.live.iter().any(|live| {
                let run = Run {
                    task,
                    number: live.number,
                };
                self.runs.get(&run).is_some_and(|live| {
                    matches!(live.stage, Stage::Started(at) if at < now.at)
                        && live.stop == Stop::None
                        && live.percent >= 100
                })
            });
            away += u32::from(task != run.task && !at_work);
        }
        away
    }
}
