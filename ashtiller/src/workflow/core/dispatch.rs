//! Selection of the workers that get their next order when the limit on orders in flight does
//! not allow all of them.

use std::time::Duration;

use crate::workflow::core::{Core, Now, SWEEP};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::live_run::{LiveRun, Stage, Stop};
use crate::workflow::load::account::WorkClass;
use crate::workflow::record::Run;
use crate::workflow::worker::{OrderClass, Rank, Worker};

/// Limit on orders in flight to one worker. Each further one would open another connection.
const ORDERS_PER_WORKER_MAX: u32 = 1;

/// Returns whether a worker may be sent an order now.
pub(super) fn may_receive_order(worker: &Worker, now: Now) -> bool {
    worker.ordering < ORDERS_PER_WORKER_MAX && worker.has_work(now.at)
}

impl Core {
    /// Sends the orders that are due, up to the limit on orders in flight.
    pub(super) fn dispatch_orders(&mut self, now: Now) {
        let free = self.congestion.available_slots();
        if free == 0 {
            self.congestion.note_limit(now.at);
            return;
        }
        if self.order_queue.is_empty() || now.at >= self.order_queue_built_at + SWEEP {
            self.fill_dispatch_queue(free, now);
        }
        for _ in 0..free {
            // A worker that turns out to need no order does not use up the window.
            while let Some(incarnation) = self.order_queue.pop_front()
                && !self.send_next_order(&incarnation, now)
            {}
        }
    }

    /// Fills the dispatch queue with the workers that may need an order. If not all orders can be
    /// sent, the workers with the most urgent ones come first.
    fn fill_dispatch_queue(&mut self, free: usize, now: Now) {
        self.order_queue_built_at = now.at;
        let needs_order = |worker: &&Worker| {
            worker.fenced && !worker.runs.is_empty() && may_receive_order(worker, now)
        };
        let pending = self.workers.values().filter(needs_order);
        if pending.clone().count() <= free {
            self.order_queue = pending.map(|worker| worker.incarnation().clone()).collect();
            return;
        }
        self.congestion.note_limit(now.at);
        // Ranks are cached per worker: ranking 26,000 waiting runs each time took 20 to 30 ms
        // of processor time every 20 ms, more than an owner has.
        let stale = pending.filter(|worker| worker.rank(now.at).is_none());
        let stale: Vec<Incarnation> = stale.map(|worker| worker.incarnation().clone()).collect();
        for incarnation in stale {
            let (rank, until) = self.rank_worker(&incarnation, now);
            if let Some(worker) = self.workers.get_mut(&incarnation) {
                worker.set_rank(rank, until);
            }
        }
        let ranked = self.workers.values().filter(needs_order);
        let mut ranked: Vec<(Rank, &Incarnation)> = ranked
            .filter_map(|worker| Some((worker.rank(now.at)?, worker.incarnation())))
            .collect();
        // Twice as many as can be sent, since some workers turn out to need no order.
        let count = (free * 2).min(ranked.len());
        if count < ranked.len() {
            ranked.select_nth_unstable(count);
            ranked.truncate(count);
        }
        ranked.sort_unstable();
        self.order_queue = ranked
            .into_iter()
            .map(|(_, incarnation)| incarnation.clone())
            .collect();
    }

    /// Returns the rank of a worker's next order (its class and the placement time of its run) and
    /// the time until which that rank is valid without further events.
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
            rank = rank.min((self.order_class(*run, live), live.placed));
        }
        (rank, until)
    }

    /// Returns the class of the next order for a run.
    pub(super) fn order_class(&self, run: Run, live: &LiveRun) -> OrderClass {
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
                match step.map(WorkClass::of) {
                    Some(WorkClass::LongRunning) => OrderClass::StartLongRunning,
                    Some(WorkClass::BestEffort) => OrderClass::StartBestEffort,
                    Some(WorkClass::Short) | None => OrderClass::Start,
                }
            }
            (Stop::None, Stage::Started(_)) if live.pace_goal < live.pace => OrderClass::Relieve,
            (Stop::None, Stage::Started(_)) if live.pace_goal > live.pace => OrderClass::Pace,
            (Stop::Confirmed(_), _) | (Stop::None, Stage::Started(_)) => OrderClass::Nothing,
        }
    }
}
