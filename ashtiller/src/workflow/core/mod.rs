//! The owner of a log as a deterministic state machine without clock, socket or random draw.
//!
//! Events come in through methods, and each step returns the effects to carry out. Records are
//! applied as soon as they are decided and are batched into log entries. Whatever depends on a
//! record is deferred until the entry that holds it is durable.

mod admission;
mod admission_control;
mod adopted_runs;
pub mod advice;
mod allocation;
mod candidates;
mod crash_record;
mod crashes;
mod defragmentation;
mod dispatch;
mod dump;
pub mod eligibility;
mod evacuation;
mod fences;
mod former_grants;
mod freed_capacity;
mod incarnations;
pub mod lease_waits;
mod load;
mod location_index;
mod log_entries;
mod machine_index;
mod machine_list;
mod misdirected_grants;
mod orders;
mod orphan_runs;
mod pacing;
mod pending_starts;
mod place_losses;
mod plan;
mod polls;
mod predecessors;
pub mod queries;
mod relocation;
mod reports;
pub mod reserve;
mod restart_pauses;
pub mod round_report;
pub mod run_times;
mod runs;
mod searches;
mod selectivity;
mod shares;
mod start_backlog;
mod start_dates;
mod start_hold;
mod starvation;
mod step_priority;
pub mod suspicion_report;
pub mod times;
mod trials;
mod unconfirmed_starts;
pub mod upkeep;
pub mod wait_report;
mod worker_list;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::admission::catalog::Catalog;
use crate::workflow::admission::control::Control;
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
use crate::workflow::load::account::LoadAccount;
use crate::workflow::log_state::LogState;
use crate::workflow::machines::MachineOrder;
use crate::workflow::message::Reply;
use crate::workflow::record::{LogRecord, Outcome, Run, Task};
use crate::workflow::tuning::Tuning;
use crate::workflow::worker::Worker;

/// Time between two passes over all workers for expired leases, departed workers and other timers.
const SWEEP: Duration = Duration::from_millis(20);

/// A reading of both clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Reading of the monotonic clock.
    pub at: Duration,
    /// Wall clock in milliseconds since the Unix epoch.
    pub wall: u64,
}

/// A handle of a caller that awaits a reply.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RequestToken(pub u64);

/// An action that the state machine asks its driver to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Appends an entry at this position of the log.
    Append(u64, Vec<LogRecord>),
    /// Sends a worker an order about a run.
    Order(Target, Run, Order),
    /// Polls a worker.
    Poll(Target, Poll),
    /// Asks the advisor which workers may run a step.
    Advise(AdviceRequest),
    /// Sends an order to a machine.
    MachineOrder(Arc<str>, MachineOrder),
    /// Lists all machines.
    ListMachines,
    /// Replies to a waiting caller.
    Reply(RequestToken, Reply),
    /// Reads whether this process still owns the log.
    ConfirmOwnership,
}

/// A follow-up that is deferred until an entry is durable.
#[derive(Clone, Debug)]
enum OnDurable {
    Reply(RequestToken, Reply),
    /// Replies to a cancellation of a job that was unknown.
    Cancelled(RequestToken, Arc<str>),
    Acknowledge(Incarnation, u64),
}

/// Counts since this owner took over.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Jobs accepted.
    pub accepted: u64,
    /// Runs placed.
    pub placed: u64,
    /// Runs that completed.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that were stopped.
    pub stopped: u64,
    /// Runs that were lost.
    pub lost: u64,
    /// Polls of workers.
    pub looks: u64,
    /// Orders to workers.
    pub orders: u64,
    /// Entries written.
    pub entries: u64,
    /// Workers that restarted under the same id.
    pub restarts: u64,
    /// Unanswered starts that may still be carried out beside a later run of their task.
    pub unconfirmed: u64,
    /// Workers that crashed.
    pub crashes: u64,
    /// Silent workers whose machine is listed with another worker.
    pub proved_replaced: u64,
    /// Silent workers whose machine is not listed any more.
    pub proved_gone: u64,
    /// Silent workers whose machine is listed as down.
    pub proved_down: u64,
    /// Jobs failed because workers crash under one of their tasks.
    pub convicted: u64,
    /// Tasks cleared of the suspicion of crashing workers.
    pub absolved: u64,
    /// Losses of workers that no longer count against the tasks that ran there.
    pub explained: u64,
    /// Steps placed before one with less slack, for the shares of their queues and origins.
    pub reordered: u64,
    /// Jobs refused for overload, without repeats before their time.
    pub refused: u64,
    /// Jobs refused because the open jobs take too much memory.
    pub refused_for_memory: u64,
    /// Refused ids that were repeated before their time and refused again.
    pub refused_early: u64,
    /// Jobs accepted after a refusal.
    pub readmitted: u64,
    /// Steps of jobs worth nothing any more that were placed ahead of others.
    pub promoted: u64,
    /// Long-running runs moved to make room for short tasks.
    pub defragmented: u64,
    /// Placement rounds in which steps waited.
    pub rounds: u64,
    /// Rounds that left steps waiting because starts were still to be sent.
    pub limited_rounds: u64,
    /// Waiting steps that these rounds examined.
    pub steps_examined: u64,
    /// Workers that were compared for tasks of these steps.
    pub candidates_compared: u64,
    /// Tickets of the advisor that were over before a start could use them, or that workers rejected.
    pub useless_tickets: u64,
}

/// The state machine of a log's owner.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is a state of its own")]
pub struct Core {
    tuning: Tuning,
    epoch: u64,
    log_state: LogState,
    workers: BTreeMap<Incarnation, Worker>,
    /// Incarnations of workers by address and machine.
    locations: location_index::LocationIndex,
    runs: BTreeMap<Run, LiveRun>,
    /// Demand for capacity, and the capacity of workers that may get runs.
    load: LoadAccount,
    /// Shares of queues and origins in the capacity.
    shares: shares::FairShares,
    /// Admission control under overload.
    admission: Control,
    /// What the known workers could run if they were empty, and when it was last read.
    catalog: (Catalog, Option<Duration>),
    /// Capacity that long-running work leaves to short work.
    reserve: reserve::ReserveState,
    /// Open jobs with a run that had started and is over.
    started_jobs: BTreeSet<u32>,
    /// Runs of earlier owners whose workers are not listed yet.
    adopted: adopted_runs::AdoptedRuns,
    config: Arc<Config>,
    arrivals: Vec<(Job, Vec<RequestToken>)>,
    pending_records: Vec<LogRecord>,
    /// Entries that follow the one in flight, and hold records decided together with it.
    unwritten: VecDeque<Vec<LogRecord>>,
    /// Position of the next entry to write; `position` is that of the records decided from now on.
    next_entry: u64,
    /// Position of this owner's first entry.
    first_position: u64,
    position: u64,
    in_flight: Option<(u64, Duration)>,
    durable: u64,
    last_append: Duration,
    ownership_proved_at: Duration,
    deferred: VecDeque<(u64, OnDurable)>,
    /// Queries that wait for a proof of ownership.
    queries: queries::WaitingQueries,
    undurable_jobs: BTreeMap<u32, u64>,
    /// Workers with an order that waits for the entry at this position.
    workers_to_wake: BTreeSet<(u64, Incarnation)>,
    needs_planning: bool,
    last_planning: Duration,
    /// Steps that waited in the last placement round.
    backlog: u32,
    awaits_unlisted_workers: bool,
    last_sweep: Duration,
    superseded: bool,
    fences: fences::Fences,
    /// Leases that this owner has granted.
    grants: former_grants::Grants,
    /// Lists of machines, and what they have proved.
    machine_readings: machine_list::MachineReadings,
    began: Duration,
    predecessors: predecessors::Predecessors,
    /// Owners known before this one began, by epoch, and for how long.
    known_owners: BTreeMap<u64, Duration>,
    /// When it was last recorded how long owners have been known.
    owners_recorded_at: Option<Duration>,
    store_returned_at: Option<Duration>,
    /// Time as of which the list of workers was last known to be complete.
    listed_at: Duration,
    /// Availability zones under evacuation.
    evacuation: evacuation::Evacuation,
    /// The current hold on starts, if any.
    start_hold: Option<start_hold::StartHold>,
    effects: Vec<Effect>,
    advice_states: BTreeMap<StepKey, AdviceState>,
    /// Time by which at the earliest the advisor had answered its last request.
    last_advice: Duration,
    waves: BTreeMap<u64, WaveProgress>,
    headroom_history: BTreeMap<u32, HeadroomHistory>,
    interference: Interference,
    candidate_cache: candidates::CandidateCache,
    /// Number of times that candidates were collected.
    collections: u64,
    /// Steps for which no worker was found.
    searches: searches::Searches,
    /// Runs that workers list although the log does not place them there.
    orphans: orphan_runs::OrphanRuns,
    /// Runs whose first start by this owner is due, but not recorded yet.
    unrecorded_starts: BTreeSet<Run>,
    /// Limits on outstanding calls to workers.
    congestion: Congestion,
    /// Whether replies were queueing at most workers when that was last checked.
    was_congested: bool,
    /// Workers with an order to send, as of `order_queue_built_at`.
    order_queue: VecDeque<Incarnation>,
    order_queue_built_at: Duration,
    /// When workers were last scanned for due polls.
    last_poll_scan: Duration,
    /// Long-running steps that wait although there was capacity, by job, occurrence and step.
    passed_over: BTreeMap<StepKey, starvation::StarvationTracker>,
    reserved: Option<starvation::WorkerReservation>,
    /// Moves that make room for short tasks.
    defragmentation: defragmentation::Defragmentation,
    /// Long-running tasks that keep ending soon after their start.
    restart_pauses: restart_pauses::RestartPauses,
    /// Workers on which runs have freed capacity since the last round while long-running steps
    /// wait.
    freed_workers: BTreeSet<Incarnation>,
    /// When the wait of a step was last logged.
    wait_logged_at: BTreeMap<StepKey, Duration>,
    /// When the wait of a step that is not long-running may be logged next.
    next_short_wait_log: Duration,
    /// When the free capacity may be logged next.
    next_round_log: Duration,
    /// When runs on silent workers are checked next for a log line.
    next_held_log: Duration,
    /// Waits for leases that ended and are not counted yet.
    ended_lease_waits: Vec<lease_waits::LeaseWait>,
    /// Strongly suspected tasks without a run, and since when.
    suspects_waiting: BTreeMap<Task, Duration>,
    /// Waits of strongly suspected tasks that ended and are not counted yet.
    ended_trial_waits: Vec<suspicion_report::TrialWait>,
    /// When an overdue step was last placed first.
    last_rescue: Duration,
    services: BTreeSet<Arc<str>>,
    job_timings: times::JobTimings,
    /// Times of ended jobs that are not counted yet.
    ended_job_times: Vec<times::TimeBreakdown>,
    lessons_recorded_at: Duration,
    learned_run_times: run_times::LearnedRunTimes,
    /// Entries that name an incarnation that is not there, with the time until which each is
    /// ignored.
    stale_entries: BTreeMap<Incarnation, (ListedWorker, Duration)>,
    /// Recent crashes of workers.
    crashes: crash_record::CrashRecord,
    /// Recent losses of workers by zone and label.
    place_losses: place_losses::PlaceLosses,
    counts: Counts,
}

impl Core {
    /// Takes over a log whose next position is `position`, with fence `epoch`.
    #[must_use]
    pub fn new(
        terms: Tuning,
        epoch: u64,
        mut log_state: LogState,
        position: u64,
        now: Now,
    ) -> Self {
        log_state.index(now.at);
        let learned_run_times = run_times::LearnedRunTimes::restore(&log_state, now.at);
        let is_enabled = terms.switches.capacity_reserve;
        let reserve = reserve::ReserveState::new(log_state.learned_demand(), is_enabled, now);
        let mut core = Self {
            tuning: terms,
            epoch,
            log_state,
            workers: BTreeMap::new(),
            locations: location_index::LocationIndex::default(),
            runs: BTreeMap::new(),
            load: LoadAccount::default(),
            shares: shares::FairShares::default(),
            admission: Control::default(),
            catalog: (Catalog::default(), None),
            reserve,
            started_jobs: BTreeSet::new(),
            adopted: adopted_runs::AdoptedRuns::default(),
            config: Arc::default(),
            arrivals: Vec::new(),
            pending_records: Vec::new(),
            unwritten: VecDeque::new(),
            next_entry: position,
            first_position: position,
            position,
            in_flight: None,
            durable: position.saturating_sub(1),
            last_append: now.at,
            ownership_proved_at: now.at,
            deferred: VecDeque::new(),
            queries: queries::WaitingQueries::default(),
            undurable_jobs: BTreeMap::new(),
            workers_to_wake: BTreeSet::new(),
            needs_planning: true,
            last_planning: now.at,
            backlog: 0,
            awaits_unlisted_workers: true,
            last_sweep: now.at,
            superseded: false,
            fences: fences::Fences::new(epoch),
            grants: former_grants::Grants::default(),
            machine_readings: machine_list::MachineReadings::default(),
            began: now.at,
            predecessors: predecessors::Predecessors::default(),
            known_owners: BTreeMap::new(),
            owners_recorded_at: None,
            store_returned_at: None,
            listed_at: Duration::ZERO,
            evacuation: evacuation::Evacuation::default(),
            start_hold: None,
            effects: Vec::new(),
            advice_states: BTreeMap::new(),
            last_advice: Duration::ZERO,
            waves: BTreeMap::new(),
            headroom_history: BTreeMap::new(),
            interference: Interference::default(),
            candidate_cache: candidates::CandidateCache::default(),
            collections: 0,
            searches: searches::Searches::default(),
            orphans: orphan_runs::OrphanRuns::default(),
            unrecorded_starts: BTreeSet::new(),
            congestion: Congestion::default(),
            was_congested: false,
            order_queue: VecDeque::new(),
            order_queue_built_at: now.at,
            last_poll_scan: now.at,
            passed_over: BTreeMap::new(),
            reserved: None,
            defragmentation: defragmentation::Defragmentation::default(),
            restart_pauses: restart_pauses::RestartPauses::default(),
            freed_workers: BTreeSet::new(),
            wait_logged_at: BTreeMap::new(),
            next_short_wait_log: Duration::ZERO,
            next_round_log: Duration::ZERO,
            next_held_log: Duration::ZERO,
            ended_lease_waits: Vec::new(),
            suspects_waiting: BTreeMap::new(),
            ended_trial_waits: Vec::new(),
            last_rescue: now.at,
            services: BTreeSet::new(),
            job_timings: times::JobTimings::default(),
            ended_job_times: Vec::new(),
            lessons_recorded_at: now.at,
            learned_run_times,
            stale_entries: BTreeMap::new(),
            crashes: crash_record::CrashRecord::default(),
            place_losses: place_losses::PlaceLosses::default(),
            counts: Counts::default(),
        };
        core.interference = core.log_state.factors().clone();
        core.adopt_runs(now);
        core.merge_known_owners(Vec::new());
        core
    }

    /// Applies a configuration unless a newer one is in force.
    pub fn set_config(&mut self, config: Arc<Config>) {
        if config.version > self.config.version || self.config.queues.is_empty() {
            self.config = config;
            self.needs_planning = true;
        }
    }

    /// Returns the counts since this owner took over.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the replicated state, for a snapshot or a dump.
    #[must_use]
    pub fn log_state(&self) -> &LogState {
        &self.log_state
    }

    /// Returns the known incarnations of workers, for a dump.
    #[must_use]
    pub fn workers(&self) -> &BTreeMap<Incarnation, Worker> {
        &self.workers
    }

    /// Returns the fencing epoch of this owner.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns whether the log had entries when this owner began.
    #[must_use]
    pub fn has_history(&self) -> bool {
        self.first_position > 1
    }

    /// Returns the position of the newest durable entry.
    #[must_use]
    pub fn durable_position(&self) -> u64 {
        self.durable
    }

    /// Returns whether the store has kept an append waiting for longer than the stall limit.
    #[must_use]
    pub fn is_stalled(&self, now: Now) -> bool {
        self.stalled_for(now) > self.tuning.stall
    }

    /// Returns whether all decided records are durable, but for those that may wait.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        !self.has_urgent_records() && self.unwritten.is_empty() && self.in_flight.is_none()
    }

    /// Returns whether a worker has heard from a later owner.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns how long the entry in flight has been waiting for the store.
    #[must_use]
    pub fn stalled_for(&self, now: Now) -> Duration {
        self.in_flight
            .map_or(Duration::ZERO, |(_, since)| now.at.saturating_sub(since))
    }

    /// Returns all callers that await a reply, to be answered when this owner ends.
    #[must_use]
    pub fn waiting(&self) -> Vec<RequestToken> {
        let tickets = self.deferred.iter().filter_map(|(_, then)| match then {
            OnDurable::Reply(ticket, _) | OnDurable::Cancelled(ticket, _) => Some(*ticket),
            OnDurable::Acknowledge(..) => None,
        });
        tickets.collect()
    }

    /// Returns the reply delays of workers and the limits derived from them.
    #[must_use]
    pub fn congestion(&self) -> &Congestion {
        &self.congestion
    }

    /// Records when the call was sent that proved this ownership. A replay may take seconds, and
    /// a later owner counts from its own beginning how long this one may act without the store.
    pub fn note_ownership_proof(&mut self, sent: Duration) {
        self.ownership_proved_at = sent;
    }

    /// Returns the time since ownership was last proved.
    fn proof_age(&self, now: Now) -> Duration {
        now.at.saturating_sub(self.ownership_proved_at)
    }

    /// Returns whether leases may still be renewed: ownership was proved less than `horizon` ago.
    fn may_renew(&self, now: Now) -> bool {
        self.proof_age(now) < self.tuning.horizon
    }

    /// Runs all due work and returns the effects to carry out.
    pub fn advance(&mut self, now: Now) -> Vec<Effect> {
        if now.at >= self.last_sweep + SWEEP {
            self.last_sweep = now.at;
            self.congestion.forget_old(now.at);
            self.log_congestion();
            self.fences.raise_pending(now.at);
            self.log_held_runs(now);
            self.request_machine_list(now);
            self.expire_leases(now);
            self.record_silent_workers(now);
            self.expire_orphans(now);
            self.settle_expired_starts(now);
            self.clear_surviving_suspects(now);
            self.forget_absent_workers(now);
            self.drain_leaving_workers(now);
            self.withdraw_starts(now);
            self.end_restart_pauses(now);
            self.open_due_occurrences(now);
            self.advance_waves(now);
        }
        self.record_due_starts(now);
        self.resume_starts(now);
        self.reject_arrivals(now);
        self.append_entry(now);
        self.confirm_ownership(now);
        self.dispatch_orders(now);
        self.send_due_polls(now);
        std::mem::take(&mut self.effects)
    }

    /// Logs when replies of most workers begin or cease to queue.
    fn log_congestion(&mut self) {
        let queued = self.congestion.is_congested();
        if std::mem::replace(&mut self.was_congested, queued) == queued {
            return;
        }
        tracing::info!(
            usual_ms = self.congestion.usual().as_millis(),
            window = self.congestion.window(),
            under_way = self.congestion.under_way(),
            queued,
            "reply delay of most workers has changed"
        );
    }

    fn open_due_occurrences(&mut self, now: Now) {
        let wall = now.wall.saturating_sub(self.tuning.clock_slack);
        let memory = self.tuning.job_bytes;
        self.needs_planning |= self.log_state.open_due_occurrences(wall, memory);
    }

    pub(super) fn close_job(&mut self, number: u32, outcome: Outcome) {
        let times = self.finish_job_times(number);
        if let Some(job) = self.log_state.jobs.get(&number) {
            tracing::info!(job = %job.job.id, ?outcome, position = self.position,
                room_ms = times.waiting.as_millis(), answer_ms = times.start_delay.as_millis(),
                send_ms = times.send_delay.as_millis(),
                work_ms = times.work.as_millis(), paced_ms = times.throttled.as_millis(), "job ended");
        }
        self.advice_states.retain(|key, _| key.0 != number);
        self.headroom_history.remove(&number);
        self.searches.forget_job(number);
        self.learned_run_times.forget_job(number);
        self.restart_pauses.forget_job(number);
        self.started_jobs.remove(&number);
        self.wait_logged_at.retain(|key, _| key.0 != number);
        self.stop_job(number, StopReason::Over);
    }
}

/// Returns how runs of a step share their worker and the processors that they request, in
/// thousandths.
fn sharing_of(interference: &mut Interference, step: &Step) -> (RunSharing, f64) {
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
