//! What workers report when they are looked at.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::failure::Failure;
use crate::workflow::agents::{Active, EndReason, Finished, Order, PollReply, TaskName};
use crate::workflow::core::polls::POLL_TIMEOUT_MAX;
use crate::workflow::core::{Core, Effect, Now, OnDurable};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::lease;
use crate::workflow::live_run::{Stage, Stop, StopReason};
use crate::workflow::record::{End, LogRecord, Run, Task};
use crate::workflow::worker::{LATE_MAX, PendingPoll};

/// Time without progress after which a run counts as stalled. The platform's
/// workers report whole percents, which tasks of up to 5.4 s gain every 54 ms.
const STALLED: Duration = Duration::from_millis(1100);
/// The same for a run that fills.
const STALLED_FILL: Duration = Duration::from_millis(3500);
/// Pause after a look whose ends are not in the log yet, unless they get there earlier.
/// Reports of what else runs there are older by as much; a service over its target must
/// have relief within 4 s.
const UNNOTED: Duration = Duration::from_millis(300);
/// Age of a life by which all grants meant for the one before were carried out: the last of them
/// went out with a look that was under way as the life began.
const FORMER_GRANT: Duration = POLL_TIMEOUT_MAX.saturating_mul(2).saturating_add(LATE_MAX);
/// Percent at which a lasting task is at work.
const AT_WORK: u32 = 100;

impl Core {
    /// The run that a worker means.
    fn run_of(&self, name: &TaskName, number: u32) -> Option<Run> {
        let job = self.log_state.find(&name.job)?;
        let task = Task {
            job,
            occurrence: name.occurrence,
            step: name.step,
            index: name.index,
        };
        Some(Run { task, number })
    }

    /// Takes the answer to a look.
    pub fn handle_poll_reply(
        &mut self,
        id: &Incarnation,
        looked: Result<PollReply, Failure>,
        now: Now,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(asked) = worker.pending_poll.take() else {
            return;
        };
        let begun = asked.sent;
        let took = now.at.saturating_sub(begun);
        // One that was answered before its wait was over tells nothing of delays, nor does a
        // worker that was silent before: if most of a fleet were, all others would wait.
        if let Some(late) = took.checked_sub(asked.wait).filter(|_| worker.answers) {
            self.pressure.note_delay(worker.incarnation(), late, now.at);
        }
        match looked {
            Ok(PollReply::Report {
                clock,
                active,
                finished,
            }) => {
                worker.ends_acknowledged = worker.ends_acknowledged.max(asked.ends_recorded);
                if self.is_other_life(id, clock, begun, &active, &finished) {
                    self.restart_in_place(id, now);
                }
                self.greet_worker(id, clock, &asked, now);
                self.take_finished(id, &finished, now);
                self.take_active(id, &active, begun, now);
                self.pace_worker(id, now);
                self.summaries.remove(id);
            }
            Ok(PollReply::OtherIncarnation(next)) => self.note_other_incarnation(id, next, now),
            Ok(PollReply::Fenced) => {
                self.note_fenced_reply(id, now);
                self.note_missed_poll(id, false, now);
            }
            Ok(PollReply::Busy) => self.note_missed_poll(id, false, now),
            Err(failure) => {
                if worker.answers {
                    tracing::info!(worker = %id, %failure, runs = worker.runs.len(), "worker does not answer");
                }
                let silent = failure.is_timeout();
                if silent {
                    worker.note_unanswered(&asked);
                }
                self.note_missed_poll(id, !silent, now);
            }
        }
    }

    /// Whether a report is of another life, by its clock. Where no births are told, one that only
    /// lags may also be of a machine that was suspended: then it still knows of runs.
    fn is_other_life(
        &self,
        id: &Incarnation,
        clock: u64,
        begun: Duration,
        active: &[Active],
        finished: &[Finished],
    ) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        if worker.lease.is_behind(clock, begun) {
            return true;
        }
        if id.born().is_some() || !worker.lease.lags(clock, begun) {
            return false;
        }
        let active = active.iter().map(|row| (&row.name, row.run));
        let ended = finished.iter().map(|end| (&end.name, end.run));
        let mut told = active.chain(ended);
        !told.any(|(name, number)| {
            let run = self.run_of(name, number);
            let live = run.and_then(|run| self.runs.get(&run));
            live.is_some_and(|live| live.worker == *id && live.began.is_some())
        })
    }

    fn greet_worker(&mut self, id: &Incarnation, clock: u64, asked: &PendingPoll, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let first = !worker.fenced;
        if first {
            worker.fenced = true;
            worker.lease.fence(now.at, self.terms.lease);
            // A young life may have carried out a grant that an earlier owner made to the one
            // before, by a clock that had gone on for longer.
            let hold = lease::worst_case_elapsed(self.terms.hold);
            if Duration::from_millis(clock) < FORMER_GRANT + self.terms.hold {
                worker.lease.extend(now.at + hold);
            }
            // This fence keeps out none of this owner's calls to the life before.
            if let Some(until) = worker.renewing {
                worker.lease.extend(until + hold);
            }
            self.needs_planning = true;
        }
        worker.note_fence(asked.fence);
        if worker.doubted.is_some_and(|until| until <= asked.sent) {
            worker.doubted = None;
            self.needs_planning = true;
        }
        let again = !worker.answers;
        if again {
            if let Some(last) = worker.lease.clock() {
                tracing::info!(
                    worker = %id,
                    clock_ms = clock,
                    last_clock_ms = last,
                    silent_ms = now.at.saturating_sub(worker.heard).as_millis(),
                    acknowledged = worker.ends_recorded,
                    "worker answers again"
                );
            }
            self.needs_planning = true;
        }
        worker.lease.hear(clock, now.at);
        if again {
            worker.wake();
        }
        worker.answers = true;
        worker.heard = now.at;
        worker.missed = None;
        worker.broke = None;
        // The first answer tells the clock; the lease comes with the next look.
        worker.next_poll = if again {
            now.at
        } else {
            // Of several ends in a queue, one answer tells.
            now.at + self.terms.pause.max(self.pressure.usual())
        };
        if first {
            self.end_former_incarnations(id, now);
            self.stop_unconfirmed_starts(id, now);
        }
    }

    fn take_finished(&mut self, id: &Incarnation, finished: &[Finished], now: Now) {
        let mut highest = 0;
        for end in finished {
            highest = highest.max(end.number);
            let Some(run) = self.run_of(&end.name, end.run) else {
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
                    self.take_late_end(id, run, how, &end.checkpoint, now);
                    continue;
                }
            }
            self.note_health(id, run, how, now);
            self.end_run(run, how, &end.checkpoint, now);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if highest > worker.ends_recorded {
            // It would list these ends again at once; the next look acknowledges them.
            worker.next_poll = worker.next_poll.max(now.at + UNNOTED);
        }
        if highest > worker.ends_reported {
            worker.ends_reported = highest;
            let worker = worker.incarnation().clone();
            self.defer(self.position, OnDurable::Acknowledge(worker, highest), now);
        }
    }

    /// Takes an end whose run was given up before its worker could tell it. Work that is
    /// done must not be done again, and the worker forgets the end once it is acknowledged.
    fn take_late_end(&mut self, id: &Incarnation, run: Run, end: End, saved: &Arc<str>, now: Now) {
        if !self.log_state.late_end_matters(run, end) {
            return;
        }
        tracing::info!(worker = %id, task = %run.task, run = run.number, ?end,
            "end is told after its run was given up");
        self.record(LogRecord::Ended(run, end, saved.clone()), now);
        self.needs_planning = true;
        match end {
            End::Done => self.stop_other_runs(run, StopReason::Copied),
            End::Failed => self.check_failure_limit(run, now),
            End::Stopped | End::Lost => {}
        }
    }

    /// Learns from an end whether the worker is well.
    fn note_health(&mut self, id: &Incarnation, run: Run, end: End, now: Now) {
        let first = self
            .log_state
            .task(run.task)
            .is_some_and(|(_, task)| task.failed.is_empty());
        // A lasting task that was at work has failed by itself.
        let earned = self
            .runs
            .get(&run)
            .is_some_and(|live| live.percent >= AT_WORK);
        let first = first && !earned;
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
                    "worker put aside: it fails what it starts"
                );
            }
            _ => {}
        }
    }

    fn take_active(&mut self, id: &Incarnation, active: &[Active], begun: Duration, now: Now) {
        let mut present = BTreeSet::new();
        for row in active {
            let run = self.run_of(&row.name, row.run);
            let ours = run.filter(|run| self.runs.get(run).is_some_and(|live| live.worker == *id));
            match ours {
                Some(run) => {
                    present.insert(run);
                    self.note_progress(run, row, now);
                }
                None => self.stop_stray(id, row),
            }
        }
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let missing: Vec<Run> = worker.runs.difference(&present).copied().collect();
        for run in missing {
            self.end_unreported_run(run, begun, now);
        }
    }

    /// A run that the log does not place here is stopped.
    fn stop_stray(&mut self, id: &Incarnation, row: &Active) {
        let (limit, fence) = (self.order_timeout(), self.fences.of(id));
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        tracing::warn!(worker = %id, job = %row.name.job, run = row.run, "stray run is stopped");
        let run = Run {
            task: Task {
                job: u32::MAX,
                occurrence: row.name.occurrence,
                step: row.name.step,
                index: row.name.index,
            },
            number: row.run,
        };
        let order = Order::Stop(row.name.clone(), row.run);
        self.effects
            .push(Effect::Order(worker.target(fence, limit), run, order));
    }

    fn note_progress(&mut self, run: Run, row: &Active, now: Now) {
        let Some(step) = self
            .log_state
            .task(run.task)
            .and_then(|(job, _)| job.step(run.task))
        else {
            return;
        };
        let (serves, fills) = (step.target().is_some(), step.fills());
        let lasting = step.long_running;
        let Some(live) = self.runs.get_mut(&run) else {
            return;
        };
        if !matches!(live.stage, Stage::Started(_)) {
            live.stage = Stage::Started(now.at);
        }
        if !row.checkpoint.is_empty() {
            live.checkpoint = row.checkpoint.clone();
        }
        if serves {
            live.tail = row.figure;
        } else {
            live.used = row.figure;
        }
        if live.began.is_none() || row.percent > live.percent {
            live.moved = now.at;
        }
        let begins = lasting && live.percent < AT_WORK && row.percent >= AT_WORK;
        live.percent = row.percent;
        live.began.get_or_insert((now.at, row.percent));
        if live.pace < 100 || live.pace_goal < 100 {
            // Slow by order: its clock begins when it may work in full.
            live.moved = now.at;
        }
        // What fills may find no processors unused for a while.
        let limit = if fills { STALLED_FILL } else { STALLED };
        let stalled = now.at.saturating_sub(live.moved) > limit;
        if begins {
            let id = live.worker.clone();
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.note_success();
                self.needs_planning = true;
            }
            return;
        }
        if stalled && !lasting && live.stop == Stop::None && row.percent < 100 {
            tracing::info!(task = %run.task, run = run.number, worker = %live.worker, percent = row.percent,
                since_ms = now.at.saturating_sub(live.moved).as_millis(), "run stalls");
            let id = live.worker.clone();
            self.request_stop(run, StopReason::Stalled);
            if let Some(worker) = self.workers.get_mut(&id)
                && worker.quarantined_until.is_none_or(|until| until < now.at)
            {
                worker.quarantine(now.at);
            }
        }
    }
}
