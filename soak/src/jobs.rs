//! Client jobs: submitted during the faults and awaited after them.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::resources::Resources;
use hyper::Method;
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
        let addresses: Vec<_> = self.sites.iter().map(|site| site.clients.address).collect();
        let first = self.rng.random_range(0..addresses.len());
        let (client, seen) = (self.checks.client.clone(), self.checks.seen.clone());
        tokio::spawn(async move {
            for attempt in 0..12 {
                let to = addresses[(first + attempt) % addresses.len()];
                let answer = client
                    .call(to, Method::POST, &format!("/q/{id}"), body.clone())
                    .await;
                let status = answer.map(|(status, _)| status).ok();
                if seen.lock().take_answer(&id, status) {
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
            let accepted: Vec<Arc<str>> =
                self.checks.seen.lock().accepted.iter().cloned().collect();
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
            if open.is_empty() || Instant::now() >= end {
                return Ok(open);
            }
            // An entry that received SIGTERM may exit only now.
            self.start_ended()?;
            self.bring_back().await?;
            time::sleep(Duration::from_millis(500)).await;
        }
    }
}
