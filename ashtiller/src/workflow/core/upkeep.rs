//! Waves of machine upkeep: workers are drained, then their machines are taken down, a few at a
//! time.

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

/// Time after which a machine without any known worker counts as gone.
const UNKNOWN_MACHINE_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay before an order to a machine is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Fraction of a machine's share of the wave's duration after which its runs are stopped.
const DRAIN_WAIT_FRACTION: f64 = 0.35;
/// Longest time to wait for the runs on a worker to end by themselves.
const DRAIN_WAIT_MAX: Duration = Duration::from_secs(6);

/// Longest time for which a worker is closed while an unavailable task keeps it from being drained.
/// The platform requires a long-running task to run again within 9 s of its last run, and a worker
/// reserved for one elsewhere has freed its capacity within some 5 s.
const BLOCKED_MAX: Duration = Duration::from_secs(6);
/// How long such a worker is then left alone: twice the time that its tasks lost.
const REST_TIME: Duration = Duration::from_secs(12);

/// Time after a confirmed upkeep during which its worker is not polled. Its runs end at once, and a
/// new incarnation appears 2 s later according to the platform's documentation. A poll before that
/// is useless; a reply after it shows that nothing ended.
const REPLACEMENT_TIME: Duration = Duration::from_secs(3);

/// The progress of the upkeep of one machine.
#[derive(Clone, Copy, Debug, PartialEq)]
enum UpkeepStep {
    /// The worker has received nothing new since then.
    Draining {
        since: Duration,
        /// Since when no run there may be stopped.
        blocked: Option<Duration>,
    },
    /// The worker could not be drained, and receives runs until then.
    Resting(Duration),
    /// The order is in flight.
    Ordered,
    /// The order was not accepted, and is sent again at this time.
    RetryAt(Duration),
    /// The machine is down until a worker on it answers.
    Down,
}

/// The progress of draining a worker.
enum DrainProgress {
    /// Nothing runs there.
    Drained,
    /// Runs are ending by themselves or are being stopped.
    Pending,
    /// A run may not be stopped while others of its step are unavailable.
    Blocked,
}

/// A wave that is not over.
#[derive(Clone, Debug)]
pub struct WaveProgress {
    wave: Wave,
    seen: Duration,
    steps: BTreeMap<Arc<str>, UpkeepStep>,
}

impl UpkeepStep {
    /// Returns whether the machine counts toward the limit of machines taken down at once.
    fn counts_as_down(&self) -> bool {
        !matches!(self, Self::Resting(_))
    }
}

impl Wave {
    /// Returns the time after which the remaining runs on a worker being drained are stopped.
    fn drain_wait(&self) -> Duration {
        let turns = self.machines.len().div_ceil(self.most.max(1) as usize);
        let share = self.duration / u32::try_from(turns.max(1)).unwrap_or(u32::MAX);
        share.mul_f64(DRAIN_WAIT_FRACTION).min(DRAIN_WAIT_MAX)
    }
}

/// Returns the next step of a worker that cannot be drained: it reopens to waiting runs after
/// `BLOCKED_MAX`.
fn keep_draining_or_rest(since: Duration, blocked: Duration, now: Now) -> UpkeepStep {
    if now.at >= blocked + BLOCKED_MAX {
        return UpkeepStep::Resting(now.at + REST_TIME);
    }
    UpkeepStep::Draining {
        since,
        blocked: Some(blocked),
    }
}

impl Core {
    /// Starts a wave that an operator requested.
    pub fn set_wave(&mut self, wave: Wave, now: Now) {
        if self.log_state.waves_over.contains(&wave.number) {
            return;
        }
        let entry = self.waves.entry(wave.number);
        entry.or_insert_with(|| {
            tracing::info!(
                wave = wave.number,
                machines = wave.machines.len(),
                most = wave.most,
                "upkeep wave started"
            );
            WaveProgress {
                wave,
                seen: now.at,
                steps: BTreeMap::new(),
            }
        });
    }

    /// Returns the waves that an operator requested, each with whether it is over.
    #[must_use]
    pub fn wave_states(&self) -> BTreeMap<u64, bool> {
        let over = self
            .log_state
            .waves_over
            .iter()
            .map(|number| (*number, true));
        let active = self.waves.keys().map(|number| (*number, false));
        over.chain(active).collect()
    }

    /// Advances the waves once orders of earlier owners are too old to interfere.
    pub(super) fn advance_waves(&mut self, now: Now) {
        // A former owner that has not learned of this one may send orders for half a turn.
        if now.at < self.began + self.tuning.turn * 2 {
            return;
        }
        for number in self.waves.keys().copied().collect::<Vec<u64>>() {
            let Some(mut progress) = self.waves.remove(&number) else {
                continue;
            };
            self.advance_wave(&mut progress, now);
            if self.is_over(&progress, now) {
                tracing::info!(wave = number, "upkeep wave is over");
                self.record(LogRecord::WaveOver(number), now);
            } else {
                self.waves.insert(number, progress);
            }
        }
    }

    fn worker_of(&self, machine: &str) -> Option<Incarnation> {
        let mut incarnations = self.workers.values().filter(|worker| {
            worker.listed.machine.as_deref() == Some(machine) && worker.unlisted_since.is_none()
        });
        incarnations
            .next()
            .map(|worker| worker.incarnation().clone())
    }

    /// Returns whether a worker gets no runs because its machine has its turn in a wave. This is
    /// derived from the wave's state, so that the worker reopens however the turn ends. It also
    /// keeps a repeated order from ending runs on a new incarnation if the earlier order had no
    /// effect.
    pub(super) fn is_closed_for_upkeep(&self, worker: &Worker) -> bool {
        if worker.doubted.is_some() {
            return true;
        }
        let Some(machine) = &worker.listed.machine else {
            return false;
        };
        let mut steps = self
            .waves
            .values()
            .map(|progress| progress.steps.get(machine));
        steps.any(|step| step.is_some_and(UpkeepStep::counts_as_down))
    }

    fn is_upkept(&self, number: u64, machine: &Arc<str>) -> bool {
        self.log_state.upkept.contains(&(number, machine.clone()))
    }

    fn is_over(&self, progress: &WaveProgress, now: Now) -> bool {
        progress.wave.machines.iter().all(|machine| {
            let gone = self.worker_of(machine).is_none()
                && now.at > progress.seen + UNKNOWN_MACHINE_TIMEOUT;
            self.is_upkept(progress.wave.number, machine)
                || (gone && !progress.steps.contains_key(machine))
        })
    }

    fn advance_wave(&mut self, progress: &mut WaveProgress, now: Now) {
        for machine in progress.wave.machines.clone() {
            if let Some(step) = progress.steps.get(&machine).copied() {
                self.advance_machine(progress, &machine, step, now);
            }
        }
        let limit = progress.wave.most as usize;
        for machine in progress.wave.machines.clone() {
            let busy = progress.steps.values().filter(|step| step.counts_as_down());
            if busy.count() >= limit {
                return;
            }
            let done = self.is_upkept(progress.wave.number, &machine);
            if done || progress.steps.contains_key(&machine) {
                continue;
            }
            let worker = self.worker_of(&machine);
            if worker.is_some_and(|id| !self.is_blocked(&id, now)) {
                let (since, blocked) = (now.at, None);
                progress
                    .steps
                    .insert(machine, UpkeepStep::Draining { since, blocked });
            }
        }
    }

    fn advance_machine(
        &mut self,
        progress: &mut WaveProgress,
        machine: &Arc<str>,
        step: UpkeepStep,
        now: Now,
    ) {
        match step {
            UpkeepStep::Draining { since, blocked } => {
                let Some(id) = self.worker_of(machine) else {
                    progress.steps.remove(machine);
                    return;
                };
                let force_stop = now.at > since + progress.wave.drain_wait();
                let next = match self.drain_worker(&id, force_stop, now) {
                    DrainProgress::Drained => return self.order_upkeep(progress, machine, now),
                    DrainProgress::Pending => UpkeepStep::Draining {
                        since,
                        blocked: None,
                    },
                    DrainProgress::Blocked => {
                        keep_draining_or_rest(since, blocked.unwrap_or(now.at), now)
                    }
                };
                if matches!(next, UpkeepStep::Resting(_)) {
                    tracing::info!(wave = progress.wave.number, %machine, worker = %id,
                        "worker cannot be drained: other tasks of its steps stay unavailable");
                }
                progress.steps.insert(machine.clone(), next);
            }
            UpkeepStep::Resting(until) if now.at >= until => {
                progress.steps.remove(machine);
            }
            UpkeepStep::RetryAt(at) if now.at >= at => self.order_upkeep(progress, machine, now),
            UpkeepStep::Down if self.is_back(machine) => {
                progress.steps.remove(machine);
            }
            UpkeepStep::Resting(_)
            | UpkeepStep::Down
            | UpkeepStep::RetryAt(_)
            | UpkeepStep::Ordered => {}
        }
    }

    /// Returns whether a worker of a machine has answered since the upkeep was confirmed: a new
    /// incarnation, or the old one if the upkeep had been done before.
    fn is_back(&self, machine: &str) -> bool {
        let id = self.worker_of(machine);
        let worker = id.and_then(|id| self.workers.get(&id));
        worker.is_some_and(|worker| worker.fenced && worker.doubted.is_none())
    }

    /// Suspends the polls of a machine's workers after its upkeep, which ends them unless it was
    /// done before.
    fn suspend_polls(&mut self, machine: &Arc<str>, now: Now) {
        let workers = self.workers.values_mut();
        for worker in workers.filter(|worker| worker.listed.machine.as_ref() == Some(machine)) {
            worker.doubted = Some(now.at + REPLACEMENT_TIME);
        }
    }

    fn order_upkeep(&mut self, progress: &mut WaveProgress, machine: &Arc<str>, now: Now) {
        if !self.may_renew(now) || self.proof_age(now) > self.tuning.turn / 2 {
            return;
        }
        progress.steps.insert(machine.clone(), UpkeepStep::Ordered);
        let order = MachineOrder::Upkeep(progress.wave.number);
        self.effects
            .push(Effect::MachineOrder(machine.clone(), order));
    }

    /// Handles the reply to an order to a machine.
    pub fn handle_machine_reply(
        &mut self,
        machine: &Arc<str>,
        order: &MachineOrder,
        reply: Result<Done, Failure>,
        now: Now,
    ) {
        let MachineOrder::Upkeep(number) = order else {
            return;
        };
        let Some(mut progress) = self.waves.remove(number) else {
            return;
        };
        match reply {
            Ok(Done::Yes) => {
                tracing::info!(wave = number, %machine, "machine upkeep confirmed");
                progress.steps.insert(machine.clone(), UpkeepStep::Down);
                self.record(LogRecord::Upkept(*number, machine.clone()), now);
                self.suspend_polls(machine, now);
            }
            Ok(Done::Busy) => {
                progress
                    .steps
                    .insert(machine.clone(), UpkeepStep::RetryAt(now.at + RETRY_DELAY));
            }
            Ok(Done::Fenced) => self.superseded = true,
            Ok(Done::Never) => {
                tracing::warn!(wave = number, %machine, "machine does not accept the upkeep");
                progress.steps.remove(machine);
                self.record(LogRecord::Upkept(*number, machine.clone()), now);
            }
            Err(failure) => {
                tracing::info!(wave = number, %machine, %failure, "upkeep not confirmed");
                progress
                    .steps
                    .insert(machine.clone(), UpkeepStep::RetryAt(now.at + RETRY_DELAY));
            }
        }
        self.waves.insert(*number, progress);
    }

    /// Drains a worker: waits for runs that end by themselves, and stops the rest where their
    /// step's limit of unavailable tasks allows it.
    fn drain_worker(&mut self, id: &Incarnation, force_stop: bool, now: Now) -> DrainProgress {
        let Some(worker) = self.workers.get(id) else {
            return DrainProgress::Drained;
        };
        let runs: Vec<Run> = worker.runs.iter().copied().collect();
        for run in &runs {
            let Some((job, _)) = self.log_state.task(run.task) else {
                continue;
            };
            let step = job.step(run.task);
            let long_running = step.is_some_and(|step| step.long_running);
            if (long_running || force_stop) && self.may_be_unavailable(*run, now) {
                self.request_stop(*run, StopReason::Upkeep);
            }
        }
        match () {
            () if runs.is_empty() => DrainProgress::Drained,
            () if runs.iter().any(|run| self.is_stopping(*run)) => DrainProgress::Pending,
            () if self.is_blocked(id, now) => DrainProgress::Blocked,
            () => DrainProgress::Pending,
        }
    }

    /// Returns whether a long-running task on a worker may not be stopped now.
    fn is_blocked(&self, id: &Incarnation, now: Now) -> bool {
        let mut runs = self.workers.get(id).into_iter().flat_map(|it| &it.runs);
        runs.any(|run| {
            let task = self.log_state.task(run.task);
            let step = task.and_then(|(job, _)| job.step(run.task));
            step.is_some_and(|step| step.long_running) && !self.may_be_unavailable(*run, now)
        })
    }

    /// Returns whether a run's step may have one more unavailable task.
    pub(super) fn may_be_unavailable(&self, run: Run, now: Now) -> bool {
        let job = self.log_state.jobs.get(&run.task.job);
        let max = job.and_then(|job| job.step(run.task)?.away_max);
        max.is_none_or(|max| self.count_unavailable(run, now) < max)
    }

    /// Returns the number of other tasks of a run's step that are not ready.
    fn count_unavailable(&self, run: Run, now: Now) -> u32 {
        let Some((job, _)) = self.log_state.task(run.task) else {
            return 0;
        };
        let Some(occurrence) = job.occurrences.get(&run.task.occurrence) else {
            return 0;
        };
        let tasks = &occurrence.steps[usize::from(run.task.step)].tasks;
        let mut unavailable = 0;
        for (index, state) in (0..).zip(tasks) {
            let task = Task { index, ..run.task };
            let ready = state.live.iter().any(|live| {
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
            unavailable += u32::from(task != run.task && !ready);
        }
        unavailable
    }
}
