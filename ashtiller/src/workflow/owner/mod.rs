//! Drives the state machine of the log while this process owns it.

mod effects;
mod events;
mod hand_over;
mod predecessors;
mod unreadable;

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures_util::future;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{self, JoinHandle};
use tokio::time::{self, Instant};

use crate::clock::Moment;
use crate::failure::Failure;
use crate::ingress::Reservation;
use crate::workflow::advisor::Tickets;
use crate::workflow::agents::{Order, OrderReply, PollReply};
use crate::workflow::core::advice::StepKey;
use crate::workflow::core::{Core, Counts, Effect, Now, RequestToken};
use crate::workflow::follow::{self, StoreUpdate};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::log::predecessors::ReplacedOwner;
use crate::workflow::log::{AppendError, Replayed, Written};
use crate::workflow::machines::{Done, MachineList, MachineOrder};
use crate::workflow::membership::handover::CutDetector;
use crate::workflow::message::{PeerRequest, Reply};
use crate::workflow::node::Node;
use crate::workflow::record::{LogOwner, Run};

/// Capacity of the queue of requests to the owner.
const REQUEST_QUEUE_CAPACITY: usize = 2048;
/// Capacity of the queue of events; each worker has up to one poll and one order in flight.
const EVENT_QUEUE_CAPACITY: usize = 4096;
/// Longest time between two steps of the state machine.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest time between two steps of the state machine; a task runs for about 2 s.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which the counters and the dump are updated.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which the state of admission is published: that of heartbeats.
const OVERLOAD_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a request to another instance to take over, or of an announcement.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a handover or a write of a wave status is tried again.
const HANDOVER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A request to the owner, and the channel for its reply.
pub struct OwnerRequest {
    /// Request to the owner.
    pub request: PeerRequest,
    /// Availability zone of the instance that took a submitted job from its caller; empty if
    /// unknown.
    pub origin: Arc<str>,
    /// Channel for the reply.
    pub reply: ReplySender,
}

/// Channel for the reply to a request, with the memory that the request holds until then.
pub struct ReplySender {
    sender: oneshot::Sender<Reply>,
    _reservation: Option<Reservation>,
}

impl ReplySender {
    /// Creates the channel of a request.
    #[must_use]
    pub fn new(sender: oneshot::Sender<Reply>, reservation: Option<Reservation>) -> Self {
        Self {
            sender,
            _reservation: reservation,
        }
    }

    /// Sends the reply; the caller may have given up.
    fn send(self, reply: Reply) {
        let _ = self.sender.send(reply);
    }

    /// Returns whether the caller has given up.
    fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Reading of an owner's clock as it begins.
const CLOCK_START: Duration = Duration::from_hours(1);

/// A result from outside the state machine.
enum Event {
    WorkerPolled(Incarnation, Result<PollReply, Failure>),
    OrderCompleted(Incarnation, Run, Order, Result<OrderReply, Failure>),
    Appended(u64, Result<Written, AppendError>),
    Workers(StoreUpdate),
    Advised(StepKey, Duration, Result<Tickets, Failure>),
    MachineOrderCompleted(Arc<str>, MachineOrder, Result<Done, Failure>),
    MachinesListed(Result<MachineList, Failure>),
    /// The number of the wave, whether it has finished, and whether the write succeeded.
    WaveStatusWritten(u64, bool, bool),
    /// Whether another instance took over.
    HandoverFinished(bool),
    /// The earlier owner at this epoch has ended.
    PredecessorEnded(u64),
    /// The owner that the store names, in reply to a read that was sent then.
    OwnerRead(Moment, Result<Option<LogOwner>, Failure>),
}

/// Starts the tasks of the owner of the log; `log_owner` is the record that names this process.
pub fn spawn(node: &Rc<Node>, log_owner: LogOwner) {
    // Two attempts to acquire the log may both find this process to be the owner.
    if node.owns() {
        return;
    }
    let (sender, request_receiver) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
    node.set_owner(Some(sender));
    node.adopt_log_owner(&log_owner);
    node.own_member_list(log_owner.epoch);
    task::spawn_local(run(node.clone(), log_owner, request_receiver));
}

async fn run(node: Rc<Node>, log_owner: LogOwner, request_receiver: mpsc::Receiver<OwnerRequest>) {
    let start = Moment::now();
    announce(&node, &log_owner);
    let Takeover {
        replayed,
        replaced_owners,
        proved_at,
    } = loop {
        match replay(&node, &log_owner, start).await {
            Ok(Some(takeover)) => break takeover,
            Ok(None) => {
                node.set_owner(None);
                return;
            }
            Err(failure) => {
                tracing::warn!(%failure, "failed to read the log; retrying");
                time::sleep(MAX_STEP_INTERVAL * 5).await;
                if node
                    .log_owner()
                    .is_none_or(|known| known.epoch != log_owner.epoch)
                {
                    node.set_owner(None);
                    return;
                }
            }
        }
    };
    node.metrics.note_takeover(start.elapsed());
    tracing::info!(
        epoch = log_owner.epoch,
        next = replayed.next_position,
        jobs = replayed.state.jobs.len(),
        open = replayed.state.open().len(),
        took_ms = start.elapsed().as_millis(),
        "log replayed"
    );
    let (event_sender, event_receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let known_owners = node.known_owners();
    let now = now_since(start);
    let mut core = Core::new(
        node.settings.tuning,
        log_owner.epoch,
        replayed.state,
        replayed.next_position,
        now,
    );
    core.note_ownership_proof(proved_at);
    core.set_known_owners(known_owners, now);
    if node.machines.is_some() {
        core.enable_machine_list();
    }
    let mut owner = Owner {
        node: node.clone(),
        ownership: log_owner,
        core,
        start,
        requests: request_receiver,
        events: event_receiver,
        event_sender,
        pending_replies: HashMap::new(),
        next_ticket: 0,
        snapshot: None,
        snapshot_due: false,
        compaction: None,
        last_handover: None,
        cut_detector: CutDetector::default(),
        written_waves: BTreeSet::new(),
        unreadable: unreadable::UnreadableEntries::default(),
        last_counts: Counts::default(),
        last_published: Instant::now(),
        overload_published: Instant::now(),
        stopped: false,
    };
    owner.watch_predecessors(&replaced_owners);
    owner.serve().await;
    let counts = owner.core.counts();
    tracing::warn!(
        epoch = owner.ownership.epoch,
        ?counts,
        "no longer the owner of the log"
    );
    node.set_owner(None);
    node.metrics.forget_waits();
    owner.reject_pending();
}

/// What a new owner reads before it begins.
struct Takeover {
    replayed: Replayed,
    replaced_owners: Vec<ReplacedOwner>,
    /// When the call was sent that proved the ownership, on the owner's clock.
    proved_at: Duration,
}

/// Replays the log and reads the records of replaced owners; returns `None` if it has another owner
/// by now.
async fn replay(
    node: &Rc<Node>,
    log_owner: &LogOwner,
    start: Moment,
) -> Result<Option<Takeover>, Failure> {
    let proved_at = reading(Moment::now(), start);
    if let Some(known) = node.log.read_owner(false).await?
        && known.epoch != log_owner.epoch
    {
        node.adopt_log_owner(&known);
        return Ok(None);
    }
    let replayed = node.log.replay(Duration::ZERO);
    let (replayed, replaced_owners) =
        future::try_join(replayed, node.log.read_replaced_owners()).await?;
    Ok(Some(Takeover {
        replayed,
        replaced_owners,
        proved_at,
    }))
}

/// Returns the reading of the owner's clock at a moment. An owner dates what happened long before it
/// began.
fn reading(moment: Moment, start: Moment) -> Duration {
    CLOCK_START + moment.since(start)
}

fn now_since(start: Moment) -> Now {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Now {
        at: reading(Moment::now(), start),
        wall: u64::try_from(wall.as_millis()).unwrap_or(u64::MAX),
    }
}

fn announce(node: &Rc<Node>, log_owner: &LogOwner) {
    for address in node.peer_addresses() {
        let (node, log_owner) = (node.clone(), log_owner.clone());
        task::spawn_local(async move {
            let request = PeerRequest::OwnerIs(log_owner);
            if let Err(failure) = node
                .links
                .ask("announce", address, &request, TAKEOVER_TIMEOUT)
                .await
            {
                tracing::debug!(%failure, "failed to announce the new owner to a peer");
            }
        });
    }
}

struct Owner {
    node: Rc<Node>,
    ownership: LogOwner,
    core: Core,
    start: Moment,
    requests: mpsc::Receiver<OwnerRequest>,
    events: mpsc::Receiver<Event>,
    event_sender: mpsc::Sender<Event>,
    pending_replies: HashMap<RequestToken, ReplySender>,
    next_ticket: u64,
    snapshot: Option<(u64, Vec<u8>)>,
    /// Whether a snapshot is to be taken with the next entry that holds all records so far.
    snapshot_due: bool,
    compaction: Option<JoinHandle<()>>,
    last_handover: Option<Instant>,
    cut_detector: CutDetector,
    written_waves: BTreeSet<(u64, bool)>,
    /// Workers' entries that cannot be parsed.
    unreadable: unreadable::UnreadableEntries,
    last_counts: Counts,
    last_published: Instant,
    overload_published: Instant,
    stopped: bool,
}

impl Owner {
    async fn serve(&mut self) {
        self.follow_workers();
        let mut waves = self.node.watch_waves();
        waves.mark_changed();
        let mut evacuations = self.node.watch_evacuations();
        evacuations.mark_changed();
        let mut config = self.node.watch_config();
        self.core.set_config(config.borrow_and_update().clone());
        let mut tick = time::interval(MAX_STEP_INTERVAL);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut last_step = Instant::now();
        while !self.stopped {
            tokio::select! {
                biased;
                event = self.events.recv() => self.handle_events(event),
                request = self.requests.recv() => self.handle_requests(request),
                _ = tick.tick() => {}
            }
            if config.has_changed().unwrap_or(false) {
                self.core.set_config(config.borrow_and_update().clone());
            }
            // Events that arrive together are handled in one step.
            if last_step.elapsed() < MIN_STEP_INTERVAL {
                time::sleep_until(last_step + MIN_STEP_INTERVAL).await;
                self.drain_ready();
            }
            last_step = Instant::now();
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
            for effect in self.advance_core(now) {
                self.execute(effect);
            }
            self.publish_overload(now);
            self.consider_hand_over(now);
            self.publish_state(now);
            self.stopped |= self.core.is_superseded();
            self.stopped |= self
                .node
                .log_owner()
                .is_none_or(|log_owner| log_owner.epoch != self.ownership.epoch);
        }
    }

    /// Advances the state machine, and records how long that took if tasks were placed.
    fn advance_core(&mut self, now: Now) -> Vec<Effect> {
        let (began, rounds) = (Instant::now(), self.core.counts().rounds);
        let effects = self.core.advance(now);
        if self.core.counts().rounds > rounds {
            self.node.metrics.placement().note_round(began.elapsed());
        }
        effects
    }

    fn choose_relays(&self) {
        let client = &self.node.relay_client;
        let workers = self.core.workers().len();
        if client.is_relay_choice_due(workers) {
            client.choose_relays(workers, &self.node.members());
        }
    }

    fn drain_ready(&mut self) {
        if let Ok(event) = self.events.try_recv() {
            self.handle_events(Some(event));
        }
        if let Ok(request) = self.requests.try_recv() {
            self.handle_requests(Some(request));
        }
    }

    fn now(&self) -> Now {
        now_since(self.start)
    }

    fn follow_workers(&self) {
        let (sender, mut updates) = mpsc::channel(16);
        let prefix = self.node.codec.worker_prefix();
        let (store, poll_wait) = (self.node.store.clone(), self.node.watch_long_poll_wait());
        task::spawn_local(follow::follow(store, prefix, poll_wait, sender));
        let sender = self.event_sender.clone();
        task::spawn_local(async move {
            while let Some(update) = updates.recv().await {
                if sender.send(Event::Workers(update)).await.is_err() {
                    return;
                }
            }
        });
    }

    /// Publishes the state of admission for the replies to heartbeats.
    fn publish_overload(&mut self, now: Now) {
        if self.overload_published.elapsed() >= OVERLOAD_INTERVAL {
            self.overload_published = Instant::now();
            self.node.publish_overload(self.core.overload_copy(now));
        }
    }

    /// Updates the metrics and the dump.
    fn publish_state(&mut self, now: Now) {
        if self.last_published.elapsed() < PUBLISH_INTERVAL {
            return;
        }
        self.last_published = Instant::now();
        self.drop_abandoned_queries();
        let counts = self.core.counts();
        self.node.metrics.note_counts(&self.last_counts, &counts);
        for times in self.core.drain_job_times() {
            self.node.metrics.note_times(&times);
        }
        for ratio in self.core.drain_run_time_ratios() {
            self.node.metrics.note_run_time_ratio(&ratio);
        }
        let leases = self.node.metrics.leases();
        leases.note_held_runs(&self.core.held_runs(now));
        for wait in self.core.drain_lease_waits() {
            leases.note_wait(&wait);
        }
        let suspicion = self.node.metrics.suspicion();
        suspicion.note_summary(&self.core.summarize_suspicion(now));
        for wait in self.core.drain_trial_waits() {
            suspicion.note_wait(&wait);
        }
        self.last_counts = counts;
        let eligibility = self.core.workers_by_eligibility(now);
        self.node
            .metrics
            .note_waits(&self.core.summarize_waits(now), &eligibility);
        self.node.metrics.note_reserve(
            &self.core.reserve_summaries(now),
            self.core.held_back_steps(),
        );
        let free = self.core.free_processors(now);
        self.node.metrics.placement().note_free_processors(&free);
        let client = &self.node.relay_client;
        self.node.metrics.note_pressure(
            self.core.congestion(),
            client.relays().len(),
            client.relayed_count(),
        );
        self.node.metrics.note_shares(self.core.shares());
        self.node
            .metrics
            .log()
            .note_learned(&self.core.learned_bytes());
        self.node.publish_dump(&self.core.dump(now));
    }

    /// Answers all waiting requests: those whose entry was not confirmed get `Unknown`, because the
    /// entry may have been written. Queries have had no effect, so the next owner can answer them.
    fn reject_pending(&mut self) {
        for ticket in self.core.waiting_queries() {
            if let Some(reply) = self.pending_replies.remove(&ticket) {
                reply.send(Reply::NotOwner);
            }
        }
        for (_, reply) in self.pending_replies.drain() {
            reply.send(Reply::Unknown);
        }
        while let Ok(request) = self.requests.try_recv() {
            request.reply.send(Reply::NotOwner);
        }
    }
}
