//! Orders that go out to workers, and the answers to them.

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

/// Pause before an unanswered order goes out again.
const RETRY: Duration = Duration::from_millis(60);
/// Pause before an order that the worker refused for the moment goes out again.
const RETRY_BUSY: Duration = Duration::from_millis(250);
/// Starts that may go unanswered before the run is given up there.
const UNANSWERED_MAX: u32 = 4;
/// Part of the time for which a leaving worker takes starts that one order may take at most;
/// the rest is for news of workers to come.
const ORDER_SHARE: f64 = 0.4;

/// What a start that came to nothing speaks against.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Blame {
    Run,
    Worker,
}

impl Core {
    /// How workers know a task.
    pub(super) fn task_name(&self, run: Run) -> Option<TaskName> {
        let job = self.log_state.jobs.get(&run.task.job)?;
        Some(TaskName {
            job: job.job.id.clone(),
            occurrence: run.task.occurrence,
            step: run.task.step,
            index: run.task.index,
        })
    }

    /// How long an answer to an order is waited for.
    pub(super) fn order_timeout(&self) -> Duration {
        let most = self.terms.drain.mul_f64(ORDER_SHARE);
        self.pressure.timeout(ORDER_TIMEOUT_MIN, most)
    }

    /// Sends the next order to a worker; whether there was one.
    pub(super) fn send_next_order(&mut self, id: &Incarnation, now: Now) -> bool {
        if !self
            .workers
            .get(id)
            .is_some_and(|worker| dispatch::is_ready(worker, now))
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
            self.pressure.note_sent();
            self.counts.orders += 1;
            if let Some(live) = self.runs.get_mut(&run) {
                live.ordering = true;
                live.sent += u32::from(matches!(order, Order::Start(_)));
            }
            let target = worker.target(fence, limit);
            self.effects.push(Effect::Order(target, run, order));
            return true;
        }
        false
    }

    /// Runs of a worker about which an order may go out, stops first: what is to be stopped
    /// may run on for a bounded time only. And when the first pause of the others is over:
    /// until then, or until an event says otherwise, there is nothing to do.
    fn collect_due(&self, id: &Incarnation, now: Now) -> (Vec<Run>, Duration) {
        let mut stops = Vec::new();
        let mut others = Vec::new();
        let mut next = Duration::MAX;
        for run in &self.workers[id].runs {
            let Some(live) = self.runs.get(run) else {
                continue;
            };
            match live.stop {
                _ if live.retry > now.at => next = next.min(live.retry),
                Stop::Wanted(_) => stops.push(*run),
                Stop::None | Stop::Confirmed(_) => others.push(*run),
            }
        }
        stops.append(&mut others);
        (stops, next)
    }

    /// The next order about a run, if one is due.
    fn next_order(&mut self, run: Run, id: &Incarnation, now: Now) -> Option<Order> {
        let live = self.runs.get_mut(&run)?;
        if live.ordering || now.at < live.retry {
            return None;
        }
        if let Stage::Recorded(position) = live.stage {
            if position > self.durable {
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
        // What was decided by an older list may be wrong by now, however it was decided.
        if !self.may_start(now) {
            self.hold_starts(now);
            return None;
        }
        let name = self.task_name(run)?;
        let (job, task) = self.log_state.task(run.task)?;
        let payload = job.job.payload.clone();
        let saved = task.checkpoint.clone();
        let ticket = self.runs.get(&run).and_then(|live| live.ticket.clone());
        let list_age = self.list_age(now);
        // It may have left since the run was placed, or since a start that got no answer.
        let worker = self.workers.get(id)?;
        if !self.accepts_starts(worker, now) || self.is_evacuated(worker) {
            return None;
        }
        match self.check_fit(run, id) {
            FitsWhen::Now => {}
            FitsWhen::Later => return None,
            FitsWhen::Never => {
                tracing::info!(task = %run.task, run = run.number, worker = %id,
                    "start is withdrawn: the worker's room has shrunk");
                self.request_stop(run, StopReason::Shrunk);
                return None;
            }
        }
        let worker = self.workers.get_mut(id)?;
        // Its next answer wakes what waits here.
        if !worker.answers {
            return None;
        }
        let until = worker.lease.grant(now.at, self.terms.lease)?;
        tracing::debug!(task = %run.task, run = run.number, worker = %id,
            list_age_ms = list_age.as_millis(), "start is ordered");
        Some(Order::Start(Start {
            name,
            run: run.number,
            payload,
            until,
            checkpoint: saved,
            ticket,
        }))
    }

    /// Takes the answer to an order.
    pub fn handle_order_reply(
        &mut self,
        id: &Incarnation,
        run: Run,
        order: &Order,
        said: Result<OrderReply, Failure>,
        now: Now,
    ) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.ordering > 0
        {
            worker.ordering -= 1;
            worker.wake();
            let took = now.at.saturating_sub(worker.ordered);
            if worker.answers {
                self.pressure.note_order(worker.incarnation(), took, now.at);
            } else {
                self.pressure.note_end();
            }
        } else {
            self.pressure.note_end();
        }
        if said.is_err() {
            self.raise_fence(id, now);
        }
        if let Ok(OrderReply::OtherIncarnation) = said {
            self.note_other_incarnation(id, None, now);
            return;
        }
        let lags = self.hear_clock(id, &said, now);
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
            live.retry = now.at + RETRY;
            return;
        }
        match order {
            Order::Start(_) => self.take_start(run, said, now),
            Order::Stop(..) => self.take_stop(run, &said, now),
            Order::Pace(_, _, percent) => self.take_pace(run, *percent, &said, now),
        }
    }

    /// Takes note of the clock in an answer to an order. One that lags is of another life, or of
    /// a machine that was suspended; which, a look tells. What was ordered is in doubt.
    fn hear_clock(
        &mut self,
        id: &Incarnation,
        said: &Result<OrderReply, Failure>,
        now: Now,
    ) -> bool {
        let &Ok(OrderReply::Done(clock)) = said else {
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
        // A life that has carried out an order for the one before holds that lease by its own
        // clock, which began later. By the old one it would count as over while the task still
        // runs, and the task would start elsewhere.
        worker.lease.note_lag(clock, now.at, self.terms.hold);
        worker.answers = false;
        worker.next_poll = worker.next_poll.min(now.at);
        self.raise_fence(id, now);
        if behind && id.born().is_none() {
            self.restart_in_place(id, now);
        }
        true
    }

    fn take_start(&mut self, run: Run, said: Result<OrderReply, Failure>, now: Now) {
        let mut refused = None;
        let Some(live) = self.runs.get_mut(&run) else {
            return;
        };
        match said {
            Ok(OrderReply::Done(_)) => {
                if !matches!(live.stage, Stage::Started(_)) {
                    live.stage = Stage::Started(now.at);
                }
            }
            Ok(OrderReply::Refused(Refusal::Late)) => live.retry = now.at,
            Ok(OrderReply::Refused(Refusal::Fenced)) => {
                live.retry = now.at + RETRY;
                let worker = live.worker.clone();
                self.note_fenced_reply(&worker, now);
            }
            Ok(OrderReply::Refused(Refusal::Busy)) => {
                live.unanswered += 1;
                live.retry = now.at + RETRY_BUSY;
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
                if failure.effect == failure::RemoteEffect::None {
                    live.sent = live.sent.saturating_sub(1);
                } else {
                    let until = Some(now.at + LATE_MAX);
                    live.in_doubt = until;
                    if failure.is_timeout()
                        && let Some(worker) = self.workers.get_mut(&live.worker)
                    {
                        worker.renewing = worker.renewing.max(until);
                    }
                }
                live.retry = now.at + RETRY.max(self.pressure.usual());
                // Slowness that most workers share says nothing of this one.
                if !self.pressure.is_congested() {
                    live.unanswered += 1;
                }
                if live.unanswered >= UNANSWERED_MAX {
                    refused = Some(Blame::Worker);
                }
            }
        }
        let Some(blame) = refused else {
            return;
        };
        self.request_stop(run, StopReason::Refused);
        if blame == Blame::Worker {
            self.note_refusal(run, now);
        }
    }

    /// Counts a start that failed against its worker: by the same costs the task would be
    /// placed there again and again, and run nowhere.
    fn note_refusal(&mut self, run: Run, now: Now) {
        let id = self.runs.get(&run).map(|live| live.worker.clone());
        let Some(worker) = id.and_then(|id| self.workers.get_mut(&id)) else {
            return;
        };
        if worker.note_failure(now.at) {
            tracing::warn!(worker = %worker.incarnation(), "worker put aside: it refuses what it is to start");
        }
    }

    fn take_stop(&mut self, run: Run, said: &Result<OrderReply, Failure>, now: Now) {
        let Some(live) = self.runs.get_mut(&run) else {
            return;
        };
        let answers = self
            .workers
            .get(&live.worker)
            .is_some_and(|worker| worker.answers);
        match said {
            Ok(OrderReply::Done(_) | OrderReply::Refused(Refusal::Old)) => {
                live.stop = Stop::Confirmed(now.at);
                let id = live.worker.clone();
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.next_poll = worker.next_poll.min(now.at);
                }
            }
            Ok(OrderReply::Refused(Refusal::Fenced)) => {
                live.retry = now.at + RETRY_BUSY;
                let worker = live.worker.clone();
                self.note_fenced_reply(&worker, now);
            }
            Ok(_) => live.retry = now.at + RETRY_BUSY,
            Err(failure) if answers => {
                tracing::info!(task = %run.task, run = run.number, worker = %live.worker, %failure, "stop unanswered");
                live.retry = now.at + RETRY.max(self.pressure.usual());
            }
            // That the worker is silent was said once; a stop has no better chance than a look.
            Err(_) => live.retry = now.at + POLL_RETRY[0],
        }
    }

    fn take_pace(&mut self, run: Run, percent: u32, said: &Result<OrderReply, Failure>, now: Now) {
        let Some(live) = self.runs.get_mut(&run) else {
            return;
        };
        match said {
            Ok(OrderReply::Done(_)) => {
                live.set_pace(percent, now.at);
                // An earlier one that was not answered may still come after this one.
                live.retry = if live.pace_doubt > now.at {
                    now.at + RETRY_BUSY
                } else {
                    Duration::ZERO
                };
            }
            Ok(OrderReply::Refused(Refusal::Fenced)) => {
                live.retry = now.at + RETRY;
                let worker = live.worker.clone();
                self.note_fenced_reply(&worker, now);
            }
            Ok(_) => live.retry = now.at + RETRY_BUSY,
            Err(failure) => {
                tracing::info!(task = %run.task, run = run.number, worker = %live.worker, %failure, "pace unanswered");
                live.pace_doubt = now.at + LATE_MAX;
                live.retry = now.at + RETRY.max(self.pressure.usual());
            }
        }
    }

    /// Ends a run of which the worker says nothing any more.
    pub(super) fn end_unreported_run(&mut self, run: Run, begun: Duration, now: Now) {
        let Some(live) = self.runs.get(&run) else {
            return;
        };
        let end = match (live.stop, live.stage) {
            (Stop::Confirmed(at), _) if at < begun => End::Stopped,
            (Stop::None | Stop::Wanted(_), Stage::Started(at)) if at < begun => End::Lost,
            _ => return,
        };
        if end == End::Lost
            && let Some(worker) = self.workers.get(&live.worker)
        {
            tracing::warn!(task = %run.task, run = run.number, worker = %live.worker,
                percent = live.percent, told = worker.ends_reported, acknowledged = worker.ends_recorded,
                clock_ms = worker.lease.clock().unwrap_or(0),
                "worker lists a run neither as going on nor as ended");
        }
        self.end_run(run, end, &Arc::from(""), now);
    }
}
