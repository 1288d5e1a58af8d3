//! Which workers get their next orders first when not all orders can go out.

use std::time::Duration;

use crate::workflow::core::{Core, Now, SWEEP};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::live_run::{LiveRun, Stage, Stop};
use crate::workflow::record::Run;
use crate::workflow::worker::{OrderClass, Rank, Worker};

/// Orders under way to one worker; more would open more connections.
const ORDERS_MAX: u32 = 1;

/// Whether a worker may get an order now.
pub(super) fn is_ready(worker: &Worker, now: Now) -> bool {
    worker.ordering < ORDERS_MAX && worker.has_work(now.at)
}

impl Core {
    /// Sends the orders that are due, as many as may be under way.
    pub(super) fn dispatch_orders(&mut self, now: Now) {
        let free = self.pressure.available_slots();
        if free == 0 {
            self.pressure.note_limit(now.at);
            return;
        }
        if self.order_queue.is_empty() || now.at >= self.order_queue_built_at + SWEEP {
            self.line_up(free, now);
        }
        for _ in 0..free {
            // Those that get nothing take no part of the window.
            while let Some(life) = self.order_queue.pop_front()
                && !self.send_next_order(&life, now)
            {}
        }
    }

    /// Puts the workers for which there is an order into a line, those with the most pressing
    /// ones first where not all can go out.
    fn line_up(&mut self, free: usize, now: Now) {
        self.order_queue_built_at = now.at;
        let waits =
            |worker: &&Worker| worker.fenced && !worker.runs.is_empty() && is_ready(worker, now);
        let waiting = self.workers.values().filter(waits);
        if waiting.clone().count() <= free {
            self.order_queue = waiting.map(|worker| worker.incarnation().clone()).collect();
            return;
        }
        self.pressure.note_limit(now.at);
        // Ranked anew each time, 26,000 runs that waited took more of an owner's processor
        // time than it had: 20 to 30 ms each 20 ms.
        let stale = waiting.filter(|worker| worker.rank(now.at).is_none());
        let stale: Vec<Incarnation> = stale.map(|worker| worker.incarnation().clone()).collect();
        for life in stale {
            let (rank, until) = self.rank_worker(&life, now);
            if let Some(worker) = self.workers.get_mut(&life) {
                worker.set_rank(rank, until);
            }
        }
        let ranked = self.workers.values().filter(waits);
        let mut ranked: Vec<(Rank, &Incarnation)> = ranked
            .filter_map(|worker| Some((worker.rank(now.at)?, worker.incarnation())))
            .collect();
        // More than may go out, since some turn out to have nothing.
        let first = (free * 2).min(ranked.len());
        if first < ranked.len() {
            ranked.select_nth_unstable(first);
            ranked.truncate(first);
        }
        ranked.sort_unstable();
        self.order_queue = ranked.into_iter().map(|(_, life)| life.clone()).collect();
    }

    /// What a worker's next order protects, and since when it waits; and until when that holds
    /// if nothing happens.
    fn rank_worker(&self, id: &Incarnation, now: Now) -> (Rank, Duration) {
        let mut rank = (OrderClass::Nothing, now.at);
        let mut until = Duration::MAX;
        for run in &self.workers[id].runs {
            let Some(live) = self.runs.get(run).filter(|live| !live.ordering) else {
                continue;
            };
            if live.retry > now.at {
                until = until.min(live.retry);
                continue;
            }
            rank = rank.min((self.class_of(*run, live), live.placed));
        }
        (rank, until)
    }

    /// What the next order about a run protects.
    fn class_of(&self, run: Run, live: &LiveRun) -> OrderClass {
        match (live.stop, live.stage) {
            (Stop::Wanted(_), _) => OrderClass::Stop,
            (Stop::None, Stage::Recorded(position)) if position > self.durable => {
                OrderClass::Nothing
            }
            (Stop::None, Stage::Recorded(_) | Stage::Starting) => {
                let step = self
                    .log_state
                    .task(run.task)
                    .and_then(|(job, _)| job.step(run.task));
                if step.is_some_and(|step| step.long_running) {
                    OrderClass::StartLongRunning
                } else {
                    OrderClass::Start
                }
            }
            (Stop::None, Stage::Started(_)) if live.pace_goal < live.pace => OrderClass::Relieve,
            (Stop::None, Stage::Started(_)) if live.pace_goal > live.pace => OrderClass::Pace,
            (Stop::Confirmed(_), _) | (Stop::None, Stage::Started(_)) => OrderClass::Nothing,
        }
    }
}
