//! Orders to workers and the replies to them.

use std::sync::Arc;
use std::time::Duration;

use crate::failure::{self, Failure};
use crate::workflow::agents::{ORDER_TIMEOUT_MIN, Order, OrderReply, Refusal, Start, TaskName};
use crate::workflow::core::allocation::FitsWhen;
use crate::workflow::core::polls::POLL_RETRY;
use crate::workflow::core::{Core, Effect, Now, dispatch};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::live_run::{Stage, Stop, StopReason};
use crate::workflow::record::{End, Run};
use crate::workflow::worker::LATE_MAX;

/// Delay before an unanswered order is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Delay before an order that the worker temporarily refused is sent again.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Unanswered starts after which a run is withdrawn from its worker.
pub(super) const UNANSWERED_MAX: u32 = 4;
/// Largest fraction of the drain time (for which a departing worker still accepts starts) that one
/// order may take. The rest is left for the news of the departure to arrive.
const ORDER_TIMEOUT_FRACTION: f64 = 0.4;

/// What a failed start is counted against.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Blame {
    Run,
    Worker,
}

impl Core {
    /// Returns the name by which workers know a task.
    pub(super) fn task_name(&self, run: Run) -> Option<TaskName> {
        let job = self.log_state.jobs.get(&run.task.job)?;
        Some(TaskName {
            job: job.job.id.clone(),
            occurrence: run.task.occurrence,
            step: run.task.step,
            index: run.task.index,
        })
    }

    /// Returns how long to wait for the reply to an order.
    pub(super) fn order_timeout(&self) -> Duration {
        let max = self.tuning.drain.mul_f64(ORDER_TIMEOUT_FRACTION);
        self.congestion.timeout(ORDER_TIMEOUT_MIN, max)
    }

    /// Sends the next order to a worker. Returns whether there was one.
    pub(super) fn send_next_order(&mut self, id: &Incarnation, now: Now) -> bool {
        if !self
            .workers
            .get(id)
            .is_some_and(|worker| dispatch::may_receive_order(worker, now))
        {
            return false;
        }
        let (limit, fence) = (self.order_timeout(), self.fences.of(id));
        let (runs, next) = self.collect_due(id, now);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.rest_until(next);
        }
        for run in runs {
            let Some(order) = self.next_order(run, id, now) else {
                continue;
            };
            let Some(worker) = self.workers.get_mut(id) else {
                return false;
            };
            worker.ordering += 1;
            worker.ordered = now.at;
            self.congestion.note_sent();
            self.counts.orders += 1;
            if let Some(live) = self.runs.get_mut(&run) {
                live.ordering = true;
                if matches!(order, Order::Start(_)) {
                    live.sent += 1;
                    live.first_sent.get_or_insert(now.at);
                }
            }
            let target = worker.target(fence, limit);
            self.effects.push(Effect::Order(target, run, order));
            return true;
        }
        false
    }

    /// Returns the runs of a worker about which an order may be sent, in the order of their classes
    /// and placements. Stops come first because a run to be stopped may continue for a bounded time
    /// only. Also returns when the earliest retry of the others is due: until then, or until an event
    /// wakes the worker, there is nothing to send.
    fn collect_due(&self, id: &Incarnation, now: Now) -> (Vec<Run>, Duration) {
        let mut due = Vec::new();
        let mut next = Duration::MAX;
        for run in &self.workers[id].runs {
            let Some(live) = self.runs.get(run) else {
                continue;
            };
            if live.retry > now.at {
                next = next.min(live.retry);
            } else {
                due.push((self.order_class(*run, live), live.placed, *run));
            }
        }
        due.sort_unstable();
        let due = due.into_iter().map(|(_, _, run)| run);
        (due.collect(), next)
    }

    /// Returns the next order about a run, if one is due.
    fn next_order(&mut self, run: Run, id: &Incarnation, now: Now) -> Option<Order> {
        let live = self.runs.get_mut(&run)?;
        if live.ordering || now.at < live.retry {
            return None;
        }
        if let Stage::Recorded(position) = live.stage {
            // Nothing was sent before the placement is durable, so there is nothing to stop either.
            let may_run = live.sent > 0 && live.stop != Stop::None;
            if position > self.durable && !may_run {
                return None;
            }
            live.stage = Stage::Starting;
        }
        let (stage, stop) = (live.stage, live.stop);
        let (pace, goal, doubt) = (live.pace, live.pace_goal, live.pace_doubt);
        match (stop, stage) {
            (Stop::Wanted(_), _) => Some(Order::Stop(self.task_name(run)?, run.number)),
            (Stop::None, Stage::Starting) => self.start_order(run, id, now),
            (Stop::None, Stage::Started(_)) if pace != goal || doubt > now.at => {
                Some(Order::Pace(self.task_name(run)?, run.number, goal))
            }
            _ => None,
        }
    }

    fn start_order(&mut self, run: Run, id: &Incarnation, now: Now) -> Option<Order> {
        // A placement decided by an outdated list of workers may no longer be right.
        if !self.may_start(now) {
            self.hold_starts(now);
            return None;
        }
        let name = self.task_name(run)?;
        let (job, task) = self.log_state.task(run.task)?;
        let payload = job.job.payload.clone();
        let checkpoint = task.checkpoint.clone();
        let ticket = self.runs.get(&run).and_then(|live| live.ticket.clone());
        let list_age = self.list_age(now);
        // The worker may have left since the run was placed, or since an unanswered start.
        let worker = self.workers.get(id)?;
        if !self.accepts_starts(worker, now) || self.is_evacuated(worker) {
            return None;
        }
        match self.check_fit(run, id) {
            FitsWhen::Now => {}
            FitsWhen::Later => return None,
            FitsWhen::Never => {
                tracing::info!(task = %run.task, run = run.number, worker = %id,
                    "start is withdrawn: the worker's capacity has shrunk");
                self.request_stop(run, StopReason::Shrunk);
                return None;
            }
        }
        let rejects = self.rejects_former_runs(run, worker)
            && !(self.log_state.excludes_copies(run.task) && self.orphans.has_task(run.task));
        let worker = self.workers.get_mut(id)?;
        // The worker's next reply wakes the runs that wait here.
        if !worker.answers || !rejects {
            return None;
        }
        if !self.is_start_recorded(run) || !self.may_grant(id, now) {
            return None;
        }
        let worker = self.workers.get_mut(id)?;
        let until = worker.lease.grant(now.at, self.tuning.lease)?;
        tracing::debug!(task = %run.task, run = run.number, worker = %id,
            list_age_ms = list_age.as_millis(), "sending start order");
        Some(Order::Start(Start {
            name,
            run: run.number,
            payload,
            until,
            checkpoint,
            ticket,
        }))
    }

    /// Handles the reply to an order.
    pub fn handle_order_reply(
        &mut self,
        id: &Incarnation,
        run: Run,
        order: &Order,
        reply: Result<OrderReply, Failure>,
        now: Now,
    ) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.ordering > 0
        {
            worker.ordering -= 1;
            worker.wake();
            let took = now.at.saturating_sub(worker.ordered);
            if worker.answers {
                self.congestion
                    .note_order(worker.incarnation(), took, now.at);
            } else {
                self.congestion.note_end();
            }
        } else {
            self.congestion.note_end();
        }
        if let Err(failure) = &reply {
            self.raise_fence(id, now);
            if matches!(order, Order::Start(_)) && failure.effect != failure::RemoteEffect::None {
                self.note_unanswered_start(run, id, now);
            }
        }
        if let Ok(OrderReply::OtherIncarnation) = reply {
            self.note_other_incarnation(id, None, now);
            return;
        }
        let lags = self.record_clock(id, &reply, now);
        let Some(live) = self.runs.get_mut(&run) else {
            return;
        };
        if live.worker != *id {
            return;
        }
        live.ordering = false;
        if lags {
            live.misdelivered = true;
            live.in_doubt = Some(now.at + LATE_MAX);
            live.retry = now.at + RETRY_DELAY;
            return;
        }
        match order {
            Order::Start(_) => self.handle_start_reply(run, reply, now),
            Order::Stop(..) => self.handle_stop_reply(run, &reply, now),
            Order::Pace(_, _, percent) => self.handle_pace_reply(run, *percent, &reply, now),
        }
    }

    /// Records the clock reading in the reply to an order and returns whether it lags. A lagging
    /// clock belongs to another incarnation or to a machine that was suspended, which the next poll
    /// tells apart. Whether the order was carried out is then unknown.
    fn record_clock(
        &mut self,
        id: &Incarnation,
        reply: &Result<OrderReply, Failure>,
        now: Now,
    ) -> bool {
        let &Ok(OrderReply::Done(clock)) = reply else {
            return false;
        };
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        if !worker.lease.lags(clock, worker.ordered) {
            worker.lease.hear(clock, now.at);
            return false;
        }
        tracing::info!(worker = %id, clock_ms = clock, last_clock_ms = worker.lease.clock(),
            "worker's clock lags");
        let behind = worker.lease.is_behind(clock, worker.ordered);
        // An incarnation that carried out an order meant for its predecessor holds that lease by
        // its own clock, which started later. By the predecessor's clock the lease would count as
        // expired while the task still runs, and the task would be started elsewhere as well.
        worker.lease.note_lag(clock, now.at, self.tuning.hold);
        worker.answers = false;
        worker.next_poll = worker.next_poll.min(now.at);
        self.raise_fence(id, now);
        if behind && id.born().is_none() {
            self.restart_in_place(id, now);
        }
        true
    }

    fn handle_start_reply(&mut self, run: Run, reply: Result<OrderReply, Failure>, now: Now) {
        let mut refused = None;
        match &reply {
            Ok(OrderReply::Refused(Refusal::Old)) => self.note_refused_start(run, now),
            Ok(OrderReply::Refused(Refusal::Ticket)) => self.drop_ticket(run, now),
            Err(failure) if failure.effect == failure::RemoteEffect::None => {
                self.note_unsent_start(run, now);
            }
            _ => {}
        }
        let listed = self.is_only_start_listed(run);
        let has_urgent_records = self.has_urgent_records();
        let Some(live) = self.runs.get_mut(&run) else {
            return;
        };
        match reply {
            Ok(OrderReply::Done(_)) => {
                if !matches!(live.stage, Stage::Started(_)) {
                    live.stage = Stage::Started(now.at);
                }
            }
            Ok(OrderReply::Refused(Refusal::Late)) => live.retry = now.at,
            Ok(OrderReply::Refused(Refusal::Fenced)) => {
                live.retry = now.at + RETRY_DELAY;
                let worker = live.worker.clone();
                self.note_fenced_reply(&worker, now);
            }
            Ok(OrderReply::Refused(Refusal::Busy)) => {
                live.unanswered += 1;
                live.retry = now.at + BUSY_RETRY_DELAY;
                if live.unanswered >= UNANSWERED_MAX {
                    refused = Some(Blame::Worker);
                }
            }
            Ok(OrderReply::Refused(reason)) => {
                tracing::warn!(task = %run.task, run = run.number, worker = %live.worker, ?reason, "start refused");
                refused = Some(match reason {
                    Refusal::Old | Refusal::Ticket => Blame::Run,
                    _ => Blame::Worker,
                });
            }
            Ok(OrderReply::OtherIncarnation) => {}
            Err(failure) => {
                tracing::info!(task = %run.task, run = run.number, worker = %live.worker, %failure, "start unanswered");
                if failure.effect != failure::RemoteEffect::None {
                    let until = Some(now.at + LATE_MAX);
                    live.in_doubt = until.filter(|_| !listed);
                    // A later owner must know of each start that may be carried out late, so the
                    // next one waits until this one is in the log.
                    if live.stage == Stage::Starting && has_urgent_records {
                        live.stage = Stage::Recorded(self.position);
                        let wakes = (self.position, live.worker.clone());
                        self.workers_to_wake.insert(wakes);
                    }
                    if failure.is_timeout()
                        && let Some(worker) = self.workers.get_mut(&live.worker)
                    {
                        worker.renewing = worker.renewing.max(until);
                    }
                }
                live.retry = now.at + RETRY_DELAY.max(self.congestion.usual());
                // A delay that most workers share says nothing about this one.
                if !self.congestion.is_congested() {
                    live.unanswered += 1;
                }
                if live.unanswered >= UNANSWERED_MAX {
                    refused = Some(Blame::Worker);
                }
            }
        }
        self.note_answered_start(run, now);
        let Some(blame) = refused else {
            return;
        };
        self.request_stop(run, StopReason::Refused);
        if blame == Blame::Worker {
            self.count_refused_start(run, now);
        }
    }

    /// Counts a failed start against its worker. Without this the task would be placed there again
    /// and again at the same cost, and would run nowhere.
    fn count_refused_start(&mut self, run: Run, now: Now) {
        let id = self.runs.get(&run).map(|live| live.worker.clone());
        let Some(worker) = id.and_then(|id| self.workers.get_mut(&id)) else {
            return;
        };
        if worker.note_failure(now.at) {
            tracing::warn!(worker = %worker.incarnation(), "worker quarantined: it refuses starts");
        }
    }

    fn handle_stop_reply(&mut self, run: Run, reply: &Result<OrderReply, Failure>, now: Now) {
        let Some(live) = self.runs.get_mut(&run) else {
            return;
        };
        let answers = self
            .workers
            .get(&live.worker)
            .is_some_and(|worker| worker.answers);
        match reply {
            Ok(OrderReply::Done(_) | OrderReply::Refused(Refusal::Old)) => {
                live.stop = Stop::Confirmed(now.at);
                let id = live.worker.clone();
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.next_poll = worker.next_poll.min(now.at);
                }
            }
            Ok(OrderReply::Refused(Refusal::Fenced)) => {
                live.retry = now.at + BUSY_RETRY_DELAY;
                let worker = live.worker.clone();
                self.note_fenced_reply(&worker, now);
            }
            Ok(_) => live.retry = now.at + BUSY_RETRY_DELAY,
            Err(failure) if answers => {
                tracing::info!(task = %run.task, run = run.number, worker = %live.worker, %failure, "stop unanswered");
                live.retry = now.at + RETRY_DELAY.max(self.congestion.usual());
            }
            // The worker's silence was logged once, and a stop is no more likely to be answered
            // than a poll.
            Err(_) => live.retry = now.at + POLL_RETRY[0],
        }
    }

    fn handle_pace_reply(
        &mut self,
        run: Run,
        percent: u32,
        reply: &Result<OrderReply, Failure>,
        now: Now,
    ) {
        let Some(live) = self.runs.get_mut(&run) else {
            return;
        };
        match reply {
            Ok(OrderReply::Done(_)) => {
                live.set_pace(percent, now.at);
                // An earlier, unanswered pace order may still arrive after this one.
                live.retry = if live.pace_doubt > now.at {
                    now.at + BUSY_RETRY_DELAY
                } else {
                    Duration::ZERO
                };
            }
            Ok(OrderReply::Refused(Refusal::Fenced)) => {
                live.retry = now.at + RETRY_DELAY;
                let worker = live.worker.clone();
                self.note_fenced_reply(&worker, now);
            }
            Ok(_) => live.retry = now.at + BUSY_RETRY_DELAY,
            Err(failure) => {
                tracing::info!(task = %run.task, run = run.number, worker = %live.worker, %failure, "pace unanswered");
                live.pace_doubt = now.at + LATE_MAX;
                live.retry = now.at + RETRY_DELAY.max(self.congestion.usual());
            }
        }
    }

    /// Ends a run that the worker no longer reports.
    pub(super) fn end_unreported_run(&mut self, run: Run, polled_at: Duration, now: Now) {
        let Some(live) = self.runs.get(&run) else {
            return;
        };
        let end = match (live.stop, live.stage) {
            (Stop::Confirmed(at), _) if at < polled_at => End::Stopped,
            (Stop::None | Stop::Wanted(_), Stage::Started(at)) if at < polled_at => End::Lost,
            _ => return,
        };
        if end == End::Lost
            && let Some(worker) = self.workers.get(&live.worker)
        {
            tracing::warn!(task = %run.task, run = run.number, worker = %live.worker,
                percent = live.percent, told = worker.ends_reported,
                acknowledged = worker.ends_recorded,
                clock_ms = worker.lease.clock().unwrap_or(0),
                "worker reports a run neither as active nor as ended");
        }
        if end == End::Stopped {
            let id = live.worker.clone();
            self.note_ended_run(run, &id);
        }
        self.end_run(run, end, &Arc::from(""), now);
    }
}
