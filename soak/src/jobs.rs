//! Client jobs: submitted during the faults and awaited after them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::resources::Resources;
use hyper::{Method, StatusCode};
use rand::RngExt;
use tokio::time::{self, Instant};

use crate::standin::job::{wire_job, wire_step};
use crate::world::World;

/// Time for all accepted jobs to end once the faults are over: many times the 4 s lease.
const FINISH_TIMEOUT: Duration = Duration::from_mins(2);

impl World {
    /// Submits a job, retrying at the entries in turn until it is accepted, 12 times at most.
    pub fn submit(&mut self, number: u32) {
        let id: Arc<str> = format!("{:08x}{number:08x}", self.plan.seed).into();
        self.draw_crashing_job(&id);
        let count = self.rng.random_range(1..4u32);
        let length = self.rng.random_range(100..1500u64);
        let second = self.rng.random_range(0..2u16);
        for step in 0..=second {
            let needs = Resources {
                processors: 1000,
                memory: 1 << 30,
                accelerators: 0,
            };
            self.profiles
                .lock()
                .insert((id.clone(), step), (needs, Duration::from_millis(length)));
        }
        let mut steps = vec![wire_step(count, length, &[])];
        if second == 1 {
            steps.push(wire_step(count, length, &[0]));
        }
        let body = wire_job(&steps);
        let addresses = self.client_addresses();
        let first = self.rng.random_range(0..addresses.len());
        let checks = self.checks.clone();
        tokio::spawn(async move {
            for attempt in 0..12 {
                let entry = (first + attempt) % addresses.len();
                let to = (entry, addresses[entry]);
                let (status, _) = checks.submit(to, "/q/", &id, body.clone()).await;
                if status == Some(StatusCode::OK) {
                    return;
                }
                time::sleep(Duration::from_millis(400)).await;
            }
        });
    }

    /// Waits for every accepted job to end and returns those that did not in time.
    pub async fn finish(&mut self) -> anyhow::Result<Vec<Arc<str>>> {
        let end = Instant::now() + FINISH_TIMEOUT;
        loop {
            let accepted: Vec<Arc<str>> = {
                let seen = self.checks.seen.lock();
                let accepted = seen.accepted.iter();
                let short = accepted.filter(|id| !seen.long_running.contains_key(*id));
                short.cloned().collect()
            };
            let mut open = Vec::new();
            for id in accepted {
                let to = self.sites[0].entry.clients;
                let answer = self
                    .checks
                    .client
                    .call(to, Method::GET, &format!("/q/{id}"), String::new())
                    .await;
                let state = answer.map(|(_, body)| body).unwrap_or_default();
                let failed = state.as_ref() == br#"{"state":"failed"}"#;
                let complete = state.as_ref() == br#"{"state":"complete"}"#;
                let ended = complete || failed && self.injector.lock().may_fail(&id);
                if !ended {
                    open.push(id);
                }
            }
            if open.is_empty() {
                return self.finish_long_running(end).await;
            }
            if Instant::now() >= end {
                return Ok(open);
            }
            // An entry that received SIGTERM may exit only now.
            self.start_ended()?;
            self.bring_back().await?;
            time::sleep(Duration::from_millis(500)).await;
        }
    }

    /// Waits for all tasks of the accepted long-running jobs to run, cancels the jobs and waits for
    /// them to end. Returns those that did not run or end.
    async fn finish_long_running(&mut self, end: Instant) -> anyhow::Result<Vec<Arc<str>>> {
        let mut cancelled = BTreeSet::new();
        loop {
            let open: Vec<(Arc<str>, u16)> = {
                let seen = self.checks.seen.lock();
                let jobs = seen.long_running.iter();
                let open = jobs.filter(|(id, _)| seen.accepted.contains(*id));
                let open = open.filter(|(id, _)| !seen.ended.contains(*id));
                open.map(|(id, (count, _))| (id.clone(), *count)).collect()
            };
            if open.is_empty() || Instant::now() >= end {
                return Ok(open.into_iter().map(|(id, _)| id).collect());
            }
            for (id, count) in open {
                if !cancelled.contains(&id) && self.count_running(&id) < usize::from(count) {
                    continue;
                }
                let to = self.sites[0].entry.clients;
                let path = format!("/q/{id}");
                let method = if cancelled.contains(&id) {
                    Method::GET
                } else {
                    Method::DELETE
                };
                let cancels = method == Method::DELETE;
                let answer = self.checks.client.call(to, method, &path, String::new());
                match answer.await {
                    Ok((StatusCode::OK, _)) if cancels => {
                        cancelled.insert(id);
                    }
                    Ok((status, body)) if !cancels => {
                        self.checks
                            .seen
                            .lock()
                            .take_state(&id, "entry 0", status, &body);
                    }
                    _ => {}
                }
            }
            self.start_ended()?;
            time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Counts the tasks of a job that workers run.
    fn count_running(&self, id: &Arc<str>) -> usize {
        let fleet = self.checks.fleet.lock();
        let counts = fleet.values().map(|member| {
            let worker = member.server.worker.lock();
            worker
                .runs
                .keys()
                .filter(|(name, _)| name.job == *id)
                .count()
        });
        counts.sum()
    }
}
