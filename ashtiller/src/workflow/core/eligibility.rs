//! Whether a worker may get runs, and if not, why.

use std::collections::BTreeMap;
use std::fmt;

use crate::resources::Resources;
use crate::workflow::core::{Core, Now};
use crate::workflow::record::Run;
use crate::workflow::worker::Worker;

/// Whether a worker may get runs.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Eligibility {
    /// It may.
    Eligible,
    /// It has not answered under this owner's fence.
    Unfenced,
    /// Its last look was not answered.
    Silent,
    /// It has started again, and a call meant for the life before may still make it forget ends
    /// that nobody has read.
    MayLoseEnds,
    /// It is about to leave.
    Draining,
    /// Its availability zone is evacuated.
    Evacuated,
    /// It fails, stalls or is slow.
    Quarantined,
    /// It was put aside and has a run to show that it works again.
    Probation,
    /// It has a run that is suspected of crashing workers.
    RunsSuspect,
    /// It is emptied for an upkeep, or may have ended with one.
    UnderUpkeep,
    /// The platform does not list it.
    Unlisted,
}

impl Eligibility {
    /// Its name in logs, metrics and dumps.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Eligible => "open",
            Self::Unfenced => "unfenced",
            Self::Silent => "silent",
            Self::MayLoseEnds => "forgetful",
            Self::Draining => "draining",
            Self::Evacuated => "evacuated",
            Self::Quarantined => "aside",
            Self::Probation => "trial",
            Self::RunsSuspect => "tried",
            Self::UnderUpkeep => "held",
            Self::Unlisted => "unlisted",
        }
    }
}

/// Workers by gate, as text: `open 40, trial 2`.
pub(super) struct EligibilityCounts(BTreeMap<Eligibility, u32>);

impl fmt::Display for EligibilityCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut comma = "";
        for (gate, count) in &self.0 {
            write!(f, "{comma}{} {count}", gate.name())?;
            comma = ", ";
        }
        Ok(())
    }
}

impl Core {
    /// Whether a worker may get runs now.
    pub(super) fn eligibility(&self, worker: &Worker, now: Now) -> Eligibility {
        let aside = worker.quarantined_until.is_some_and(|until| until > now.at);
        match () {
            () if !worker.fenced => Eligibility::Unfenced,
            () if !worker.answers => Eligibility::Silent,
            () if worker.forgetful.is_some_and(|until| until > now.at) => Eligibility::MayLoseEnds,
            () if worker.draining.is_some() => Eligibility::Draining,
            () if !self.accepts_starts(worker, now) => Eligibility::Unlisted,
            () if self.is_evacuated(worker) => Eligibility::Evacuated,
            () if self.is_closed_for_upkeep(worker) => Eligibility::UnderUpkeep,
            () if aside => Eligibility::Quarantined,
            () if self.is_tried(worker, now) => Eligibility::Probation,
            () if self.has_trial(worker, now) => Eligibility::RunsSuspect,
            () => Eligibility::Eligible,
        }
    }

    /// Whether a run shows whether a worker that was put aside works again.
    fn is_tried(&self, worker: &Worker, now: Now) -> bool {
        worker.on_trial()
            && worker.runs.iter().any(|run| {
                let works = self.is_short(*run) && self.remaining_time(*run, now).is_some();
                let live = self.runs.get(run);
                live.is_some_and(|live| worker.is_trial(live.placed, works, now.at))
            })
    }

    pub(super) fn is_short(&self, run: Run) -> bool {
        let step = self
            .log_state
            .task(run.task)
            .and_then(|(job, _)| job.step(run.task));
        step.is_some_and(|step| !step.long_running)
    }

    /// Workers of one service, or of all, by gate.
    pub(super) fn count_by_eligibility(
        &self,
        service: Option<&str>,
        now: Now,
    ) -> EligibilityCounts {
        let mut gates = BTreeMap::new();
        let asked = |worker: &&Worker| service.is_none_or(|name| *worker.listed.service == *name);
        for worker in self.workers.values().filter(asked) {
            *gates.entry(self.eligibility(worker, now)).or_insert(0) += 1;
        }
        EligibilityCounts(gates)
    }

    /// Workers of a service that have room for a task and may not get it, by gate.
    pub(super) fn count_ineligible_with_capacity(
        &self,
        service: &str,
        room: &Resources,
        now: Now,
    ) -> EligibilityCounts {
        let mut gates = BTreeMap::new();
        let workers = self.workers.values();
        let roomy = workers.filter(|worker| {
            *worker.listed.service == *service && room.fits_within(&worker.pool.free())
        });
        for gate in roomy.map(|worker| self.eligibility(worker, now)) {
            if gate != Eligibility::Eligible {
                *gates.entry(gate).or_insert(0) += 1;
            }
        }
        EligibilityCounts(gates)
    }

    /// Workers by gate, for metrics.
    #[must_use]
    pub fn workers_by_eligibility(&self, now: Now) -> BTreeMap<Eligibility, u32> {
        self.count_by_eligibility(None, now).0
    }
}
