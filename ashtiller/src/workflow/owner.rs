//! Carries out what the owner of a log decides.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hasher;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::{mpsc, oneshot};
use tokio::task;
use tokio::time::{self, Instant};
use xxhash_rust::xxh3::Xxh3;

use crate::failure::Failure;
use crate::workflow::advisor::Tickets;
use crate::workflow::agents::{Looked, Order, Said};
use crate::workflow::campaign;
use crate::workflow::core::advice::StepKey;
use crate::workflow::core::{Core, Counts, Effect, Now, Ticket};
use crate::workflow::fact::{Lead, Run};
use crate::workflow::follow::{self, Seen};
use crate::workflow::kv::{Change, Txn};
use crate::workflow::log::{Log, Lost, Replayed};
use crate::workflow::machines::{Done, Duty, Holder};
use crate::workflow::message::{Ask, Member, Reply};
use crate::workflow::node::Node;

/// Questions that may wait for the owner.
const QUEUE: usize = 2048;
/// Results that may wait for the owner; each worker has a look and an order under way.
const RESULTS: usize = 4096;
/// Longest time between two steps of the state machine.
const TICK: Duration = Duration::from_millis(20);
/// Least time between two polls of the state machine; a task runs for some 2 s.
const POLL: Duration = Duration::from_millis(2);
/// How often counters and the dump follow the state machine.
const SHOW: Duration = Duration::from_secs(2);
/// Inputs taken before the state machine is polled.
const BATCH: usize = 128;
/// Time without the store after which the log is handed to an instance that has it:
/// above the slowest answers that were seen, 0.35 s.
const HAND_OVER: Duration = Duration::from_millis(800);
/// Time after which an owner looks for a larger instance, so that members are known.
const SETTLE: Duration = Duration::from_millis(1200);
/// Wait of an entry up to which the store answers well.
const CALM: Duration = Duration::from_millis(100);
/// Time limit of asking another instance to take over.
const TAKE_OVER_LIMIT: Duration = Duration::from_secs(1);
/// Answers of the store above this, in milliseconds, say that it is slow for all.
const SLOW: u32 = 150;
/// Age that a member's last heartbeat may have.
const HELLO_AGE: Duration = Duration::from_millis(300);
/// Pause between two tries to hand over.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(500);
/// Age of the last contact with the store up to which a member may get the log.
const FIT_AGE: u32 = 1500;

/// A question to the owner and where its answer goes.
pub struct Asked {
    /// Question.
    pub ask: Ask,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Reply>,
}

/// What comes back from outside.
enum Input {
    Looked(Arc<str>, Result<Looked, Failure>),
    Answered(Arc<str>, Run, Order, Result<Said, Failure>),
    Appended(u64, Result<Instant, Lost>),
    Workers(Seen),
    Advised(StepKey, Duration, Result<Tickets, Failure>),
    Duty(Arc<str>, Duty, Result<Done, Failure>),
    Told(u64, bool, bool),
    HandedOver(bool),
}

/// Digest of a list of members, without what changes all the time.
#[must_use]
pub fn digest(members: &[Member]) -> u64 {
    let mut hash = Xxh3::new();
    for member in members {
        hash.write(member.name.as_bytes());
        hash.write_u16(member.address.port());
        hash.write(member.address.ip().to_string().as_bytes());
        hash.write_u8(u8::from(member.leaving || member.store_age >= FIT_AGE));
    }
    hash.finish()
}

/// Begins to own the log as `lead`.
pub fn spawn(node: &Rc<Node>, lead: Lead) {
    let (sender, asked) = mpsc::channel(QUEUE);
    node.set_owner(Some(sender));
    node.adopt_lead(&lead);
    task::spawn_local(run(node.clone(), lead, asked));
}

async fn run(node: Rc<Node>, lead: Lead, asked: mpsc::Receiver<Asked>) {
    let start = Instant::now();
    announce(&node, &lead);
    let replayed = loop {
        match replay(&node, &lead).await {
            Ok(Some(replayed)) => break replayed,
            Ok(None) => {
                node.set_owner(None);
                return;
            }
            Err(failure) => {
                tracing::warn!(%failure, "log not read; it is read again");
                time::sleep(TICK * 5).await;
                if node.lead().is_none_or(|known| known.epoch != lead.epoch) {
                    node.set_owner(None);
                    return;
                }
            }
        }
    };
    node.metrics.note_takeover(start.elapsed());
    tracing::info!(
        epoch = lead.epoch,
        next = replayed.next,
        jobs = replayed.book.jobs.len(),
        open = replayed.book.open().len(),
        took_ms = start.elapsed().as_millis(),
        "log replayed"
    );
    let (sender, inputs) = mpsc::channel(RESULTS);
    let now = now_since(start);
    let core = Core::new(
        node.settings.terms,
        lead.epoch,
        replayed.book,
        replayed.next,
        now,
    );
    let mut owner = Owner {
        node: node.clone(),
        lead,
        core,
        start,
        asked,
        inputs,
        sender,
        waiting: HashMap::new(),
        next_ticket: 0,
        snapshot: None,
        handing: None,
        told: BTreeSet::new(),
        counted: Counts::default(),
        shown: Instant::now(),
        over: false,
    };
    owner.serve().await;
    let counts = owner.core.counts();
    tracing::warn!(
        epoch = owner.lead.epoch,
        ?counts,
        "no longer the owner of the log"
    );
    node.set_owner(None);
    owner.refuse_waiting();
}

/// Reads the log, unless it has another owner by now.
async fn replay(node: &Rc<Node>, lead: &Lead) -> Result<Option<Replayed>, Failure> {
    if let Some(known) = node.log.read_lead(false).await?
        && known.epoch != lead.epoch
    {
        node.adopt_lead(&known);
        return Ok(None);
    }
    node.log.replay(Duration::ZERO).await.map(Some)
}

fn now_since(start: Instant) -> Now {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Now {
        at: start.elapsed(),
        wall: u64::try_from(wall.as_millis()).unwrap_or(u64::MAX),
    }
}

fn announce(node: &Rc<Node>, lead: &Lead) {
    for address in node.others() {
        let (node, lead) = (node.clone(), lead.clone());
        task::spawn_local(async move {
            let ask = Ask::Leads(lead);
            if let Err(failure) = node
                .links
                .ask("announce", address, &ask, TAKE_OVER_LIMIT)
                .await
            {
                tracing::debug!(%failure, "not told of the new owner");
            }
        });
    }
}

struct Owner {
    node: Rc<Node>,
    lead: Lead,
    core: Core,
    start: Instant,
    asked: mpsc::Receiver<Asked>,
    inputs: mpsc::Receiver<Input>,
    sender: mpsc::Sender<Input>,
    waiting: HashMap<Ticket, oneshot::Sender<Reply>>,
    next_ticket: u64,
    snapshot: Option<(u64, Vec<u8>)>,
    handing: Option<Instant>,
    told: BTreeSet<(u64, bool)>,
    counted: Counts,
    shown: Instant,
    over: bool,
}

impl Owner {
    async fn serve(&mut self) {
        self.follow_workers();
        let mut waves = self.node.watch_waves();
        waves.mark_changed();
        let mut config = self.node.watch_config();
        self.core.set_config(config.borrow_and_update().clone());
        let mut tick = time::interval(TICK);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut polled = Instant::now();
        while !self.over {
            tokio::select! {
                biased;
                input = self.inputs.recv() => self.take_inputs(input),
                asked = self.asked.recv() => self.take_asked(asked),
                _ = tick.tick() => {}
            }
            if config.has_changed().unwrap_or(false) {
                self.core.set_config(config.borrow_and_update().clone());
            }
            // What comes at the same time is decided together.
            if polled.elapsed() < POLL {
                time::sleep_until(polled + POLL).await;
                self.take_waiting();
            }
            polled = Instant::now();
            let now = self.now();
            if waves.has_changed().unwrap_or(false) {
                for wave in waves.borrow_and_update().values() {
                    self.core.set_wave(wave.clone(), now);
                }
            }
            self.tell_waves();
            for effect in self.core.poll(now) {
                self.carry_out(effect);
            }
            self.consider_hand_over(now);
            self.show(now);
            self.over |= self.core.is_superseded();
            self.over |= self
                .node
                .lead()
                .is_none_or(|lead| lead.epoch != self.lead.epoch);
        }
    }

    fn take_waiting(&mut self) {
        if let Ok(input) = self.inputs.try_recv() {
            self.take_inputs(Some(input));
        }
        if let Ok(asked) = self.asked.try_recv() {
            self.take_asked(Some(asked));
        }
    }

    fn now(&self) -> Now {
        now_since(self.start)
    }

    fn follow_workers(&self) {
        let (sender, mut seen) = mpsc::channel(16);
        let prefix = self.node.dialect.worker_prefix();
        task::spawn_local(follow::follow(self.node.store.clone(), prefix, sender));
        let inputs = self.sender.clone();
        task::spawn_local(async move {
            while let Some(seen) = seen.recv().await {
                if inputs.send(Input::Workers(seen)).await.is_err() {
                    return;
                }
            }
        });
    }

    fn take_inputs(&mut self, first: Option<Input>) {
        let mut next = first;
        for _ in 0..BATCH {
            let Some(input) = next else {
                return;
            };
            self.take_input(input);
            next = self.inputs.try_recv().ok();
        }
        if let Some(input) = next {
            self.take_input(input);
        }
    }

    fn take_input(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::Looked(worker, looked) => self.core.take_look(&worker, looked, now),
            Input::Answered(worker, run, order, said) => {
                self.core.take_answer(&worker, run, &order, said, now);
            }
            Input::Appended(position, Ok(sent)) => {
                self.node.note_store();
                self.node.metrics.note_commit(sent.elapsed());
                let sent = sent.saturating_duration_since(self.start);
                self.core.note_durable(position, sent, now);
                self.compact(position);
            }
            Input::Appended(position, Err(Lost::Superseded)) => {
                tracing::warn!(
                    position,
                    epoch = self.lead.epoch,
                    "superseded; the entry is not written"
                );
                self.over = true;
            }
            Input::Workers(seen) => self.take_workers(seen, now),
            Input::Duty(machine, duty, done) => self.core.take_duty(&machine, &duty, done, now),
            Input::Told(number, over, told) => {
                if !told {
                    self.told.remove(&(number, over));
                }
            }
            Input::Advised(key, asked_at, answer) => {
                self.core.take_advice(key, asked_at, answer, now);
            }
            Input::HandedOver(done) => self.over |= done,
        }
    }

    fn take_workers(&mut self, seen: Seen, now: Now) {
        self.node.note_store();
        let dialect = self.node.dialect.clone();
        let read = |key: &str, value: &[u8]| match dialect.worker(key, value) {
            Ok(listed) => Some(listed),
            Err(error) => {
                tracing::error!(key, %error, "worker's entry cannot be read");
                None
            }
        };
        match seen {
            Seen::All(items) => {
                let listed = items.iter().filter_map(|item| read(&item.key, &item.value));
                self.core.list_all(listed.collect(), now);
            }
            Seen::Changes(changes) => {
                for change in changes {
                    match change {
                        Change::Put(item) => {
                            if let Some(listed) = read(&item.key, &item.value) {
                                self.core.list_worker(listed, now);
                            }
                        }
                        Change::Gone(key) => {
                            let id = key.strip_prefix(dialect.worker_prefix());
                            self.core.unlist_worker(id.unwrap_or(&key), now);
                        }
                    }
                }
            }
        }
    }

    fn take_asked(&mut self, first: Option<Asked>) {
        let mut next = first;
        for _ in 0..BATCH {
            let Some(asked) = next else {
                return;
            };
            self.answer(asked);
            next = self.asked.try_recv().ok();
        }
        if let Some(asked) = next {
            self.answer(asked);
        }
    }

    fn answer(&mut self, asked: Asked) {
        let Asked { ask, reply } = asked;
        let now = self.now();
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let said = match ask {
            Ask::State(id) => self.core.state(&id),
            Ask::Pending(queue) => self.core.count_pending(&queue),
            Ask::Submit(job) => {
                self.waiting.insert(ticket, reply);
                self.core.submit(*job, ticket, now);
                return;
            }
            Ask::Cancel(id) => {
                self.waiting.insert(ticket, reply);
                self.core.cancel(&id, ticket, now);
                return;
            }
            _ => Reply::NotOwner,
        };
        // The asker may have given up.
        let _ = reply.send(said);
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Answer(ticket, reply) => {
                if let Some(waiting) = self.waiting.remove(&ticket) {
                    let _ = waiting.send(reply);
                }
            }
            Effect::Append(position, facts) => self.append(position, facts),
            Effect::Order(target, run, order) => {
                let (node, sender) = (self.node.clone(), self.sender.clone());
                task::spawn_local(async move {
                    let began = Instant::now();
                    let said = node.agents.order(&target, &order).await;
                    node.metrics.note_order(order.kind(), began.elapsed());
                    let _ = sender
                        .send(Input::Answered(target.id, run, order, said))
                        .await;
                });
            }
            Effect::Advise(job, key, workers, asked_at) => {
                let (advisor, sender) = (self.node.advisor.clone(), self.sender.clone());
                task::spawn_local(async move {
                    let answer = match advisor {
                        Some(advisor) => advisor.advise(&job, key.1, key.2, &workers).await,
                        None => Err(Failure::none("ask advisor", &job, "the settings name none")),
                    };
                    let _ = sender.send(Input::Advised(key, asked_at, answer)).await;
                });
            }
            Effect::Duty(machine, duty) => {
                let holder = Holder {
                    name: self.lead.name.clone(),
                    fence: self.lead.epoch,
                };
                let (machines, sender) = (self.node.machines.clone(), self.sender.clone());
                task::spawn_local(async move {
                    let done = match machines {
                        Some(machines) => machines.order(&holder, &machine, &duty).await,
                        None => Err(Failure::none(
                            "order machine",
                            &machine,
                            "the settings name no interface",
                        )),
                    };
                    let _ = sender.send(Input::Duty(machine, duty, done)).await;
                });
            }
            Effect::Look(target, look) => {
                let (agents, sender) = (self.node.agents.clone(), self.sender.clone());
                task::spawn_local(async move {
                    let looked = agents.look(&target, &look).await;
                    let _ = sender.send(Input::Looked(target.id, looked)).await;
                });
            }
        }
    }

    /// Counts what was done, and shows the state for a dump.
    fn show(&mut self, now: Now) {
        if self.shown.elapsed() < SHOW {
            return;
        }
        self.shown = Instant::now();
        let counts = self.core.counts();
        self.node.metrics.note_counts(&self.counted, &counts);
        self.counted = counts;
        self.node.show_owned(&self.core.dump(now));
    }

    /// Tells operators how the waves stand, each state once.
    fn tell_waves(&mut self) {
        let states = self.core.wave_states();
        for (number, over) in states {
            let durable = !over || self.core.is_settled();
            if !durable || !self.told.insert((number, over)) {
                continue;
            }
            let (key, value) = self.node.dialect.wave_status(number, over);
            let (store, sender) = (self.node.store.clone(), self.sender.clone());
            task::spawn_local(async move {
                let txn = Txn {
                    put: vec![(key, value)],
                    ..Txn::default()
                };
                let told = match store.commit(&txn).await {
                    Ok(_) => true,
                    Err(failure) => {
                        tracing::warn!(wave = number, %failure, "operators not told of the wave");
                        time::sleep(HAND_OVER_PAUSE).await;
                        false
                    }
                };
                let _ = sender.send(Input::Told(number, over, told)).await;
            });
        }
    }

    fn append(&mut self, position: u64, facts: Vec<crate::workflow::fact::Fact>) {
        if Log::wants_snapshot(position) {
            match postcard::to_stdvec(self.core.book()) {
                Ok(bytes) => self.snapshot = Some((position, bytes)),
                Err(error) => tracing::error!(%error, "snapshot not encoded"),
            }
        }
        let value = match self.node.log.encode(facts) {
            Ok(value) => value,
            Err(failure) => {
                tracing::error!(%failure, "entry not encoded; the log is given up");
                self.over = true;
                return;
            }
        };
        let (log, epoch, sender) = (self.node.log.clone(), self.lead.epoch, self.sender.clone());
        task::spawn_local(async move {
            tokio::select! {
                written = log.append(epoch, position, value) => {
                    let _ = sender.send(Input::Appended(position, written)).await;
                }
                () = sender.closed() => {}
            }
        });
    }

    fn compact(&mut self, position: u64) {
        if self.snapshot.as_ref().is_none_or(|(at, _)| *at != position) {
            return;
        }
        let Some((position, bytes)) = self.snapshot.take() else {
            return;
        };
        let (log, epoch) = (self.node.log.clone(), self.lead.epoch);
        task::spawn_local(async move {
            if let Err(failure) = log.compact(epoch, position, &bytes).await {
                tracing::warn!(position, %failure, "log not compacted");
            }
        });
    }

    /// Hands the log to an instance that reaches the store when this one does not,
    /// or is about to stop.
    fn consider_hand_over(&mut self, now: Now) {
        let stalled = self.core.stalled_for(now);
        let leaving = self.node.is_leaving();
        let small = self.is_small(now);
        if stalled < HAND_OVER && !leaving && !small {
            return;
        }
        if self
            .handing
            .is_some_and(|at| at.elapsed() < HAND_OVER_PAUSE)
        {
            return;
        }
        let own = &self.node.settings.instance.name;
        // Only contact with the store after this instance lost it says anything.
        let limit = if leaving || small {
            FIT_AGE
        } else {
            u32::try_from(stalled.saturating_sub(HELLO_AGE).as_millis()).unwrap_or(FIT_AGE)
        };
        let members = self.node.members();
        let fit = members
            .iter()
            .filter(|member| member.name != *own && !member.leaving)
            .filter(|member| member.store_age < limit)
            .filter(|member| leaving || member.store_took < SLOW)
            .filter(|member| !small || self.is_larger(member))
            .min_by_key(|member| (Reverse(member.processors), member.store_age));
        let Some(heir) = fit.cloned() else {
            return;
        };
        self.handing = Some(Instant::now());
        tracing::warn!(heir = %heir.name, store_age_ms = heir.store_age, stalled_ms = stalled.as_millis(),
            leaving, "hands over the log");
        let (node, lead, sender) = (self.node.clone(), self.lead.clone(), self.sender.clone());
        task::spawn_local(async move {
            let ask = Ask::TakeOver(lead.clone());
            let done = match node
                .links
                .ask("hand over", heir.address, &ask, TAKE_OVER_LIMIT)
                .await
            {
                Ok(Reply::Lead(Some(next))) => {
                    let newer = next.epoch > lead.epoch;
                    node.adopt_lead(&next);
                    newer
                }
                Ok(_) => false,
                Err(failure) => {
                    tracing::warn!(%failure, "not handed over");
                    false
                }
            };
            let _ = sender.send(Input::HandedOver(done)).await;
        });
    }

    fn is_larger(&self, member: &Member) -> bool {
        let own = self.node.settings.entry.processors;
        member.processors * campaign::LARGER_BY.1 >= own * campaign::LARGER_BY.0
    }

    /// Whether a larger instance should own instead, at a calm moment.
    fn is_small(&self, now: Now) -> bool {
        now.at > SETTLE
            && self.core.stalled_for(now) < CALM
            && self
                .node
                .members()
                .iter()
                .any(|member| self.is_larger(member))
    }

    /// Entries that were not confirmed may have been written.
    fn refuse_waiting(&mut self) {
        for (_, reply) in self.waiting.drain() {
            let _ = reply.send(Reply::Unknown);
        }
        while let Ok(asked) = self.asked.try_recv() {
            let _ = asked.reply.send(Reply::NotOwner);
        }
    }
}
