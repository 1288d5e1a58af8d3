//! Availability zones under evacuation: their workers get no new runs, and what runs there
//! goes on.
//!
//! Nothing of this is in the log. Each owner goes by operators' entries, and starts nothing
//! while its reading of them is too old: a zone may have been evacuated since.

use std::time::Duration;

use crate::workflow::core::{Core, Now};
use crate::workflow::evacuations::Zones;
use crate::workflow::live_run::{Stage, Stop, StopReason};
use crate::workflow::record::Run;
use crate::workflow::relay;
use crate::workflow::worker::Worker;

/// Operators' entries as this owner last heard of them.
#[derive(Debug, Default)]
pub(super) struct Evacuation {
    zones: Zones,
    /// When the newest reading came, and how old it was then.
    read: Option<(Duration, Duration)>,
}

impl Evacuation {
    /// Age of the newest reading.
    fn age(&self, now: Duration) -> Option<Duration> {
        let (at, age) = self.read?;
        Some(now.saturating_sub(at) + age)
    }
}

impl Core {
    /// Exactly these zones were under evacuation `age` ago.
    pub fn note_evacuations(&mut self, zones: &Zones, age: Duration, now: Now) {
        self.evacuation.read = Some((now.at, age));
        if self.evacuation.zones == *zones {
            return;
        }
        let before = std::mem::replace(&mut self.evacuation.zones, zones.clone());
        for (zone, revision) in zones {
            if !before.contains_key(zone) {
                let workers = self.workers.values();
                let there = workers.filter(|worker| worker.listed.zone == *zone);
                tracing::info!(%zone, revision, age_ms = age.as_millis(), workers = there.clone().count(),
                    runs = there.map(|worker| worker.runs.len()).sum::<usize>(),
                    "availability zone is evacuated: its workers get no new runs");
            }
        }
        for (zone, revision) in &before {
            if !zones.contains_key(zone) {
                tracing::info!(%zone, revision, age_ms = age.as_millis(),
                    "evacuation of availability zone is over");
            }
        }
        self.needs_planning = true;
    }

    /// Whether a worker's zone is under evacuation.
    pub(super) fn is_evacuated(&self, worker: &Worker) -> bool {
        self.evacuation.zones.contains_key(&worker.listed.zone)
    }

    /// Zones under evacuation.
    pub(super) fn evacuated_zones(&self) -> &Zones {
        &self.evacuation.zones
    }

    /// Age of what is known of evacuations.
    pub(super) fn evacuation_age(&self, now: Now) -> Option<Duration> {
        self.evacuation.age(now.at)
    }

    /// Whether a start that is ordered now reaches its worker, also over a relay, before a zone
    /// that was evacuated right after the last reading must get no more.
    pub(super) fn is_evacuation_known(&self, now: Now) -> bool {
        let Some(bound) = self.terms.evacuation else {
            return true;
        };
        let under_way = relay::MAX_QUEUE_DELAY + self.order_timeout();
        self.evacuation_age(now)
            .is_some_and(|age| age + under_way < bound)
    }

    /// Withdraws runs that have not begun on workers of evacuated zones, so that they begin
    /// elsewhere. A worker that has answered this owner lists what an earlier one started.
    pub(super) fn withdraw_starts(&mut self, now: Now) {
        if self.evacuation.zones.is_empty() {
            return;
        }
        let open = |worker: &&Worker| worker.fenced && worker.answers && self.is_evacuated(worker);
        let runs = self.workers.values().filter(open).flat_map(|it| &it.runs);
        let waiting = runs.filter(|run| {
            self.runs.get(run).is_some_and(|live| {
                live.stop == Stop::None
                    && !live.ordering
                    && !matches!(live.stage, Stage::Started(_))
            })
        });
        let waiting: Vec<Run> = waiting.copied().collect();
        for run in waiting {
            tracing::info!(task = %run.task, run = run.number,
                age_ms = self.evacuation_age(now).unwrap_or_default().as_millis(),
                "start is withdrawn: the availability zone is evacuated");
            self.request_stop(run, StopReason::Evacuated);
        }
    }
}
