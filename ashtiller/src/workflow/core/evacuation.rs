//! Availability zones under evacuation: their workers get no new runs, and existing runs continue.
//!
//! None of this is in the log. Each owner relies on the operators' entries in the store and starts
//! nothing while its reading of them is outdated, because a zone may have been evacuated since.

use std::time::Duration;

use crate::workflow::core::{Core, Now};
use crate::workflow::evacuations::Zones;
use crate::workflow::live_run::{Stage, Stop, StopReason};
use crate::workflow::record::Run;
use crate::workflow::relay;
use crate::workflow::worker::Worker;

/// The operators' entries as this owner last read them.
#[derive(Debug, Default)]
pub(super) struct Evacuation {
    zones: Zones,
    /// When the newest reading arrived, and its age at that time.
    read: Option<(Duration, Duration)>,
}

impl Evacuation {
    /// Returns the age of the newest reading.
    fn age(&self, now: Duration) -> Option<Duration> {
        let (at, age) = self.read?;
        Some(now.saturating_sub(at) + age)
    }
}

impl Core {
    /// Records the zones that were under evacuation `age` ago.
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

    /// Returns whether a worker's zone is under evacuation.
    pub(super) fn is_evacuated(&self, worker: &Worker) -> bool {
        self.evacuation.zones.contains_key(&worker.listed.zone)
    }

    /// Returns the zones under evacuation.
    pub(super) fn evacuated_zones(&self) -> &Zones {
        &self.evacuation.zones
    }

    /// Returns the age of the newest reading of evacuations.
    pub(super) fn evacuation_age(&self, now: Now) -> Option<Duration> {
        self.evacuation.age(now.at)
    }

    /// Returns whether a start ordered now, possibly over a relay, arrives before the bound within
    /// which a zone evacuated right after the last reading must stop receiving starts.
    pub(super) fn is_evacuation_known(&self, now: Now) -> bool {
        let Some(bound) = self.tuning.evacuation else {
            return true;
        };
        let delay = relay::MAX_QUEUE_DELAY + self.order_timeout();
        self.evacuation_age(now)
            .is_some_and(|age| age + delay < bound)
    }

    /// Withdraws runs that have not begun on workers of evacuated zones, so that they begin
    /// elsewhere. Only workers that have answered this owner are considered, as they list what an
    /// earlier owner started.
    pub(super) fn withdraw_starts(&mut self, now: Now) {
        if self.evacuation.zones.is_empty() {
            return;
        }
        let in_evacuated_zone =
            |worker: &&Worker| worker.fenced && worker.answers && self.is_evacuated(worker);
        let runs = self
            .workers
            .values()
            .filter(in_evacuated_zone)
            .flat_map(|it| &it.runs);
        let unstarted = runs.filter(|run| {
            self.runs.get(run).is_some_and(|live| {
                live.stop == Stop::None
                    && !live.ordering
                    && !matches!(live.stage, Stage::Started(_))
            })
        });
        let unstarted: Vec<Run> = unstarted.copied().collect();
        for run in unstarted {
            tracing::info!(task = %run.task, run = run.number,
                age_ms = self.evacuation_age(now).unwrap_or_default().as_millis(),
                "start is withdrawn: the availability zone is evacuated");
            self.request_stop(run, StopReason::Evacuated);
        }
    }
}
