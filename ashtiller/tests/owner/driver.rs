//! The owner of a log as a state machine, with a store and workers that answer at once.

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
use ashtiller::workflow::machines::{Done, MachineOrder};
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

/// What becomes of questions to the advisor.
#[derive(Default, Eq, PartialEq)]
pub enum Advisor {
    /// Each is answered.
    #[default]
    Answers,
    /// The next answer is lost.
    LosesOne,
    /// It is still at all of them.
    Works,
}

/// A core whose store answers at once, and what it wants done.
pub struct Driver {
    pub core: Core,
    pub now: Now,
    pub ticket: u64,
    pub orders: Vec<(Incarnation, Run, Order)>,
    pub answers: Vec<(RequestToken, Reply)>,
    /// Starts that were refused.
    pub refused: Vec<(Incarnation, Run)>,
    pub asked: Vec<AdviceRequest>,
    /// What becomes of questions to the advisor.
    pub advisor: Advisor,
    pub duties: Vec<(Arc<str>, MachineOrder)>,
    /// What the machines' interface says to each order; nothing when it is silent.
    pub says: Option<Done>,
    pub facts: Vec<LogRecord>,
    /// The only worker that the advisor lets run anything.
    pub advises: Option<Incarnation>,
    /// A worker that refuses starts, and why.
    pub refuses: Option<(Incarnation, Refusal)>,
    /// A worker that answers no look.
    pub silent: Option<Incarnation>,
    /// A worker at which looks run out of time.
    pub mute: Option<Incarnation>,
    /// Lives of workers that are over: they answer nothing.
    pub crashed: BTreeSet<Incarnation>,
    /// Lives that are not where their entries say: another one answers.
    pub strangers: BTreeSet<Incarnation>,
    /// Lives that are over, and the next ones, which answer for them.
    pub reborn: BTreeMap<Incarnation, Incarnation>,
    /// What each look acknowledged.
    pub acknowledged: Vec<(Incarnation, u64)>,
    /// Looks by worker.
    pub looked: BTreeMap<Incarnation, u32>,
    /// Rows that a look at a worker shows in place of the usual ones.
    pub at_work: Vec<(Incarnation, Active)>,
    /// Ends that each look shows.
    pub listed_ends: Vec<Finished>,
    /// Whether looks are answered only when they need not wait any longer.
    pub patient: bool,
    /// Looks that wait, and until when.
    looks: Vec<(Duration, Incarnation)>,
    /// Whether entries become durable.
    pub store: bool,
    /// Whether news of workers comes.
    pub news: bool,
    /// Availability zones under evacuation; nothing while no news of that comes.
    pub evacuated: Option<Zones>,
    /// A worker whose orders get lost.
    pub deaf: Option<Incarnation>,
    /// When the workers' clocks began.
    pub began: Duration,
    /// Position of the entry that is not durable.
    waiting: Option<u64>,
}

impl Driver {
    pub fn new(workers: u16, policy: Policy) -> Self {
        Self::replay(&[], workers, policy)
    }

    /// A new owner of a log that holds these facts.
    pub fn replay(facts: &[LogRecord], workers: u16, policy: Policy) -> Self {
        Self::with_terms(&Tuning::default(), facts, workers, policy)
    }

    /// A new owner of such a log under these terms.
    pub fn with_terms(terms: &Tuning, facts: &[LogRecord], workers: u16, policy: Policy) -> Self {
        let now = Now {
            at: Duration::from_mins(10),
            wall: 1_000_000,
        };
        let mut book = LogState::default();
        for fact in facts {
            book.apply(fact, now.at);
        }
        let mut core = Core::new(*terms, 5, book, 1, now);
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
            ticket: 0,
            orders: Vec::new(),
            answers: Vec::new(),
            refused: Vec::new(),
            asked: Vec::new(),
            advisor: Advisor::Answers,
            duties: Vec::new(),
            says: Some(Done::Yes),
            facts: Vec::new(),
            advises: None,
            refuses: None,
            silent: None,
            mute: None,
            crashed: BTreeSet::new(),
            strangers: BTreeSet::new(),
            reborn: BTreeMap::new(),
            acknowledged: Vec::new(),
            looked: BTreeMap::new(),
            at_work: Vec::new(),
            listed_ends: Vec::new(),
            patient: false,
            looks: Vec::new(),
            store: true,
            news: true,
            evacuated: Some(Zones::new()),
            deaf: None,
            began: Duration::ZERO,
            waiting: None,
        };
        driver.pass(100 * MS);
        driver
    }

    /// Lets time pass; workers answer looks with nothing, and take every order.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now.at + span;
        while self.now.at < end {
            self.now.wall += 5;
            for effect in self.poll() {
                self.carry_out(effect);
            }
            self.answer_looks();
        }
    }

    /// Polls the core 5 ms later; while news comes, its list is whole as of then.
    fn poll(&mut self) -> Vec<Effect> {
        self.now.at += 5 * MS;
        if self.news {
            self.core.note_complete_listing(self.now.at);
        }
        if let Some(zones) = &self.evacuated {
            self.core.note_evacuations(zones, Duration::ZERO, self.now);
        }
        self.core.advance(self.now)
    }

    fn answer_looks(&mut self) {
        let looks = std::mem::take(&mut self.looks);
        for (until, id) in looks {
            if self.now.at < until {
                self.looks.push((until, id));
            } else {
                self.show(&id);
            }
        }
    }

    /// Reports what runs at a worker.
    fn show(&mut self, id: &Incarnation) {
        let rows = self.at_work.iter().filter(|(at, _)| at == id);
        let rows = rows.map(|(_, row)| row.clone()).collect();
        let ends = self.listed_ends.clone();
        self.report(id, rows, ends);
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each effect")]
    pub fn carry_out(&mut self, effect: Effect) {
        if let Effect::Poll(target, look) = &effect {
            self.acknowledged
                .push((target.incarnation.clone(), look.ends_recorded));
            *self.looked.entry(target.incarnation.clone()).or_insert(0) += 1;
        }
        match effect {
            Effect::Poll(target, _) if self.reborn.contains_key(&target.incarnation) => {
                let next = self.reborn[&target.incarnation].clone();
                let looked = PollReply::OtherIncarnation(Some(next));
                self.core
                    .handle_poll_reply(&target.incarnation, Ok(looked), self.now);
            }
            Effect::Poll(target, _) if self.strangers.contains(&target.incarnation) => {
                self.core.handle_poll_reply(
                    &target.incarnation,
                    Ok(PollReply::OtherIncarnation(None)),
                    self.now,
                );
            }
            Effect::Order(target, run, order) if self.crashed.contains(&target.incarnation) => {
                let nothing =
                    Failure::unknown_effect("order", &target.incarnation, "connection refused");
                self.core.handle_order_reply(
                    &target.incarnation,
                    run,
                    &order,
                    Err(nothing),
                    self.now,
                );
            }
            Effect::Poll(target, _) if Some(&target.incarnation) == self.mute.as_ref() => {
                let nothing =
                    Failure::unknown_effect("look", &target.incarnation, "no answer in time");
                self.core
                    .handle_poll_reply(&target.incarnation, Err(nothing), self.now);
            }
            Effect::Poll(target, _) if self.crashed.contains(&target.incarnation) => {
                let nothing =
                    Failure::unknown_effect("look", &target.incarnation, "connection refused");
                self.core
                    .handle_poll_reply(&target.incarnation, Err(nothing), self.now);
            }
            Effect::Append(position, facts) => {
                self.facts.extend(facts);
                if self.store {
                    self.core.note_durable(position, self.now.at, self.now);
                } else {
                    self.waiting = Some(position);
                }
            }
            Effect::Order(target, run, order)
                if Some(&target.incarnation) == self.deaf.as_ref() =>
            {
                let nothing = Failure::unknown_effect("order", &target.incarnation, "no answer");
                self.core.handle_order_reply(
                    &target.incarnation,
                    run,
                    &order,
                    Err(nothing),
                    self.now,
                );
                self.orders.push((target.incarnation, run, order));
            }
            Effect::Order(target, run, order) if self.refusal(&target, &order).is_some() => {
                let refusal = self.refusal(&target, &order).expect("a refusal");
                let said = Ok(OrderReply::Refused(refusal));
                self.core
                    .handle_order_reply(&target.incarnation, run, &order, said, self.now);
                self.refused.push((target.incarnation, run));
            }
            Effect::Order(target, run, order) => {
                let said = Ok(OrderReply::Done(self.clock()));
                self.core
                    .handle_order_reply(&target.incarnation, run, &order, said, self.now);
                if let Order::Stop(name, _) = &order {
                    self.at_work.retain(|(_, row)| row.name != *name);
                }
                self.orders.push((target.incarnation, run, order));
            }
            Effect::Poll(target, _) if Some(&target.incarnation) == self.silent.as_ref() => {
                let nothing = Failure::unknown_effect("look", &target.incarnation, "no answer");
                self.core
                    .handle_poll_reply(&target.incarnation, Err(nothing), self.now);
            }
            Effect::Poll(target, look) if self.patient => {
                self.looks
                    .push((self.now.at + look.wait, target.incarnation));
            }
            Effect::Poll(target, _) => self.show(&target.incarnation),
            Effect::Reply(ticket, reply) => self.answers.push((ticket, reply)),
            Effect::Advise(question) if self.advisor == Advisor::Works => {
                self.asked.push(question);
            }
            Effect::Advise(question) => {
                let AdviceRequest { key, asked_at, .. } = question;
                let only = self.advises.clone();
                let allowed = |id: &&Incarnation| only.as_ref().is_none_or(|only| only == *id);
                let good = question.workers.iter().filter(allowed).take(1);
                let good = good.map(|id| (id.clone(), Arc::from("t")));
                let answer = match std::mem::take(&mut self.advisor) {
                    Advisor::LosesOne => {
                        Err(Failure::unknown_effect("advise", "advisor", "no answer"))
                    }
                    _ => Ok(good.collect()),
                };
                self.asked.push(question);
                self.core.handle_advice(key, asked_at, answer, self.now);
            }
            Effect::MachineOrder(machine, duty) => {
                let nothing = Failure::unknown_effect("order machine", &machine, "no answer");
                let said = self.says.ok_or(nothing);
                self.core
                    .handle_machine_reply(&machine, &duty, said, self.now);
                self.duties.push((machine, duty));
            }
        }
    }

    /// A worker's process ends, and with it all that runs there.
    pub fn crash(&mut self, id: &Incarnation) {
        self.crashed.insert(id.clone());
        self.at_work.retain(|(at, _)| at != id);
    }

    /// The platform lists another life in place of one that is over.
    pub fn come_back_as(&mut self, former: &Incarnation, listed: ListedWorker) {
        self.core.unlist_worker(former, self.now);
        self.core.list_worker(listed, self.now);
    }

    /// The store answers again, the entry under way first.
    pub fn come_back(&mut self) {
        self.store = true;
        if let Some(position) = self.waiting.take() {
            self.core.note_durable(position, self.now.at, self.now);
        }
    }

    fn refusal(&self, target: &Target, order: &Order) -> Option<Refusal> {
        let (id, refusal) = self.refuses.as_ref()?;
        let starts = matches!(order, Order::Start(_));
        (starts && target.incarnation == *id).then_some(*refusal)
    }

    pub fn clock(&self) -> u64 {
        u64::try_from(self.now.at.saturating_sub(self.began).as_millis()).unwrap()
    }

    pub fn report(&mut self, id: &Incarnation, mut active: Vec<Active>, finished: Vec<Finished>) {
        // What was started there goes on, unless it was stopped or is among the finished.
        for (worker, run, order) in &self.orders {
            if let Order::Start(start) = order
                && worker == id
                && self.deaf.as_ref() != Some(worker)
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
        let looked = PollReply::Report {
            clock: self.clock(),
            active,
            finished,
        };
        self.core.handle_poll_reply(id, Ok(looked), self.now);
    }

    fn is_stopped(&self, run: Run) -> bool {
        let mut orders = self.orders.iter();
        orders.any(|(_, at, order)| *at == run && matches!(order, Order::Stop(..)))
    }

    /// Runs that were told to stop.
    pub fn stops(&self) -> BTreeSet<Run> {
        let orders = self.orders.iter();
        let stops = orders.filter(|(_, _, order)| matches!(order, Order::Stop(..)));
        stops.map(|(_, run, _)| *run).collect()
    }

    pub fn submit(&mut self, job: Job) -> RequestToken {
        self.ticket += 1;
        let ticket = RequestToken(self.ticket);
        self.core.submit(job, ticket, self.now);
        ticket
    }

    pub fn starts(&self) -> Vec<(Incarnation, Run)> {
        let starts = self
            .orders
            .iter()
            .filter(|(_, _, order)| matches!(order, Order::Start(_)));
        starts.map(|(id, run, _)| (id.clone(), *run)).collect()
    }

    /// A list of one end.
    pub fn ends(&self, run: Run, how: EndReason, number: u64) -> Vec<Finished> {
        vec![Finished {
            number,
            name: self.name(run),
            run: run.number,
            how,
            checkpoint: "".into(),
        }]
    }

    /// The next look at a worker shows that this run ended.
    pub fn end(&mut self, id: &Incarnation, run: Run, how: EndReason, number: u64) {
        for _ in 0..1000 {
            let mut rest = Vec::new();
            let mut looked = false;
            for effect in self.poll() {
                match effect {
                    Effect::Poll(target, _) if target.incarnation == *id => looked = true,
                    other => rest.push(other),
                }
            }
            if looked {
                let finished = self.ends(run, how, number);
                self.report(id, Vec::new(), finished);
            }
            for effect in rest {
                self.carry_out(effect);
            }
            if looked {
                return;
            }
        }
        panic!("{id} was not looked at");
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
