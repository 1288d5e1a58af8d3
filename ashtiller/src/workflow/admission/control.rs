//! Decides on arrival whether a job is admitted.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::resources::Resources;
use crate::workflow::admission::backlog::{Backlog, JobWork, Standing};
use crate::workflow::admission::copy::{CLASSES_MAX, ClassReading, OverloadCopy};
use crate::workflow::admission::rate::RateMeter;
use crate::workflow::admission::refusals::{self, RefusalTable, Refused, Schedule};
use crate::workflow::admission::triage::{
    ACCEPTED_OBJECTIVES, ACCEPTED_OBJECTIVES_LATE, WORTH_OBJECTIVES, WORTHLESS_SHARE,
    WorthlessShare,
};
use crate::workflow::load::account::WorkClass;

/// Time for which every placement round must have left tasks without a worker before their class
/// counts as overloaded. Two of the longest intervals between rounds, and shorter than the time
/// that a short job may wait and still be in time.
pub const OVERLOAD_AFTER: Duration = Duration::from_millis(450);
/// Time for which an overload lasts when only tasks of jobs worth nothing are left without a
/// worker. Otherwise, at ten times the load, half a second of work would be admitted in each
/// round after all work that is worth anything has found workers.
pub const OVERLOAD_LASTS: Duration = Duration::from_secs(2);
/// Time after the refusal of a job that could be in time for which jobs that cannot be in time are
/// admitted only with little work waiting. After it, refused callers go ahead of newcomers again.
pub const LATE_YIELD: Duration = Duration::from_secs(1);
/// Factor on the measured rate in a prediction. It favours accepting: a refusal while the job could
/// have been served is the worse mistake, and rates vary by a fifth within seconds.
pub const RATE_MARGIN: f64 = 1.25;
/// Number of different requests kept of those that no worker took in a round.
const UNPLACED_MAX: usize = 8;

/// A service and a class of work on it.
pub type ClassKey = (Arc<str>, WorkClass);

/// Part of a new job in one class.
#[derive(Clone, Debug)]
pub struct JobPart {
    /// Class of the steps.
    pub class: WorkClass,
    /// Work of the steps in processor-seconds, by estimates.
    pub work: f64,
    /// What a task of each step requests.
    pub needs: Vec<Resources>,
}

/// A new job, as far as its admission depends on it.
#[derive(Clone, Debug)]
pub struct Newcomer<'a> {
    /// Id of the job.
    pub id: &'a str,
    /// Service whose workers run it.
    pub service: Arc<str>,
    /// Priority of its queue; 0 is the highest.
    pub priority: u32,
    /// Time within which the job is on time.
    pub objective: Duration,
    /// Longest chain of estimated run times.
    pub chain: Duration,
    /// Its work by class.
    pub parts: Vec<JobPart>,
    /// Whether it is admitted whatever the load: repeated and long-running jobs, and those that
    /// wait for workers which are not there.
    pub exempt: bool,
}

/// Why a job is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The id was refused before, and its time has not come.
    Early,
    /// It would end after it is worth anything.
    PredictedEnd,
    /// More work has been accepted than completes within the bound on the end of each job.
    AcceptedWork,
}

/// A refusal, with what decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// Overloaded class.
    pub class: WorkClass,
    /// Time after which the caller may return.
    pub retry: Duration,
    /// Work in processor-seconds that comes before the job.
    pub ahead: f64,
    /// All waiting work of the class in processor-seconds.
    pub waiting: f64,
    /// Processor-seconds that complete per second.
    pub rate: f64,
    /// Predicted time until the job ends.
    pub predicted: Duration,
    /// Time left in which the job is worth anything.
    pub limit: Duration,
    /// Age of the readings.
    pub age: Duration,
}

/// Decision on a new job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is admitted; whether it was refused before.
    Admit {
        /// Whether its caller returned after a refusal.
        returned: bool,
    },
    /// It is refused.
    Refuse(Refusal),
}

/// Returns a time of so many seconds; the longest if it is out of range.
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// State of one class of a service.
#[derive(Debug, Default)]
struct ClassState {
    /// Waiting work as of the last round, and of jobs admitted since.
    backlog: Backlog,
    /// Requests of tasks that no worker took in the last round.
    unplaced: Vec<Resources>,
    /// Whether one of them is of a job that is worth anything. The others yield to new jobs, and
    /// do not show that there is no capacity for them.
    pressed: bool,
    /// Time since which every round has left such tasks.
    short_since: Option<Duration>,
    /// Time since which every round has left tasks of jobs worth anything.
    pressed_since: Option<Duration>,
    overloaded: bool,
    /// Time of the last round in overload that left tasks of jobs worth anything.
    last_pressed: Option<Duration>,
    /// Work of refused callers that are due and may go ahead of newcomers.
    due: f64,
    rate: RateMeter,
    schedule: Schedule,
    /// Time of the last refusal of a job that could still be in time.
    refused_in_time: Option<Duration>,
    share: WorthlessShare,
}

impl ClassState {
    /// Returns whether a task with one of these requests would find no worker: one with at most
    /// the same request found none in the last round.
    fn is_short_for(&self, needs: &[Resources]) -> bool {
        let has_waited = |needs: &Resources| self.unplaced.iter().any(|it| it.fits_within(needs));
        self.overloaded && needs.iter().any(has_waited)
    }

    /// Returns the rate at which work completes for jobs that are worth something.
    fn rate_for_newcomers(&self, rate: f64) -> f64 {
        if self.backlog.worthless() > 0.0 {
            rate * (1.0 - WORTHLESS_SHARE)
        } else {
            rate
        }
    }
}

/// A class whose overload began or ended in a round.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Service and class.
    pub class: ClassKey,
    /// Whether the class is overloaded now.
    pub overloaded: bool,
    /// Waiting work in processor-seconds.
    pub waiting: f64,
}

/// Summary of an overloaded class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSummary {
    /// Service and class.
    pub class: ClassKey,
    /// Time for which capacity has been short.
    pub short_for: Duration,
    /// Whether the class counts as overloaded.
    pub overloaded: bool,
    /// Waiting work in processor-seconds.
    pub waiting: f64,
    /// Part of it that is worth nothing any more.
    pub worthless: f64,
    /// Processor-seconds that complete per second, if known.
    pub rate: Option<f64>,
}

/// State of admission control of all services.
#[derive(Debug, Default)]
pub struct Control {
    classes: BTreeMap<ClassKey, ClassState>,
    refused: RefusalTable,
    read_at: Duration,
}

impl Control {
    fn class_mut(&mut self, key: &ClassKey) -> &mut ClassState {
        self.classes.entry(key.clone()).or_default()
    }

    /// Records a run that has ended: the processor-seconds for which it occupied its worker, and
    /// its estimated work if it is done.
    pub fn note_end(&mut self, key: &ClassKey, occupied: f64, work: Option<f64>, now: Duration) {
        self.class_mut(key).rate.note_end(occupied, work, now);
    }

    /// Records work that was placed in a round, and whether the share of worthless work placed it.
    pub fn note_placed(&mut self, key: &ClassKey, work: f64, promoted: bool, now: Duration) {
        let state = self.class_mut(key);
        if state.short_since.is_some() {
            state.share.note_placed(work);
        }
        if promoted {
            state.share.note_promoted(work, now);
        }
    }

    /// Begins the reading of a placement round.
    pub fn begin_reading(&mut self) {
        for state in self.classes.values_mut() {
            state.unplaced.clear();
            state.pressed = false;
        }
    }

    /// Records a request of a task that no worker took, although one could if it were empty, and
    /// whether its job is worth nothing any more.
    pub fn note_unplaced(&mut self, key: &ClassKey, needs: &Resources, worthless: bool) {
        let state = self.class_mut(key);
        state.pressed |= !worthless;
        let unplaced = &mut state.unplaced;
        if unplaced.iter().any(|known| known.fits_within(needs)) {
            return;
        }
        unplaced.retain(|known| !needs.fits_within(known));
        if unplaced.len() < UNPLACED_MAX {
            unplaced.push(*needs);
        }
    }

    /// Returns whether a class left tasks without a worker in this or the last round.
    #[must_use]
    pub fn is_short(&self, key: &ClassKey) -> bool {
        self.classes
            .get(key)
            .is_some_and(|state| state.short_since.is_some())
    }

    /// Returns whether any class left tasks without a worker in this round.
    #[must_use]
    pub fn has_unplaced(&self) -> bool {
        self.classes
            .values()
            .any(|state| !state.unplaced.is_empty())
    }

    /// Ends the reading of a placement round; `jobs` holds the waiting work of all open jobs if
    /// any class is short of capacity. Returns the classes whose overload has begun or ended.
    pub fn end_reading(&mut self, jobs: &[(ClassKey, JobWork)], now: Duration) -> Vec<Change> {
        self.read_at = now;
        for state in self.classes.values_mut() {
            state.backlog.clear();
        }
        for (key, job) in jobs {
            self.class_mut(key).backlog.add(job);
        }
        let mut changes = Vec::new();
        for (key, state) in &mut self.classes {
            let short = !state.unplaced.is_empty();
            let since =
                |before: Option<Duration>, holds: bool| holds.then(|| before.unwrap_or(now));
            state.short_since = since(state.short_since, short);
            state.pressed_since = since(state.pressed_since, state.pressed);
            state.due = self.refused.due_work(key, now);
            if state.backlog.worthless() <= 0.0 {
                state.share.settle(now);
            }
            let begins = state
                .pressed_since
                .is_some_and(|since| now >= since + OVERLOAD_AFTER);
            let lasts = state
                .last_pressed
                .is_some_and(|last| now < last + OVERLOAD_LASTS);
            let overloaded = short && (begins || state.overloaded && lasts);
            if overloaded && state.pressed {
                state.last_pressed = Some(now);
            }
            if std::mem::replace(&mut state.overloaded, overloaded) != overloaded {
                changes.push(Change {
                    class: key.clone(),
                    overloaded,
                    waiting: state.backlog.total(),
                });
            }
        }
        changes
    }

    /// Returns the steps of a class that the share of worthless work places ahead of others, by
    /// their index in `waiting`, which holds their work, oldest first.
    #[must_use]
    pub fn choose_worthless(&self, key: &ClassKey, waiting: &[f64], now: Duration) -> Vec<usize> {
        self.classes
            .get(key)
            .map_or_else(Vec::new, |state| state.share.choose(waiting, now))
    }

    /// Returns the time since the known first attempt of a job that was refused before.
    #[must_use]
    pub fn time_since_first_attempt(&self, id: &str, now: Duration) -> Option<Duration> {
        let refused = self.refused.get(refusals::key_of(id))?;
        Some(now.saturating_sub(refused.first))
    }

    /// Forgets that an id was refused, once its job is recorded.
    pub fn forget(&mut self, id: &str) {
        self.refused.remove(refusals::key_of(id));
    }

    /// Decides on a new job; `processors` returns those in use by a class.
    pub fn decide(
        &mut self,
        job: &Newcomer<'_>,
        processors: impl Fn(WorkClass) -> f64,
        now: Duration,
    ) -> Verdict {
        let known = self.refused.get(refusals::key_of(job.id)).cloned();
        if let Some(known) = &known
            && now < known.returns
        {
            return Verdict::Refuse(Refusal {
                reason: Reason::Early,
                class: known.class.1,
                retry: known.returns.saturating_sub(now),
                ahead: 0.0,
                waiting: 0.0,
                rate: 0.0,
                predicted: Duration::ZERO,
                limit: Duration::ZERO,
                age: now.saturating_sub(self.read_at),
            });
        }
        let first = known.as_ref().map_or(now, |known| known.first);
        let limit = (job.objective * WORTH_OBJECTIVES).saturating_sub(now.saturating_sub(first));
        let mut worst: Option<(Refusal, Duration, f64)> = None;
        if !job.exempt {
            for part in &job.parts {
                let processors = processors(part.class);
                let judged = self.judge(job, part, known.is_some(), limit, processors, now);
                if let Some((refusal, excess)) = judged
                    && worst.as_ref().is_none_or(|(_, other, _)| excess > *other)
                {
                    worst = Some((refusal, excess, part.work));
                }
            }
        }
        let Some((mut refusal, excess, work)) = worst else {
            self.admit(job, known.as_ref());
            return Verdict::Admit {
                returned: known.is_some(),
            };
        };
        let key = (job.service.clone(), refusal.class);
        let own = seconds(work / refusal.rate);
        let state = self.class_mut(&key);
        if now + job.chain <= first + job.objective {
            state.refused_in_time = Some(now);
        }
        refusal.retry = state.schedule.next_delay(excess, own, now);
        let returns = now + refusal.retry;
        let in_time = returns + job.chain <= first + job.objective;
        let entry = Refused {
            first,
            returns,
            class: key,
            work,
            in_time,
        };
        self.refused.insert(refusals::key_of(job.id), entry, now);
        Verdict::Refuse(refusal)
    }

    /// Returns why a part of a job prevents its admission, without the retry delay, and the time
    /// after which it would not, if nothing else arrived.
    fn judge(
        &self,
        job: &Newcomer<'_>,
        part: &JobPart,
        returned: bool,
        limit: Duration,
        processors: f64,
        now: Duration,
    ) -> Option<(Refusal, Duration)> {
        let state = self.classes.get(&(job.service.clone(), part.class))?;
        if !state.is_short_for(&part.needs) {
            return None;
        }
        let rate = state.rate.rate(processors, now)?;
        let due = if returned { 0.0 } else { state.due };
        let ahead = state.backlog.ahead_of(job.priority, part.work) + due;
        let wait = seconds(ahead / (state.rate_for_newcomers(rate) * RATE_MARGIN));
        let predicted = wait.saturating_add(job.chain);
        let accepted = state.backlog.accepted_before(job.priority, job.objective);
        let elapsed = (job.objective * WORTH_OBJECTIVES).saturating_sub(limit);
        let yields = elapsed + job.chain > job.objective
            && state
                .refused_in_time
                .is_some_and(|at| now < at + LATE_YIELD);
        let objectives = if yields {
            ACCEPTED_OBJECTIVES_LATE
        } else {
            ACCEPTED_OBJECTIVES
        };
        let accepted_max = (job.objective * objectives).as_secs_f64() * rate;
        let (reason, excess) = match () {
            () if predicted > limit => (Reason::PredictedEnd, predicted.saturating_sub(limit)),
            () if accepted > accepted_max => (
                Reason::AcceptedWork,
                seconds((accepted - accepted_max) / rate),
            ),
            () => return None,
        };
        let refusal = Refusal {
            reason,
            class: part.class,
            retry: Duration::ZERO,
            ahead,
            waiting: state.backlog.total(),
            rate,
            predicted,
            limit,
            age: now.saturating_sub(self.read_at),
        };
        Some((refusal, excess))
    }

    /// Counts the work of a job that is admitted until the next round reads it.
    fn admit(&mut self, job: &Newcomer<'_>, returned: Option<&Refused>) {
        for part in &job.parts {
            let Some(state) = self.classes.get_mut(&(job.service.clone(), part.class)) else {
                continue;
            };
            state.backlog.add(&JobWork {
                priority: job.priority,
                objective: job.objective,
                standing: Standing::Fresh,
                work: part.work,
            });
        }
        if let Some(returned) = returned.filter(|it| it.in_time)
            && let Some(state) = self.classes.get_mut(&returned.class)
        {
            state.due = (state.due - returned.work).max(0.0);
        }
    }

    /// Returns the state of the classes that are short of capacity.
    #[must_use]
    pub fn summaries(
        &self,
        processors: impl Fn(&ClassKey) -> f64,
        now: Duration,
    ) -> Vec<ClassSummary> {
        let classes = self.classes.iter().filter_map(|(key, state)| {
            let since = state.short_since?;
            Some(ClassSummary {
                class: key.clone(),
                short_for: now.saturating_sub(since),
                overloaded: state.overloaded,
                waiting: state.backlog.total(),
                worthless: state.backlog.worthless(),
                rate: state.rate.rate(processors(key), now),
            })
        });
        classes.collect()
    }

    /// Returns the copy for other instances.
    #[must_use]
    pub fn copy(&self, processors: impl Fn(&ClassKey) -> f64, now: Duration) -> OverloadCopy {
        let summaries = self.summaries(processors, now);
        let overloaded = summaries.iter().filter(|it| it.overloaded);
        #[expect(clippy::cast_possible_truncation, reason = "a rough reading")]
        let readings = overloaded.filter_map(|summary| {
            Some(ClassReading {
                waiting: summary.waiting as f32,
                rate: summary.rate? as f32,
            })
        });
        let mut classes: Vec<ClassReading> = readings.collect();
        classes.sort_by(|a, b| (b.waiting / b.rate).total_cmp(&(a.waiting / a.rate)));
        classes.truncate(CLASSES_MAX);
        let age = now.saturating_sub(self.read_at).as_millis();
        OverloadCopy {
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            classes,
        }
    }

    /// Returns the number of refused ids that are remembered.
    #[must_use]
    pub fn remembered(&self) -> usize {
        self.refused.len()
    }
}
