//! The owner of a log as a state machine, without clock, socket or random draw.
//!
//! Events come in through methods; [`Core::poll`] returns what to do next. Facts
//! are applied as soon as they are decided and grouped into entries of the log;
//! what depends on a fact waits in a queue until its entry is durable.

pub mod advice;
mod fleet;
mod intake;
mod orders;
mod pacing;
mod place;
mod plan;
mod reports;
mod roster;
pub mod upkeep;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::agents::{Look, Order, Target};
use crate::workflow::book::{self, Book};
use crate::workflow::config::Config;
use crate::workflow::core::advice::{Advised, StepKey};
use crate::workflow::core::upkeep::Going;
use crate::workflow::fact::{End, Fact, Outcome, Run, Task};
use crate::workflow::interference::Interference;
use crate::workflow::job::{Job, Sharing, Step};
use crate::workflow::live::{LiveRun, Reason, Share, Stage};
use crate::workflow::load::Track;
use crate::workflow::machines::Duty;
use crate::workflow::message::Reply;
use crate::workflow::terms::Terms;
use crate::workflow::worker::Worker;

/// Time between two looks through all workers for what is over.
const SWEEP: Duration = Duration::from_millis(20);

/// Time after which what waits is looked at again although nothing happened.
const REPLAN: Duration = Duration::from_millis(200);
/// Jobs shown in a dump.
const DUMPED: usize = 100;

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
    Append(u64, Vec<Fact>),
    /// Give a worker an order about a run.
    Order(Target, Run, Order),
    /// Look at a worker.
    Look(Target, Look),
    /// Ask the advisor which of these workers may run a step of the job with this id.
    Advise(Arc<str>, StepKey, Vec<Arc<str>>, Duration),
    /// Give a machine an order.
    Duty(Arc<str>, Duty),
    /// Answer who waits.
    Answer(Ticket, Reply),
}

/// Something that waits for an entry to be durable.
#[derive(Clone, Debug)]
enum Then {
    Answer(Ticket, Reply),
    Acknowledge(Arc<str>, u64),
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
}

/// The owner of a log.
#[derive(Debug)]
pub struct Core {
    terms: Terms,
    epoch: u64,
    book: Book,
    workers: BTreeMap<Arc<str>, Worker>,
    runs: BTreeMap<Run, LiveRun>,
    config: Arc<Config>,
    arrivals: Vec<(Job, Vec<Ticket>)>,
    pending: Vec<Fact>,
    position: u64,
    in_flight: Option<(u64, Duration)>,
    durable: u64,
    appended: Duration,
    proof: Duration,
    after: VecDeque<(u64, Then)>,
    recording: BTreeMap<u32, u64>,
    recorded: BTreeSet<Arc<str>>,
    dirty: bool,
    planned: Duration,
    ghosts: bool,
    swept: Duration,
    superseded: bool,
    began: Duration,
    returned: Option<Duration>,
    effects: Vec<Effect>,
    advised: BTreeMap<StepKey, Advised>,
    waves: BTreeMap<u64, Going>,
    tracks: BTreeMap<u32, Track>,
    interference: Interference,
    taught: Duration,
    counts: Counts,
}

impl Core {
    /// Begins to own a log whose next position is `position`, fenced at `epoch`.
    #[must_use]
    pub fn new(terms: Terms, epoch: u64, mut book: Book, position: u64, now: Now) -> Self {
        book.index(now.at);
        let mut core = Self {
            terms,
            epoch,
            book,
            workers: BTreeMap::new(),
            runs: BTreeMap::new(),
            config: Arc::default(),
            arrivals: Vec::new(),
            pending: Vec::new(),
            position,
            in_flight: None,
            durable: position.saturating_sub(1),
            appended: now.at,
            proof: now.at,
            after: VecDeque::new(),
            recording: BTreeMap::new(),
            recorded: BTreeSet::new(),
            dirty: true,
            planned: now.at,
            ghosts: true,
            swept: now.at,
            superseded: false,
            began: now.at,
            returned: None,
            effects: Vec::new(),
            advised: BTreeMap::new(),
            waves: BTreeMap::new(),
            tracks: BTreeMap::new(),
            interference: Interference::default(),
            taught: now.at,
            counts: Counts::default(),
        };
        core.interference.import(&core.book.lessons);
        core.adopt_runs(now);
        core
    }

    fn adopt_runs(&mut self, now: Now) {
        let mut over = Vec::new();
        for (number, job) in &self.book.jobs {
            if !self.book.open().contains(number) {
                continue;
            }
            for (time, round) in &job.rounds {
                for (step, state) in (0..).zip(&round.steps) {
                    for (index, task) in (0..).zip(&state.tasks) {
                        for live in &task.live {
                            let run = Run {
                                task: Task {
                                    job: *number,
                                    time: *time,
                                    step,
                                    index,
                                },
                                number: live.number,
                            };
                            let asked = &job.job.steps[usize::from(step)];
                            let (share, processors) = share_of(&mut self.interference, asked);
                            let mut adopted = LiveRun::new(
                                live.worker.clone(),
                                Stage::Starting,
                                share,
                                processors,
                                now.at,
                            );
                            adopted.saved = task.saved.clone();
                            self.runs.insert(run, adopted);
                        }
                    }
                }
            }
            if job.outcome.is_some() {
                over.push(*number);
            }
        }
        for number in over {
            self.stop_job(number, Reason::Over);
        }
    }

    /// Puts a configuration in force, unless a newer one is.
    pub fn set_config(&mut self, config: Arc<Config>) {
        if config.version > self.config.version || self.config.queues.is_empty() {
            self.config = config;
            self.dirty = true;
        }
    }

    /// Counts since this owner began.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The book, for a snapshot or a dump.
    #[must_use]
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// The state in short, for operators; at most some 100 jobs and all workers.
    #[must_use]
    pub fn dump(&self, now: Now) -> serde_json::Value {
        let open = self.book.open().iter().take(DUMPED);
        let jobs = open.map(|number| {
            let job = &self.book.jobs[number];
            let waiting: u32 = job
                .rounds
                .values()
                .flat_map(|round| &round.steps)
                .map(|step| step.waiting)
                .sum();
            serde_json::json!({
                "id": &*job.job.id, "number": number, "queue": &*job.job.queue,
                "live": job.live, "waiting": waiting, "outcome": format!("{:?}", job.outcome),
            })
        });
        let workers = self.workers.values().map(|worker| {
            serde_json::json!({
                "id": &**worker.id(), "runs": worker.runs.len(), "answers": worker.answers,
                "silent_ms": u64::try_from(now.at.saturating_sub(worker.heard).as_millis()).unwrap_or(u64::MAX),
                "draining": worker.draining.is_some(), "listed": worker.absent.is_none(),
                "aside": worker.aside.is_some_and(|until| until > now.at),
                "free": worker.pool.free().to_string(),
            })
        });
        serde_json::json!({
            "epoch": self.epoch, "durable": self.durable, "position": self.position,
            "stalled_ms": u64::try_from(self.stalled_for(now).as_millis()).unwrap_or(u64::MAX),
            "open_jobs": self.book.open().len(), "runs": self.runs.len(),
            "jobs": jobs.collect::<Vec<_>>(), "workers": workers.collect::<Vec<_>>(),
        })
    }

    /// Workers by id, for a dump.
    #[must_use]
    pub fn workers(&self) -> &BTreeMap<Arc<str>, Worker> {
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
        let answers = self.after.iter().filter_map(|(_, then)| match then {
            Then::Answer(ticket, _) => Some(*ticket),
            Then::Acknowledge(..) => None,
        });
        answers.collect()
    }

    /// Whether leases may still be renewed: ownership was proved not long ago.
    fn may_renew(&self, now: Now) -> bool {
        now.at.saturating_sub(self.proof) < self.terms.horizon
    }

    /// The entry at `position`, first sent at `sent`, is durable.
    pub fn note_durable(&mut self, position: u64, sent: Duration, now: Now) {
        if self.is_stalled(now) {
            tracing::info!(
                position,
                waited_ms = self.stalled_for(now).as_millis(),
                "store answers again"
            );
            self.returned = Some(now.at);
        }
        self.durable = self.durable.max(position);
        for id in std::mem::take(&mut self.recorded) {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.work = Duration::ZERO;
            }
        }
        self.proof = self.proof.max(sent);
        self.in_flight = None;
        self.recording.retain(|_, at| *at > position);
        while self.after.front().is_some_and(|(at, _)| *at <= position) {
            let Some((_, then)) = self.after.pop_front() else {
                break;
            };
            match then {
                Then::Answer(ticket, reply) => self.effects.push(Effect::Answer(ticket, reply)),
                Then::Acknowledge(worker, number) => {
                    if let Some(worker) = self.workers.get_mut(&worker) {
                        worker.seen = worker.seen.max(number);
                    }
                }
            }
        }
    }

    /// Does what is due and returns what is to be done outside.
    pub fn poll(&mut self, now: Now) -> Vec<Effect> {
        if now.at >= self.swept + SWEEP {
            self.swept = now.at;
            self.expire_leases(now);
            self.drop_absent(now);
            self.empty_draining(now);
            self.open_rounds(now);
            self.drive_waves(now);
        }
        self.refuse_arrivals(now);
        self.append(now);
        self.drive_orders(now);
        self.drive_looks(now);
        std::mem::take(&mut self.effects)
    }

    fn open_rounds(&mut self, now: Now) {
        let wall = now.wall.saturating_sub(self.terms.clock_slack);
        self.dirty |= self.book.open_rounds(wall);
    }

    fn append(&mut self, now: Now) {
        let since = now.at.saturating_sub(self.appended);
        if self.in_flight.is_some() || since < self.terms.commit {
            return;
        }
        self.take_arrivals(now);
        // Workers are let back, and services calm down, without an event.
        if self.dirty || now.at >= self.planned + REPLAN {
            self.dirty = false;
            self.planned = now.at;
            self.plan(now);
        }
        self.forget_ended(now);
        self.keep_lessons(now);
        if self.pending.is_empty() && since < self.terms.proof {
            return;
        }
        let facts = std::mem::take(&mut self.pending);
        self.counts.entries += 1;
        self.effects.push(Effect::Append(self.position, facts));
        self.in_flight = Some((self.position, now.at));
        self.appended = now.at;
        self.position += 1;
    }

    fn forget_ended(&mut self, now: Now) {
        let Some(limit) = now.at.checked_sub(self.terms.keep) else {
            return;
        };
        for number in self.book.ended_before(limit) {
            if self.book.jobs.get(&number).is_some_and(|job| job.live == 0) {
                self.record(Fact::Forgotten(number), now);
            }
        }
    }

    /// Keeps what was learned, for a later owner.
    fn keep_lessons(&mut self, now: Now) {
        if now.at < self.taught + self.terms.teach {
            return;
        }
        self.taught = now.at;
        let lessons = self.interference.export();
        if !lessons.is_empty() {
            self.record(Fact::Learned(lessons), now);
        }
    }

    /// Applies a fact and puts it into the next entry.
    fn record(&mut self, fact: Fact, now: Now) {
        let effect = self.book.apply(&fact, now.at);
        self.pending.push(fact);
        if let book::Effect::Ended(number, outcome) = effect {
            self.recording.insert(number, self.position);
            self.close_job(number, outcome);
        }
    }

    fn close_job(&mut self, number: u32, outcome: Outcome) {
        if let Some(job) = self.book.jobs.get(&number) {
            tracing::info!(job = %job.job.id, ?outcome, position = self.position, "job ended");
        }
        self.advised.retain(|key, _| key.0 != number);
        self.tracks.remove(&number);
        self.stop_job(number, Reason::Over);
    }

    /// Runs of a job that may be going on.
    fn runs_of(&self, number: u32) -> Vec<Run> {
        let from = Run {
            task: Task {
                job: number,
                time: 0,
                step: 0,
                index: 0,
            },
            number: 0,
        };
        let runs = self
            .runs
            .range(from..)
            .take_while(|(run, _)| run.task.job == number);
        runs.map(|(run, _)| *run).collect()
    }

    fn stop_job(&mut self, number: u32, reason: Reason) {
        for run in self.runs_of(number) {
            self.want_stop(run, reason);
        }
    }

    /// Asks for the stop of a run.
    fn want_stop(&mut self, run: Run, reason: Reason) {
        let Some(live) = self.runs.get_mut(&run) else {
            return;
        };
        live.want_stop(reason);
        if let Some(worker) = self.workers.get_mut(&live.worker) {
            worker.work = Duration::ZERO;
        }
    }

    /// A run has ended.
    fn end_run(&mut self, run: Run, end: End, saved: &Arc<str>, now: Now) {
        let Some(live) = self.runs.remove(&run) else {
            return;
        };
        self.release(run, &live);
        match end {
            End::Done => self.counts.done += 1,
            End::Failed => self.counts.failed += 1,
            End::Stopped => self.counts.stopped += 1,
            End::Lost => self.counts.lost += 1,
        }
        let saved = if saved.is_empty() { &live.saved } else { saved };
        let age = now.at.saturating_sub(live.placed).as_millis();
        if end != End::Done
            && let Some(job) = self.book.jobs.get(&run.task.job)
        {
            tracing::info!(job = %job.job.id, task = %run.task, run = run.number,
                worker = %live.worker, ?end, age_ms = age, stop = ?live.stop, percent = live.percent, "run ended");
        }
        self.record(Fact::Ended(run, end, saved.clone()), now);
        self.dirty = true;
        if end == End::Failed {
            self.judge_failure(run, now);
        }
        if end == End::Done {
            self.stop_siblings(run, Reason::Copied);
        }
        if self.is_gang(run) {
            self.stop_gang(run);
        }
    }

    /// Gives a job up when one of its tasks has failed too often.
    fn judge_failure(&mut self, run: Run, now: Now) {
        let Some((job, task)) = self.book.task(run.task) else {
            return;
        };
        let gang = job.step(run.task).is_some_and(|step| step.gang);
        let failures = if gang {
            let round = &job.rounds[&run.task.time];
            let tasks = &round.steps[usize::from(run.task.step)].tasks;
            tasks.iter().map(|task| task.failures).sum()
        } else {
            task.failures
        };
        let lasting = job.step(run.task).is_some_and(|step| step.lasting);
        if failures >= job.policy.attempts && !lasting && job.outcome.is_none() {
            tracing::info!(job = %job.job.id, task = %run.task, failures, "job given up");
            self.record(Fact::Failed(run.task.job), now);
        }
    }

    fn is_gang(&self, run: Run) -> bool {
        self.book
            .task(run.task)
            .is_some_and(|(job, _)| job.step(run.task).is_some_and(|step| step.gang))
    }

    fn stop_siblings(&mut self, run: Run, reason: Reason) {
        for other in self.runs_of(run.task.job) {
            if other.task == run.task {
                self.want_stop(other, reason);
            }
        }
    }

    fn stop_gang(&mut self, run: Run) {
        let step = |run: Run| (run.task.time, run.task.step, run.number);
        for other in self.runs_of(run.task.job) {
            if step(other) == step(run) {
                self.want_stop(other, Reason::Over);
            }
        }
    }
}

/// How runs of a step share their worker, and the processors that they ask for.
fn share_of(interference: &mut Interference, step: &Step) -> (Share, f64) {
    let unnamed = Arc::from("");
    let image = interference.number(step.image.as_ref().unwrap_or(&unnamed));
    let share = match step.sharing {
        Sharing::Apart => Share::Apart,
        Sharing::Serves(target) => Share::Serves(image, target.as_secs_f64() * 1000.0),
        Sharing::Fills => Share::Fills(image),
    };
    #[expect(clippy::cast_precision_loss, reason = "thousandths of processors")]
    let processors = step.needs.processors as f64;
    (share, processors)
}
