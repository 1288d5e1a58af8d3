//! Starts that are carried out late, by a later incarnation of the worker that they were sent to.
//!
//! An unanswered start may be carried out for 13 s, by whichever incarnation of the worker id then
//! lives, and a new incarnation knows neither the fence nor the stops of its predecessor. If the
//! task is started elsewhere meanwhile, it runs on two workers at once. Each test forces one order
//! of sends, arrivals and restarts against workers with the platform's rules, where a stop takes
//! 900 ms, and checks at each step that no task runs twice.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use ashtiller::failure::Failure;
use ashtiller::resources::Resources;
use ashtiller::workflow::agents::{
    EndReason, Order, OrderReply, Poll, PollReply, Refusal, Target, TaskName,
};
use ashtiller::workflow::config::{Config, ListedWorker, Queue};
use ashtiller::workflow::core::{Core, Effect, Now, RequestToken};
use ashtiller::workflow::evacuations::Zones;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::{Policy, Step};
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::record::{End, LogRecord, Outcome, Run};
use ashtiller::workflow::snapshot;
use ashtiller::workflow::tuning::Tuning;
use ashtiller::workflow::worker::LATE_MAX;

use crate::driver::{MS, job, listed, policy, step};
use crate::trace;
use crate::worker::{DisabledSafeguards, Worker};

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(5);
/// Time between a stop and the listed end of its run.
const STOP_TIME: Duration = Duration::from_millis(900);
/// Time after which the caller of a lost order gives up.
const ORDER_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest wait of a poll, shorter than the platform's so that a restart is noticed soon.
const POLL_WAIT: Duration = Duration::from_millis(200);
/// Time after which an order is answered late, but not too late.
const SLOW_ANSWER: Duration = Duration::from_millis(300);
/// Time after the start of a process at which it answers its first poll.
const FIRST_LIST: Duration = Duration::from_millis(150);
/// Delay of the polls of a slow incarnation.
const SLOW_POLL: Duration = Duration::from_millis(300);
/// Time after which all leases of owners before the first one have ended.
const EARLIER_LEASES: Duration = Duration::from_secs(20);
/// Time within which a task must be done.
const DONE_MAX: Duration = Duration::from_secs(40);

/// What happens to a start.
enum Fate {
    /// Delivered and answered at once.
    Prompt,
    /// Delivered at once, but not answered.
    Unanswered,
    /// Not answered; kept until the test delivers it.
    Held,
    /// Not answered and never delivered.
    Lost,
    /// The connection is refused, so that nothing was sent.
    Refused,
    /// Delivered and answered after the worker's process has been replaced.
    AfterRestart,
    /// The same, with the held starts delivered before it.
    AfterHeld,
    /// Delivered at once, but answered after [`SLOW_ANSWER`].
    AnsweredLate,
}

/// An event of an owner is dropped once that owner was replaced.
enum Event {
    Durable(u64, u64, Duration, Vec<LogRecord>),
    OrderReply(u64, Incarnation, Run, Order, Result<OrderReply, Failure>),
    Poll(u64, Duration, Target, Poll),
    PollReply(u64, Incarnation, Result<PollReply, Failure>),
    StopEnds(Arc<str>, Duration, TaskName, u32),
}

/// A process of a worker.
struct Process {
    worker: Worker,
    /// Highest fencing token that it has seen.
    fence: u64,
}

/// An owner, its log, and workers that it reaches over calls whose fate the test decides.
struct Fleet {
    core: Core,
    now: Now,
    births: bool,
    next_birth: u64,
    epoch: u64,
    revision: u64,
    log: Vec<Vec<LogRecord>>,
    events: Vec<(Duration, Event)>,
    processes: BTreeMap<Arc<str>, Process>,
    entries: BTreeMap<Arc<str>, ListedWorker>,
    /// Fates of the next starts; those after them are delivered promptly.
    fates: VecDeque<Fate>,
    /// Starts that were held, with the time of sending.
    held: Vec<(Duration, Target, Order)>,
    /// Incarnation whose polls arrive late, by [`SLOW_POLL`].
    slow: Option<Incarnation>,
    /// Worker to which all starts are lost.
    deaf: Option<Arc<str>>,
    /// Worker that the owner cannot reach; it continues.
    cut_off: Option<Arc<str>>,
    /// Worker on which all runs fail.
    failing: Option<Arc<str>>,
    /// Time after which the caller of a lost order gives up.
    timeout: Duration,
    /// Longest wait of a poll.
    poll_wait: Duration,
    duration: Duration,
    /// Starts that were sent: worker id, run, time.
    sent: Vec<(Arc<str>, Run, Duration)>,
    /// Violations of the rule that no task runs twice at once.
    violations: BTreeSet<String>,
}

impl Fleet {
    /// Creates an owner and one worker, `w0`, whose process has run for a while.
    fn new(births: bool) -> Self {
        let now = Now {
            at: Duration::from_mins(10),
            wall: 1_000_000,
        };
        trace::set_time(now.at);
        let mut fleet = Self {
            core: Core::new(Tuning::default(), 1, LogState::default(), 1, now),
            now,
            births,
            next_birth: 0,
            epoch: 1,
            revision: 1,
            log: Vec::new(),
            events: Vec::new(),
            processes: BTreeMap::new(),
            entries: BTreeMap::new(),
            fates: VecDeque::new(),
            held: Vec::new(),
            slow: None,
            deaf: None,
            cut_off: None,
            failing: None,
            timeout: ORDER_TIMEOUT,
            poll_wait: POLL_WAIT,
            duration: 3 * SECOND,
            sent: Vec::new(),
            violations: BTreeSet::new(),
        };
        fleet.configure();
        fleet.add_worker(0);
        fleet.run_for(5 * SECOND);
        fleet
    }

    fn configure(&mut self) {
        self.core.set_config(Arc::new(Config {
            version: 1,
            queues: vec![Queue {
                host: "jobs".into(),
                prefix: "/q/".into(),
                policy: policy(),
            }],
            ..Config::default()
        }));
    }

    fn add_worker(&mut self, number: u16) {
        let id: Arc<str> = format!("w{number}").into();
        self.entries.insert(id.clone(), listed(number));
        self.begin(&id);
        self.relist(&id);
        let entries = self.entries.values().cloned().collect();
        self.core.list_all(entries, self.now);
    }

    /// Starts a process of a worker.
    fn begin(&mut self, id: &str) {
        self.next_birth += 1000;
        let born = self.births.then_some(self.next_birth);
        let incarnation = Incarnation::new(id, born);
        tracing::info!(worker = %incarnation, "fleet: process begins");
        let capacity = self.entries[id].capacity;
        let worker = Worker::new(incarnation, capacity, 100, DisabledSafeguards::default());
        let worker = worker.with_start_time(self.now.at);
        self.processes
            .insert(id.into(), Process { worker, fence: 0 });
    }

    /// Ends a worker's process.
    fn end(&mut self, id: &str) {
        tracing::info!(worker = %id, "fleet: process ends");
        self.processes.remove(id);
    }

    /// Lists the current process of a worker, which does not drain.
    fn relist(&mut self, id: &str) {
        let incarnation = self.processes[id].worker.incarnation.clone();
        self.update_entry(id, |entry| {
            entry.incarnation = incarnation;
            entry.draining = false;
            entry.remaining = None;
        });
    }

    /// Announces that a worker drains.
    fn drain(&mut self, id: &str) {
        self.update_entry(id, |entry| {
            entry.draining = true;
            entry.remaining = Some(10 * SECOND);
        });
    }

    fn update_entry(&mut self, id: &str, change: impl FnOnce(&mut ListedWorker)) {
        let entry = self.entries.get_mut(id).unwrap();
        change(entry);
        let entry = entry.clone();
        self.core.list_worker(entry, self.now);
    }

    /// Replaces the owner; the former one makes no further call.
    fn replace_owner(&mut self) {
        let mut state = LogState::default();
        for record in self.log.iter().flatten() {
            state.apply(record, self.now.at);
        }
        self.replace_owner_of(state);
    }

    /// Replaces the owner by one that has read this state.
    fn replace_owner_of(&mut self, state: LogState) {
        let former = self.epoch;
        self.revision += 1;
        self.epoch = self.revision;
        tracing::info!(epoch = self.epoch, "fleet: new owner");
        let position = self.log.len() as u64 + 1;
        self.core = Core::new(Tuning::default(), self.epoch, state, position, self.now);
        self.configure();
        let entries = self.entries.values().cloned().collect();
        self.core.list_all(entries, self.now);
        self.core.note_predecessor_ended(former, self.now);
    }

    fn submit(&mut self, steps: Vec<Step>) {
        self.core.submit(job("1", steps), RequestToken(1), self.now);
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.events.push((self.now.at + after, event));
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.now.at + span;
        while self.now.at < end {
            self.step();
        }
    }

    /// Runs until a condition holds, for at most `limit`; returns whether it holds.
    fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now.at + limit;
        while self.now.at < end && !holds(self) {
            self.step();
        }
        holds(self)
    }

    fn step(&mut self) {
        self.now.at += STEP;
        self.now.wall += 5;
        trace::set_time(self.now.at);
        let due = std::mem::take(&mut self.events);
        let (due, rest): (Vec<_>, Vec<_>) = due.into_iter().partition(|(at, _)| *at <= self.now.at);
        self.events = rest;
        for (_, event) in due {
            self.handle(event);
        }
        self.advance_workers();
        self.core.note_complete_listing(self.now.at);
        self.core
            .note_evacuations(&Zones::new(), Duration::ZERO, self.now);
        for effect in self.core.advance(self.now) {
            self.perform(effect);
        }
        self.check();
    }

    fn advance_workers(&mut self) {
        for process in self.processes.values_mut() {
            for (name, run) in process.worker.advance(self.now.at) {
                tracing::info!(worker = %process.worker.incarnation, index = name.index, run, "fleet: run is done");
            }
        }
    }

    /// Checks that no task has two runs.
    fn check(&mut self) {
        let mut holders: BTreeMap<&TaskName, Vec<(&str, u32)>> = BTreeMap::new();
        for (id, process) in &self.processes {
            for (name, run) in process.worker.runs.keys() {
                holders.entry(name).or_default().push((id, *run));
            }
        }
        for (name, at) in holders.into_iter().filter(|(_, at)| at.len() > 1) {
            let text = format!("task {} runs as {at:?}", name.index);
            if !self.violations.contains(&text) {
                tracing::warn!("fleet: VIOLATION: {text}");
                self.violations.insert(text);
            }
        }
    }

    fn perform(&mut self, effect: Effect) {
        let owner = self.epoch;
        match effect {
            Effect::Append(position, records) => {
                let event = Event::Durable(owner, position, self.now.at, records);
                self.schedule(STEP, event);
            }
            Effect::Order(target, run, order) => self.send(target, run, order),
            Effect::Poll(target, poll) => {
                let slow = self.slow.as_ref() == Some(&target.incarnation);
                let event = Event::Poll(owner, self.now.at, target, poll.clone());
                let delay = if slow { SLOW_POLL } else { Duration::ZERO };
                self.schedule(poll.wait.min(self.poll_wait).max(STEP) + delay, event);
            }
            Effect::Reply(..)
            | Effect::Advise(_)
            | Effect::MachineOrder(..)
            | Effect::ListMachines
            | Effect::ConfirmOwnership => {}
        }
    }

    fn send(&mut self, target: Target, run: Run, order: Order) {
        let id: Arc<str> = target.incarnation.id().into();
        let mut fate = Fate::Prompt;
        if let Order::Start(_) = order {
            fate = self.fates.pop_front().unwrap_or(Fate::Prompt);
            if self.deaf.as_ref() == Some(&id) || self.cut_off.as_ref() == Some(&id) {
                fate = Fate::Lost;
            }
            self.sent.push((id.clone(), run, self.now.at));
        }
        tracing::info!(worker = %target.incarnation, fence = target.fence, index = run.task.index,
            run = run.number, kind = order.kind(), "fleet: order sent");
        let unanswered = Failure::unknown_effect("order", &id, "no answer in time");
        let refused = Failure::no_effect("order", &id, "connection refused");
        let (after, reply) = match fate {
            Fate::Prompt => (STEP, self.deliver(&target, &order).ok_or(refused)),
            Fate::AfterRestart => {
                self.end(&id);
                self.begin(&id);
                (STEP, self.deliver(&target, &order).ok_or(refused))
            }
            Fate::AfterHeld => {
                self.end(&id);
                self.begin(&id);
                self.deliver_held();
                (STEP, self.deliver(&target, &order).ok_or(refused))
            }
            Fate::AnsweredLate => (SLOW_ANSWER, self.deliver(&target, &order).ok_or(refused)),
            Fate::Unanswered => {
                self.deliver(&target, &order);
                (self.timeout, Err(unanswered))
            }
            Fate::Lost => (self.timeout, Err(unanswered)),
            Fate::Refused => (
                STEP,
                Err(Failure::no_effect(
                    "order",
                    &target.incarnation,
                    "connection refused",
                )),
            ),
            Fate::Held => {
                self.held.push((self.now.at, target.clone(), order.clone()));
                (self.timeout, Err(unanswered))
            }
        };
        let event = Event::OrderReply(self.epoch, target.incarnation, run, order, reply);
        self.schedule(after, event);
    }

    /// Delivers the starts that were held to the processes that live now.
    fn deliver_held(&mut self) {
        for (sent, target, order) in std::mem::take(&mut self.held) {
            assert!(
                self.now.at < sent + LATE_MAX,
                "later than the platform allows"
            );
            self.deliver(&target, &order);
        }
    }

    /// Delivers an order to the process that lives under the target's id.
    fn deliver(&mut self, target: &Target, order: &Order) -> Option<OrderReply> {
        let id: Arc<str> = target.incarnation.id().into();
        let process = self.processes.get_mut(&id)?;
        let worker = &mut process.worker;
        let (fence, now) = (target.fence, self.now.at);
        let stopped = match order {
            Order::Stop(name, run) => Some((name.clone(), *run)),
            _ => None,
        };
        let stopped = stopped.filter(|key| worker.runs.contains_key(key));
        let needs = Resources::default();
        let reply = match &stopped {
            // The run ends later; until then the stop has the effects of any accepted order.
            Some((name, run)) => {
                let accept = Order::Pace(name.clone(), *run, 100);
                worker.order(fence, &accept, needs, self.duration, now)
            }
            None => worker.order(fence, order, needs, self.duration, now),
        };
        if reply != OrderReply::Refused(Refusal::Fenced) {
            process.fence = process.fence.max(fence);
        }
        tracing::info!(worker = %worker.incarnation, meant = %target.incarnation, fence,
            kind = order.kind(), ?reply, active = worker.runs.len(), "fleet: order delivered");
        if let (Some((name, run)), OrderReply::Done(_)) = (stopped, reply) {
            let began = worker.started_at;
            self.schedule(STOP_TIME, Event::StopEnds(id, began, name, run));
        }
        Some(reply)
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Durable(owner, position, sent, records) if owner == self.epoch => {
                for record in &records {
                    tracing::info!(?record, "fleet: recorded");
                }
                self.log.push(records);
                self.revision += 1;
                self.core.note_revision(self.revision);
                self.core.note_durable(position, sent, now);
            }
            Event::OrderReply(owner, id, run, order, reply) if owner == self.epoch => {
                self.core.handle_order_reply(&id, run, &order, reply, now);
            }
            Event::Poll(owner, sent, target, poll) => self.answer_poll(owner, sent, target, poll),
            Event::PollReply(owner, id, reply) if owner == self.epoch => {
                self.core.handle_poll_reply(&id, reply, now);
            }
            Event::StopEnds(id, began, name, run) => self.end_stopped(&id, began, name, run),
            Event::Durable(..) | Event::OrderReply(..) | Event::PollReply(..) => {}
        }
    }

    /// Ends a stopped run unless its process has ended.
    fn end_stopped(&mut self, id: &Arc<str>, began: Duration, name: TaskName, run: u32) {
        let Some(process) = self.processes.get_mut(id) else {
            return;
        };
        let worker = &mut process.worker;
        if worker.started_at == began && worker.runs.contains_key(&(name.clone(), run)) {
            tracing::info!(worker = %worker.incarnation, index = name.index, run, "fleet: stopped run ends");
            let stop = Order::Stop(name, run);
            let (needs, now) = (Resources::default(), self.now.at);
            worker.order(process.fence, &stop, needs, Duration::ZERO, now);
        }
    }

    /// Answers a poll. One that waited at a process which has ended meanwhile gets no answer.
    fn answer_poll(&mut self, owner: u64, sent: Duration, target: Target, poll: Poll) {
        let id: Arc<str> = target.incarnation.id().into();
        let now = self.now.at;
        if self.cut_off.as_ref() == Some(&id) {
            let silent = Failure::unknown_effect("look", &id, "no answer in time");
            let event = Event::PollReply(owner, target.incarnation, Err(silent));
            self.schedule(SLOW_POLL, event);
            return;
        }
        let Some(process) = self.processes.get_mut(&id) else {
            let refused = Failure::no_effect("look", &id, "connection refused");
            self.schedule(
                STEP,
                Event::PollReply(owner, target.incarnation, Err(refused)),
            );
            return;
        };
        let worker = &mut process.worker;
        if worker.started_at > sent {
            let silent = Failure::unknown_effect("look", &id, "no answer in time");
            let event = Event::PollReply(owner, target.incarnation, Err(silent));
            self.schedule(50 * MS, event);
            return;
        }
        let first = worker.started_at + FIRST_LIST;
        if now < first {
            let event = Event::Poll(owner, sent, target, poll);
            self.schedule(first.saturating_sub(now), event);
            return;
        }
        let mut reply = worker.poll(target.fence, &poll, now);
        if let PollReply::Report {
            active, finished, ..
        } = &mut reply
        {
            if self.failing.as_ref() == Some(&id) {
                let done = finished.iter_mut().filter(|it| it.how == EndReason::Done);
                done.for_each(|end| end.how = EndReason::Failed);
            }
            process.fence = process.fence.max(target.fence);
            if worker.incarnation != target.incarnation {
                tracing::info!(worker = %worker.incarnation, ?active, "fleet: other incarnation answers");
                reply = PollReply::OtherIncarnation(Some(worker.incarnation.clone()));
            }
        }
        let event = Event::PollReply(owner, target.incarnation, Ok(reply));
        self.schedule(STEP, event);
    }

    /// Returns whether all tasks of the job are done.
    fn is_complete(&self) -> bool {
        let jobs = &self.core.log_state().jobs;
        jobs.values()
            .all(|job| job.outcome == Some(Outcome::Complete))
            && !jobs.is_empty()
    }

    /// Returns whether a run with at least this number runs at a worker.
    fn runs_at(&self, id: &str, number: u32) -> bool {
        let process = self.processes.get(id);
        process.is_some_and(|it| it.worker.runs.keys().any(|(_, run)| *run >= number))
    }

    /// Returns whether the log places no run of the job anywhere.
    fn is_idle(&self) -> bool {
        let records = || self.log.iter().flatten();
        let placed = records().filter(|it| matches!(it, LogRecord::Placed(..)));
        let ended = records().filter(|it| matches!(it, LogRecord::Ended(..)));
        placed.count() == ended.count()
    }

    /// Sends a start that is held, and lets the owner learn that it was not answered.
    fn leave_unanswered(&mut self) {
        self.fates.extend([Fate::Held, Fate::Lost, Fate::Lost]);
        self.submit(vec![step(1)]);
        assert!(self.run_until(SECOND, |it| !it.held.is_empty()));
        self.run_for(400 * MS);
    }

    /// Checks that no task ran twice at once and that the job completes.
    fn assert_correct(&mut self) {
        let complete = self.run_until(DONE_MAX, Self::is_complete);
        let violations = &self.violations;
        assert!(
            violations.is_empty() && complete,
            "{violations:?}, complete: {complete}"
        );
    }

    /// Checks that no task ran twice at once and that a long-running task runs.
    fn assert_running(&mut self) {
        self.run_for(DONE_MAX);
        let runs = self.processes.values().map(|it| it.worker.runs.len());
        let (runs, violations) = (runs.sum::<usize>(), &self.violations);
        assert!(
            violations.is_empty() && runs == 1,
            "{violations:?}, runs: {runs}"
        );
    }

    /// Checks that the next run starts anywhere within 500 ms.
    fn assert_not_delayed(&mut self) {
        let started = self.run_until(500 * MS, |it| it.runs_at("w0", 2) || it.runs_at("w1", 2));
        assert!(started, "nothing is in doubt");
    }
}

/// Sends a start that stays unanswered and is held, and lets the owner move the run off its worker,
/// which drains. The stop is confirmed.
fn hold_start(births: bool, steps: Vec<Step>) -> Fleet {
    let mut fleet = Fleet::new(births);
    fleet.fates.extend([Fate::Held, Fate::Lost, Fate::Lost]);
    fleet.submit(steps);
    assert!(fleet.run_until(SECOND, |it| !it.held.is_empty()));
    fleet.drain("w0");
    assert!(
        fleet.run_until(2 * SECOND, Fleet::is_idle),
        "the run is stopped"
    );
    fleet.fates.clear();
    fleet
}

/// Replaces the process of `w0` after a while and delivers the held starts to the new one, before
/// its first list.
fn restart_and_deliver(fleet: &mut Fleet) {
    fleet.end("w0");
    fleet.run_for(3 * SECOND);
    fleet.begin("w0");
    fleet.run_for(50 * MS);
    fleet.deliver_held();
    fleet.run_for(450 * MS);
    fleet.relist("w0");
}

/// Defines two tests of a scenario: on a platform that reports start times, and on one that does
/// not.
macro_rules! scenario {
    ($name:ident, $scenario:expr) => {
        mod $name {
            use super::*;

            #[test]
            fn with_births() {
                trace::print_logs(|| $scenario(true));
            }

            #[test]
            fn without_births() {
                trace::print_logs(|| $scenario(false));
            }
        }
    };
}

/// Returns a fleet with a start that is held and was not answered.
fn leave_unanswered(births: bool) -> Fleet {
    let mut fleet = Fleet::new(births);
    fleet.leave_unanswered();
    fleet
}

/// A start meant for the former incarnation is carried out and answered by the next one, whose
/// first list names the run as active. The stop that follows is answered at once, but the run takes
/// 900 ms to end.
fn answered_by_the_next(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.fates.push_back(Fate::AfterRestart);
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(SECOND, |it| !it.sent.is_empty()));
    fleet.add_worker(1);
    fleet.run_for(500 * MS);
    fleet.relist("w0");
    fleet.assert_correct();
}

scenario!(
    a_start_answered_by_the_next_incarnation_ends_with_its_listed_end,
    answered_by_the_next
);

/// The same, where the entry of the next incarnation is read before any of its answers, and the
/// poll of the former incarnation is answered first. A worker that is known only from its entry has
/// no lease of this owner yet, so a run that is moved to it must not count as lost with the leases
/// of earlier owners.
fn answered_by_a_listed_incarnation(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.run_for(EARLIER_LEASES);
    fleet.fates.push_back(Fate::AfterRestart);
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(SECOND, |it| !it.sent.is_empty()));
    fleet.slow = Some(fleet.processes["w0"].worker.incarnation.clone()).filter(|_| births);
    fleet.relist("w0");
    fleet.add_worker(1);
    fleet.assert_correct();
}

scenario!(
    a_run_moved_to_a_listed_incarnation_ends_with_its_listed_end,
    answered_by_a_listed_incarnation
);

/// The run was stopped at the incarnation that its start was sent to, and its task runs elsewhere.
/// That incarnation ends, and the next one carries the start out.
fn stopped_then_restarted(births: bool, duration: Duration, steps: Vec<Step>) -> Fleet {
    let mut fleet = hold_start(births, steps);
    fleet.add_worker(1);
    fleet.duration = duration;
    fleet.run_for(2 * SECOND);
    restart_and_deliver(&mut fleet);
    fleet
}

scenario!(a_stopped_start_does_not_run_beside_the_next_run, |births| {
    stopped_then_restarted(births, 15 * SECOND, vec![step(1)]).assert_correct();
});

scenario!(
    a_stopped_start_of_a_gang_does_not_run_beside_the_next_run,
    |births| {
        let gang = Step {
            gang: true,
            ..step(2)
        };
        stopped_then_restarted(births, 15 * SECOND, vec![gang]).assert_correct();
    }
);

scenario!(
    a_stopped_start_of_a_long_running_task_does_not_run_beside_the_next_run,
    |births| {
        let lasting = Step {
            long_running: true,
            ..step(1)
        };
        let mut fleet = stopped_then_restarted(births, 1000 * SECOND, vec![lasting]);
        fleet.assert_running();
    }
);

/// The start is still in doubt when its worker restarts: the owner stops it at the next
/// incarnation, which has not received it, and places the task anew. That incarnation ends as well,
/// and the one after it carries the start out.
fn stopped_at_the_next_then_restarted(births: bool) {
    let mut fleet = leave_unanswered(births);
    fleet.fates.clear();
    fleet.duration = 15 * SECOND;
    fleet.add_worker(1);
    fleet.end("w0");
    fleet.run_for(SECOND);
    fleet.begin("w0");
    fleet.run_for(1500 * MS);
    fleet.relist("w0");
    fleet.run_for(500 * MS);
    restart_and_deliver(&mut fleet);
    fleet.assert_correct();
}

scenario!(
    a_start_in_doubt_outlives_two_restarts,
    stopped_at_the_next_then_restarted
);

/// The same, where the first restart is noticed while the start is still in flight, so that the
/// missing answer concerns an incarnation that the run is no longer placed on.
fn restarted_while_in_flight(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.fates.push_back(Fate::Held);
    fleet.duration = 15 * SECOND;
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(SECOND, |it| !it.held.is_empty()));
    fleet.end("w0");
    fleet.begin("w0");
    fleet.add_worker(1);
    fleet.run_for(2 * SECOND);
    restart_and_deliver(&mut fleet);
    fleet.assert_correct();
}

scenario!(
    a_start_in_flight_during_a_restart_is_in_doubt,
    restarted_while_in_flight
);

/// The start was sent twice, as the first copy was not answered. The run is lost with its
/// incarnation, and the next one carries out the first copy before its first list.
fn first_copy_after_the_second_was_lost(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.fates.push_back(Fate::Held);
    fleet.duration = 8 * SECOND;
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(2 * SECOND, |it| it.runs_at("w0", 1)));
    fleet.run_for(SECOND);
    fleet.add_worker(1);
    restart_and_deliver(&mut fleet);
    fleet.assert_correct();
}

scenario!(
    the_first_copy_is_in_doubt_when_the_second_is_lost,
    first_copy_after_the_second_was_lost
);

/// As before, but the second copy ran and was stopped as the worker drained, and its task runs
/// elsewhere when the next incarnation carries out the first copy.
fn first_copy_after_the_second_ended(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.fates.push_back(Fate::Held);
    fleet.duration = 15 * SECOND;
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(2 * SECOND, |it| it.runs_at("w0", 1)));
    fleet.run_for(200 * MS);
    fleet.drain("w0");
    fleet.add_worker(1);
    assert!(fleet.run_until(5 * SECOND, |it| it.is_idle() || it.runs_at("w1", 2)));
    fleet.run_for(500 * MS);
    restart_and_deliver(&mut fleet);
    fleet.assert_correct();
}

scenario!(
    the_first_copy_is_in_doubt_when_the_second_ran_and_ended,
    first_copy_after_the_second_ended
);

/// The owner that knows of the unanswered start is replaced before the worker restarts.
fn known_to_the_former_owner(births: bool) {
    let mut fleet = hold_start(births, vec![step(1)]);
    fleet.duration = 15 * SECOND;
    fleet.replace_owner();
    fleet.add_worker(1);
    fleet.run_for(2 * SECOND);
    restart_and_deliver(&mut fleet);
    fleet.assert_correct();
}

scenario!(
    the_next_owner_knows_of_a_start_in_doubt,
    known_to_the_former_owner
);

/// The owner is replaced before it knows that the start was not answered. The next owner stops the
/// run, whose worker drains, and the task runs elsewhere.
fn unknown_to_the_former_owner(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.fates.push_back(Fate::Held);
    fleet.duration = 15 * SECOND;
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(SECOND, |it| !it.held.is_empty()));
    fleet.replace_owner();
    fleet.drain("w0");
    fleet.add_worker(1);
    fleet.run_for(3 * SECOND);
    restart_and_deliver(&mut fleet);
    fleet.assert_correct();
}

scenario!(
    the_next_owner_takes_a_start_of_the_former_one_for_unanswered,
    unknown_to_the_former_owner
);

/// The worker stays silent after an unanswered start until its lease has ended, but remains listed.
/// The task must not run elsewhere yet: the next incarnation may still carry the start out.
fn lease_ends_before_the_restart(births: bool) {
    let mut fleet = leave_unanswered(births);
    fleet.fates.clear();
    fleet.duration = 15 * SECOND;
    fleet.add_worker(1);
    fleet.end("w0");
    fleet.run_for(8 * SECOND);
    restart_and_deliver(&mut fleet);
    fleet.assert_correct();
}

scenario!(
    the_end_of_a_lease_does_not_end_the_doubt,
    lease_ends_before_the_restart
);

/// A new owner finds the run on a worker that is not listed. It comes back under its id after all
/// leases have ended, and carries out the start of the former owner.
fn unlisted_at_a_change_of_owner(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.run_for(EARLIER_LEASES);
    fleet.leave_unanswered();
    fleet.fates.clear();
    fleet.duration = 15 * SECOND;
    fleet.end("w0");
    let entry = fleet.entries.remove("w0").unwrap();
    fleet.replace_owner();
    fleet.add_worker(1);
    fleet.run_for(8 * SECOND);
    fleet.entries.insert("w0".into(), entry);
    restart_and_deliver(&mut fleet);
    fleet.assert_correct();
}

scenario!(
    the_end_of_earlier_leases_does_not_end_the_doubt,
    unlisted_at_a_change_of_owner
);

/// The worker's id is never seen again after an unanswered start, so its task must not wait for it
/// for ever.
fn worker_stays_away(births: bool) {
    let mut fleet = leave_unanswered(births);
    fleet.fates.clear();
    fleet.add_worker(1);
    fleet.end("w0");
    fleet.run_for(SECOND);
    fleet.entries.remove("w0");
    fleet.core.unlist_id("w0", fleet.now);
    fleet.assert_correct();
}

scenario!(
    a_task_runs_elsewhere_if_its_worker_stays_away,
    worker_stays_away
);

/// An incarnation lists a run that the log does not place there, and is told to stop it. The task
/// must not start elsewhere while that run is still listed.
fn unknown_run_is_listed(births: bool) {
    let mut fleet = hold_start(births, vec![step(1)]);
    fleet.duration = 15 * SECOND;
    fleet.end("w0");
    fleet.run_for(SECOND);
    fleet.begin("w0");
    fleet.run_for(50 * MS);
    fleet.deliver_held();
    let answers = |it: &Fleet| it.core.workers().values().any(|worker| worker.answers);
    assert!(fleet.run_until(SECOND, answers));
    fleet.add_worker(1);
    fleet.run_for(300 * MS);
    fleet.relist("w0");
    fleet.assert_correct();
}

scenario!(
    a_listed_run_that_the_log_does_not_place_there_delays_the_next_run,
    unknown_run_is_listed
);

/// The same at a single worker: the next run must not start beside the listed one on it.
fn unknown_run_is_listed_at_the_only_worker(births: bool) {
    let mut fleet = hold_start(births, vec![step(1)]);
    fleet.end("w0");
    fleet.run_for(SECOND);
    fleet.begin("w0");
    fleet.run_for(50 * MS);
    fleet.deliver_held();
    fleet.run_for(300 * MS);
    fleet.relist("w0");
    fleet.assert_correct();
}

scenario!(
    a_listed_run_that_the_log_does_not_place_there_delays_the_next_run_on_its_worker,
    unknown_run_is_listed_at_the_only_worker
);

/// The start was answered, so the task starts anew with the first list of the next incarnation.
fn answered_start_is_lost(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.duration = 15 * SECOND;
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(SECOND, |it| it.runs_at("w0", 1)));
    fleet.run_for(500 * MS);
    fleet.add_worker(1);
    fleet.end("w0");
    fleet.run_for(SECOND);
    fleet.begin("w0");
    fleet.assert_not_delayed();
    fleet.assert_correct();
}

scenario!(
    a_task_whose_start_was_answered_is_not_delayed,
    answered_start_is_lost
);

/// The only start was not answered, but a list of the incarnation that it was meant for names the
/// run: it was carried out there, and no other incarnation can do so.
fn listed_start_is_lost(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.fates.push_back(Fate::Unanswered);
    fleet.duration = 15 * SECOND;
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(SECOND, |it| it.runs_at("w0", 1)));
    fleet.run_for(SECOND);
    assert_eq!(fleet.sent.len(), 1);
    fleet.add_worker(1);
    fleet.end("w0");
    fleet.run_for(SECOND);
    fleet.begin("w0");
    fleet.assert_not_delayed();
    fleet.assert_correct();
}

scenario!(
    a_task_whose_only_start_was_listed_is_not_delayed,
    listed_start_is_lost
);

/// The start can no longer be carried out after 13 s, so the task starts anew at once when its
/// worker is listed.
fn doubt_is_over(births: bool) {
    let mut fleet = hold_start(births, vec![step(1)]);
    fleet.duration = 3 * SECOND;
    fleet.run_for(LATE_MAX);
    fleet.add_worker(1);
    fleet.assert_not_delayed();
    fleet.assert_correct();
}

scenario!(a_task_is_not_delayed_after_the_doubt, doubt_is_over);

/// A worker that drained restarts, and its new entry, which does not drain, is read before the
/// owner has noticed the restart. No late start is involved: the worker must get work again although
/// its entry does not change any more.
fn entry_before_the_restart_is_noticed(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.drain("w0");
    fleet.run_for(SECOND);
    fleet.end("w0");
    fleet.run_for(SECOND);
    fleet.begin("w0");
    fleet.relist("w0");
    fleet.run_for(SECOND);
    fleet.submit(vec![step(1)]);
    fleet.assert_correct();
}

scenario!(
    a_worker_that_drained_gets_work_after_its_restart,
    entry_before_the_restart_is_noticed
);

#[path = "late_starts_review.rs"]
mod review;

#[path = "late_starts_handover.rs"]
mod handover;

#[path = "late_starts_series.rs"]
mod series;

#[path = "late_starts_leases.rs"]
mod leases;

#[path = "late_starts_failures.rs"]
mod failures;
