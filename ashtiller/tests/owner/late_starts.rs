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
use ashtiller::workflow::agents::{Order, OrderReply, Poll, PollReply, Refusal, Target, TaskName};
use ashtiller::workflow::config::{Config, ListedWorker, Queue};
use ashtiller::workflow::core::{Core, Effect, Now, RequestToken};
use ashtiller::workflow::evacuations::Zones;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::Step;
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::record::{LogRecord, Outcome, Run};
use ashtiller::workflow::tuning::Tuning;

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
    /// Not answered; kept until the test delivers it.
    Held,
    /// Not answered and never delivered.
    Lost,
    /// Delivered and answered after the worker's process has been replaced.
    AfterRestart,
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
    held: Vec<(Target, Order)>,
    /// Incarnation whose polls arrive late, by [`SLOW_POLL`].
    slow: Option<Incarnation>,
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
        let former = self.epoch;
        self.revision += 1;
        self.epoch = self.revision;
        tracing::info!(epoch = self.epoch, "fleet: new owner");
        let mut state = LogState::default();
        for record in self.log.iter().flatten() {
            state.apply(record, self.now.at);
        }
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
                self.schedule(poll.wait.min(POLL_WAIT).max(STEP) + delay, event);
            }
            Effect::Reply(..) | Effect::Advise(_) | Effect::MachineOrder(..) => {}
        }
    }

    fn send(&mut self, target: Target, run: Run, order: Order) {
        let id: Arc<str> = target.incarnation.id().into();
        let mut fate = Fate::Prompt;
        if let Order::Start(_) = order {
            fate = self.fates.pop_front().unwrap_or(Fate::Prompt);
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
            Fate::Lost => (ORDER_TIMEOUT, Err(unanswered)),
            Fate::Held => {
                self.held.push((target.clone(), order.clone()));
                (ORDER_TIMEOUT, Err(unanswered))
            }
        };
        let event = Event::OrderReply(self.epoch, target.incarnation, run, order, reply);
        self.schedule(after, event);
    }

    /// Delivers the starts that were held to the processes that live now.
    fn deliver_held(&mut self) {
        for (target, order) in std::mem::take(&mut self.held) {
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
        if let PollReply::Report { active, .. } = &reply {
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

    /// Checks that no task ran twice at once and that the job completes.
    fn assert_correct(&mut self) {
        let complete = self.run_until(DONE_MAX, Self::is_complete);
        assert!(self.violations.is_empty(), "{:?}", self.violations);
        assert!(complete, "the job is not done after {DONE_MAX:?}");
    }

    /// Checks that no task ran twice at once and that a long-running task runs.
    fn assert_running(&mut self) {
        self.run_for(DONE_MAX);
        assert!(self.violations.is_empty(), "{:?}", self.violations);
        let runs = self.processes.values().map(|it| it.worker.runs.len());
        assert_eq!(runs.sum::<usize>(), 1);
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
        fleet.run_until(2 * SECOND, |it| it.is_idle()),
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

fn traced(test: impl FnOnce()) {
    trace::print_logs(test);
}

/// A start meant for the former incarnation is carried out and answered by the next one, whose
/// first list names the run as active. The stop that follows is answered at once, but the run takes
/// 900 ms to end.
fn start_answered_by_the_next_incarnation(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.fates.push_back(Fate::AfterRestart);
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(SECOND, |it| !it.sent.is_empty()));
    fleet.add_worker_entry_later();
    fleet.assert_correct();
}

impl Fleet {
    /// Lists another worker, and a while later the restarted one.
    fn add_worker_entry_later(&mut self) {
        self.add_worker(1);
        self.run_for(500 * MS);
        self.relist("w0");
    }
}

#[test]
fn a_start_that_the_next_incarnation_answers_ends_with_its_listed_end() {
    traced(|| start_answered_by_the_next_incarnation(true));
}

#[test]
fn a_start_that_the_next_incarnation_answers_ends_with_its_listed_end_without_births() {
    traced(|| start_answered_by_the_next_incarnation(false));
}

/// The same, where the entry of the next incarnation is read before any of its answers, and the
/// poll of the former incarnation is answered first. A worker that is known only from its entry has
/// no lease of its own owner yet, so runs that are moved to it must not count as lost with a lease
/// that ended before.
fn start_answered_by_a_listed_incarnation(births: bool) {
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

#[test]
fn a_run_moved_to_an_incarnation_known_from_its_entry_ends_with_its_listed_end() {
    traced(|| start_answered_by_a_listed_incarnation(true));
}

#[test]
fn a_run_moved_in_place_ends_with_its_listed_end_without_births() {
    traced(|| start_answered_by_a_listed_incarnation(false));
}

/// The run was stopped at the incarnation that its start was sent to, and its task runs elsewhere.
/// That incarnation ends, and the next one carries the start out.
fn stopped_start_at_the_next_incarnation(births: bool, steps: Vec<Step>) -> Fleet {
    let mut fleet = hold_start(births, steps);
    fleet.add_worker(1);
    fleet.duration = 15 * SECOND;
    fleet.run_for(2 * SECOND);
    restart_and_deliver(&mut fleet);
    fleet
}

#[test]
fn a_stopped_start_does_not_run_beside_the_next_run() {
    traced(|| stopped_start_at_the_next_incarnation(true, vec![step(1)]).assert_correct());
}

#[test]
fn a_stopped_start_does_not_run_beside_the_next_run_without_births() {
    traced(|| stopped_start_at_the_next_incarnation(false, vec![step(1)]).assert_correct());
}

#[test]
fn a_stopped_start_of_a_gang_does_not_run_beside_the_next_run() {
    let gang = Step {
        gang: true,
        ..step(2)
    };
    traced(|| stopped_start_at_the_next_incarnation(true, vec![gang]).assert_correct());
}

#[test]
fn a_stopped_start_of_a_long_running_task_does_not_run_beside_the_next_run() {
    let lasting = Step {
        long_running: true,
        ..step(1)
    };
    traced(|| {
        let mut fleet = stopped_start_at_the_next_incarnation(true, vec![lasting]);
        fleet.duration = 1000 * SECOND;
        fleet.assert_running();
    });
}

/// The start is still in doubt when its worker restarts: the owner stops it at the next
/// incarnation, which has not received it, and places the task elsewhere. That incarnation ends as
/// well, and the one after it carries the start out.
fn start_after_two_restarts(births: bool) {
    let mut fleet = Fleet::new(births);
    fleet.fates.extend([Fate::Held, Fate::Lost, Fate::Lost]);
    fleet.submit(vec![step(1)]);
    assert!(fleet.run_until(SECOND, |it| !it.held.is_empty()));
    fleet.run_for(400 * MS);
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

#[test]
fn a_start_in_doubt_outlives_two_restarts() {
    traced(|| start_after_two_restarts(true));
}

#[test]
fn a_start_in_doubt_outlives_two_restarts_without_births() {
    traced(|| start_after_two_restarts(false));
}

/// The start was sent twice, as the first copy was not answered. The run is lost with its
/// incarnation, and the next one carries out the first copy before its first list.
fn first_copy_after_a_restart(births: bool) {
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

#[test]
fn the_first_copy_of_a_start_is_in_doubt_although_the_second_was_answered() {
    traced(|| first_copy_after_a_restart(true));
}

#[test]
fn the_first_copy_of_a_start_is_in_doubt_although_the_second_was_answered_without_births() {
    traced(|| first_copy_after_a_restart(false));
}

/// As before, but the second copy ran, was stopped as the worker drained, and its task runs
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

#[test]
fn the_first_copy_of_a_start_is_in_doubt_although_the_second_ran_and_ended() {
    traced(|| first_copy_after_the_second_ended(true));
}

/// The owner that knows of the unanswered start is replaced before the worker restarts.
#[test]
fn the_next_owner_knows_a_start_in_doubt() {
    traced(|| {
        let mut fleet = hold_start(true, vec![step(1)]);
        fleet.duration = 15 * SECOND;
        fleet.replace_owner();
        fleet.add_worker(1);
        fleet.run_for(2 * SECOND);
        restart_and_deliver(&mut fleet);
        fleet.assert_correct();
    });
}

/// The owner is replaced before it knows that the start was not answered. The next owner stops the
/// run, whose worker drains, and the task runs elsewhere.
#[test]
fn the_next_owner_takes_a_start_of_the_former_one_for_unanswered() {
    traced(|| {
        let mut fleet = Fleet::new(true);
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
    });
}

/// The worker's id is never seen again after an unanswered start, so its task must not wait for it
/// for ever.
#[test]
fn a_task_whose_start_is_in_doubt_runs_elsewhere_if_its_worker_stays_away() {
    traced(|| {
        let mut fleet = Fleet::new(true);
        fleet.fates.extend([Fate::Held, Fate::Lost]);
        fleet.submit(vec![step(1)]);
        assert!(fleet.run_until(SECOND, |it| !it.held.is_empty()));
        fleet.run_for(400 * MS);
        fleet.add_worker(1);
        fleet.end("w0");
        fleet.run_for(SECOND);
        fleet.entries.remove("w0");
        fleet.core.unlist_id("w0", fleet.now);
        fleet.assert_correct();
    });
}

/// An incarnation lists a run that the log does not place there, and is told to stop it. The task
/// must not start elsewhere while that run is still listed.
fn unknown_run_while_its_stop_takes_effect(births: bool) {
    let mut fleet = hold_start(births, vec![step(1)]);
    fleet.fates.clear();
    fleet.duration = 15 * SECOND;
    fleet.end("w0");
    fleet.run_for(SECOND);
    fleet.begin("w0");
    fleet.run_for(50 * MS);
    fleet.deliver_held();
    assert!(fleet.run_until(SECOND, |it| {
        let core = it.core.workers().values();
        core.filter(|it| it.answers).count() > 0
    }));
    fleet.add_worker(1);
    fleet.run_for(300 * MS);
    fleet.relist("w0");
    fleet.assert_correct();
}

#[test]
fn a_listed_run_that_the_log_does_not_place_there_delays_the_next_run() {
    traced(|| unknown_run_while_its_stop_takes_effect(true));
}

#[test]
fn a_listed_run_that_the_log_does_not_place_there_delays_the_next_run_without_births() {
    traced(|| unknown_run_while_its_stop_takes_effect(false));
}

/// Where nothing is in doubt, the task of a run that was stopped starts elsewhere at once.
#[test]
fn a_task_whose_start_was_answered_is_not_delayed() {
    traced(|| {
        let mut fleet = Fleet::new(true);
        fleet.duration = 15 * SECOND;
        fleet.submit(vec![step(1)]);
        assert!(fleet.run_until(SECOND, |it| it.runs_at("w0", 1)));
        fleet.run_for(500 * MS);
        fleet.add_worker(1);
        fleet.end("w0");
        fleet.run_for(SECOND);
        fleet.begin("w0");
        assert!(
            fleet.run_until(500 * MS, |it| it.runs_at("w1", 2) || it.runs_at("w0", 2)),
            "the next run starts with the first list"
        );
        fleet.assert_correct();
    });
}
