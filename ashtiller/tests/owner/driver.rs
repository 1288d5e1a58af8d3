//! Drives the state machine of a log owner with a store and workers that reply immediately.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ashtiller::failure::Failure;
use ashtiller::resources::Resources;
use ashtiller::workflow::agents::{
    Active, EndReason, Finished, Order, OrderReply, PollReply, Refusal, Target, TaskName,
};
use ashtiller::workflow::config::{Config, ListedWorker, Queue};
use ashtiller::workflow::core::advice::AdviceRequest;
use ashtiller::workflow::core::{Core, Effect, Now, RequestToken};
use ashtiller::workflow::evacuations::Zones;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::{Job, Policy, Step};
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::machines::{Done, MachineList, MachineOrder};
use ashtiller::workflow::message::Reply;
use ashtiller::workflow::record::{LogRecord, Run};
use ashtiller::workflow::tuning::Tuning;

pub const MS: Duration = Duration::from_millis(1);

pub fn policy() -> Policy {
    Policy {
        service: "fleet".into(),
        priority: 0,
        attempts: 2,
        extension: 2.0,
        target: 250 * MS,
        advice: None,
    }
}

pub fn step(count: u32) -> Step {
    Step {
        count,
        needs: Resources {
            processors: 1000,
            memory: 1 << 30,
            accelerators: 0,
        },
        estimate: 500 * MS,
        ..Step::default()
    }
}

pub fn job(id: &str, steps: Vec<Step>) -> Job {
    Job {
        id: id.into(),
        queue: "jobs/q/".into(),
        payload: "".into(),
        steps,
        schedule: None,
    }
}

pub fn listed(number: u16) -> ListedWorker {
    ListedWorker {
        incarnation: format!("w{number}").into(),
        machine: Some(format!("m{number}").into()),
        service: "fleet".into(),
        address: ([10, 0, 0, 1], number + 1).into(),
        zone: "bern".into(),
        capacity: Resources {
            processors: 4000,
            memory: 8 << 30,
            accelerators: 0,
        },
        labels: ["a".into(), format!("r{}", number / 2).into()].into(),
        draining: false,
        remaining: None,
    }
}

/// Outcomes of requests to the advisor.
#[derive(Default, Eq, PartialEq)]
pub enum Advisor {
    /// Every request is answered.
    #[default]
    Answers,
    /// The next reply is lost.
    LosesOne,
    /// No request is answered: all are still being processed.
    Works,
}

/// A core with a simulated store, workers and advisor, and the effects that the core requested.
#[expect(clippy::struct_excessive_bools, reason = "each is a switch of its own")]
pub struct Driver {
    pub core: Core,
    pub now: Now,
    pub last_token: u64,
    pub orders: Vec<(Incarnation, Run, Order)>,
    pub replies: Vec<(RequestToken, Reply)>,
    /// Starts that the worker refused.
    pub refused: Vec<(Incarnation, Run)>,
    pub advice_requests: Vec<AdviceRequest>,
    /// Outcomes of requests to the advisor.
    pub advisor: Advisor,
    pub machine_orders: Vec<(Arc<str>, MachineOrder)>,
    /// Reply of the machine management interface to each order; `None` while it is silent.
    pub machine_reply: Option<Done>,
    /// The list of machines; `None` while the interface does not answer. Nothing is asked for
    /// unless that is enabled.
    pub machine_list: Option<MachineList>,
    /// When the list of machines was asked for.
    pub machine_list_requests: Vec<Duration>,
    pub records: Vec<LogRecord>,
    /// Number of records of each entry, in order.
    pub entries: Vec<usize>,
    /// The only worker that the advisor allows for any run.
    pub advised_worker: Option<Incarnation>,
    /// A worker that refuses starts, and the reason it gives.
    pub refusing_worker: Option<(Incarnation, Refusal)>,
    /// A worker that does not answer polls.
    pub silent: Option<Incarnation>,
    /// A worker whose polls time out.
    pub timing_out: Option<Incarnation>,
    /// Workers behind a network partition: calls to them time out, and they continue.
    pub unreachable: BTreeSet<Incarnation>,
    /// Incarnations that have ended: they answer nothing.
    pub crashed: BTreeSet<Incarnation>,
    /// Incarnations that are not at their listed address: another one answers there.
    pub displaced: BTreeSet<Incarnation>,
    /// Incarnations that have ended, with the incarnation that now answers at their address.
    pub restarted: BTreeMap<Incarnation, Incarnation>,
    /// The number of the last recorded end that each poll acknowledged.
    pub acknowledged: Vec<(Incarnation, u64)>,
    /// Workers to which polls have granted leases.
    pub granted: Vec<Incarnation>,
    /// Number of polls by worker.
    pub poll_counts: BTreeMap<Incarnation, u32>,
    /// Rows that a poll of a worker reports in place of the default ones.
    pub running: Vec<(Incarnation, Active)>,
    /// Ends that every poll reports.
    pub reported_ends: Vec<Finished>,
    /// Whether workers have more ends than they report.
    pub more_ends: bool,
    /// Whether runs that were started are not reported as active.
    pub hides_runs: bool,
    /// Whether polls are answered only when their wait is over.
    pub long_polls: bool,
    /// Long polls, each with the time at which it is answered.
    waiting_polls: Vec<(Duration, Incarnation)>,
    /// Whether log entries become durable.
    pub store_available: bool,
    /// Whether the list of workers is kept up to date.
    pub listing_fresh: bool,
    /// Availability zones under evacuation; `None` while no reading of them arrives.
    pub evacuated: Option<Zones>,
    /// A worker whose orders get no reply.
    pub drops_orders: Option<Incarnation>,
    /// Time at which the workers' clocks started.
    pub clock_start: Duration,
    /// Position of the log entry that is not durable yet.
    pending_append: Option<u64>,
}

impl Driver {
    pub fn new(workers: u16, policy: Policy) -> Self {
        Self::replay(&[], workers, policy)
    }

    /// Creates a new owner of a log that holds these records.
    pub fn replay(records: &[LogRecord], workers: u16, policy: Policy) -> Self {
        Self::with_tuning(&Tuning::default(), records, workers, policy)
    }

    /// Creates a new owner of such a log with this tuning.
    pub fn with_tuning(
        tuning: &Tuning,
        records: &[LogRecord],
        workers: u16,
        policy: Policy,
    ) -> Self {
        let now = Now {
            at: Duration::from_mins(10),
            wall: 1_000_000,
        };
        let mut state = LogState::default();
        for record in records {
            state.apply(record, now.at);
        }
        let mut core = Core::new(*tuning, 5, state, 1, now);
        core.set_config(Arc::new(Config {
            version: 1,
            queues: vec![Queue {
                host: "jobs".into(),
                prefix: "/q/".into(),
                policy,
            }],
            ..Config::default()
        }));
        core.list_all((0..workers).map(listed).collect(), now);
        let mut driver = Self {
            core,
            now,
            last_token: 0,
            orders: Vec::new(),
            replies: Vec::new(),
            refused: Vec::new(),
            advice_requests: Vec::new(),
            advisor: Advisor::Answers,
            machine_orders: Vec::new(),
            machine_reply: Some(Done::Yes),
            machine_list: None,
            machine_list_requests: Vec::new(),
            records: Vec::new(),
            entries: Vec::new(),
            advised_worker: None,
            refusing_worker: None,
            silent: None,
            timing_out: None,
            unreachable: BTreeSet::new(),
            crashed: BTreeSet::new(),
            displaced: BTreeSet::new(),
            restarted: BTreeMap::new(),
            acknowledged: Vec::new(),
            granted: Vec::new(),
            poll_counts: BTreeMap::new(),
            running: Vec::new(),
            reported_ends: Vec::new(),
            more_ends: false,
            hides_runs: false,
            long_polls: false,
            waiting_polls: Vec::new(),
            store_available: true,
            listing_fresh: true,
            evacuated: Some(Zones::new()),
            drops_orders: None,
            clock_start: Duration::ZERO,
            pending_append: None,
        };
        driver.run_for(100 * MS);
        driver
    }

    /// Advances time by `span`; workers accept every order and report what was started there.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now.at + span;
        while self.now.at < end {
            self.now.wall += 5;
            for effect in self.poll() {
                self.carry_out(effect);
            }
            self.reply_to_polls();
        }
    }

    /// Advances the core by 5 ms; while listings arrive, the list of workers is complete as of then.
    fn poll(&mut self) -> Vec<Effect> {
        self.now.at += 5 * MS;
        if self.listing_fresh {
            self.core.note_complete_listing(self.now.at);
        }
        if let Some(zones) = &self.evacuated {
            self.core.note_evacuations(zones, Duration::ZERO, self.now);
        }
        self.core.advance(self.now)
    }

    fn reply_to_polls(&mut self) {
        let waiting_polls = std::mem::take(&mut self.waiting_polls);
        for (until, id) in waiting_polls {
            if self.now.at < until {
                self.waiting_polls.push((until, id));
            } else {
                self.report_running(&id);
            }
        }
    }

    /// Reports what runs on a worker.
    fn report_running(&mut self, id: &Incarnation) {
        let rows = self.running.iter().filter(|(at, _)| at == id);
        let rows = rows.map(|(_, row)| row.clone()).collect();
        let acknowledged = self.acknowledged.iter().filter(|(at, _)| at == id);
        let acknowledged = acknowledged.map(|(_, number)| *number).max().unwrap_or(0);
        let ends = self.reported_ends.iter();
        let ends = ends
            .filter(|end| end.number > acknowledged)
            .cloned()
            .collect();
        self.report(id, rows, ends);
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each effect")]
    pub fn carry_out(&mut self, effect: Effect) {
        if let Effect::Poll(target, poll) = &effect {
            self.acknowledged
                .push((target.incarnation.clone(), poll.ends_recorded));
            if poll.until.is_some() {
                self.granted.push(target.incarnation.clone());
            }
            *self
                .poll_counts
                .entry(target.incarnation.clone())
                .or_insert(0) += 1;
        }
        match effect {
            Effect::Poll(target, _) if self.restarted.contains_key(&target.incarnation) => {
                let next = self.restarted[&target.incarnation].clone();
                let reply = PollReply::OtherIncarnation(Some(next));
                self.core
                    .handle_poll_reply(&target.incarnation, Ok(reply), self.now);
            }
            Effect::Poll(target, _) if self.displaced.contains(&target.incarnation) => {
                self.core.handle_poll_reply(
                    &target.incarnation,
                    Ok(PollReply::OtherIncarnation(None)),
                    self.now,
                );
            }
            Effect::Poll(target, _) if self.unreachable.contains(&target.incarnation) => {
                let failure =
                    Failure::unknown_effect("look", &target.incarnation, "no answer in time");
                self.core
                    .handle_poll_reply(&target.incarnation, Err(failure), self.now);
            }
            Effect::Order(target, run, order) if self.unreachable.contains(&target.incarnation) => {
                let failure =
                    Failure::unknown_effect("order", &target.incarnation, "no answer in time");
                self.core.handle_order_reply(
                    &target.incarnation,
                    run,
                    &order,
                    Err(failure),
                    self.now,
                );
            }
            Effect::Order(target, run, order) if self.crashed.contains(&target.incarnation) => {
                let failure =
                    Failure::unknown_effect("order", &target.incarnation, "connection refused");
                self.core.handle_order_reply(
                    &target.incarnation,
                    run,
                    &order,
                    Err(failure),
                    self.now,
                );
            }
            Effect::Poll(target, _) if Some(&target.incarnation) == self.timing_out.as_ref() => {
                let failure =
                    Failure::unknown_effect("look", &target.incarnation, "no answer in time");
                self.core
                    .handle_poll_reply(&target.incarnation, Err(failure), self.now);
            }
            Effect::Poll(target, _) if self.crashed.contains(&target.incarnation) => {
                let failure =
                    Failure::unknown_effect("look", &target.incarnation, "connection refused");
                self.core
                    .handle_poll_reply(&target.incarnation, Err(failure), self.now);
            }
            Effect::Append(position, records) => {
                self.entries.push(records.len());
                self.records.extend(records);
                if self.store_available {
                    self.core.note_durable(position, self.now.at, self.now);
                } else {
                    self.pending_append = Some(position);
                }
            }
            Effect::Order(target, run, order)
                if Some(&target.incarnation) == self.drops_orders.as_ref() =>
            {
                let failure = Failure::unknown_effect("order", &target.incarnation, "no answer");
                self.core.handle_order_reply(
                    &target.incarnation,
                    run,
                    &order,
                    Err(failure),
                    self.now,
                );
                self.orders.push((target.incarnation, run, order));
            }
            Effect::Order(target, run, order) if self.refusal(&target, &order).is_some() => {
                let refusal = self.refusal(&target, &order).expect("a refusal");
                let reply = Ok(OrderReply::Refused(refusal));
                self.core
                    .handle_order_reply(&target.incarnation, run, &order, reply, self.now);
                self.refused.push((target.incarnation, run));
            }
            Effect::Order(target, run, order) => {
                let reply = Ok(OrderReply::Done(self.clock()));
                self.core
                    .handle_order_reply(&target.incarnation, run, &order, reply, self.now);
                if let Order::Stop(name, _) = &order {
                    self.running.retain(|(_, row)| row.name != *name);
                }
                self.orders.push((target.incarnation, run, order));
            }
            Effect::Poll(target, _) if Some(&target.incarnation) == self.silent.as_ref() => {
                let failure = Failure::unknown_effect("look", &target.incarnation, "no answer");
                self.core
                    .handle_poll_reply(&target.incarnation, Err(failure), self.now);
            }
            Effect::Poll(target, poll) if self.long_polls => {
                self.waiting_polls
                    .push((self.now.at + poll.wait, target.incarnation));
            }
            Effect::Poll(target, _) => self.report_running(&target.incarnation),
            Effect::Reply(token, reply) => self.replies.push((token, reply)),
            Effect::ConfirmOwnership => self.confirm_ownership(),
            Effect::Advise(request) if self.advisor == Advisor::Works => {
                self.advice_requests.push(request);
            }
            Effect::Advise(request) => {
                let AdviceRequest { key, asked_at, .. } = request;
                let only = self.advised_worker.clone();
                let allowed = |id: &&Incarnation| only.as_ref().is_none_or(|only| only == *id);
                let chosen = request.workers.iter().filter(allowed).take(1);
                let chosen = chosen.map(|id| (id.clone(), Arc::from("t")));
                let answer = match std::mem::take(&mut self.advisor) {
                    Advisor::LosesOne => {
                        Err(Failure::unknown_effect("advise", "advisor", "no answer"))
                    }
                    _ => Ok(chosen.collect()),
                };
                self.advice_requests.push(request);
                self.core.handle_advice(key, asked_at, answer, self.now);
            }
            Effect::ListMachines => {
                self.machine_list_requests.push(self.now.at);
                let failure = || Failure::unknown_effect("list machines", "platform", "no answer");
                let list = self.machine_list.clone().ok_or_else(failure);
                self.core.handle_machine_list(list, self.now);
            }
            Effect::MachineOrder(machine, order) => {
                let failure = Failure::unknown_effect("order machine", &machine, "no answer");
                let reply = self.machine_reply.ok_or(failure);
                self.core
                    .handle_machine_reply(&machine, &order, reply, self.now);
                self.machine_orders.push((machine, order));
            }
        }
    }

    /// Answers a confirmation of the ownership, unless the store is away.
    fn confirm_ownership(&mut self) {
        if self.store_available {
            self.core.note_ownership_confirmed(self.now.at);
        } else {
            self.core.note_confirmation_failed(self.now);
        }
    }

    /// Ends a worker's process, and with it all runs on that worker.
    pub fn crash(&mut self, id: &Incarnation) {
        self.crashed.insert(id.clone());
        self.running.retain(|(at, _)| at != id);
    }

    /// Lists another incarnation in place of one that has ended.
    pub fn relist_as(&mut self, former: &Incarnation, listed: ListedWorker) {
        self.core.unlist_worker(former, self.now);
        self.core.list_worker(listed, self.now);
    }

    /// Makes the store answer again, starting with the pending append.
    pub fn restore_store(&mut self) {
        self.store_available = true;
        if let Some(position) = self.pending_append.take() {
            self.core.note_durable(position, self.now.at, self.now);
        }
    }

    fn refusal(&self, target: &Target, order: &Order) -> Option<Refusal> {
        let (id, refusal) = self.refusing_worker.as_ref()?;
        let starts = matches!(order, Order::Start(_));
        (starts && target.incarnation == *id).then_some(*refusal)
    }

    pub fn clock(&self) -> u64 {
        u64::try_from(self.now.at.saturating_sub(self.clock_start).as_millis()).unwrap()
    }

    pub fn report(&mut self, id: &Incarnation, mut active: Vec<Active>, finished: Vec<Finished>) {
        // A run that was started there continues unless it was stopped or has finished.
        for (worker, run, order) in &self.orders {
            if let Order::Start(start) = order
                && !self.hides_runs
                && worker == id
                && self.drops_orders.as_ref() != Some(worker)
                && !finished
                    .iter()
                    .any(|end| end.name == start.name && end.run == start.run)
                && self.core.log_state().is_live(*run)
                && !self.is_stopped(*run)
                && !active.iter().any(|row| row.name == start.name)
            {
                active.push(Active {
                    name: start.name.clone(),
                    run: start.run,
                    checkpoint: "".into(),
                    percent: u32::try_from(self.now.at.as_millis() % 100).unwrap(),
                    figure: None,
                });
            }
        }
        let reply = PollReply::Report {
            clock: self.clock(),
            active,
            finished,
            more_ends: self.more_ends,
        };
        self.core.handle_poll_reply(id, Ok(reply), self.now);
    }

    fn is_stopped(&self, run: Run) -> bool {
        let mut orders = self.orders.iter();
        orders.any(|(_, at, order)| *at == run && matches!(order, Order::Stop(..)))
    }

    /// Returns the runs that were ordered to stop.
    pub fn stops(&self) -> BTreeSet<Run> {
        let orders = self.orders.iter();
        let stops = orders.filter(|(_, _, order)| matches!(order, Order::Stop(..)));
        stops.map(|(_, run, _)| *run).collect()
    }

    pub fn submit(&mut self, job: Job) -> RequestToken {
        self.last_token += 1;
        let token = RequestToken(self.last_token);
        self.core.submit(job, token, self.now);
        token
    }

    pub fn starts(&self) -> Vec<(Incarnation, Run)> {
        let starts = self
            .orders
            .iter()
            .filter(|(_, _, order)| matches!(order, Order::Start(_)));
        starts.map(|(id, run, _)| (id.clone(), *run)).collect()
    }

    /// Returns a list with one end.
    pub fn ends(&self, run: Run, how: EndReason, number: u64) -> Vec<Finished> {
        vec![Finished {
            number,
            name: self.name(run),
            run: run.number,
            how,
            checkpoint: "".into(),
        }]
    }

    /// Reports in the next poll of a worker that this run has ended.
    pub fn end(&mut self, id: &Incarnation, run: Run, how: EndReason, number: u64) {
        for _ in 0..1000 {
            let mut rest = Vec::new();
            let mut polled = false;
            for effect in self.poll() {
                match effect {
                    Effect::Poll(target, _) if target.incarnation == *id => polled = true,
                    other => rest.push(other),
                }
            }
            if polled {
                let finished = self.ends(run, how, number);
                self.report(id, Vec::new(), finished);
            }
            for effect in rest {
                self.carry_out(effect);
            }
            if polled {
                return;
            }
        }
        panic!("{id} was not polled");
    }

    pub fn name(&self, run: Run) -> TaskName {
        let job = &self.core.log_state().jobs[&run.task.job];
        TaskName {
            job: job.job.id.clone(),
            occurrence: run.task.occurrence,
            step: run.task.step,
            index: run.task.index,
        }
    }
}
