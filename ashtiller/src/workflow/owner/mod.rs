//! Carries out what the owner of a log decides.

mod effects;
mod events;
mod hand_over;
mod predecessor;
mod unreadable;

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::{mpsc, oneshot};
use tokio::task::{self, JoinHandle};
use tokio::time::{self, Instant};

use crate::clock::Moment;
use crate::failure::Failure;
use crate::workflow::advisor::Tickets;
use crate::workflow::agents::{Order, OrderReply, PollReply};
use crate::workflow::core::advice::StepKey;
use crate::workflow::core::{Core, Counts, Now, Ticket};
use crate::workflow::follow::{self, StoreUpdate};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::log::{AppendError, Replayed, Written};
use crate::workflow::machines::{Done, MachineOrder};
use crate::workflow::message::{PeerRequest, Reply};
use crate::workflow::node::Node;
use crate::workflow::record::{LogOwner, Run};

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
/// Time limit of asking another instance to take over.
const TAKE_OVER_LIMIT: Duration = Duration::from_secs(1);
/// Pause between two tries to hand over.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(500);

/// A question to the owner and where its answer goes.
pub struct OwnerRequest {
    /// Question.
    pub ask: PeerRequest,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Reply>,
}

/// What comes back from outside.
enum Event {
    Looked(Incarnation, Result<PollReply, Failure>),
    OrderCompleted(Incarnation, Run, Order, Result<OrderReply, Failure>),
    Appended(u64, Result<Written, AppendError>),
    Workers(StoreUpdate),
    Advised(StepKey, Duration, Result<Tickets, Failure>),
    Duty(Arc<str>, MachineOrder, Result<Done, Failure>),
    WaveStatusWritten(u64, bool, bool),
    HandoverFinished(bool),
    /// The owner at this epoch, which this one replaced, has ended.
    PredecessorEnded(u64),
}

/// Begins to own the log as `lead`.
pub fn spawn(node: &Rc<Node>, lead: LogOwner) {
    // Two tries to own may both find that the lead is this process.
    if node.owns() {
        return;
    }
    let (sender, asked) = mpsc::channel(QUEUE);
    node.set_owner(Some(sender));
    node.adopt_lead(&lead);
    node.own_member_list(lead.epoch);
    task::spawn_local(run(node.clone(), lead, asked));
}

async fn run(node: Rc<Node>, lead: LogOwner, asked: mpsc::Receiver<OwnerRequest>) {
    let start = Moment::now();
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
        next = replayed.next_position,
        jobs = replayed.book.jobs.len(),
        open = replayed.book.open().len(),
        took_ms = start.elapsed().as_millis(),
        "log replayed"
    );
    let (sender, inputs) = mpsc::channel(RESULTS);
    let now = now_since(start);
    let core = Core::new(
        node.settings.tuning,
        lead.epoch,
        replayed.book,
        replayed.next_position,
        now,
    );
    let mut owner = Owner {
        node: node.clone(),
        lead,
        core,
        start,
        requests: asked,
        events: inputs,
        sender,
        pending_replies: HashMap::new(),
        next_ticket: 0,
        snapshot: None,
        compaction: None,
        last_handover: None,
        written_waves: BTreeSet::new(),
        unread: unreadable::UnreadableEntries::default(),
        last_counts: Counts::default(),
        last_published: Instant::now(),
        stopped: false,
    };
    owner.serve().await;
    let counts = owner.core.counts();
    tracing::warn!(
        epoch = owner.lead.epoch,
        ?counts,
        "no longer the owner of the log"
    );
    node.set_owner(None);
    node.metrics.forget_waits();
    owner.reject_pending();
}

/// Reads the log, unless it has another owner by now.
async fn replay(node: &Rc<Node>, lead: &LogOwner) -> Result<Option<Replayed>, Failure> {
    if let Some(known) = node.log.read_lead(false).await?
        && known.epoch != lead.epoch
    {
        node.adopt_lead(&known);
        return Ok(None);
    }
    node.log.replay(Duration::ZERO).await.map(Some)
}

fn now_since(start: Moment) -> Now {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Now {
        at: start.elapsed(),
        wall: u64::try_from(wall.as_millis()).unwrap_or(u64::MAX),
    }
}

fn announce(node: &Rc<Node>, lead: &LogOwner) {
    for address in node.peer_addresses() {
        let (node, lead) = (node.clone(), lead.clone());
        task::spawn_local(async move {
            let ask = PeerRequest::OwnerIs(lead);
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
    lead: LogOwner,
    core: Core,
    start: Moment,
    requests: mpsc::Receiver<OwnerRequest>,
    events: mpsc::Receiver<Event>,
    sender: mpsc::Sender<Event>,
    pending_replies: HashMap<Ticket, oneshot::Sender<Reply>>,
    next_ticket: u64,
    snapshot: Option<(u64, Vec<u8>)>,
    compaction: Option<JoinHandle<()>>,
    last_handover: Option<Instant>,
    written_waves: BTreeSet<(u64, bool)>,
    /// Workers' entries that cannot be read.
    unread: unreadable::UnreadableEntries,
    last_counts: Counts,
    last_published: Instant,
    stopped: bool,
}

impl Owner {
    async fn serve(&mut self) {
        self.follow_workers();
        self.watch_predecessor();
        let mut waves = self.node.watch_waves();
        waves.mark_changed();
        let mut evacuations = self.node.watch_evacuations();
        evacuations.mark_changed();
        let mut config = self.node.watch_config();
        self.core.set_config(config.borrow_and_update().clone());
        let mut tick = time::interval(TICK);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut polled = Instant::now();
        while !self.stopped {
            tokio::select! {
                biased;
                input = self.events.recv() => self.handle_events(input),
                asked = self.requests.recv() => self.handle_requests(asked),
                _ = tick.tick() => {}
            }
            if config.has_changed().unwrap_or(false) {
                self.core.set_config(config.borrow_and_update().clone());
            }
            // What comes at the same time is decided together.
            if polled.elapsed() < POLL {
                time::sleep_until(polled + POLL).await;
                self.drain_ready();
            }
            polled = Instant::now();
            let now = self.now();
            if waves.has_changed().unwrap_or(false) {
                for wave in waves.borrow_and_update().values() {
                    self.core.set_wave(wave.clone(), now);
                }
            }
            if evacuations.has_changed().unwrap_or(false) {
                self.update_evacuations(&evacuations.borrow_and_update(), now);
            }
            self.write_wave_status();
            self.choose_relays();
            for effect in self.core.poll(now) {
                self.execute(effect);
            }
            self.consider_hand_over(now);
            self.publish_state(now);
            self.stopped |= self.core.is_superseded();
            self.stopped |= self
                .node
                .lead()
                .is_none_or(|lead| lead.epoch != self.lead.epoch);
        }
    }

    fn choose_relays(&self) {
        let calls = &self.node.worker_client;
        let workers = self.core.workers().len();
        if calls.is_relay_choice_due(workers) {
            calls.choose_relays(workers, &self.node.members());
        }
    }

    fn drain_ready(&mut self) {
        if let Ok(input) = self.events.try_recv() {
            self.handle_events(Some(input));
        }
        if let Ok(asked) = self.requests.try_recv() {
            self.handle_requests(Some(asked));
        }
    }

    fn now(&self) -> Now {
        now_since(self.start)
    }

    fn follow_workers(&self) {
        let (sender, mut seen) = mpsc::channel(16);
        let prefix = self.node.dialect.worker_prefix();
        let (store, patience) = (self.node.store.clone(), self.node.watch_long_poll_wait());
        task::spawn_local(follow::follow(store, prefix, patience, sender));
        let inputs = self.sender.clone();
        task::spawn_local(async move {
            while let Some(seen) = seen.recv().await {
                if inputs.send(Event::Workers(seen)).await.is_err() {
                    return;
                }
            }
        });
    }

    /// Counts what was done, and shows the state for a dump.
    fn publish_state(&mut self, now: Now) {
        if self.last_published.elapsed() < SHOW {
            return;
        }
        self.last_published = Instant::now();
        let counts = self.core.counts();
        self.node.metrics.note_counts(&self.last_counts, &counts);
        for times in self.core.drain_job_times() {
            self.node.metrics.note_times(&times);
        }
        self.last_counts = counts;
        let gates = self.core.workers_by_eligibility(now);
        self.node
            .metrics
            .note_waits(&self.core.summarize_waits(now), &gates);
        let calls = &self.node.worker_client;
        self.node.metrics.note_pressure(
            self.core.pressure(),
            calls.relays().len(),
            calls.relayed_count(),
        );
        self.node.publish_dump(&self.core.dump(now));
    }

    /// Entries that were not confirmed may have been written.
    fn reject_pending(&mut self) {
        for (_, reply) in self.pending_replies.drain() {
            let _ = reply.send(Reply::Unknown);
        }
        while let Ok(asked) = self.requests.try_recv() {
            let _ = asked.reply.send(Reply::NotOwner);
        }
    }
}
