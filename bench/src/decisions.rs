//! What the decisions of an owner cost: the state machine in virtual time, with workers that
//! answer as real ones do, and the processor time that it takes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ashtiller::resources::Resources;
use ashtiller::workflow::agents::{
    Active, EndReason, Finished, Order, OrderReply, Poll, PollReply, TaskName,
};
use ashtiller::workflow::config::{Config, ListedWorker, Queue};
use ashtiller::workflow::core::{Core, Effect, Now, RequestToken};
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::{Job, Policy, Sharing, Step};
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::record::Run;
use ashtiller::workflow::tuning::Tuning;
use pico_args::Arguments;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const MS: Duration = Duration::from_millis(1);
/// Way to a worker and back.
const WAY: Duration = Duration::from_millis(4);
/// Time until an entry is durable.
const STORE: Duration = Duration::from_millis(6);
/// Time between two polls.
const POLL: Duration = Duration::from_millis(2);
/// Capacity of a worker.
const CAPACITY: Resources = Resources {
    processors: 16_000,
    memory: 62 << 30,
    accelerators: 0,
};
/// Jobs a second for each thousand workers: short, filling and lasting ones.
const RATES: [f64; 3] = [14.6, 16.7, 1.08];

enum Event {
    Durable(u64),
    Answer(Incarnation, Run, Order),
    Look(Incarnation),
    End(Incarnation, TaskName, u32),
}

#[derive(Default)]
struct Worker {
    active: BTreeMap<(TaskName, u32), Duration>,
    ends: Vec<Finished>,
    next: u64,
    /// Which look waits, and until when.
    waits: Option<Duration>,
}

pub(crate) struct Fleet {
    pub core: Core,
    pub now: Duration,
    /// Jobs a second, as in [`RATES`].
    pub rates: [f64; 3],
    events: BTreeMap<(Duration, u64), Event>,
    order: BinaryHeap<Reverse<(Duration, u64)>>,
    number: u64,
    workers: HashMap<Incarnation, Worker>,
    rng: Pcg64,
    spent: Duration,
    starts: u64,
}

/// Measures the decisions for fleets of the sizes asked for.
pub fn run(mut args: Arguments) -> anyhow::Result<()> {
    let seconds: u32 = args.opt_value_from_str("--seconds")?.unwrap_or(20);
    let sizes = match args.opt_value_from_str("--workers")? {
        Some(workers) => vec![workers],
        None => vec![300, 1000, 3000],
    };
    println!("workers  starts/s  looks/s  orders/s  cores  us a start");
    for workers in sizes {
        let mut fleet = Fleet::new(workers, &Tuning::default(), CAPACITY);
        fleet.play(Duration::from_secs(10));
        let (spent, starts, counts) = (fleet.spent, fleet.starts, fleet.core.counts());
        fleet.play(Duration::from_secs(u64::from(seconds)));
        let spent = fleet.spent.saturating_sub(spent).as_secs_f64();
        let starts = f64::from(u32::try_from(fleet.starts - starts)?);
        let rate = |now: u64, then: u64| u32::try_from(now - then).map(|it| it / seconds);
        println!(
            "{workers:7}  {:8.0}  {:7}  {:8}  {:5.3}  {:10.1}",
            starts / f64::from(seconds),
            rate(fleet.core.counts().looks, counts.looks)?,
            rate(fleet.core.counts().orders, counts.orders)?,
            spent / f64::from(seconds),
            spent * 1e6 / starts,
        );
    }
    Ok(())
}

impl Fleet {
    pub fn new(workers: u16, tuning: &Tuning, capacity: Resources) -> Self {
        let now = Now {
            at: Duration::from_mins(1),
            wall: 60_000,
        };
        let mut core = Core::new(*tuning, 5, LogState::default(), 1, now);
        let queues = ["short", "fill", "last"].map(|name| Queue {
            host: "jobs".into(),
            prefix: format!("/{name}/").into(),
            policy: Policy {
                service: "fleet".into(),
                priority: 2 * u32::from(name == "fill"),
                attempts: 3,
                extension: 2.0,
                target: 500 * MS,
                advice: None,
            },
        });
        core.set_config(Arc::new(Config {
            version: 1,
            queues: queues.into(),
            ..Config::default()
        }));
        let listed = |number| listed(number, capacity);
        core.list_all((0..workers).map(listed).collect(), now);
        let names = (0..workers).map(|number| (listed(number).incarnation, Worker::default()));
        Self {
            core,
            now: now.at,
            rates: RATES,
            events: BTreeMap::new(),
            order: BinaryHeap::new(),
            number: 0,
            workers: names.collect(),
            rng: Pcg64::seed_from_u64(7),
            spent: Duration::ZERO,
            starts: 0,
        }
    }

    fn clock(&self) -> Now {
        Now {
            at: self.now,
            wall: u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.number += 1;
        let key = (self.now + after, self.number);
        self.events.insert(key, event);
        self.order.push(Reverse(key));
    }

    pub fn play(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step_to(self.now + POLL);
        }
    }

    /// Plays what happens until then and advances the owner once. Returns the time that took it.
    pub fn step_to(&mut self, at: Duration) -> Duration {
        self.now = at;
        self.arrive();
        while self.order.peek().is_some_and(|it| it.0.0 <= self.now) {
            let Some(Reverse(key)) = self.order.pop() else {
                break;
            };
            if let Some(event) = self.events.remove(&key) {
                self.happen(event);
            }
        }
        let now = self.clock();
        let began = Instant::now();
        self.core.note_complete_listing(self.now);
        let effects = self.core.advance(now);
        let took = began.elapsed();
        self.spent += took;
        for effect in effects {
            self.carry_out(effect);
        }
        took
    }

    /// Submits a job.
    pub fn submit(&mut self, job: Job) {
        self.number += 1;
        let (ticket, now) = (RequestToken(self.number), self.clock());
        let began = Instant::now();
        self.core.submit(job, ticket, now);
        self.spent += began.elapsed();
    }

    #[expect(clippy::cast_precision_loss, reason = "some thousand workers")]
    fn arrive(&mut self) {
        let share = self.workers.len() as f64 / 1000.0 * POLL.as_secs_f64();
        for (kind, rate) in self.rates.into_iter().enumerate() {
            if self.rng.random_bool((rate * share).min(1.0)) {
                let job = make_job(kind, self.number + 1, &mut self.rng);
                self.submit(job);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Append(position, _) => self.at(STORE, Event::Durable(position)),
            Effect::Order(target, run, order) => {
                self.obey(&target.incarnation, &order);
                self.at(WAY, Event::Answer(target.incarnation, run, order));
            }
            Effect::Poll(target, look) => self.look(&target.incarnation, &look),
            Effect::Reply(..)
            | Effect::Advise(_)
            | Effect::MachineOrder(..)
            | Effect::ListMachines
            | Effect::ConfirmOwnership => {}
        }
    }

    fn obey(&mut self, id: &Incarnation, order: &Order) {
        let now = self.now;
        match order {
            Order::Start(start) => {
                self.starts += 1;
                let length = match &start.name.job {
                    job if job.starts_with("last") => 30_000,
                    job if job.starts_with("hold") => 3_600_000,
                    _ => 800,
                };
                let length = MS * self.rng.random_range(length / 2..length * 2);
                let end = Event::End(id.clone(), start.name.clone(), start.run);
                self.at(length, end);
                if let Some(worker) = self.workers.get_mut(id) {
                    worker
                        .active
                        .insert((start.name.clone(), start.run), now + length);
                }
            }
            Order::Stop(name, run) => self.finish(id, name, *run, EndReason::Stopped),
            Order::Pace(..) => {}
        }
    }

    fn finish(&mut self, id: &Incarnation, name: &TaskName, run: u32, how: EndReason) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.active.remove(&(name.clone(), run)).is_none() {
            return;
        }
        worker.next += 1;
        worker.ends.push(Finished {
            number: worker.next,
            name: name.clone(),
            run,
            how,
            checkpoint: Arc::from(""),
        });
        if worker.waits.take().is_some() {
            self.at(WAY / 2, Event::Look(id.clone()));
        }
    }

    fn look(&mut self, id: &Incarnation, look: &Poll) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.ends.retain(|end| end.number > look.ends_recorded);
        let now = self.now;
        if worker.ends.is_empty() && !look.wait.is_zero() {
            worker.waits = Some(now + look.wait);
            self.at(look.wait + WAY, Event::Look(id.clone()));
        } else {
            self.at(WAY, Event::Look(id.clone()));
        }
    }

    fn happen(&mut self, event: Event) {
        let now = self.clock();
        match event {
            Event::Durable(position) => {
                let began = Instant::now();
                self.core.note_durable(position, self.now, now);
                self.spent += began.elapsed();
            }
            Event::Answer(id, run, order) => {
                let said = Ok(OrderReply::Done(now.wall));
                let began = Instant::now();
                self.core.handle_order_reply(&id, run, &order, said, now);
                self.spent += began.elapsed();
            }
            Event::Look(id) => self.answer_look(&id, now),
            Event::End(id, name, run) => {
                let how = if name.job.starts_with("last") {
                    EndReason::Failed
                } else {
                    EndReason::Done
                };
                self.finish(&id, &name, run, how);
            }
        }
    }

    fn answer_look(&mut self, id: &Incarnation, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        // The wait of a look that was answered before.
        if worker.waits.is_some_and(|until| self.now < until) {
            return;
        }
        worker.waits = None;
        let rng = &mut self.rng;
        let active = worker.active.iter().map(|((name, run), end)| Active {
            name: name.clone(),
            run: *run,
            checkpoint: Arc::from(""),
            percent: progress(*end, self.now, &name.job),
            figure: Some(rng.random_range(20..60)),
        });
        let looked = PollReply::Report {
            clock: now.wall,
            active: active.collect(),
            finished: worker.ends.clone(),
            more_ends: false,
        };
        let began = Instant::now();
        self.core.handle_poll_reply(id, Ok(looked), now);
        self.spent += began.elapsed();
    }
}

/// Percent of a run's work that is done; one that lasts is at work.
fn progress(end: Duration, now: Duration, job: &str) -> u32 {
    // A run below 100 that makes no progress is stopped.
    if job.starts_with("last") || job.starts_with("hold") {
        return 100;
    }
    let left = u32::try_from(end.saturating_sub(now).as_millis() / 20).unwrap_or(99);
    99u32.saturating_sub(left)
}

fn make_job(kind: usize, number: u64, rng: &mut Pcg64) -> Job {
    let name = ["short", "fill", "last"][kind];
    let image = Some(format!("{name}-{}", rng.random_range(0..4)).into());
    let step = |count: u32, processors: u64, after: Vec<u16>| Step {
        count,
        needs: Resources {
            processors,
            memory: 2 << 30,
            accelerators: 0,
        },
        estimate: 800 * MS,
        image: image.clone(),
        depends_on: after,
        ..Step::default()
    };
    let steps = match kind {
        0 => vec![step(9, 4000, vec![]), step(5, 4000, vec![0])],
        1 => {
            let fills = |step| Step {
                sharing: Sharing::Fills,
                ..step
            };
            vec![
                fills(step(39, 1800, vec![])),
                fills(step(39, 1800, vec![0])),
            ]
        }
        _ => vec![Step {
            long_running: true,
            sharing: Sharing::Serves(100 * MS),
            ..step(24, 3000, vec![])
        }],
    };
    Job {
        id: format!("{name}{number}").into(),
        queue: format!("jobs/{name}/").into(),
        payload: "".into(),
        steps,
        schedule: None,
    }
}

fn listed(number: u16, capacity: Resources) -> ListedWorker {
    ListedWorker {
        incarnation: format!("i-{number:04x}").into(),
        machine: Some(format!("m{number}").into()),
        service: "fleet".into(),
        address: ([10, 0, 0, 1], number + 1).into(),
        zone: "bern".into(),
        capacity,
        labels: ["a".into(), format!("r{}", number / 20).into()].into(),
        draining: false,
        remaining: None,
    }
}
