//! Calls of admission control and triage: what they read in each placement round, and their
//! decisions on submitted jobs.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::workflow::admission::backlog::{JobWork, Standing};
use crate::workflow::admission::catalog::Catalog;
use crate::workflow::admission::control::{ClassKey, JobPart, Newcomer, Reason, Refusal, Verdict};
use crate::workflow::admission::copy::OverloadCopy;
use crate::workflow::admission::refusals;
use crate::workflow::admission::triage;
use crate::workflow::core::plan::PlacementRound;
use crate::workflow::core::run_times::JobChains;
use crate::workflow::core::step_priority::{
    TOO_LATE, WaitingStep, lateness, objective_for, objective_of,
};
use crate::workflow::core::{Core, Now};
use crate::workflow::job::{Job, Step};
use crate::workflow::live_run::LiveRun;
use crate::workflow::load::account::{DemandKey, WorkClass};
use crate::workflow::message::Reply;
use crate::workflow::record::End;
use crate::workflow::state::{JobState, Occurrence};

/// Interval at which the sizes of the known workers are read. A worker that joins becomes usable
/// within seconds.
const CATALOG_INTERVAL: Duration = Duration::from_secs(1);

#[expect(clippy::cast_precision_loss, reason = "thousandths of processors")]
fn processors_of(step: &Step) -> f64 {
    step.needs.processors as f64 / 1000.0
}

impl Core {
    /// Returns the work of tasks of a step in processor-seconds, by the client's estimate.
    pub(super) fn work_of(step: &Step, tasks: u32) -> f64 {
        processors_of(step) * step.estimate.as_secs_f64() * f64::from(tasks)
    }

    /// Returns the processor-seconds for which a run that has ended occupied its worker. Runs of
    /// lost workers count none: the capacity is gone, and was not slow.
    pub(super) fn processor_seconds(step: &Step, live: &LiveRun, end: End, now: Now) -> f64 {
        if end == End::Lost {
            return 0.0;
        }
        processors_of(step) * now.at.saturating_sub(live.placed).as_secs_f64()
    }

    /// Records the end of a run for the rate at which work of its class completes.
    pub(super) fn note_run_end(
        &mut self,
        key: DemandKey,
        occupied: f64,
        work: Option<f64>,
        now: Now,
    ) {
        if self.tuning.switches.admission_control && key.class != WorkClass::LongRunning {
            let class = (key.service, key.class);
            self.admission.note_end(&class, occupied, work, now.at);
        }
    }

    pub(super) fn count_waiting(&self, pending: WaitingStep) -> u32 {
        let job = &self.log_state.jobs[&pending.job];
        job.occurrences[&pending.occurrence].steps[usize::from(pending.step)].waiting
    }

    /// Reads the sizes of the known workers if the last reading is old.
    fn refresh_catalog(&mut self, now: Now) {
        let read_at = self.catalog.1;
        if read_at.is_some_and(|at| now.at < at + CATALOG_INTERVAL) {
            return;
        }
        let mut catalog = Catalog::default();
        for worker in self.workers.values().filter(|worker| worker.has_entry) {
            let listed = &worker.listed;
            catalog.add(&listed.service, worker.pool.capacity(), &listed.labels);
        }
        self.catalog = (catalog, Some(now.at));
    }

    /// Orders the waiting steps of classes that are short of capacity: jobs that have begun and
    /// can be in time first, and the share of the worthless ahead of others.
    pub(super) fn apply_triage(
        &mut self,
        waiting: &mut [WaitingStep],
        round: &mut PlacementRound,
        now: Now,
    ) {
        if !self.tuning.switches.admission_control {
            return;
        }
        self.refresh_catalog(now);
        let mut worthless: BTreeMap<ClassKey, Vec<usize>> = BTreeMap::new();
        let mut first_priorities: BTreeMap<ClassKey, u32> = BTreeMap::new();
        for (index, pending) in waiting.iter_mut().enumerate() {
            let job = &self.log_state.jobs[&pending.job];
            let step = &job.job.steps[usize::from(pending.step)];
            let key = (job.policy.service.clone(), WorkClass::of(step));
            if step.long_running || !self.admission.is_short(&key) {
                continue;
            }
            if pending.urgency.lateness == TOO_LATE {
                if self.catalog.0.could_run(&key.0, step) {
                    worthless.entry(key.clone()).or_default().push(index);
                }
            } else {
                let occurrence = &job.occurrences[&pending.occurrence];
                let work = self.remaining_work(job, occurrence, key.1, now);
                let (band, order) = triage::rank(job.begun, work);
                pending.urgency.band = band;
                if pending.urgency.lateness == 0 {
                    pending.urgency.slack = order;
                }
            }
            let first = first_priorities.entry(key).or_insert(u32::MAX);
            *first = (*first).min(pending.urgency.priority);
        }
        for (key, mut steps) in worthless {
            steps.sort_by_key(|index| waiting[*index].key());
            let work: Vec<f64> = steps
                .iter()
                .map(|index| self.waiting_work(waiting[*index]))
                .collect();
            let chosen = self.admission.choose_worthless(&key, &work, now.at);
            for (place, chosen) in chosen.into_iter().enumerate() {
                let pending = &mut waiting[steps[chosen]];
                pending.promote();
                // Long-running steps that are promoted come first.
                pending.urgency.slack = i64::MIN + 1;
                pending.urgency.priority = first_priorities[&key];
                round.promoted_late.insert(pending.key());
                if place == 0
                    && key.1 == WorkClass::Short
                    && round.reserved.is_none()
                    && !self.has_capacity(pending, &round.candidates)
                {
                    round.reserved = self.find_worker_to_reserve(pending, round);
                }
            }
        }
    }

    /// Returns the work of a job in a class that has no worker yet, by learned run times.
    fn remaining_work(
        &self,
        job: &JobState,
        occurrence: &Occurrence,
        class: WorkClass,
        now: Now,
    ) -> f64 {
        let steps = job.job.steps.iter().zip(&occurrence.steps);
        let steps = steps.filter(|(step, _)| WorkClass::of(step) == class);
        let work = steps.map(|(step, state)| {
            let each = self.run_time_of(&job.job.queue, step, now).as_secs_f64();
            processors_of(step) * each * f64::from(state.waiting)
        });
        work.sum()
    }

    fn waiting_work(&self, pending: WaitingStep) -> f64 {
        let step = &self.log_state.jobs[&pending.job].job.steps[usize::from(pending.step)];
        Self::work_of(step, self.count_waiting(pending))
    }

    /// Records what became of a step in a placement round, in which `before` tasks of it waited.
    pub(super) fn note_placement(
        &mut self,
        pending: WaitingStep,
        before: u32,
        round: &PlacementRound,
        now: Now,
    ) {
        if !self.tuning.switches.admission_control {
            return;
        }
        let left = self.count_waiting(pending);
        let job = &self.log_state.jobs[&pending.job];
        let step = &job.job.steps[usize::from(pending.step)];
        if step.long_running {
            return;
        }
        let key = (job.policy.service.clone(), WorkClass::of(step));
        let promoted = round.promoted_late.contains(&pending.key());
        if before > left {
            let work = Self::work_of(step, before - left);
            self.admission.note_placed(&key, work, promoted, now.at);
            self.counts.promoted += u64::from(promoted);
        }
        // Others may wait for a label, an answer of the advisor or all members of a gang while
        // there is capacity.
        let uniform =
            step.label.is_none() && step.spread == 0 && !step.gang && job.policy.advice.is_none();
        if left == 0 || !uniform || !self.catalog.0.could_run(&key.0, step) {
            return;
        }
        let needs = step.needs;
        let demand = self.demand_of(pending, now);
        // A selective step waits for a better worker, not for capacity.
        if demand.selectivity <= 0.0 && round.is_known_unplaceable(&demand) {
            let worthless = promoted || pending.urgency.lateness == TOO_LATE;
            self.admission.note_unplaced(&key, &needs, worthless);
        }
    }

    /// Ends the reading of a placement round, and logs overload that begins or ends.
    pub(super) fn end_admission_reading(&mut self, now: Now) {
        if !self.tuning.switches.admission_control {
            return;
        }
        let jobs = if self.admission.has_unplaced() {
            self.read_backlog(now)
        } else {
            Vec::new()
        };
        for change in self.admission.end_reading(&jobs, now.at) {
            let (service, class) = &change.class;
            let processors = self.processors_in_use(&change.class);
            if change.overloaded {
                tracing::info!(%service, class = class.name(), waiting_work = change.waiting,
                    processors, "overload has begun");
            } else {
                tracing::info!(%service, class = class.name(), waiting_work = change.waiting,
                    processors, refused = self.counts.refused, "overload has ended");
            }
        }
    }

    /// Returns the waiting work of all open jobs, including steps whose dependencies have not
    /// ended, without those that no known worker could run.
    fn read_backlog(&self, now: Now) -> Vec<(ClassKey, JobWork)> {
        let mut found = Vec::new();
        for number in self.log_state.open() {
            let job = &self.log_state.jobs[number];
            if job.outcome.is_some() {
                continue;
            }
            for (index, occurrence) in &job.occurrences {
                for class in [WorkClass::Short, WorkClass::BestEffort] {
                    let work = self.runnable_work(job, occurrence, class);
                    if work > 0.0 {
                        let key = (job.policy.service.clone(), class);
                        let chains = self.chains_of(&job.job, now);
                        found.push((key, job_work(job, *index, occurrence, work, &chains, now)));
                    }
                }
            }
        }
        found
    }

    /// Returns the waiting work of a job in a class that some worker could run.
    fn runnable_work(&self, job: &JobState, occurrence: &Occurrence, class: WorkClass) -> f64 {
        let steps = job.job.steps.iter().zip(&occurrence.steps);
        let steps = steps.filter(|(step, state)| {
            state.waiting > 0
                && WorkClass::of(step) == class
                && self.catalog.0.could_run(&job.policy.service, step)
        });
        steps
            .map(|(step, state)| Self::work_of(step, state.waiting))
            .sum()
    }

    fn processors_in_use(&self, (service, class): &ClassKey) -> f64 {
        let used = self.load.class_demand(service, *class).used.resources;
        #[expect(clippy::cast_precision_loss, reason = "thousandths of processors")]
        let processors = used.processors as f64;
        processors / 1000.0
    }

    /// Returns the refusal of a job that could not end while it is worth anything.
    pub(super) fn refuse_for_overload(&mut self, job: &Job, now: Now) -> Option<Reply> {
        if !self.tuning.switches.admission_control {
            return None;
        }
        let policy = &self.config.queue(&job.queue)?.policy;
        let chain = self.chains_of(job, now).longest;
        let catalog = &self.catalog.0;
        // The sizes of workers are unknown until a round has read them.
        let exempt = job.schedule.is_some()
            || job
                .steps
                .iter()
                .any(|step| step.long_running || !catalog.could_run(&policy.service, step));
        let newcomer = Newcomer {
            id: &job.id,
            service: policy.service.clone(),
            priority: policy.priority,
            objective: objective_for(chain, policy),
            chain,
            parts: parts_of(job),
            exempt,
        };
        let (service, load) = (policy.service.clone(), &self.load);
        let processors = |class| {
            let used = load.class_demand(&service, class).used.resources;
            #[expect(clippy::cast_precision_loss, reason = "thousandths of processors")]
            let processors = used.processors as f64;
            processors / 1000.0
        };
        match self.admission.decide(&newcomer, processors, now.at) {
            Verdict::Admit { returned } => {
                self.counts.readmitted += u64::from(returned);
                None
            }
            Verdict::Refuse(refusal) => {
                let early = refusal.reason == Reason::Early;
                self.counts.refused += u64::from(!early);
                self.counts.refused_early += u64::from(early);
                log_refusal(job, &refusal);
                // Rounded up, so that a caller which waits exactly so long is not early.
                let retry = refusal.retry + Duration::from_nanos(999_999);
                Some(Reply::Refused(refusals::millis(retry)))
            }
        }
    }

    /// Returns the wall clock time of the first known attempt to submit a job that is recorded
    /// now. Its time objective counts from then.
    pub(super) fn first_attempt(&mut self, id: &str, now: Now) -> u64 {
        let since = self.admission.time_since_first_attempt(id, now.at);
        let since = since.unwrap_or_default().as_millis();
        self.admission.forget(id);
        let since = u64::try_from(since).unwrap_or(u64::MAX);
        now.wall.saturating_sub(since)
    }

    /// Returns the state of admission for other instances.
    #[must_use]
    pub fn overload_copy(&self, now: Now) -> OverloadCopy {
        self.admission
            .copy(|class| self.processors_in_use(class), now.at)
    }

    /// Returns the state of the classes that are short of capacity, for a dump.
    pub(super) fn dump_admission(&self, now: Now) -> serde_json::Value {
        let summaries = self
            .admission
            .summaries(|class| self.processors_in_use(class), now.at);
        let classes = summaries.iter().map(|summary| {
            let (service, class) = &summary.class;
            serde_json::json!({
                "service": &**service, "class": class.name(), "overloaded": summary.overloaded,
                "short_for_ms": u64::try_from(summary.short_for.as_millis()).unwrap_or(u64::MAX),
                "waiting_work": summary.waiting, "worthless_work": summary.worthless,
                "rate": summary.rate,
            })
        });
        serde_json::json!({
            "classes": classes.collect::<Vec<_>>(),
            "refused_ids": self.admission.remembered(),
        })
    }
}

fn log_refusal(job: &Job, refusal: &Refusal) {
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    if refusal.reason == Reason::Early {
        tracing::debug!(job = %job.id, queue = %job.queue, retry_ms = millis(refusal.retry),
            "job refused again before its time");
        return;
    }
    tracing::info!(job = %job.id, queue = %job.queue, class = refusal.class.name(),
        reason = ?refusal.reason, work_ahead = refusal.ahead, waiting_work = refusal.waiting,
        rate = refusal.rate, predicted_end_ms = millis(refusal.predicted),
        limit_ms = millis(refusal.limit), readings_age_ms = millis(refusal.age),
        retry_ms = millis(refusal.retry), "job refused for overload");
}

/// Returns the parts of a job by class.
fn parts_of(job: &Job) -> Vec<JobPart> {
    let parts = [WorkClass::Short, WorkClass::BestEffort].map(|class| {
        let steps = job
            .steps
            .iter()
            .filter(move |step| WorkClass::of(step) == class);
        JobPart {
            class,
            work: steps
                .clone()
                .map(|step| Core::work_of(step, step.count))
                .sum(),
            needs: steps.map(|step| step.needs).collect(),
        }
    });
    let parts = parts.into_iter();
    parts.filter(|part| !part.needs.is_empty()).collect()
}

fn job_work(
    job: &JobState,
    index: u32,
    occurrence: &Occurrence,
    work: f64,
    chains: &JobChains,
    now: Now,
) -> JobWork {
    let (due, objective) = objective_of(job, index, chains.longest);
    let left = chains.left.iter().zip(&occurrence.steps);
    let left = left.filter(|(_, state)| state.left > 0);
    let chain = left.map(|(chain, _)| *chain).max().unwrap_or_default();
    let standing = match (lateness(due, objective, chain, now).0, job.begun) {
        (0, true) => Standing::Begun,
        (0, false) => Standing::Fresh,
        (TOO_LATE, _) => Standing::Worthless,
        _ => Standing::Late,
    };
    JobWork {
        priority: job.policy.priority,
        objective,
        standing,
        work,
    }
}
