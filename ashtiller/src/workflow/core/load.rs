//! Keeps the load account up to date: usage as runs come and go, demand and capacity at each
//! placement round.

use crate::workflow::core::candidates::Candidate;
use crate::workflow::core::step_priority::WaitingStep;
use crate::workflow::core::{Core, Now};
use crate::workflow::job::Step;
use crate::workflow::live_run::{LiveRun, Stage};
use crate::workflow::load::account::{
    CapacityReading, DemandKey, LoadAccount, WaitingReading, WorkClass,
};
use crate::workflow::record::{End, Run};
use crate::workflow::state::JobState;

impl Core {
    /// Returns the demand for capacity and the capacity that is there for it.
    #[must_use]
    pub fn load(&self) -> &LoadAccount {
        &self.load
    }

    /// Returns the key under which the demand of a job's step is counted.
    pub(super) fn demand_key(&self, number: u32, job: &JobState, step: &Step) -> DemandKey {
        DemandKey {
            service: job.policy.service.clone(),
            queue: job.job.queue.clone(),
            origin: self.origin_of(number),
            class: WorkClass::of(step),
        }
    }

    /// Adds a run that may be active.
    pub(super) fn add_run(&mut self, run: Run, live: LiveRun) {
        if let Some((job, _)) = self.log_state.task(run.task)
            && let Some(step) = job.step(run.task)
        {
            let (key, needs) = (self.demand_key(run.task.job, job, step), step.needs);
            self.load.add_run(&key, &needs);
        }
        self.runs.insert(run, live);
    }

    /// Removes a run that has ended.
    pub(super) fn remove_run(&mut self, run: Run, end: End, now: Now) -> Option<LiveRun> {
        let live = self.runs.remove(&run)?;
        let job = self.log_state.jobs.get(&run.task.job);
        let is_open = job.is_some_and(|job| job.outcome.is_none());
        if is_open && matches!(live.stage, Stage::Started(_)) {
            self.started_jobs.insert(run.task.job);
        }
        if let Some((job, _)) = self.log_state.task(run.task)
            && let Some(step) = job.step(run.task)
        {
            let (key, needs) = (self.demand_key(run.task.job, job, step), step.needs);
            let work = match live.stage {
                Stage::Started(at) if end == End::Done => Some(now.at.saturating_sub(at)),
                _ => None,
            };
            self.load.remove_run(&key, &needs, work);
            let work = (end == End::Done).then(|| Self::work_of(step, 1));
            self.note_run_end(
                key,
                Self::processor_seconds(step, &live, end, now),
                work,
                now,
            );
        }
        Some(live)
    }

    /// Records the demand of the steps that wait.
    pub(super) fn read_waiting(&mut self, waiting: &[WaitingStep], now: Now) {
        let mut reading = WaitingReading::new();
        for pending in waiting {
            let job = &self.log_state.jobs[&pending.job];
            let step = &job.job.steps[usize::from(pending.step)];
            let state = &job.occurrences[&pending.occurrence].steps[usize::from(pending.step)];
            let usage = reading
                .entry(self.demand_key(pending.job, job, step))
                .or_default();
            usage.add(state.waiting, &step.needs);
        }
        self.load.set_waiting(reading, now.at);
    }

    /// Records the capacity of the workers that may get runs.
    pub(super) fn read_capacities(&mut self, fleet: &[Candidate], now: Now) {
        let mut reading = CapacityReading::new();
        for candidate in fleet {
            let capacity = reading.entry(candidate.service.clone()).or_default();
            capacity.workers += 1;
            capacity.total = capacity.total.plus(candidate.capacity());
            capacity.free = capacity.free.plus(&candidate.free);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "between 0 and the capacity"
            )]
            let idle = candidate.idle_processors() as u64;
            capacity.idle_processors += idle;
        }
        self.load.set_capacities(reading, now.at);
    }
}
