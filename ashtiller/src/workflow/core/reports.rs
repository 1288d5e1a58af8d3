//! Handling of the reports with which workers answer polls.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::failure::Failure;
use crate::workflow::agents::{Active, EndReason, Finished, Order, PollReply, TaskName};
use crate::workflow::core::{Core, Effect, Now, OnDurable};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::lease;
use crate::workflow::live_run::{Stage, Stop, StopReason};
use crate::workflow::record::{End, LogRecord, Run, Task};
use crate::workflow::worker::PendingPoll;

/// Time without progress after which a run counts as stalled. The platform's workers report whole
/// percents; a task of up to 5.4 s gains one every 54 ms or sooner.
const STALL_TIMEOUT: Duration = Duration::from_millis(1100);
/// The same limit for a best-effort fill.
const STALL_TIMEOUT_FILL: Duration = Duration::from_millis(3500);
/// Pause after a poll whose ends are not yet durable, unless they become durable earlier. It delays
/// all other reports of that worker as well, and a latency-sensitive service over its target must
/// be relieved within 4 s.
const UNRECORDED_ENDS_PAUSE: Duration = Duration::from_millis(300);
/// Longest checkpoint that is kept, in bytes. The log holds one for each task.
const CHECKPOINT_BYTES_MAX: usize = 8 << 10;
/// Progress in percent from which a long-running task counts as ready.
const READY_PERCENT: u32 = 100;

/// Returns a checkpoint that a worker reports, or none if it is too long to be kept: the run resumes
/// from the one before.
fn kept_checkpoint(worker: &Incarnation, checkpoint: &Arc<str>) -> Arc<str> {
    if checkpoint.len() <= CHECKPOINT_BYTES_MAX {
        return checkpoint.clone();
    }
    tracing::warn!(%worker, bytes = checkpoint.len(), limit = CHECKPOINT_BYTES_MAX,
        "checkpoint is too long to be kept");
    Arc::default()
}

impl Core {
    /// Returns the run that a worker refers to by name and number.
    fn find_run(&self, name: &TaskName, number: u32) -> Option<Run> {
        let job = self.log_state.find(&name.job)?;
        let task = Task {
            job,
            occurrence: name.occurrence,
            step: name.step,
            index: name.index,
        };
        Some(Run { task, number })
    }

    /// Handles the reply to a poll.
    pub fn handle_poll_reply(
        &mut self,
        id: &Incarnation,
        reply: Result<PollReply, Failure>,
        now: Now,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(poll) = worker.pending_poll.take() else {
            return;
        };
        let sent_at = poll.sent;
        let took = now.at.saturating_sub(sent_at);
        // A reply that came before its wait was over says nothing about delays. Neither does one of
        // a worker that was silent before: if most of a fleet were silent, calls to all others
        // would be throttled.
        if let Some(delay) = took.checked_sub(poll.wait).filter(|_| worker.answers) {
            self.congestion
                .note_delay(worker.incarnation(), delay, now.at);
        }
        match reply {
            Ok(PollReply::Report {
                clock,
                active,
                finished,
                more_ends,
            }) => {
                worker.ends_acknowledged = worker.ends_acknowledged.max(poll.ends_recorded);
                if self.is_other_incarnation(id, clock, sent_at, &active, &finished) {
                    self.restart_in_place(id, now);
                }
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.more_ends = more_ends;
                }
                self.record_poll_reply(id, clock, &poll, now);
                self.record_ends(id, &finished, now);
                self.update_active_runs(id, &active, sent_at, now);
                self.pace_worker(id, now);
                self.candidate_cache.remove(id);
            }
            Ok(PollReply::OtherIncarnation(next)) => self.note_other_incarnation(id, next, now),
            Ok(PollReply::Fenced) => {
                // A poll sent before the fence rose is rejected by that fence.
                if poll.fence >= self.fences.of(id) {
                    self.note_fenced_reply(id, now);
                }
                self.note_missed_poll(id, false, now);
            }
            Ok(PollReply::Busy) => self.note_missed_poll(id, false, now),
            Err(failure) => {
                if worker.answers {
                    tracing::info!(worker = %id, %failure, runs = worker.runs.len(), "worker does not answer");
                }
                let silent = failure.is_timeout();
                if silent {
                    worker.note_unanswered(&poll);
                }
                self.note_missed_poll(id, !silent, now);
            }
        }
    }

    /// Returns whether a report comes from another incarnation, judged by its clock. On a platform
    /// that does not tell incarnations apart, a clock that only lags may also belong to a machine
    /// that was suspended, whose report then still names known runs.
    fn is_other_incarnation(
        &self,
        id: &Incarnation,
        clock: u64,
        sent_at: Duration,
        active: &[Active],
        finished: &[Finished],
    ) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        if worker.lease.is_behind(clock, sent_at) {
            return true;
        }
        if id.born().is_some() || !worker.lease.lags(clock, sent_at) {
            return false;
        }
        let active = active
            .iter()
            .map(|active_run| (&active_run.name, active_run.run));
        let ended = finished.iter().map(|end| (&end.name, end.run));
        let mut reported = active.chain(ended);
        !reported.any(|(name, number)| {
            let run = self.find_run(name, number);
            let live = run.and_then(|run| self.runs.get(&run));
            live.is_some_and(|live| live.worker == *id && live.began.is_some())
        })
    }

    fn record_poll_reply(&mut self, id: &Incarnation, clock: u64, poll: &PendingPoll, now: Now) {
        let former_grants_end = self.fenced_grants_end(id, clock, now);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let first = !worker.fenced;
        if first {
            worker.fenced = true;
            worker.lease.fence(now.at, self.tuning.lease);
            if let Some(end) = former_grants_end.filter(|end| *end > now.at) {
                worker.lease.extend(end);
            }
            // This fence does not reject calls that this owner made to the predecessor.
            if let Some(until) = worker.renewing {
                worker
                    .lease
                    .extend(until + lease::worst_case_elapsed(self.tuning.hold));
            }
            self.needs_planning = true;
        }
        worker.note_answered(poll);
        self.note_answer_after_end(id);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker
            .replaced_since
            .is_some_and(|since| since <= poll.sent)
        {
            // The other entry under its id was an old or a foreign one.
            worker.replaced_since = None;
        }
        if worker.doubted.is_some_and(|until| until <= poll.sent) {
            worker.doubted = None;
            self.needs_planning = true;
        }
        let recovered = !worker.answers;
        if recovered {
            if let Some(last) = worker.lease.clock() {
                tracing::info!(
                    worker = %id,
                    clock_ms = clock,
                    last_clock_ms = last,
                    silent_ms = now.at.saturating_sub(worker.last_answer).as_millis(),
                    acknowledged = worker.ends_recorded,
                    "worker answers again"
                );
            }
            self.needs_planning = true;
        }
        worker.lease.hear(clock, now.at);
        if recovered {
            worker.wake();
        }
        worker.answers = true;
        worker.last_answer = now.at;
        worker.silent_since = None;
        worker.broken_since = None;
        // The first reply tells the worker's clock; the lease is granted with the next poll.
        worker.next_poll = if recovered {
            now.at
        } else {
            // One reply reports several ends that are queued.
            now.at + self.tuning.pause.max(self.congestion.usual())
        };
        if recovered {
            self.note_process_survived(id, now);
        }
        if first {
            self.end_former_incarnations(id, now);
            // The entry may be durable by the next poll, which grants the lease.
            self.may_grant(id, now);
        }
    }

    fn record_ends(&mut self, id: &Incarnation, finished: &[Finished], now: Now) {
        let mut highest = 0;
        for end in finished {
            let checkpoint = kept_checkpoint(id, &end.checkpoint);
            highest = highest.max(end.number);
            let Some(run) = self.find_run(&end.name, end.run) else {
                continue;
            };
            let how = match end.how {
                EndReason::Done => End::Done,
                EndReason::Failed => End::Failed,
                EndReason::Stopped => End::Stopped,
                EndReason::Lapsed | EndReason::Broken | EndReason::Alone => End::Lost,
            };
            match self.runs.get(&run) {
                Some(live) if live.worker == *id => {}
                Some(_) => continue,
                None => {
                    self.record_late_end(id, run, how, &checkpoint, now);
                    continue;
                }
            }
            self.settle_listed_start(run, now);
            self.note_ended_run(run, id);
            self.update_worker_health(id, run, how, now);
            self.end_run(run, how, &checkpoint, now);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if highest > worker.ends_recorded {
            // The worker would list these ends again at once; the next poll, which follows as soon as
            // they are durable, acknowledges them.
            worker.next_poll = worker.next_poll.max(now.at + UNRECORDED_ENDS_PAUSE);
        }
        if highest > worker.ends_reported {
            worker.ends_reported = highest;
            let worker = worker.incarnation().clone();
            self.defer(self.position, OnDurable::Acknowledge(worker, highest), now);
        }
    }

    /// Records an end that was reported after its run had been given up. A completed task must not
    /// run again, and the worker forgets the end once it is acknowledged.
    fn record_late_end(
        &mut self,
        id: &Incarnation,
        run: Run,
        end: End,
        checkpoint: &Arc<str>,
        now: Now,
    ) {
        if !self.log_state.late_end_matters(run, end) {
            return;
        }
        tracing::info!(worker = %id, task = %run.task, run = run.number, ?end,
            "run was reported as ended after it had been given up");
        self.record(LogRecord::Ended(run, end, checkpoint.clone()), now);
        self.needs_planning = true;
        match end {
            End::Done => self.stop_other_runs(run, StopReason::Copied),
            End::Failed => self.check_failure_limit(run, now),
            End::Stopped | End::Lost => {}
        }
    }

    /// Updates the worker's health from the end of a run.
    fn update_worker_health(&mut self, id: &Incarnation, run: Run, end: End, now: Now) {
        let first = self
            .log_state
            .task(run.task)
            .is_some_and(|(_, task)| task.failed.is_empty());
        // A long-running task that had become ready failed for reasons of its own.
        let was_ready = self
            .runs
            .get(&run)
            .is_some_and(|live| live.percent >= READY_PERCENT);
        let first = first && !was_ready;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match end {
            End::Done => worker.note_success(),
            End::Failed if first && worker.note_failure(now.at) => {
                tracing::warn!(
                    worker = %id,
                    until_ms = worker.quarantined_until.map_or(0, |it| it.as_millis()),
                    now_ms = now.at.as_millis(),
                    "worker quarantined: runs fail on it"
                );
            }
            _ => {}
        }
    }

    fn update_active_runs(
        &mut self,
        id: &Incarnation,
        active: &[Active],
        sent_at: Duration,
        now: Now,
    ) {
        let mut present = BTreeSet::new();
        let mut orphans = Vec::new();
        for active_run in active {
            let run = self.find_run(&active_run.name, active_run.run);
            let known_run =
                run.filter(|run| self.runs.get(run).is_some_and(|live| live.worker == *id));
            if let Some(run) = known_run {
                present.insert(run);
                self.settle_listed_start(run, now);
                self.note_progress(run, active_run, now);
                self.note_answered_start(run, now);
            } else {
                self.stop_unknown_run(id, active_run);
                orphans.extend(run);
            }
        }
        if self.workers.get(id).is_some_and(|worker| worker.more_ends) {
            // The end of one that is not listed any more may follow, and may be that of a completed task.
            orphans.extend(self.orphans.runs_on(id));
        }
        self.set_orphans(id, &orphans);
        let Some(worker) = self.workers.get(id).filter(|worker| !worker.more_ends) else {
            return;
        };
        let missing: Vec<Run> = worker.runs.difference(&present).copied().collect();
        for run in missing {
            self.end_unreported_run(run, sent_at, now);
        }
    }

    /// Stops a run that the log does not place on this worker.
    fn stop_unknown_run(&mut self, id: &Incarnation, active_run: &Active) {
        let (limit, fence) = (self.order_timeout(), self.fences.of(id));
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        tracing::warn!(worker = %id, job = %active_run.name.job, run = active_run.run,
            "stopping a run that the log does not place on this worker");
        let run = Run {
            task: Task {
                job: u32::MAX,
                occurrence: active_run.name.occurrence,
                step: active_run.name.step,
                index: active_run.name.index,
            },
            number: active_run.run,
        };
        let order = Order::Stop(active_run.name.clone(), active_run.run);
        self.effects
            .push(Effect::Order(worker.target(fence, limit), run, order));
    }

    fn note_progress(&mut self, run: Run, active_run: &Active, now: Now) {
        let Some(step) = self
            .log_state
            .task(run.task)
            .and_then(|(job, _)| job.step(run.task))
        else {
            return;
        };
        let (serves, fills) = (step.target().is_some(), step.fills());
        let long_running = step.long_running;
        // A best-effort fill may find no idle processors for a while.
        let limit = if fills {
            STALL_TIMEOUT_FILL
        } else {
            STALL_TIMEOUT
        };
        let limit = self.stall_timeout(run, limit, now);
        let Some(live) = self.runs.get_mut(&run) else {
            return;
        };
        if !matches!(live.stage, Stage::Started(_)) {
            live.stage = Stage::Started(now.at);
        }
        let checkpoint = kept_checkpoint(&live.worker, &active_run.checkpoint);
        if !checkpoint.is_empty() {
            live.checkpoint = checkpoint;
        }
        if serves {
            live.tail_latency_ms = active_run.figure;
        } else {
            live.used = active_run.figure;
        }
        if live.began.is_none() || active_run.percent > live.percent {
            live.progressed_at = now.at;
        }
        let becomes_ready =
            long_running && live.percent < READY_PERCENT && active_run.percent >= READY_PERCENT;
        live.percent = active_run.percent;
        live.began.get_or_insert((now.at, active_run.percent));
        if live.pace < 100 || live.pace_goal < 100 {
            // A throttled run is not stalled; its timer starts when it may run at full speed.
            live.progressed_at = now.at;
        }
        let stalled = now.at.saturating_sub(live.progressed_at) > limit;
        if becomes_ready {
            let id = live.worker.clone();
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.note_success();
                self.needs_planning = true;
            }
            return;
        }
        if stalled && !long_running && live.stop == Stop::None && active_run.percent < 100 {
            tracing::info!(task = %run.task, run = run.number, worker = %live.worker,
                percent = active_run.percent,
                since_ms = now.at.saturating_sub(live.progressed_at).as_millis(),
                "run makes no progress");
            let id = live.worker.clone();
            self.request_stop(run, StopReason::Stalled);
            if let Some(worker) = self.workers.get_mut(&id)
                && worker.quarantined_until.is_none_or(|until| until < now.at)
            {
                worker.quarantine(now.at);
            }
        }
        self.note_straggler(run, now);
    }
}
