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
const TICK: Duration = Duration::from_millis(5);
/// Workers of the fleet, four to a rack, with eight processors each.
pub const WORKERS: u16 = 20;
/// Rough run time of a task.
const ESTIMATE: Duration = Duration::from_millis(500);

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

/// What became of a job.
#[derive(Clone, Debug)]
pub struct JobFate {
    pub source: usize,
    pub submitted: Duration,
    /// Time at which its last task started.
    pub started: Option<Duration>,
    pub ended: Option<Duration>,
    queue: Arc<str>,
    step: Step,
    starts: u32,
    done: u32,
}

pub fn policy() -> Policy {
    Policy {
        service: "fleet".into(),
        priority: 0,
        attempts: 5,
        extension: 1.5,
        target: 250 * MS,
        advice: None,
    }
}

/// The queue of patient callers has an objective that is longer by 5 s.
pub const PATIENT: &str = "/patient/";

fn policy_of(queue: &str) -> Policy {
    let extra = if queue == PATIENT {
        5 * SECOND
    } else {
        Duration::ZERO
    };
    Policy {
        target: policy().target + extra,
        ..policy()
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

pub fn job(id: &str, queue: &str, steps: Vec<Step>) -> Job {
    Job {
        id: id.into(),
        queue: format!("jobs{queue}").into(),
        payload: "".into(),
        steps,
        schedule: None,
    }
}

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

struct WaitingPoll {
    to: Target,
    poll: Poll,
    until: Duration,
}

pub struct Fleet {
    pub core: Core,
    pub now: Duration,
    pub records: Vec<LogRecord>,
    pub fates: BTreeMap<Arc<str>, JobFate>,
    workers: BTreeMap<SocketAddr, Worker>,
    polls: Vec<WaitingPoll>,
    tokens: u64,
}

/// Returns a tuning with the fair shares on or off, and the other parts for hard load off.
pub fn tuning(fair_shares: bool) -> Tuning {
    Tuning {
        switches: Switches {
            fair_shares,
            capacity_reserve: false,
            admission_control: false,
            learned_run_times: false,
            ..Switches::default()
        },
        ..Tuning::default()
    }
}

/// Returns a configuration with queues at these paths.
fn config(queues: &[&str]) -> Arc<Config> {
    let queues = queues.iter().map(|prefix| Queue {
        host: "jobs".into(),
        prefix: (*prefix).into(),
        policy: policy_of(prefix),
    });
    Arc::new(Config {
        version: 1,
        queues: queues.collect(),
        ..Config::default()
    })
}

impl Fleet {
    pub fn new(queues: &[&str], fair_shares: bool) -> Self {
        Self::replay(&[], queues, fair_shares)
    }

    /// Creates the next owner of a log with these records.
    pub fn replay(records: &[LogRecord], queues: &[&str], fair_shares: bool) -> Self {
        let now = Duration::from_mins(1);
        let mut state = LogState::default();
        for record in records {
            state.apply(record, now);
        }
        Self::with_state(state, queues, fair_shares)
    }

    pub fn with_state(state: LogState, queues: &[&str], fair_shares: bool) -> Self {
        let now = Duration::from_mins(1);
        let at = clock(now);
        let mut core = Core::new(tuning(fair_shares), 5, state, 1, at);
        core.set_config(config(queues));
        core.list_all((0..WORKERS).map(listed).collect(), at);
        let workers = (0..WORKERS).map(|number| {
            let disabled = DisabledSafeguards::default();
            let capacity = listed(number).capacity;
            let worker = Worker::new(format!("w{number}"), capacity, 99, disabled);
            (listed(number).address, worker)
        });
        Self {
            core,
            now,
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
            step: job.steps[0].clone(),
            starts: 0,
            done: 0,
        });
        let token = RequestToken(self.tokens);
        self.core
            .submit_from(job, &zone.into(), token, clock(self.now));
    }

    /// Lets `span` pass while jobs arrive from these sources.
    pub fn run(&mut self, sources: &mut [Source], span: Duration) {
        let (begin, end) = (self.now, self.now + span);
        while self.now < end {
            for (index, source) in sources.iter_mut().enumerate() {
                let at = self.now.saturating_sub(begin).as_secs_f64();
                source.due += (source.rate)(at) * TICK.as_secs_f64();
                while source.due >= 1.0 {
                    source.due -= 1.0;
                    let id: Arc<str> = format!("{index}-{}", self.tokens).into();
                    let rack = source.rack.map(Arc::from);
                    let step = Step {
                        label: rack,
                        ..step(4)
                    };
                    self.submit(job(&id, source.queue, vec![step]), source.zone, index);
                }
            }
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        let done: Vec<_> = self
            .workers
            .values_mut()
            .flat_map(|worker| worker.advance(self.now))
            .collect();
        for (name, _) in done {
            let Some(fate) = self.fates.get_mut(&name.job) else {
                continue;
            };
            fate.done += 1;
            if fate.done == fate.step.count {
                fate.ended = Some(self.now);
            }
        }
        for waiting in std::mem::take(&mut self.polls) {
            self.answer_poll(waiting);
        }
        self.core.note_complete_listing(self.now);
        for effect in self.core.advance(clock(self.now)) {
            self.carry_out(effect);
        }
    }

    fn answer_poll(&mut self, mut waiting: WaitingPoll) {
        let WaitingPoll { to, poll, until } = &mut waiting;
        let worker = self.workers.get_mut(&to.address).expect("a known worker");
        let reply = worker.poll(to.fence, poll, self.now);
        poll.ends_recorded = 0;
        let has_ends = !matches!(&reply, PollReply::Report { finished, .. } if finished.is_empty());
        if has_ends || self.now >= *until {
            let id = &to.incarnation;
            self.core.handle_poll_reply(id, Ok(reply), clock(self.now));
        } else {
            self.polls.push(waiting);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        let now = clock(self.now);
        match effect {
            Effect::Append(position, records) => {
                self.records.extend(records);
                self.core.note_durable(position, self.now, now);
            }
            Effect::Poll(to, poll) => {
                let until = self.now + poll.wait;
                self.polls.push(WaitingPoll { to, poll, until });
            }
            Effect::Order(to, run, order) => {
                let (mut needs, mut duration) = (step(1).needs, Duration::ZERO);
                if let Order::Start(start) = &order
                    && let Some(fate) = self.fates.get_mut(&start.name.job)
                {
                    // Run times differ from the estimate by up to a fifth.
                    let spread = (run.task.job * 7 + u32::from(run.task.index) * 13) % 41;
                    duration = ESTIMATE * (80 + spread) / 100;
                    needs = fate.step.needs;
                    fate.starts += 1;
                    if fate.starts == fate.step.count {
                        fate.started = Some(self.now);
                    }
                }
                let worker = self.workers.get_mut(&to.address).expect("a known worker");
                let reply = worker.order(to.fence, &order, needs, duration, self.now);
                self.core
                    .handle_order_reply(&to.incarnation, run, &order, Ok(reply), now);
            }
            Effect::Reply(..) | Effect::Advise(_) | Effect::MachineOrder(..) => {}
        }
    }

    /// Returns the fates of the jobs of a source that were submitted in a span, in seconds since the
    /// beginning.
    pub fn fates_of(&self, source: usize, span: std::ops::Range<f64>) -> Vec<&JobFate> {
        let begin = Duration::from_mins(1);
        let within = |fate: &&JobFate| {
            let at = fate.submitted.saturating_sub(begin).as_secs_f64();
            fate.source == source && span.contains(&at)
        };
        self.fates.values().filter(within).collect()
    }
}

fn clock(now: Duration) -> Now {
    Now {
        at: now,
        wall: u64::try_from(now.as_millis()).expect("a short time"),
    }
}

/// Returns the 95th percentile of the times from submission to the start of the last task, and of
/// those to the end of the job. A job that did not start or end counts as an hour.
pub fn percentile_95(fates: &[&JobFate]) -> (Duration, Duration) {
    const NEVER: Duration = Duration::from_hours(1);
    let percentile = |until: fn(&JobFate) -> Option<Duration>| {
        let times = fates.iter().map(|fate| {
            let at = until(fate);
            at.map_or(NEVER, |at| at.saturating_sub(fate.submitted))
        });
        let mut times: Vec<Duration> = times.collect();
        times.sort_unstable();
        times[(times.len() * 95).div_ceil(100) - 1]
    };
    (
        percentile(|fate| fate.started),
        percentile(|fate| fate.ended),
    )
}

/// Returns the share of jobs that ended within their objective.
pub fn in_time(fates: &[&JobFate]) -> f64 {
    let timely = fates.iter().filter(|fate| {
        let policy = policy_of(fate.queue.strip_prefix("jobs").unwrap_or_default());
        let objective = ESTIMATE.mul_f64(policy.extension) + policy.target;
        fate.ended
            .is_some_and(|ended| ended.saturating_sub(fate.submitted) <= objective)
    });
    #[expect(clippy::cast_precision_loss, reason = "small counts")]
    let share = timely.count() as f64 / fates.len() as f64;
    share
}
