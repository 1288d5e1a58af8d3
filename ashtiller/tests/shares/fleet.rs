//! An owner, workers and callers in virtual time. The store answers at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::resources::Resources;
use ashtiller::workflow::agents::{Order, Poll, PollReply, Target};
use ashtiller::workflow::config::{Config, ListedWorker, Queue};
use ashtiller::workflow::core::{Core, Effect, Now, RequestToken};
use ashtiller::workflow::job::{Job, Policy, Step};
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::record::LogRecord;
use ashtiller::workflow::switches::Switches;
use ashtiller::workflow::tuning::Tuning;

use crate::worker::{DisabledSafeguards, Worker};

pub const MS: Duration = Duration::from_millis(1);
pub const SECOND: Duration = Duration::from_secs(1);
/// Time at which a fleet begins.
pub const BEGIN: Duration = Duration::from_mins(1);
const TICK: Duration = Duration::from_millis(5);
/// Rough run time of a task.
const ESTIMATE: Duration = Duration::from_millis(500);
/// Queues; the objective of the last one is 5 s longer.
pub const QUEUES: [&str; 5] = ["/a/", "/b/", "/c/", "/d/", PATIENT];
pub const PATIENT: &str = "/patient/";

/// A stream of jobs of one queue from one availability zone.
pub struct Source {
    pub queue: &'static str,
    pub zone: &'static str,
    /// Jobs per second by time in seconds since the beginning.
    pub rate: Box<dyn Fn(f64) -> f64>,
    /// Rack that the tasks need.
    pub rack: Option<&'static str>,
    /// Part of the next job that has arrived.
    pub due: f64,
}

impl Source {
    pub fn new(
        queue: &'static str,
        zone: &'static str,
        rate: impl Fn(f64) -> f64 + 'static,
    ) -> Self {
        Self {
            queue,
            zone,
            rate: Box::new(rate),
            rack: None,
            due: 0.0,
        }
    }
}

/// What became of a job, with the times at which its last task started and ended.
#[derive(Clone)]
pub struct JobFate {
    pub source: usize,
    pub submitted: Duration,
    pub started: Option<Duration>,
    pub ended: Option<Duration>,
    queue: Arc<str>,
    needs: Resources,
    unstarted: u32,
    left: u32,
}

impl JobFate {
    pub fn is_in_time(&self) -> bool {
        let policy = policy(self.queue.strip_prefix("jobs").unwrap_or_default());
        let due = self.submitted + ESTIMATE.mul_f64(policy.extension) + policy.target;
        self.ended.is_some_and(|ended| ended <= due)
    }
}

fn policy(queue: &str) -> Policy {
    Policy {
        service: "fleet".into(),
        priority: 0,
        attempts: 5,
        extension: 1.5,
        target: 250 * MS + SECOND * if queue == PATIENT { 5 } else { 0 },
        advice: None,
    }
}

/// Tasks of one processor.
pub fn step(count: u32) -> Step {
    Step {
        count,
        needs: Resources {
            processors: 1000,
            memory: 1 << 30,
            accelerators: 0,
        },
        estimate: ESTIMATE,
        ..Step::default()
    }
}

pub fn job(id: &str, queue: &str, step: Step) -> Job {
    Job {
        id: id.into(),
        queue: format!("jobs{queue}").into(),
        payload: "".into(),
        steps: vec![step],
        schedule: None,
    }
}

/// Returns one of 20 workers of eight processors, four to a rack.
fn listed(number: u16) -> ListedWorker {
    ListedWorker {
        incarnation: format!("w{number}").into(),
        machine: Some(format!("m{number}").into()),
        service: "fleet".into(),
        address: ([10, 0, 0, 1], number + 1).into(),
        zone: "bern".into(),
        capacity: Resources {
            processors: 8000,
            memory: 64 << 30,
            accelerators: 0,
        },
        labels: ["a".into(), format!("r{}", number / 4).into()].into(),
        draining: false,
        remaining: None,
    }
}

pub struct Fleet {
    pub core: Core,
    pub now: Duration,
    pub records: Vec<LogRecord>,
    pub fates: BTreeMap<Arc<str>, JobFate>,
    workers: BTreeMap<SocketAddr, Worker>,
    /// Polls that wait at their workers, with the ends of their waits.
    polls: Vec<(Target, Poll, Duration)>,
    tokens: u64,
}

fn clock(now: Duration) -> Now {
    Now {
        at: now,
        wall: u64::try_from(now.as_millis()).expect("a short time"),
    }
}

impl Fleet {
    pub fn new(fair_shares: bool) -> Self {
        Self::with_state(LogState::default(), fair_shares)
    }

    /// Creates the next owner of a log; the other parts for hard load are off.
    pub fn with_state(state: LogState, fair_shares: bool) -> Self {
        let tuning = Tuning {
            switches: Switches {
                fair_shares,
                capacity_reserve: false,
                admission_control: false,
                learned_run_times: false,
                ..Switches::default()
            },
            ..Tuning::default()
        };
        let mut core = Core::new(tuning, 5, state, 1, clock(BEGIN));
        let queues = QUEUES.map(|prefix| Queue {
            host: "jobs".into(),
            prefix: prefix.into(),
            policy: policy(prefix),
        });
        core.set_config(Arc::new(Config {
            version: 1,
            queues: queues.into(),
            ..Config::default()
        }));
        core.list_all((0..20).map(listed).collect(), clock(BEGIN));
        let workers = (0..20).map(listed).map(|listed| {
            let disabled = DisabledSafeguards::default();
            let worker = Worker::new(listed.incarnation, listed.capacity, 99, disabled);
            (listed.address, worker)
        });
        Self {
            core,
            now: BEGIN,
            records: Vec::new(),
            fates: BTreeMap::new(),
            workers: workers.collect(),
            polls: Vec::new(),
            tokens: 0,
        }
    }

    /// Submits a job through an instance of a zone.
    pub fn submit(&mut self, job: Job, zone: &str, source: usize) {
        self.tokens += 1;
        self.fates.entry(job.id.clone()).or_insert(JobFate {
            source,
            submitted: self.now,
            started: None,
            ended: None,
            queue: job.queue.clone(),
            needs: job.steps[0].needs,
            unstarted: job.steps[0].count,
            left: job.steps[0].count,
        });
        let (token, now) = (RequestToken(self.tokens), clock(self.now));
        self.core.submit_from(job, &zone.into(), token, now);
    }

    /// Lets `span` pass while jobs of four tasks arrive from these sources.
    pub fn run(&mut self, sources: &mut [Source], span: Duration) {
        let (begin, end) = (self.now, self.now + span);
        while self.now < end {
            for (index, source) in sources.iter_mut().enumerate() {
                let at = self.now.saturating_sub(begin).as_secs_f64();
                source.due += (source.rate)(at) * TICK.as_secs_f64();
                while source.due >= 1.0 {
                    source.due -= 1.0;
                    let mut step = step(4);
                    step.label = source.rack.map(Arc::from);
                    let id = format!("{index}-{}", self.tokens);
                    self.submit(job(&id, source.queue, step), source.zone, index);
                }
            }
            self.tick();
        }
    }

    fn tick(&mut self) {
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
            let reply = worker.poll(to.fence, &poll, now.at);
            let ends = matches!(&reply, PollReply::Report { finished, .. } if !finished.is_empty());
            if ends || now.at >= until {
                self.core.handle_poll_reply(&to.incarnation, Ok(reply), now);
            } else {
                // A poll acknowledges ends once.
                poll.ends_recorded = 0;
                self.polls.push((to, poll, until));
            }
        }
        self.core.note_complete_listing(now.at);
        for effect in self.core.advance(now) {
            self.carry_out(effect, now);
        }
    }

    fn carry_out(&mut self, effect: Effect, now: Now) {
        match effect {
            Effect::Append(position, records) => {
                self.records.extend(records);
                self.core.note_durable(position, now.at, now);
            }
            Effect::Poll(to, poll) => {
                let until = now.at + poll.wait;
                self.polls.push((to, poll, until));
            }
            Effect::Order(to, run, order) => {
                // Run times differ from the estimate by up to a fifth.
                let spread = (run.task.job * 7 + u32::from(run.task.index) * 13) % 41;
                let duration = ESTIMATE * (80 + spread) / 100;
                let mut needs = Resources::default();
                if let Order::Start(start) = &order
                    && let Some(fate) = self.fates.get_mut(&start.name.job)
                {
                    needs = fate.needs;
                    fate.unstarted = fate.unstarted.saturating_sub(1);
                    if fate.unstarted == 0 {
                        fate.started.get_or_insert(now.at);
                    }
                }
                let worker = self.workers.get_mut(&to.address).expect("a known worker");
                let reply = worker.order(to.fence, &order, needs, duration, now.at);
                self.core
                    .handle_order_reply(&to.incarnation, run, &order, Ok(reply), now);
            }
            Effect::Reply(..)
            | Effect::Advise(_)
            | Effect::MachineOrder(..)
            | Effect::ListMachines
            | Effect::ConfirmOwnership => {}
        }
    }
}
