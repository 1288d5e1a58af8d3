//! Workers of one zone or rack that are lost together, again and again: their processes crash and
//! start again under their ids, or they are cut off for a while and return as the same processes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::agents::TaskName;
use ashtiller::workflow::record::LogRecord;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::outages::{self, millis};
use super::{Event, Simulation, operators};

/// Number of racks. Each has workers of all zones.
const RACKS: u32 = 3;
/// Bounds of the number of losses in one round.
const LOSSES: [u32; 2] = [2, 3];
/// Bounds of the time from one loss to the next, in milliseconds.
const GAP_MS: [u64; 2] = [4000, 12_000];
/// Bounds of the time after which the processes of a place start again, in milliseconds.
const DOWNTIME_MS: [u64; 2] = [300, 2500];
/// Longest further time that one of these processes takes to start, in milliseconds.
const START_SPREAD_MS: u64 = 800;
/// Bounds of the time from a crash to the cut after it, in milliseconds: from before the last
/// process has started again until long after tasks have started there.
const CRASH_TO_CUT_MS: [u64; 2] = [1500, 9000];
/// Bounds of a cut that leases of up to 6 s mostly outlast, in milliseconds.
const SHORT_CUT_MS: [u64; 2] = [500, 5900];
/// Bounds of a cut that outlasts all leases, in milliseconds.
const LONG_CUT_MS: [u64; 2] = [6000, 15_000];
/// Bounds of the time for which an entry outlasts the connection of its worker, in milliseconds.
const ENTRY_MS: [u64; 2] = [2200, 3300];
/// Longest time from the end of a cut to the next heartbeat of a worker, in milliseconds.
const HEARTBEAT_MS: u64 = 1100;
/// Longest time between a loss and a change of owner, in milliseconds.
const OWNER_LEAD_MS: u64 = 6000;
/// Time without faults after the last event of a round.
const ROUND_TAIL: Duration = Duration::from_secs(25);

/// Time for which a call to a worker's former process may still be carried out by the next one.
const LATE_CALL_MAX: Duration = Duration::from_secs(13);
/// Longest lease that a worker grants, by the slowest clock, and the time until the next start.
const GRANT_MAX: Duration = Duration::from_millis(10_400 + 1000);
/// Age from which a process holds no lease by a call to its predecessor: such a call was in flight
/// when the process began, its lease ends, and the times of day of two machines differ by up to 10 s.
const YOUNG_MAX: Duration = Duration::from_millis(17_000 + 10_400 + 10_000);
/// Time from the end of a cut within which an owner knows that the process has ended its runs.
const RECONNECT_MAX: Duration = Duration::from_secs(3);
/// Number of workers that must crash under a task before its job may be given up.
const CRASHES_MIN: u32 = 2;
/// Largest difference between a worker's time of day and that of the owners, in milliseconds.
const WALL_DIFFERENCE_MS: u64 = 4000;

/// Last run of a task.
struct LastRun {
    worker: Arc<str>,
    began: Duration,
    /// Start time of the worker's process, if it started during the play.
    process: Option<Duration>,
}

/// Processes that started during the play, and the workers of tasks.
#[derive(Default)]
pub struct PlaceLosses {
    /// Whether workers are listed with a label for their rack, and say truly when they were born.
    active: bool,
    started: BTreeMap<Arc<str>, Duration>,
    reconnected: BTreeMap<Arc<str>, Duration>,
    /// Last run of each task.
    last_runs: BTreeMap<TaskName, LastRun>,
    /// Number of workers that a bad task crashed while they ran a task.
    crashes_beside: BTreeMap<TaskName, u32>,
}

impl PlaceLosses {
    /// Returns whether workers are listed with a label for their rack.
    pub fn labels_racks(&self) -> bool {
        self.active
    }

    /// Records that a worker's process starts. Returns the time at which it was born by its own time
    /// of day, from that of the owners and a random number, or `None` before the play.
    pub fn note_process(&mut self, id: &str, random: u64, wall: u64, now: Duration) -> Option<u64> {
        if !self.active {
            return None;
        }
        self.started.insert(id.into(), now);
        Some(wall - WALL_DIFFERENCE_MS + random % (2 * WALL_DIFFERENCE_MS))
    }

    /// Records that a worker begins to run a task.
    pub fn note_run(&mut self, name: &TaskName, id: &Arc<str>, now: Duration) {
        if self.active {
            let last = LastRun {
                worker: id.clone(),
                began: now,
                process: self.started.get(id).copied(),
            };
            self.last_runs.insert(name.clone(), last);
        }
    }

    /// Records that a bad task crashes a worker with these runs.
    pub fn note_crash<'a>(&mut self, names: impl Iterator<Item = &'a TaskName>) {
        if !self.active {
            return;
        }
        for name in names {
            *self.crashes_beside.entry(name.clone()).or_default() += 1;
        }
    }
}

/// What the workers that are lost together have in common.
#[derive(Clone, Copy, Debug)]
enum Place {
    Zone(&'static str),
    Rack(u32),
}

impl Place {
    fn draw(rng: &mut Pcg64) -> Self {
        if rng.random_range(0..3) == 0 {
            Self::Rack(rng.random_range(0..RACKS))
        } else {
            Self::Zone(operators::ZONES[rng.random_range(0..operators::ZONES.len())])
        }
    }

    fn contains(self, id: &str) -> bool {
        match self {
            Self::Zone(zone) => operators::zone_of(id) == zone,
            Self::Rack(rack) => rack_of(id) == rack,
        }
    }
}

/// An event of a round.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// All processes of a place end at once and start again under their ids. Calls get no answer
    /// meanwhile if `silent`; else connections are refused.
    Crash { place: Place, silent: bool },
    /// Nothing reaches the workers of a place for this time. Their entries lapse meanwhile unless
    /// they still reach the store.
    CutOff {
        place: Place,
        span: Duration,
        from_store: bool,
    },
    /// The workers of a place can be reached again.
    Reconnect(Place),
    /// A change of owner, or a job that is submitted.
    Other(outages::Action),
}

/// Returns the rack of a worker.
fn rack_of(id: &str) -> u32 {
    let number: u32 = id[1..].parse().unwrap_or(0);
    let zones = u32::try_from(operators::ZONES.len()).unwrap();
    number / zones % RACKS
}

/// Returns the label of a worker's rack.
pub fn rack_label(id: &str) -> Arc<str> {
    format!("rack-{}", rack_of(id)).into()
}

/// Returns the generator of a seed's losses, which is independent of all other draws.
pub fn generator(seed: u64) -> Pcg64 {
    Pcg64::seed_from_u64(seed.rotate_left(24) ^ 0x706c_6163_655f_6c6f)
}

fn between([from, to]: [u64; 2], rng: &mut Pcg64) -> Duration {
    millis(rng, from, to)
}

/// Draws the actions of one loss that begins at `at`: a crash, a cut, or both in a row. Returns the
/// time of the last one that loses workers.
fn plan_loss(at: Duration, rng: &mut Pcg64, actions: &mut Vec<(Duration, Action)>) -> Duration {
    let place = Place::draw(rng);
    let (crashes, is_cut) =
        [(true, false), (false, true), (true, true), (true, true)][rng.random_range(0..4)];
    let mut last = at;
    if crashes {
        let silent = rng.random_range(0..2) == 0;
        actions.push((at, Action::Crash { place, silent }));
    }
    if is_cut {
        if crashes {
            last += between(CRASH_TO_CUT_MS, rng);
        }
        let bounds = [SHORT_CUT_MS, LONG_CUT_MS][rng.random_range(0..2)];
        let span = between(bounds, rng);
        let from_store = rng.random_range(0..2) == 0;
        let cut = Action::CutOff {
            place,
            span,
            from_store,
        };
        actions.push((last, cut));
        actions.push((last + span, Action::Reconnect(place)));
    }
    last
}

/// Draws the actions of a round, with the time of each since its begin.
fn plan_round(rng: &mut Pcg64) -> Vec<(Duration, Action)> {
    let mut actions = Vec::new();
    let mut at = between([7000, 9000], rng);
    for _ in 0..rng.random_range(LOSSES[0]..=LOSSES[1]) {
        let last = plan_loss(at, rng, &mut actions);
        if rng.random_range(0..3) == 0 {
            let lead = millis(rng, 0, 2 * OWNER_LEAD_MS);
            let change = (at + lead).saturating_sub(Duration::from_millis(OWNER_LEAD_MS));
            let changes = outages::plan_owners(change, rng);
            actions.extend(changes.into_iter().map(|(at, it)| (at, Action::Other(it))));
        }
        at = last + between(GAP_MS, rng);
    }
    let end = actions.iter().map(|(at, _)| *at).max().unwrap_or(at);
    let mut submission = Duration::ZERO;
    while submission < end {
        actions.push((submission, Action::Other(outages::Action::Submit)));
        submission += Duration::from_secs(1);
    }
    actions.sort_by_key(|(at, _)| *at);
    actions
}

impl Simulation {
    /// Adds the label of its rack to each worker. Processes that start from now on are born now.
    pub fn label_racks(&mut self) {
        self.place_losses.active = true;
        for id in self.workers.keys().cloned().collect::<Vec<_>>() {
            self.announce_restart(&id);
        }
    }

    /// Returns whether a task that has been absent for a while may still run on a young process that
    /// is cut off, as far as owners can know. Such a process may have carried out a call that was
    /// meant for its predecessor, and then holds the longest lease that workers grant. A start by an
    /// earlier owner may have been such a call.
    pub fn may_run_on_young_process(&self, name: &TaskName, since: Duration) -> bool {
        let losses = &self.place_losses;
        let Some(last) = losses.last_runs.get(name) else {
            return false;
        };
        let reconnected = losses.reconnected.get(&last.worker);
        let back = reconnected.is_some_and(|at| self.now < *at + RECONNECT_MAX);
        let is_earlier = last.began < self.owner_begins[self.newest];
        let next = losses.started.get(&last.worker).filter(|_| is_earlier);
        let last_fault = self.now.saturating_sub(self.calm_time());
        last.process.max(next.copied()).is_some_and(|started| {
            let lease_end = (started + LATE_CALL_MAX).max(last_fault) + GRANT_MAX;
            let is_young = since < started + YOUNG_MAX;
            let is_cut = back || self.unreachable.contains(&last.worker);
            is_young && is_cut && self.now < lease_end
        })
    }

    /// Returns whether all tasks of a job have ended by the log. Owners forget a job 150 s after its
    /// end.
    pub fn has_recorded_ends(&self, id: &Arc<str>) -> bool {
        let steps = (0..).zip(&self.jobs[id].steps);
        let mut names = steps.flat_map(|(step, known)| {
            let indexes = 0..u16::try_from(known.count).unwrap();
            indexes.map(move |index| TaskName {
                job: id.clone(),
                occurrence: 0,
                step,
                index,
            })
        });
        names.all(|name| self.recorded_ends.contains_key(&name))
    }

    /// Returns whether a job has been given up by the log.
    pub fn is_given_up(&self, id: &Arc<str>) -> bool {
        let records = self.log.iter().flatten();
        let mut failed = records.filter_map(|record| match record {
            LogRecord::Failed(number) => Some(&self.job_ids[*number as usize]),
            _ => None,
        });
        failed.any(|it| it == id)
    }

    /// Returns whether a job may be given up: a task of it crashes its workers, or was on two that
    /// other tasks crashed.
    pub fn may_be_given_up(&self, id: &Arc<str>) -> bool {
        let crashes = self.place_losses.crashes_beside.iter();
        let mut crashes = crashes.filter(|(name, _)| name.job == *id);
        self.is_bad(id) || crashes.any(|(_, count)| *count >= CRASHES_MIN)
    }

    /// Returns whether a task belongs to a job that has been given up, so that it need not run and
    /// its end need not be read. Other plays keep the stricter checks.
    pub fn is_given_up_in_play(&self, name: &TaskName) -> bool {
        self.place_losses.active && self.is_given_up(&name.job)
    }

    /// Returns whether the first task of a job crashes its workers.
    pub fn is_bad(&self, id: &Arc<str>) -> bool {
        self.crash_delays.contains_key(id)
    }

    /// Returns the accepted jobs.
    pub fn accepted_ids(&self) -> impl Iterator<Item = &Arc<str>> {
        self.accepted.iter()
    }

    fn reconnect_place(&mut self, place: Place) {
        let ids = self.unreachable.iter();
        let back: Vec<Arc<str>> = ids.filter(|id| place.contains(id)).cloned().collect();
        for id in back {
            self.unreachable.remove(&id);
            self.place_losses.reconnected.insert(id, self.now);
        }
    }

    fn workers_in(&self, place: Place) -> Vec<Arc<str>> {
        let ids = self.workers.keys();
        ids.filter(|id| place.contains(id)).cloned().collect()
    }

    fn crash_place(&mut self, place: Place, silent: bool, rng: &mut Pcg64) {
        let downtime = between(DOWNTIME_MS, rng);
        for id in self.workers_in(place) {
            self.end_incarnation(&id);
            self.restarted += 1;
            self.outages.set_silent(&id, silent);
            let start = downtime + millis(rng, 0, START_SPREAD_MS);
            self.schedule(start, Event::ProcessStarts(id));
        }
        self.outages.note_fault(self.now);
    }

    fn cut_off_place(&mut self, place: Place, span: Duration, from_store: bool, rng: &mut Pcg64) {
        for id in self.workers_in(place) {
            self.unreachable.insert(id.clone());
            let lapse = between(ENTRY_MS, rng);
            if from_store && lapse < span {
                self.schedule(lapse, Event::EntryLapses(id.clone()));
                let back = span + millis(rng, 0, HEARTBEAT_MS);
                self.schedule(back, Event::WriteEntry(id));
            }
        }
        self.outages.note_fault(self.now);
    }

    fn perform_place_action(
        &mut self,
        action: Action,
        rng: &mut Pcg64,
        submit: &mut dyn FnMut(&mut Self),
    ) {
        if !matches!(action, Action::Other(_)) {
            tracing::trace!(?action, "simulation: loss of a place");
        }
        match action {
            Action::Crash { place, silent } => self.crash_place(place, silent, rng),
            Action::CutOff {
                place,
                span,
                from_store,
            } => self.cut_off_place(place, span, from_store, rng),
            Action::Reconnect(place) => self.reconnect_place(place),
            Action::Other(action) => self.perform_action(action, rng, submit),
        }
    }

    /// Plays some losses of places in series, with changes of owner around some of them, and the
    /// time after it. `submit` submits a short job.
    pub fn run_place_losses(&mut self, rng: &mut Pcg64, submit: &mut dyn FnMut(&mut Self)) {
        let begin = self.now;
        for (after, action) in plan_round(rng) {
            let left = (begin + after).saturating_sub(self.now);
            self.run(left, false);
            if !self.violations.is_empty() {
                return;
            }
            self.perform_place_action(action, rng, submit);
        }
        self.run(ROUND_TAIL, false);
    }
}
