//! An owner and a fleet on which services, short jobs and batch jobs run.
//! The store and the workers answer at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::resources::Resources;
use ashtiller::workflow::agents::{Order, OrderReply, Poll, PollReply, Target};
use ashtiller::workflow::config::{Config, ListedWorker, Queue};
use ashtiller::workflow::core::{Core, Effect, Now, RequestToken};
use ashtiller::workflow::job::{Job, Policy, Step};
use ashtiller::workflow::load::account::WorkClass;
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::record::Run;
use ashtiller::workflow::tuning::Tuning;

use crate::worker::{DisabledSafeguards, Worker};

pub const MS: Duration = Duration::from_millis(1);
pub const SECOND: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(10);
/// Time at which a fleet begins.
const BEGIN: Duration = Duration::from_mins(1);

pub fn policy() -> Policy {
    Policy {
        service: "fleet".into(),
        priority: 0,
        attempts: 3,
        extension: 1.5,
        target: 300 * MS,
        advice: None,
    }
}

fn queue_of(step: &Step) -> &'static str {
    match WorkClass::of(step) {
        WorkClass::LongRunning => "jobs/lasting/",
        WorkClass::Short => "jobs/short/",
        WorkClass::BestEffort => "jobs/batch/",
    }
}

fn queue(prefix: &str) -> Queue {
    Queue {
        host: "jobs".into(),
        prefix: prefix.into(),
        policy: policy(),
    }
}

/// Returns a worker; every third one is half as large again as the others.
fn listed(number: u16) -> ListedWorker {
    let halves = if number.is_multiple_of(3) { 3 } else { 2 };
    ListedWorker {
        incarnation: format!("w{number}").into(),
        machine: Some(format!("m{number}").into()),
        service: "fleet".into(),
        address: ([10, 0, 0, 1], number + 1).into(),
        zone: "bern".into(),
        capacity: Resources {
            processors: 8_000 * halves,
            memory: (32 << 30) * halves,
            accelerators: 0,
        },
        labels: ["a".into(), format!("r{}", number / 20).into()].into(),
        draining: false,
        remaining: None,
    }
}

/// What became of a job.
#[derive(Clone)]
pub struct JobFate {
    pub step: Step,
    pub submitted: Duration,
    /// When its last task started for the first time, and ended.
    pub started: Option<Duration>,
    pub ended: Option<Duration>,
    unstarted: u32,
    left: u32,
}

impl JobFate {
    /// Returns whether it ended within its objective.
    pub fn is_in_time(&self) -> bool {
        let policy = policy();
        let objective = self.step.estimate.mul_f64(policy.extension) + policy.target;
        self.ended
            .is_some_and(|ended| ended <= self.submitted + objective)
    }
}

pub struct Fleet {
    pub core: Core,
    pub now: Duration,
    pub fates: BTreeMap<Arc<str>, JobFate>,
    /// Time after which an order is answered.
    pub order_delay: Duration,
    /// Answers to orders that are due later.
    replies: Vec<(Duration, Target, Run, Order, OrderReply)>,
    workers: BTreeMap<SocketAddr, Worker>,
    /// Polls that wait at their workers, with the ends of their waits.
    polls: Vec<(Target, Poll, Duration)>,
    tokens: u64,
}

impl Fleet {
    pub fn new(workers: u16, tuning: &Tuning) -> Self {
        let mut core = Core::new(*tuning, 5, LogState::default(), 1, clock(BEGIN));
        core.set_config(Arc::new(Config {
            version: 1,
            queues: ["/batch/", "/lasting/", "/short/"].map(queue).into(),
            ..Config::default()
        }));
        core.list_all((0..workers).map(listed).collect(), clock(BEGIN));
        let workers = (0..workers).map(listed).map(|listed| {
            let disabled = DisabledSafeguards::default();
            let worker = Worker::new(listed.incarnation, listed.capacity, 100, disabled);
            (listed.address, worker)
        });
        Self {
            core,
            now: BEGIN,
            fates: BTreeMap::new(),
            order_delay: Duration::ZERO,
            replies: Vec::new(),
            workers: workers.collect(),
            polls: Vec::new(),
            tokens: 0,
        }
    }

    /// Returns the processors of all workers, in thousandths.
    pub fn processors(&self) -> u64 {
        let workers = self.workers.values();
        workers.map(|worker| worker.capacity.processors).sum()
    }

    /// Submits a job of one step.
    pub fn submit(&mut self, id: &str, step: Step) {
        self.tokens += 1;
        let fate = JobFate {
            submitted: self.now,
            started: None,
            ended: None,
            unstarted: step.count,
            left: step.count,
            step: step.clone(),
        };
        let job = Job {
            id: id.into(),
            queue: queue_of(&step).into(),
            payload: "".into(),
            steps: vec![step],
            schedule: None,
        };
        self.fates.insert(job.id.clone(), fate);
        let token = RequestToken(self.tokens);
        self.core.submit(job, token, clock(self.now));
    }

    pub fn cancel(&mut self, id: &str) {
        self.tokens += 1;
        let token = RequestToken(self.tokens);
        self.core.cancel(id, token, clock(self.now));
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        self.now += TICK;
        let now = clock(self.now);
        let done = self.workers.values_mut();
        for (name, _) in done.flat_map(|worker| worker.advance(now.at)) {
            if let Some(fate) = self.fates.get_mut(&name.job) {
                fate.left -= 1;
                fate.ended = (fate.left == 0).then_some(now.at);
            }
        }
        for (to, mut poll, until) in std::mem::take(&mut self.polls) {
            let worker = self.workers.get_mut(&to.address).expect("a known worker");
            let has_ends = worker.last_end_number() > worker.last_acknowledged();
            if has_ends || now.at >= until || poll.ends_recorded > worker.last_acknowledged() {
                let mut reply = worker.poll(to.fence, &poll, now.at);
                if let PollReply::Report { active, .. } = &mut reply {
                    let services = active.iter_mut();
                    let services = services.filter(|it| self.fates[&it.name.job].step.long_running);
                    // The progress of a service is that of its warm-up.
                    services.for_each(|it| it.percent = 100);
                }
                let ends =
                    matches!(&reply, PollReply::Report { finished, .. } if !finished.is_empty());
                if ends || now.at >= until {
                    self.core.handle_poll_reply(&to.incarnation, Ok(reply), now);
                    continue;
                }
                // A poll acknowledges ends once.
                poll.ends_recorded = 0;
            }
            self.polls.push((to, poll, until));
        }
        for (due, to, run, order, reply) in std::mem::take(&mut self.replies) {
            if due > now.at {
                self.replies.push((due, to, run, order, reply));
                continue;
            }
            self.core
                .handle_order_reply(&to.incarnation, run, &order, Ok(reply), now);
        }
        self.core.note_complete_listing(now.at);
        for effect in self.core.advance(now) {
            self.carry_out(effect, now);
        }
    }

    fn carry_out(&mut self, effect: Effect, now: Now) {
        match effect {
            Effect::Append(position, _) => self.core.note_durable(position, now.at, now),
            Effect::Poll(to, poll) => {
                let until = now.at + poll.wait;
                self.polls.push((to, poll, until));
            }
            Effect::Order(to, run, order) => {
                let mut needs = Resources::default();
                let mut run_time = Duration::ZERO;
                if let Order::Start(start) = &order {
                    let fate = self.fates.get_mut(&start.name.job).expect("a known job");
                    (needs, run_time) = (fate.step.reserved(), fate.step.estimate);
                    fate.unstarted = fate.unstarted.saturating_sub(1);
                    if fate.unstarted == 0 {
                        fate.started.get_or_insert(now.at);
                    }
                }
                let worker = self.workers.get_mut(&to.address).expect("a known worker");
                let reply = worker.order(to.fence, &order, needs, run_time, now.at);
                let due = now.at + self.order_delay;
                self.replies.push((due, to, run, order, reply));
            }
            Effect::Reply(..)
            | Effect::Advise(_)
            | Effect::MachineOrder(..)
            | Effect::ListMachines
            | Effect::ConfirmOwnership => {}
        }
    }
}

fn clock(now: Duration) -> Now {
    Now {
        at: now,
        wall: u64::try_from(now.as_millis()).expect("a short time"),
    }
}
