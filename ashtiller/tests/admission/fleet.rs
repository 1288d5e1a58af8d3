//! An owner whose workers finish their tasks on time, and callers who return after a refusal.

use std::collections::BTreeMap;
use std::time::Duration;

use ashtiller::workflow::agents::{Active, EndReason, Finished, Order, OrderReply, PollReply};
use ashtiller::workflow::config::{Config, Queue};
use ashtiller::workflow::core::{Core, Effect, Now, RequestToken};
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::Job;
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::message::Reply;
use ashtiller::workflow::record::LogRecord;
use ashtiller::workflow::tuning::Tuning;

use crate::driver::{MS, listed, policy};

#[derive(Default)]
struct Worker {
    running: Vec<(Duration, Active)>,
    ended: Vec<Finished>,
    last_end: u64,
}

pub struct Fleet {
    pub core: Core,
    pub now: Now,
    pub replies: BTreeMap<u64, Reply>,
    pub records: Vec<LogRecord>,
    pub store_available: bool,
    /// Time that each task runs for.
    pub run_time: Duration,
    pending_append: Option<u64>,
    workers: BTreeMap<Incarnation, Worker>,
    last_token: u64,
}

impl Fleet {
    /// Creates an owner of a log with these records, with workers of four processors each.
    pub fn new(workers: u16, tuning: &Tuning, records: &[LogRecord]) -> Self {
        let now = Now {
            at: Duration::from_mins(10),
            wall: 1_000_000,
        };
        let mut state = LogState::default();
        for record in records {
            state.apply(record, now.at);
        }
        let mut core = Core::new(*tuning, 5, state, 1, now);
        core.set_config(std::sync::Arc::new(Config {
            version: 1,
            queues: vec![Queue {
                host: "jobs".into(),
                prefix: "/q/".into(),
                policy: policy(),
            }],
            ..Config::default()
        }));
        core.list_all((0..workers).map(listed).collect(), now);
        let mut fleet = Self {
            core,
            now,
            replies: BTreeMap::new(),
            records: records.to_vec(),
            store_available: true,
            run_time: 500 * MS,
            pending_append: None,
            workers: BTreeMap::new(),
            last_token: 0,
        };
        fleet.run_for(200 * MS);
        fleet
    }

    pub fn submit(&mut self, job: Job) -> u64 {
        self.last_token += 1;
        let token = RequestToken(self.last_token);
        self.core.submit(job, token, self.now);
        self.last_token
    }

    /// Submits a job, and returns its answer if that came at once.
    pub fn offer(&mut self, job: Job) -> Option<Reply> {
        let token = self.submit(job);
        self.now.at += MS;
        self.now.wall += 1;
        self.advance();
        self.replies.get(&token).cloned()
    }

    pub fn restore_store(&mut self) {
        self.store_available = true;
        if let Some(position) = self.pending_append.take() {
            self.core.note_durable(position, self.now.at, self.now);
        }
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now.at + span;
        while self.now.at < end {
            self.now.at += 10 * MS;
            self.now.wall += 10;
            self.advance();
        }
    }

    /// Returns how many jobs were recorded as accepted.
    pub fn recorded(&self, prefix: &str) -> usize {
        let accepted = self.records.iter().filter(
            |record| matches!(record, LogRecord::Accepted(job, ..) if job.id.starts_with(prefix)),
        );
        accepted.count()
    }

    fn advance(&mut self) {
        self.core.note_complete_listing(self.now.at);
        for effect in self.core.advance(self.now) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        let now = self.now;
        let clock = u64::try_from(now.at.as_millis()).unwrap();
        match effect {
            Effect::Append(position, records) => {
                self.records.extend(records);
                if self.store_available {
                    self.core.note_durable(position, now.at, now);
                } else {
                    self.pending_append = Some(position);
                }
            }
            Effect::Order(target, run, order) => {
                let worker = self.workers.entry(target.incarnation.clone()).or_default();
                match &order {
                    Order::Start(start) => {
                        let row = Active {
                            name: start.name.clone(),
                            run: start.run,
                            checkpoint: "".into(),
                            percent: 0,
                            figure: None,
                        };
                        worker.running.push((now.at + self.run_time, row));
                    }
                    Order::Stop(name, _) => worker.running.retain(|(_, row)| row.name != *name),
                    Order::Pace(..) => {}
                }
                let reply = Ok(OrderReply::Done(clock));
                self.core
                    .handle_order_reply(&target.incarnation, run, &order, reply, now);
            }
            Effect::Poll(target, poll) => {
                let worker = self.workers.entry(target.incarnation.clone()).or_default();
                worker.ended.retain(|end| end.number > poll.ends_recorded);
                let (ended, running) = std::mem::take(&mut worker.running)
                    .into_iter()
                    .partition(|(at, _)| *at <= now.at);
                worker.running = running;
                let ended: Vec<(Duration, Active)> = ended;
                for (_, row) in ended {
                    worker.last_end += 1;
                    worker.ended.push(Finished {
                        number: worker.last_end,
                        name: row.name,
                        run: row.run,
                        how: EndReason::Done,
                        checkpoint: "".into(),
                    });
                }
                let reply = PollReply::Report {
                    clock,
                    active: worker.running.iter().map(|(_, row)| row.clone()).collect(),
                    finished: worker.ended.clone(),
                    more_ends: false,
                };
                self.core
                    .handle_poll_reply(&target.incarnation, Ok(reply), now);
            }
            Effect::Reply(token, reply) => {
                self.replies.insert(token.0, reply);
            }
            Effect::Advise(_)
            | Effect::MachineOrder(..)
            | Effect::ListMachines
            | Effect::ConfirmOwnership => {}
        }
    }
}
