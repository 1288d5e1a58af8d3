//! What jobs whose tasks crash their workers cost the others: the state machine of an owner in
//! virtual time, with workers that crash and come back under another id. Zones may be lost as well:
//! all workers of one crash at once, come back under their ids, and may then be cut off.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ashtiller::failure::Failure;
use ashtiller::resources::Resources;
use ashtiller::workflow::agents::{
    ORDER_TIMEOUT_MIN, Order, OrderReply, POLL_TIMEOUT_MIN, Poll, PollReply, TaskName,
};
use ashtiller::workflow::config::{Config, ListedWorker, Queue};
use ashtiller::workflow::core::{Core, Effect, Now, RequestToken};
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::{Job, Policy, Step};
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::message::{Reply, State};
use ashtiller::workflow::record::{Outcome, Run};
use ashtiller::workflow::tuning::Tuning;
use pico_args::Arguments;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::worker::{DisabledSafeguards, Worker};

const MS: Duration = Duration::from_millis(1);
const POLL: Duration = Duration::from_millis(5);
/// Time between a crash and the worker's next life.
const BACK: Duration = Duration::from_millis(2800);
/// Time until an entry of a worker that is gone lapses.
const LAPSE: Duration = Duration::from_millis(2400);
/// Time for jobs to come in before the bad ones, and to end after the last.
const LEAD: Duration = Duration::from_secs(10);
const TAIL: Duration = Duration::from_secs(20);
/// Tasks of a short job, and how long one takes.
const TASKS: u32 = 8;
const LENGTH: Duration = Duration::from_millis(1500);
/// Time within which a short job is worth something: twice its work and what it may wait.
const OBJECTIVE: Duration = Duration::from_secs(4);
const WORKERS: u16 = 66;
/// Processors of a worker and of a task, in thousandths.
const PROCESSORS: u64 = 16_000;
const ASKED: u64 = 1600;
/// Zones of the fleet if any are lost; each holds whole racks.
const ZONES: u16 = 3;
const RACK: u16 = 8;
/// Time from the first bad job to the first loss of a zone, and between two losses with and without
/// a cut.
const FIRST_LOSS: Duration = Duration::from_secs(2);
const LOSS_PERIOD: Duration = Duration::from_secs(6);
const CUT_PERIOD: Duration = Duration::from_secs(15);
/// Time between the loss of a zone and the next lives of its workers, and from the loss to the cut.
const ZONE_BACK: Duration = Duration::from_secs(1);
const CUT_AFTER: Duration = Duration::from_secs(3);
/// Length of a cut. It exceeds every lease.
const CUT_LENGTH: Duration = Duration::from_secs(9);
/// Cause of a call that times out.
const NO_ANSWER: &str = "no answer in time";
/// Longest delay of a worker's crash after the loss of its zone, in milliseconds.
const SPREAD_MS: u32 = 20;

/// What is played.
#[derive(Clone, Copy, Debug)]
struct Scene {
    seed: u64,
    /// Jobs with tasks that crash their workers.
    bad: u32,
    /// Tasks of each that do.
    tasks: u16,
    /// Time from such a task's start to the crash.
    delay: Duration,
    /// Share of the workers that crash by themselves every few seconds.
    flaky: f64,
    /// Share of the processors that other jobs ask for.
    load: f64,
    /// Losses of a zone, and whether each is followed by a cut.
    losses: u32,
    cut: bool,
}

/// What became of it.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    /// Lives of workers that ended under a bad task.
    taken: u32,
    /// Starts of the bad task with most, and starts beyond two after its third crash.
    most: u32,
    beyond: u32,
    /// Runs of harmless tasks that were lost.
    lost: u32,
    /// Harmless jobs: all, in time, given up.
    jobs: u32,
    timely: u32,
    given_up: u32,
    /// Bad jobs given up, and how long the last of them took.
    convicted: u32,
    latest: Duration,
    /// Longest time from the end of a harmless run with its zone to the task's next start, for
    /// short and for lasting jobs.
    waited: Duration,
    lasting_waited: Duration,
}

enum Event {
    Durable(u64, Duration),
    Answer(Incarnation, Run, Order, Result<OrderReply, Failure>),
    Looked(Incarnation, Result<PollReply, Failure>),
    See(Incarnation, Poll),
    Crash(Incarnation, bool),
    Lapse(Incarnation),
    Back(u16),
    LoseZone(u16),
    CrashInPlace(Incarnation),
    BackInPlace(Incarnation),
    Cut(u16, bool),
}

struct World {
    core: Core,
    now: Duration,
    scene: Scene,
    events: BTreeMap<(Duration, u64), Event>,
    number: u64,
    workers: BTreeMap<Incarnation, Worker>,
    places: BTreeMap<Incarnation, u16>,
    flaky: BTreeSet<u16>,
    /// Workers that were lost with their zone, and their next lives.
    successors: BTreeMap<Incarnation, Incarnation>,
    /// Zone that is cut off.
    cut: Option<u16>,
    /// Harmless tasks that were lost with their zone and do not run again yet, and since when.
    waiting: BTreeMap<(Arc<str>, u16), Duration>,
    /// Harmless jobs that are not over, and when they came.
    open: BTreeMap<Arc<str>, Duration>,
    bad: BTreeMap<Arc<str>, Duration>,
    /// Crashes under each bad task, and its starts since the third.
    crashes: BTreeMap<(Arc<str>, u16), (u32, u32, u32)>,
    rng: Pcg64,
    /// Draws for losses of zones, so that the other draws are the same without them.
    zone_rng: Pcg64,
    tally: Tally,
}

/// Plays deployments with 0, 1, 5 and 20 bad jobs.
pub fn run(mut args: Arguments) -> anyhow::Result<()> {
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(4);
    let delay: u32 = args.opt_value_from_str("--delay-ms")?.unwrap_or(10);
    let tasks: u16 = args.opt_value_from_str("--tasks")?.unwrap_or(1);
    let flaky: f64 = args.opt_value_from_str("--flaky")?.unwrap_or(0.0);
    let load: f64 = args.opt_value_from_str("--load")?.unwrap_or(0.6);
    let losses: u32 = args.opt_value_from_str("--zone-losses")?.unwrap_or(0);
    let cut = args.contains("--cut-off");
    println!(
        "bad jobs  workers taken  most starts  beyond  convicted  after s  runs lost  jobs  in time  given up  waited s  lasting s"
    );
    for bad in [0, 1, 5, 20] {
        let mut sum = Tally::default();
        for seed in 0..seeds {
            let scene = Scene {
                seed,
                bad,
                tasks,
                delay: delay * MS,
                flaky,
                load,
                losses,
                cut,
            };
            sum.add(World::new(scene).play());
        }
        let mean = |count: u32| f64::from(count) / f64::from(u32::try_from(seeds).unwrap_or(1));
        println!(
            "{bad:8}  {:13.1}  {:11}  {:6}  {:9.1}  {:7.1}  {:9.1}  {:4.0}  {:7.3}  {:8}  {:8.1}  {:9.1}",
            mean(sum.taken),
            sum.most,
            sum.beyond,
            mean(sum.convicted),
            sum.latest.as_secs_f64(),
            mean(sum.lost),
            mean(sum.jobs),
            f64::from(sum.timely) / f64::from(sum.jobs.max(1)),
            sum.given_up,
            sum.waited.as_secs_f64(),
            sum.lasting_waited.as_secs_f64(),
        );
    }
    Ok(())
}

impl Tally {
    fn add(&mut self, other: Self) {
        self.taken += other.taken;
        self.most = self.most.max(other.most);
        self.beyond += other.beyond;
        self.lost += other.lost;
        self.jobs += other.jobs;
        self.timely += other.timely;
        self.given_up += other.given_up;
        self.convicted += other.convicted;
        self.latest = self.latest.max(other.latest);
        self.waited = self.waited.max(other.waited);
        self.lasting_waited = self.lasting_waited.max(other.lasting_waited);
    }
}

fn step(count: u32) -> Step {
    Step {
        count,
        needs: Resources {
            processors: ASKED,
            memory: 1 << 30,
            accelerators: 0,
        },
        estimate: LENGTH,
        ..Step::default()
    }
}

fn make_job(id: &str, steps: Vec<Step>) -> Job {
    Job {
        id: id.into(),
        queue: "jobs/q/".into(),
        payload: "".into(),
        steps,
        schedule: None,
    }
}

fn capacity() -> Resources {
    Resources {
        processors: PROCESSORS,
        memory: 62 << 30,
        accelerators: 0,
    }
}

fn listed(id: &Incarnation, place: u16, zone: u16) -> ListedWorker {
    ListedWorker {
        incarnation: id.clone(),
        machine: Some(format!("m{place}").into()),
        service: "fleet".into(),
        address: ([10, 0, 0, 1], place + 1).into(),
        zone: format!("z{zone}").into(),
        capacity: capacity(),
        labels: ["a".into(), format!("r{}", place / RACK).into()].into(),
        draining: false,
        remaining: None,
    }
}

impl World {
    fn new(scene: Scene) -> Self {
        let now = Now {
            at: Duration::from_mins(1),
            wall: 60_000,
        };
        let mut core = Core::new(Tuning::default(), 5, LogState::default(), 1, now);
        core.set_config(Arc::new(Config {
            version: 1,
            queues: vec![Queue {
                host: "jobs".into(),
                prefix: "/q/".into(),
                policy: Policy {
                    service: "fleet".into(),
                    priority: 0,
                    attempts: 3,
                    extension: 2.0,
                    target: 1000 * MS,
                    advice: None,
                },
            }],
            ..Config::default()
        }));
        let mut world = Self {
            core,
            now: now.at,
            scene,
            events: BTreeMap::new(),
            number: 0,
            workers: BTreeMap::new(),
            places: BTreeMap::new(),
            flaky: BTreeSet::new(),
            successors: BTreeMap::new(),
            cut: None,
            waiting: BTreeMap::new(),
            open: BTreeMap::new(),
            bad: BTreeMap::new(),
            crashes: BTreeMap::new(),
            rng: Pcg64::seed_from_u64(scene.seed),
            zone_rng: Pcg64::seed_from_u64(!scene.seed),
            tally: Tally::default(),
        };
        for place in 0..WORKERS {
            if world.rng.random_bool(scene.flaky) {
                world.flaky.insert(place);
            }
            world.begin_life(place);
        }
        world
    }

    fn clock(&self) -> Now {
        Now {
            at: self.now,
            wall: u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.number += 1;
        self.events.insert((self.now + after, self.number), event);
    }

    fn begin_life(&mut self, place: u16) {
        self.number += 1;
        let name = format!("i-{place}-{}", self.number);
        // Lives under the same id are told apart by their start times.
        let born = (self.scene.losses > 0).then_some(self.clock().wall);
        self.begin_life_as(Incarnation::new(&name, born), place);
    }

    fn begin_life_as(&mut self, id: Incarnation, place: u16) {
        let worker = Worker::new(id.clone(), capacity(), 100, DisabledSafeguards::default());
        self.workers.insert(id.clone(), worker);
        self.places.insert(id.clone(), place);
        let (now, zone) = (self.clock(), self.zone_of(place));
        self.core.list_worker(listed(&id, place, zone), now);
        if self.flaky.contains(&place) {
            let after = self.rng.random_range(1000..8000) * MS;
            self.at(after, Event::Crash(id, false));
        }
    }

    fn zone_of(&self, place: u16) -> u16 {
        if self.scene.losses == 0 {
            return 0;
        }
        place / RACK % ZONES
    }

    fn is_cut(&self, id: &Incarnation) -> bool {
        self.cut.is_some() && self.cut == self.places.get(id).map(|place| self.zone_of(*place))
    }

    /// The same zone is lost each time.
    fn plan_losses(&mut self) {
        let zone = self.zone_rng.random_range(0..ZONES);
        let period = if self.scene.cut {
            CUT_PERIOD
        } else {
            LOSS_PERIOD
        };
        for number in 0..self.scene.losses {
            let lost = FIRST_LOSS + period * number;
            self.at(lost, Event::LoseZone(zone));
            if self.scene.cut {
                self.at(lost + CUT_AFTER, Event::Cut(zone, true));
                self.at(lost + CUT_AFTER + CUT_LENGTH, Event::Cut(zone, false));
            }
        }
    }

    fn play(mut self) -> Tally {
        // Six lasting jobs hold a quarter of the load.
        for number in 0..6 {
            let lasting = Step {
                long_running: true,
                ..step(TASKS)
            };
            self.submit(&format!("last{number}"), lasting);
        }
        let begin = self.now;
        self.pass(LEAD);
        self.plan_losses();
        for number in 0..self.scene.bad {
            let id: Arc<str> = format!("bad{number}").into();
            self.bad.insert(id.clone(), self.now);
            self.submit(&id, step(TASKS));
            self.pass(200 * MS);
        }
        self.pass(Duration::from_secs(40).saturating_sub(self.now.saturating_sub(begin)));
        self.scene.load = 0.0;
        self.pass(TAIL);
        for (task, since) in std::mem::take(&mut self.waiting) {
            self.note_wait(&task.0, since);
        }
        self.tally
    }

    fn submit(&mut self, id: &str, step: Step) {
        self.number += 1;
        let (ticket, now) = (RequestToken(self.number), self.clock());
        self.core.submit(make_job(id, vec![step]), ticket, now);
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += POLL;
            self.arrive();
            while let Some(first) = self.events.first_entry()
                && first.key().0 <= self.now
            {
                let event = first.remove();
                self.happen(event);
            }
            self.advance_workers();
            let now = self.clock();
            self.core.note_complete_listing(self.now);
            for effect in self.core.advance(now) {
                self.carry_out(effect);
            }
            self.count_ended();
        }
    }

    fn advance_workers(&mut self) {
        let mut lapsed = Vec::new();
        for (id, worker) in &mut self.workers {
            let before: Vec<(TaskName, u32)> = worker.runs.keys().cloned().collect();
            let done = worker.advance(self.now);
            let gone = before.into_iter();
            let gone = gone.filter(|run| !worker.runs.contains_key(run) && !done.contains(run));
            lapsed.extend(gone.map(|(name, _)| (id.clone(), name)));
        }
        for (id, name) in lapsed {
            if self.is_cut(&id) {
                self.note_lost(&name);
            }
        }
    }

    fn is_bad(&self, job: &str, index: u16) -> bool {
        job.starts_with("bad") && index < self.scene.tasks
    }

    /// Notes that a task was lost with its zone.
    fn note_lost(&mut self, name: &TaskName) {
        if !name.job.starts_with("bad") {
            let task = (name.job.clone(), name.index);
            self.waiting.entry(task).or_insert(self.now);
        }
    }

    fn note_wait(&mut self, job: &str, since: Duration) {
        let waited = self.now.saturating_sub(since);
        let longest = if job.starts_with("last") {
            &mut self.tally.lasting_waited
        } else {
            &mut self.tally.waited
        };
        *longest = waited.max(*longest);
    }

    /// Short jobs come at a rate that makes up the load.
    fn arrive(&mut self) {
        #[expect(clippy::cast_precision_loss, reason = "some thousand processors")]
        let room = (u64::from(WORKERS) * PROCESSORS) as f64;
        #[expect(clippy::cast_precision_loss, reason = "some thousand processors")]
        let job = (u64::from(TASKS) * ASKED) as f64 * LENGTH.as_secs_f64();
        let rate = self.scene.load * room / job;
        if self.rng.random_bool((rate * POLL.as_secs_f64()).min(1.0)) {
            self.number += 1;
            let id: Arc<str> = format!("short{}", self.number).into();
            self.open.insert(id.clone(), self.now);
            self.submit(&id, step(TASKS));
        }
    }

    fn count_ended(&mut self) {
        let core = &self.core;
        let over = |id: &Arc<str>| match core.state(id) {
            Reply::State(State::Over(outcome)) => Some(outcome),
            _ => None,
        };
        let (now, tally) = (self.now, &mut self.tally);
        self.open.retain(|id, came| {
            let Some(outcome) = over(id) else {
                return true;
            };
            tally.jobs += 1;
            tally.timely += u32::from(outcome == Outcome::Complete && now <= *came + OBJECTIVE);
            tally.given_up += u32::from(outcome == Outcome::Failed);
            false
        });
        let open = &self.open;
        self.waiting
            .retain(|(job, _), _| job.starts_with("last") || open.contains_key(job));
        self.bad.retain(|id, came| {
            let ended = over(id).is_some();
            if ended {
                tally.convicted += 1;
                tally.latest = tally.latest.max(now.saturating_sub(*came));
            }
            !ended
        });
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Append(position, _) => {
                let sent = self.now;
                self.at(6 * MS, Event::Durable(position, sent));
            }
            Effect::Order(target, run, order) => {
                self.obey(target.incarnation, target.fence, run, order);
            }
            Effect::Poll(target, look) => self.at(2 * MS, Event::See(target.incarnation, look)),
            Effect::Reply(..)
            | Effect::Advise(_)
            | Effect::MachineOrder(..)
            | Effect::ListMachines
            | Effect::ConfirmOwnership => {}
        }
    }

    fn obey(&mut self, id: Incarnation, fence: u64, run: Run, order: Order) {
        let now = self.now;
        if self.is_cut(&id) {
            let said = Err(Failure::unknown_effect("order", &id, NO_ANSWER));
            return self.at(ORDER_TIMEOUT_MIN, Event::Answer(id, run, order, said));
        }
        let length = if let Order::Start(start) = &order {
            self.note_start(&id, &start.name.job, start.name.index);
            self.length_of(&start.name)
        } else {
            Duration::ZERO
        };
        let said = match self.workers.get_mut(&id) {
            Some(worker) => Ok(worker.order(fence, &order, step(1).needs, length, now)),
            None => Err(Failure::unknown_effect("order", &id, "connection refused")),
        };
        if let (Order::Start(start), Ok(OrderReply::Done(_))) = (&order, &said) {
            let task = (start.name.job.clone(), start.name.index);
            if let Some(since) = self.waiting.remove(&task) {
                self.note_wait(&task.0, since);
            }
        }
        self.at(4 * MS, Event::Answer(id, run, order, said));
    }

    /// A task that crashes its worker runs until then.
    fn length_of(&mut self, name: &TaskName) -> Duration {
        if name.job.starts_with("last") {
            return Duration::from_hours(1);
        }
        let length = LENGTH.mul_f64(self.rng.random_range(0.6..1.4));
        if self.is_bad(&name.job, name.index) {
            length.max(self.scene.delay * 2)
        } else {
            length
        }
    }

    fn note_start(&mut self, id: &Incarnation, job: &Arc<str>, index: u16) {
        if !self.is_bad(job, index) || !self.workers.contains_key(id) {
            return;
        }
        let task = (job.clone(), index);
        let (starts, crashes, since) = self.crashes.entry(task).or_default();
        *starts += 1;
        if *crashes >= 3 {
            *since += 1;
            self.tally.beyond += u32::from(*since > 2);
        }
        *crashes += 1;
        self.tally.most = self.tally.most.max(*starts);
        self.at(self.scene.delay, Event::Crash(id.clone(), true));
    }

    fn crash(&mut self, id: &Incarnation, taken: bool) {
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        self.tally.taken += u32::from(taken);
        let runs = worker.runs.keys();
        let harmless = runs.filter(|(name, _)| !self.is_bad(&name.job, name.index));
        self.tally.lost += u32::try_from(harmless.count()).unwrap_or(0);
        let place = self.places[id];
        self.at(LAPSE, Event::Lapse(id.clone()));
        self.at(BACK, Event::Back(place));
    }

    fn plan_zone_crashes(&mut self, zone: u16) {
        let workers = self.workers.keys();
        let lost = workers.filter(|id| self.zone_of(self.places[*id]) == zone);
        for id in lost.cloned().collect::<Vec<_>>() {
            let after = self.zone_rng.random_range(0..SPREAD_MS) * MS;
            self.at(after, Event::CrashInPlace(id));
        }
    }

    fn crash_in_place(&mut self, id: Incarnation) {
        let Some(worker) = self.workers.remove(&id) else {
            return;
        };
        for (name, _) in worker.runs.keys() {
            self.note_lost(name);
        }
        self.at(ZONE_BACK, Event::BackInPlace(id));
    }

    fn begin_next_life(&mut self, id: Incarnation) {
        let place = self.places[&id];
        let next = Incarnation::new(id.id(), Some(self.clock().wall));
        self.successors.insert(id, next.clone());
        self.begin_life_as(next, place);
    }

    fn happen(&mut self, event: Event) {
        let now = self.clock();
        match event {
            Event::Durable(position, sent) => self.core.note_durable(position, sent, now),
            Event::Answer(id, run, order, said) => {
                self.core.handle_order_reply(&id, run, &order, said, now);
            }
            Event::See(id, look) => self.see(id, &look),
            Event::Looked(id, looked) => self.core.handle_poll_reply(&id, looked, now),
            Event::Crash(id, taken) => self.crash(&id, taken),
            Event::Lapse(id) => self.core.unlist_worker(&id, now),
            Event::Back(place) => self.begin_life(place),
            Event::LoseZone(zone) => self.plan_zone_crashes(zone),
            Event::CrashInPlace(id) => self.crash_in_place(id),
            Event::BackInPlace(id) => self.begin_next_life(id),
            Event::Cut(zone, begins) => self.cut = begins.then_some(zone),
        }
    }

    /// A look is answered at once; the workers of the platform would wait for an end.
    fn see(&mut self, id: Incarnation, look: &Poll) {
        if self.is_cut(&id) {
            let looked = Err(Failure::unknown_effect("look", &id, NO_ANSWER));
            return self.at(look.wait + POLL_TIMEOUT_MIN, Event::Looked(id, looked));
        }
        let fence = self.core.epoch();
        let looked = match (self.workers.get_mut(&id), self.successors.get(&id)) {
            (Some(worker), _) => Ok(worker.poll(fence, look, self.now)),
            (None, Some(next)) => Ok(PollReply::OtherIncarnation(Some(next.clone()))),
            (None, None) => Err(Failure::unknown_effect("look", &id, "connection refused")),
        };
        let wait = if matches!(looked, Ok(PollReply::Report { .. })) {
            look.wait.min(100 * MS)
        } else {
            2 * MS
        };
        self.at(wait, Event::Looked(id, looked));
    }
}
