//! Eligibility of workers for new runs, with the reason if there is none.

use std::collections::BTreeMap;
use std::fmt;

use crate::resources::Resources;
use crate::workflow::core::{Core, Now};
use crate::workflow::record::Run;
use crate::workflow::worker::Worker;

/// Eligibility of a worker for new runs.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Eligibility {
    /// It may get runs.
    Eligible,
    /// It has not answered a message with this owner's fence.
    Unfenced,
    /// It has not answered the last poll.
    Silent,
    /// It has restarted, and a delayed call meant for its previous incarnation may still
    /// acknowledge, and so discard, ends of runs that no owner has read.
    MayLoseEnds,
    /// It is draining and about to leave the fleet.
    Draining,
    /// Its availability zone is being evacuated.
    Evacuated,
    /// It is quarantined because it fails, stalls or is slow.
    Quarantined,
    /// It was quarantined and has a run that is to show whether it works again.
    Probation,
    /// It has an isolated run of a task that is suspected of crashing workers.
    RunsSuspect,
    /// It is drained for an upkeep of its machine, or may have ended in one.
    UnderUpkeep,
    /// The platform does not list it.
    Unlisted,
}

impl Eligibility {
    /// Returns the name used in logs, metrics and dumps.
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

/// Number of workers by eligibility. Its text form is `open 40, trial 2`.
pub(super) struct EligibilityCounts(BTreeMap<Eligibility, u32>);

impl fmt::Display for EligibilityCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut comma = "";
        for (eligibility, count) in &self.0 {
            write!(f, "{comma}{} {count}", eligibility.name())?;
            comma = ", ";
        }
        Ok(())
    }
}

impl Core {
    /// Returns whether a worker may get runs now, or the first reason against it.
    pub(super) fn eligibility(&self, worker: &Worker, now: Now) -> Eligibility {
        let quarantined = worker.quarantined_until.is_some_and(|until| until > now.at);
        match () {
            () if !worker.fenced => Eligibility::Unfenced,
            () if !worker.answers => Eligibility::Silent,
            () if worker.stale_ack_until.is_some_and(|until| until > now.at) => {
                Eligibility::MayLoseEnds
            }
            () if worker.draining_since.is_some() => Eligibility::Draining,
            () if !self.accepts_starts(worker, now) => Eligibility::Unlisted,
            () if self.is_evacuated(worker) => Eligibility::Evacuated,
            () if self.is_closed_for_upkeep(worker) => Eligibility::UnderUpkeep,
            () if quarantined => Eligibility::Quarantined,
            () if self.has_probation_run(worker, now) => Eligibility::Probation,
            () if self.has_trial(worker, now) => Eligibility::RunsSuspect,
            () => Eligibility::Eligible,
        }
    }

    /// Returns whether a worker that was quarantined has a run that is to show whether it works.
    fn has_probation_run(&self, worker: &Worker, now: Now) -> bool {
        worker.on_probation()
            && worker.runs.iter().any(|run| {
                let progresses = self.is_short(*run) && self.remaining_time(*run, now).is_some();
                let live = self.runs.get(run);
                live.is_some_and(|live| worker.is_probation_run(live.placed, progresses, now.at))
            })
    }

    pub(super) fn is_short(&self, run: Run) -> bool {
        let step = self
            .log_state
            .task(run.task)
            .and_then(|(job, _)| job.step(run.task));
        step.is_some_and(|step| !step.long_running)
    }

    /// Counts the workers of one service, or of all, by eligibility.
    pub(super) fn count_by_eligibility(
        &self,
        service: Option<&str>,
        now: Now,
    ) -> EligibilityCounts {
        let mut counts = BTreeMap::new();
        let matches = |worker: &&Worker| service.is_none_or(|name| *worker.listed.service == *name);
        for worker in self.workers.values().filter(matches) {
            *counts.entry(self.eligibility(worker, now)).or_insert(0) += 1;
        }
        EligibilityCounts(counts)
    }

    /// Counts the workers of a service that have capacity for a task but may not get runs.
    pub(super) fn count_ineligible_with_capacity(
        &self,
        service: &str,
        resources: &Resources,
        now: Now,
    ) -> EligibilityCounts {
        let mut counts = BTreeMap::new();
        let workers = self.workers.values();
        let with_capacity = workers.filter(|worker| {
            *worker.listed.service == *service && resources.fits_within(&worker.pool.free())
        });
        for eligibility in with_capacity.map(|worker| self.eligibility(worker, now)) {
            if eligibility != Eligibility::Eligible {
                *counts.entry(eligibility).or_insert(0) += 1;
            }
        }
        EligibilityCounts(counts)
    }

    /// Returns the number of workers by eligibility, for metrics.
    #[must_use]
    pub fn workers_by_eligibility(&self, now: Now) -> BTreeMap<Eligibility, u32> {
        self.count_by_eligibility(None, now).0
    }
}
