//! The owner of a log as a state machine, without clock, socket or random draw.
//!
//! Events come in through methods; [`Core::poll`] returns what to do next. Facts
//! are applied as soon as they are decided and grouped into entries of the log;
//! what depends on a fact waits in a queue until its entry is durable.

mod admission;
mod adopted_runs;
pub mod advice;
mod allocation;
mod candidates;
mod crash_record;
mod crashes;
mod dispatch;
mod dump;
pub mod eligibility;
mod evacuation;
mod fences;
mod freed_capacity;
mod incarnations;
mod location_index;
mod log_entries;
mod orders;
mod pacing;
mod plan;
mod polls;
mod relocation;
mod reports;
mod runs;
mod selectivity;
mod start_hold;
mod starvation;
mod step_priority;
pub mod times;
mod trials;
pub mod upkeep;
pub mod wait_report;
mod worker_list;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::agents::{Order, Poll, Target};
use crate::workflow::config::{Config, ListedWorker};
use crate::workflow::congestion::Congestion;
use crate::workflow::core::advice::{AdviceRequest, AdviceState, StepKey};
use crate::workflow::core::upkeep::WaveProgress;
use crate::workflow::headroom::HeadroomHistory;
use crate::workflow::incarnation::Incarnation;
use crate::workflow::interference::Interference;
use crate::workflow::job::{Job, Sharing, Step};
use crate::workflow::live_run::{LiveRun, RunSharing, StopReason};
use crate::workflow::log_state::LogState;
use crate::workflow::machines::MachineOrder;
use crate::workflow::message::Reply;
use crate::workflow::record::{LogRecord, Outcome, Run};
use crate::workflow::tuning::Tuning;
use crate::workflow::worker::Worker;

/// Time between two looks through all workers for what is over.
const SWEEP: Duration = Duration::from_millis(20);

/// Time on both clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// On the monotonic clock.
    pub at: Duration,
    /// Milliseconds since the Unix epoch.
    pub wall: u64,
}

/// Who waits for an answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Ticket(pub u64);

/// Something to do outside.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Write an entry at this position of the log.
    Append(u64, Vec<LogRecord>),
    /// Give a worker an order about a run.
    Order(Target, Run, Order),
    /// Look at a worker.
    Look(Target, Poll),
    /// Ask the advisor which workers may run a step.
    Advise(AdviceRequest),
    /// Give a machine an order.
    Duty(Arc<str>, MachineOrder),
    /// Answer who waits.
    Answer(Ticket, Reply),
}

/// Something that waits for an entry to be durable.
#[derive(Clone, Debug)]
enum OnDurable {
    Answer(Ticket, Reply),
    Acknowledge(Incarnation, u64),
}

/// Counts since this owner began.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Jobs accepted.
    pub accepted: u64,
    /// Runs placed.
    pub placed: u64,
    /// Runs that did their work.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that were stopped.
    pub stopped: u64,
    /// Runs that were lost.
    pub lost: u64,
    /// Looks at workers.
    pub looks: u64,
    /// Orders to workers.
    pub orders: u64,
    /// Entries written.
    pub entries: u64,
    /// Workers that started again under their ids.
    pub restarts: u64,
    /// Workers that crashed.
    pub crashes: u64,
    /// Jobs given up because workers crash under one of their tasks.
    pub convicted: u64,
    /// Tasks that are not suspected of crashing workers any more.
    pub absolved: u64,
}

/// The owner of a log.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is a state of its own")]
pub struct Core {
    terms: Tuning,
    epoch: u64,
    log_state: LogState,
    workers: BTreeMap<Incarnation, Worker>,
    /// Where lives of workers were seen.
    places: location_index::LocationIndex,
    runs: BTreeMap<Run, LiveRun>,
    /// Runs of earlier owners whose workers were not listed yet.
    adopted: adopted_runs::Adopted,
    config: Arc<Config>,
    arrivals: Vec<(Job, Vec<Ticket>)>,
    pending: Vec<LogRecord>,
    position: u64,
    in_flight: Option<(u64, Duration)>,
    durable: u64,
    last_append: Duration,
    ownership_proved_at: Duration,
    deferred: VecDeque<(u64, OnDurable)>,
    undurable_jobs: BTreeMap<u32, u64>,
    workers_to_wake: BTreeSet<Incarnation>,
    needs_planning: bool,
    last_planning: Duration,
    /// Steps that waited in the last round of placing.
    backlog: u32,
    awaits_unlisted_workers: bool,
    last_sweep: Duration,
    superseded: bool,
    fences: fences::Fences,
    began: Duration,
    /// Since when no earlier owner grants leases.
    former_owner_ended_at: Option<Duration>,
    store_returned_at: Option<Duration>,
    /// As of when the list of workers was last known to be whole.
    listed_at: Duration,
    /// Availability zones under evacuation.
    evacuation: evacuation::Evacuation,
    /// Since when starts wait.
    start_hold: Option<start_hold::StartHold>,
    effects: Vec<Effect>,
    advised: BTreeMap<StepKey, AdviceState>,
    waves: BTreeMap<u64, WaveProgress>,
    load_tracks: BTreeMap<u32, HeadroomHistory>,
    interference: Interference,
    summaries: candidates::CandidateCache,
    /// How much may be under way at workers.
    pressure: Congestion,
    /// Whether answers waited in a queue when that was last looked at.
    workers_queueing: bool,
    /// Workers for which there is an order, as of `lined`.
    order_queue: VecDeque<Incarnation>,
    order_queue_built_at: Duration,
    /// When looks that are due were last searched for.
    last_poll_scan: Duration,
    /// Lasting steps that wait although there was room, by job, time and step.
    passed_over: BTreeMap<StepKey, starvation::StarvationTracker>,
    reserved: Option<starvation::WorkerReservation>,
    /// Workers whose runs have left room since the last round, while lasting steps wait.
    freed_workers: BTreeSet<Incarnation>,
    /// When it was last said of a step that it waits.
    wait_logged_at: BTreeMap<StepKey, Duration>,
    /// When a step that is too late last went first.
    last_rescue: Duration,
    services: BTreeSet<Arc<str>>,
    ledger: times::JobTimings,
    /// Times of jobs that ended, until they are counted.
    ended_job_times: Vec<times::TimeBreakdown>,
    lessons_recorded_at: Duration,
    /// Entries that name a life which is not there, passed over until then.
    stale_entries: BTreeMap<Incarnation, (ListedWorker, Duration)>,
    /// Crashes of workers a moment ago.
    crashes: crash_record::CrashRecord,
    counts: Counts,
}

impl Core {
    /// Begins to own a log whose next position is `position`, fenced at `epoch`.
    #[must_use]
    pub fn new(terms: Tuning, epoch: u64, mut book: LogState, position: u64, now: Now) -> Self {
        book.index(now.at);
        let mut core = Self {
            terms,
            epoch,
            log_state: book,
            workers: BTreeMap::new(),
            places: location_index::LocationIndex::default(),
            runs: BTreeMap::new(),
            adopted: adopted_runs::Adopted::default(),
            config: Arc::default(),
            arrivals: Vec::new(),
            pending: Vec::new(),
            position,
            in_flight: None,
            durable: position.saturating_sub(1),
            last_append: now.at,
            ownership_proved_at: now.at,
            deferred: VecDeque::new(),
            undurable_jobs: BTreeMap::new(),
            workers_to_wake: BTreeSet::new(),
            needs_planning: true,
            last_planning: now.at,
            backlog: 0,
            awaits_unlisted_workers: true,
            last_sweep: now.at,
            superseded: false,
            fences: fences::Fences::new(epoch),
            began: now.at,
            former_owner_ended_at: None,
            store_returned_at: None,
            listed_at: Duration::ZERO,
            evacuation: evacuation::Evacuation::default(),
            start_hold: None,
            effects: Vec::new(),
            advised: BTreeMap::new(),
            waves: BTreeMap::new(),
            load_tracks: BTreeMap::new(),
            interference: Interference::default(),
            summaries: candidates::CandidateCache::default(),
            pressure: Congestion::default(),
            workers_queueing: false,
            order_queue: VecDeque::new(),
            order_queue_built_at: now.at,
            last_poll_scan: now.at,
            passed_over: BTreeMap::new(),
            reserved: None,
            freed_workers: BTreeSet::new(),
            wait_logged_at: BTreeMap::new(),
            last_rescue: now.at,
            services: BTreeSet::new(),
            ledger: times::JobTimings::default(),
            ended_job_times: Vec::new(),
            lessons_recorded_at: now.at,
            stale_entries: BTreeMap::new(),
            crashes: crash_record::CrashRecord::default(),
            counts: Counts::default(),
        };
        core.interference.import(&core.log_state.lessons);
        core.adopt_runs(now);
        core
    }

    /// Puts a configuration in force, unless a newer one is.
    pub fn set_config(&mut self, config: Arc<Config>) {
        if config.version > self.config.version || self.config.queues.is_empty() {
            self.config = config;
            self.needs_planning = true;
        }
    }

    /// Counts since this owner began.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The book, for a snapshot or a dump.
    #[must_use]
    pub fn log_state(&self) -> &LogState {
        &self.log_state
    }

    /// Workers by id, for a dump.
    #[must_use]
    pub fn workers(&self) -> &BTreeMap<Incarnation, Worker> {
        &self.workers
    }

    /// The fence of this owner.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Position of the newest durable entry.
    #[must_use]
    pub fn durable_position(&self) -> u64 {
        self.durable
    }

    /// Whether the store has kept this owner waiting for too long.
    #[must_use]
    pub fn is_stalled(&self, now: Now) -> bool {
        self.stalled_for(now) > self.terms.stall
    }

    /// Whether all that was decided is durable.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none()
    }

    /// Whether a worker has heard a later owner.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// How long the entry under way has waited for the store.
    #[must_use]
    pub fn stalled_for(&self, now: Now) -> Duration {
        self.in_flight
            .map_or(Duration::ZERO, |(_, since)| now.at.saturating_sub(since))
    }

    /// Everybody who waits for an answer, for when this owner ends.
    #[must_use]
    pub fn waiting(&self) -> Vec<Ticket> {
        let answers = self.deferred.iter().filter_map(|(_, then)| match then {
            OnDurable::Answer(ticket, _) => Some(*ticket),
            OnDurable::Acknowledge(..) => None,
        });
        answers.collect()
    }

    /// How long answers of workers take, and what follows from it.
    #[must_use]
    pub fn pressure(&self) -> &Congestion {
        &self.pressure
    }

    /// How long ago ownership was proved.
    fn proof_age(&self, now: Now) -> Duration {
        now.at.saturating_sub(self.ownership_proved_at)
    }

    /// Whether leases may still be renewed: ownership was proved not long ago.
    fn may_renew(&self, now: Now) -> bool {
        self.proof_age(now) < self.terms.horizon
    }

    /// Does what is due and returns what is to be done outside.
    pub fn poll(&mut self, now: Now) -> Vec<Effect> {
        if now.at >= self.last_sweep + SWEEP {
            self.last_sweep = now.at;
            self.pressure.forget_old(now.at);
            self.log_pressure();
            self.expire_leases(now);
            self.clear_surviving_suspects(now);
            self.forget_absent_workers(now);
            self.drain_leaving_workers(now);
            self.withdraw_starts(now);
            self.open_rounds(now);
            self.drive_waves(now);
        }
        self.resume_starts(now);
        self.refuse_arrivals(now);
        self.append_entry(now);
        self.dispatch_orders(now);
        self.send_due_polls(now);
        std::mem::take(&mut self.effects)
    }

    /// Says when answers of most workers begin or cease to wait in a queue.
    fn log_pressure(&mut self) {
        let queued = self.pressure.is_congested();
        if std::mem::replace(&mut self.workers_queueing, queued) == queued {
            return;
        }
        tracing::info!(
            usual_ms = self.pressure.usual().as_millis(),
            window = self.pressure.window(),
            under_way = self.pressure.under_way(),
            queued,
            "delay of most workers has changed"
        );
    }

    fn open_rounds(&mut self, now: Now) {
        let wall = now.wall.saturating_sub(self.terms.clock_slack);
        self.needs_planning |= self.log_state.open_due_occurrences(wall);
    }

    pub(super) fn close_job(&mut self, number: u32, outcome: Outcome) {
        let times = self.finish_job_times(number);
        if let Some(job) = self.log_state.jobs.get(&number) {
            tracing::info!(job = %job.job.id, ?outcome, position = self.position,
                room_ms = times.waiting.as_millis(), answer_ms = times.start_delay.as_millis(),
                work_ms = times.work.as_millis(), paced_ms = times.paced.as_millis(), "job ended");
        }
        self.advised.retain(|key, _| key.0 != number);
        self.load_tracks.remove(&number);
        self.wait_logged_at.retain(|key, _| key.0 != number);
        self.stop_job(number, StopReason::Over);
    }
}

/// How runs of a step share their worker, and the processors that they ask for.
fn share_of(interference: &mut Interference, step: &Step) -> (RunSharing, f64) {
    let unnamed = Arc::from("");
    let image = interference.number(step.image.as_ref().unwrap_or(&unnamed));
    let share = match step.sharing {
        Sharing::Apart => RunSharing::Apart,
        Sharing::Serves(target) => RunSharing::Serves(image, target.as_secs_f64() * 1000.0),
        Sharing::Fills => RunSharing::Fills(image),
    };
    #[expect(clippy::cast_precision_loss, reason = "thousandths of processors")]
    let processors = step.needs.processors as f64;
    (share, processors)
}
