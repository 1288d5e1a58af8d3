//! A dump of the owner's state for operators.

use crate::workflow::core::{Core, Now};

/// Limit of the jobs, of the waiting steps, of the suspects and of the unconfirmed starts in a dump.
const DUMP_MAX: usize = 100;

impl Core {
    /// Returns a summary of the state for operators, with at most 100 jobs and all workers.
    #[must_use]
    pub fn dump(&self, now: Now) -> serde_json::Value {
        let open = self.log_state.open().iter().take(DUMP_MAX);
        let jobs = open.map(|number| {
            let job = &self.log_state.jobs[number];
            let waiting: u32 = job
                .occurrences
                .values()
                .flat_map(|occurrence| &occurrence.steps)
                .map(|step| step.waiting)
                .sum();
            let chain = self.chains_of(&job.job, now).longest;
            let estimated = job.job.chains().into_iter().max().unwrap_or_default();
            serde_json::json!({
                "chain_ms": u64::try_from(chain.as_millis()).unwrap_or(u64::MAX),
                "estimated_chain_ms": u64::try_from(estimated.as_millis()).unwrap_or(u64::MAX),
                "id": &*job.job.id, "number": number, "queue": &*job.job.queue,
                "live": job.live, "waiting": waiting, "due": job.count_due(now.wall), "outcome": format!("{:?}", job.outcome),
            })
        });
        let workers = self.workers.values().map(|worker| {
            serde_json::json!({
                "id": worker.incarnation().id(), "born": worker.incarnation().born(), "runs": worker.runs.len(), "answers": worker.answers,
                "silent_ms": u64::try_from(now.at.saturating_sub(worker.last_answer).as_millis()).unwrap_or(u64::MAX),
                "draining": worker.draining_since.is_some(), "listed": worker.unlisted_since.is_none(),
                "gate": self.eligibility(worker, now).name(),
                "lease_left_ms": u64::try_from(worker.lease.bound().saturating_sub(now.at).as_millis()).unwrap_or(u64::MAX),
                "hold": (!worker.answers && !worker.runs.is_empty()).then(|| self.lease_hold(worker, now).name()),
                "free": worker.pool.free().to_string(),
            })
        });
        let unconfirmed = self.log_state.unconfirmed().iter();
        let unconfirmed = unconfirmed.flat_map(|(task, starts)| {
            starts.iter().map(|start| {
                let age = now.at.saturating_sub(start.since).as_millis();
                serde_json::json!({
                    "task": task.to_string(), "run": start.run, "worker": start.worker.as_str(),
                    "sender": start.sending.sender, "age_ms": u64::try_from(age).unwrap_or(u64::MAX),
                })
            })
        });
        let suspicion = self.summarize_suspicion(now);
        serde_json::json!({
            "epoch": self.epoch, "earlier_owners": self.running_predecessors(), "durable": self.durable, "position": self.position,
            "stalled_ms": u64::try_from(self.stalled_for(now).as_millis()).unwrap_or(u64::MAX),
            "list_age_ms": u64::try_from(self.list_age(now).as_millis()).unwrap_or(u64::MAX),
            "evacuated_zones": self.evacuated_zones().keys().map(|zone| &**zone).collect::<Vec<_>>(),
            "evacuation_age_ms": self.evacuation_age(now).map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            "usual_delay_ms": u64::try_from(self.congestion.usual().as_millis()).unwrap_or(u64::MAX),
            "orders_under_way": self.congestion.under_way(), "orders_window": self.congestion.window(),
            "open_jobs": self.log_state.open().len(), "runs": self.runs.len(),
            "admission": self.dump_admission(now),
            "waiting": self.dump_waits(DUMP_MAX, now), "kept": self.reserved_worker(),
            "run_times": self.dump_run_times(now),
            "shares": self.dump_shares(),
            "reserve": self.dump_reserve(now),
            "suspicion": serde_json::json!({
                "suspects": suspicion.suspects, "strong": suspicion.strong, "waiting": suspicion.waiting,
                "trial_workers": suspicion.trial_workers, "withheld_processors": suspicion.withheld / 1000,
            }),
            "suspects": self.dump_suspects(DUMP_MAX),
            "unconfirmed_starts": unconfirmed.take(DUMP_MAX).collect::<Vec<_>>(),
            "jobs": jobs.collect::<Vec<_>>(), "workers": workers.collect::<Vec<_>>(),
        })
    }
}
