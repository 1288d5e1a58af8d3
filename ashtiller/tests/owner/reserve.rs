//! Capacity that long-running work leaves to short work, and the rule on long-running starts that
//! has precedence over it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ashtiller::resources::Resources;
use ashtiller::workflow::agents::EndReason;
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::Step;
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::record::{End, LogRecord, Run, Task};
use ashtiller::workflow::snapshot;
use ashtiller::workflow::tuning::Tuning;

use crate::driver::{Driver, MS, job, listed, policy, step};

const SECOND: Duration = Duration::from_secs(1);

fn amounts(processors: u64, gibibytes: u64, accelerators: u32) -> Resources {
    Resources {
        processors: processors * 1000,
        memory: gibibytes << 30,
        accelerators,
    }
}

fn short(count: u32, needs: Resources) -> Step {
    Step {
        needs,
        ..step(count)
    }
}

fn lasting(count: u32, needs: Resources) -> Step {
    Step {
        long_running: true,
        ..short(count, needs)
    }
}

fn worker(number: u16) -> ListedWorker {
    ListedWorker {
        capacity: amounts(64, 256, 0),
        ..listed(number)
    }
}

fn tuning(capacity_reserve: bool) -> Tuning {
    let mut tuning = Tuning::default();
    tuning.switches.capacity_reserve = capacity_reserve;
    // These tests show what is held back, for as long as they run.
    tuning.reserve_hold = 3600 * SECOND;
    tuning
}

fn open_with(tuning: &Tuning, records: &[LogRecord], workers: Vec<ListedWorker>) -> Driver {
    let mut driver = Driver::with_tuning(tuning, records, 0, policy());
    driver.core.list_all(workers, driver.now);
    driver.run_for(100 * MS);
    driver
}

fn open(count: u16) -> Driver {
    open_with(&tuning(true), &[], (0..count).map(worker).collect())
}

/// Runs a short job to its end.
fn run_short(driver: &mut Driver, id: &str, step: Step) {
    let known = driver.starts().len();
    driver.submit(job(id, vec![step]));
    driver.run_for(300 * MS);
    let starts = driver.starts();
    for (number, (worker, run)) in (1..).zip(&starts[known..]) {
        driver.end(worker, *run, EndReason::Done, 1000 * known as u64 + number);
    }
    driver.run_for(200 * MS);
}

/// Runs a short job in two waves, so that its queue has been known for a whole window.
fn run_waves(driver: &mut Driver, step: &Step) {
    run_short(driver, "first-wave", step.clone());
    driver.run_for(9 * SECOND);
    run_short(driver, "second-wave", step.clone());
    driver.run_for(8 * SECOND);
}

/// Returns the number of starts of a job's tasks.
fn started(driver: &Driver, id: &str) -> usize {
    let number = driver.core.log_state().find(id).expect("accepted");
    let starts = driver.starts();
    starts
        .iter()
        .filter(|(_, run)| run.task.job == number)
        .count()
}

/// Counts the workers on which a task would fit.
fn workers_with(driver: &Driver, needs: &Resources) -> usize {
    let workers = driver.core.workers().values();
    let fitting = workers.filter(|it| needs.fits_within(&it.pool.free()));
    fitting.count()
}

/// Guards against short jobs that find all capacity taken by long-running work.
#[test]
fn long_running_work_leaves_room_for_a_burst_seen_before() {
    for (reserves, room) in [(true, 10), (false, 0)] {
        let workers = (0..10).map(worker).collect();
        let mut driver = open_with(&tuning(reserves), &[], workers);
        run_waves(&mut driver, &short(10, amounts(8, 1, 0)));
        driver.submit(job("lasts", vec![lasting(60, amounts(16, 1, 0))]));
        driver.run_for(4 * SECOND);
        // 13 gaps are reserved, and a worker that is filled up loses two of 20.
        assert_eq!(started(&driver, "lasts"), if reserves { 33 } else { 40 });
        driver.submit(job("burst", vec![short(10, amounts(8, 1, 0))]));
        driver.run_for(100 * MS);
        assert_eq!(started(&driver, "burst"), room);
    }
}

/// Guards against long-running tasks that wait beside room which fits them once: the platform asks
/// for a start within 3 s if there is capacity.
#[test]
fn a_held_task_starts_within_seconds_where_it_fits_once() {
    let workers = (0..10).map(worker).collect();
    let mut tuning = tuning(true);
    tuning.reserve_hold = Tuning::default().reserve_hold;
    let mut driver = open_with(&tuning, &[], workers);
    run_waves(&mut driver, &short(10, amounts(8, 1, 0)));
    driver.submit(job("lasts", vec![lasting(60, amounts(16, 1, 0))]));
    driver.run_for(SECOND);
    assert_eq!(started(&driver, "lasts"), 33);
    driver.run_for(SECOND);
    assert_eq!(started(&driver, "lasts"), 40);
}

/// Guards against a reserve that changes anything while there is capacity for all.
#[test]
fn nothing_changes_while_capacity_is_plentiful() {
    let starts = [true, false].map(|reserves| {
        let mut driver = open_with(&tuning(reserves), &[], (0..16).map(worker).collect());
        run_short(&mut driver, "before", short(10, amounts(8, 1, 0)));
        for number in 0..7 {
            driver.submit(job(
                &format!("lasts-{number}"),
                vec![lasting(4, amounts(16, 1, 0))],
            ));
            driver.run_for(50 * MS);
            driver.submit(job(
                &format!("short-{number}"),
                vec![short(2, amounts(3, 1, 0))],
            ));
            driver.run_for(50 * MS);
        }
        driver.starts()
    });
    assert_eq!(starts[0].len(), 10 + 28 + 14);
    assert_eq!(starts[0], starts[1]);
}

/// A sequence of pseudo-random numbers.
struct Draws(u64);

impl Draws {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }

    fn count(&mut self, limit: u64) -> u32 {
        u32::try_from(self.below(limit)).expect("small")
    }
}

/// Returns the long-running steps that wait, by number of their jobs, although an eligible worker
/// has the resources of a task free twice over, each with such workers.
fn passed_over(driver: &Driver) -> BTreeSet<(u32, Incarnation)> {
    let mut found = BTreeSet::new();
    let state = driver.core.log_state();
    let open = eligible(driver);
    for (number, job) in &state.jobs {
        let steps = job.occurrences.get(&0).into_iter().flat_map(|it| &it.steps);
        for (spec, step) in job.job.steps.iter().zip(steps) {
            if !spec.long_running || step.waiting == 0 {
                continue;
            }
            let twice = spec.needs.plus(&spec.needs);
            let workers = driver.core.workers().values();
            let eligible = workers.filter(|it| open.contains(it.incarnation()));
            let roomy = eligible.filter(|it| twice.fits_within(&it.pool.free()));
            found.extend(roomy.map(|it| (*number, it.incarnation().clone())));
        }
    }
    found
}

/// Guards against any reserve that delays a long-running task for which a worker has processors,
/// memory and accelerators free twice over. The platform counts that as a failure after 3 s, so
/// this rule has no exception: not for the first start, nor for one after a failure or a loss.
#[test]
fn a_long_running_task_starts_at_once_where_it_fits_twice() {
    let mut held = 0;
    for seed in 0..60 {
        let mut draws = Draws(seed);
        let workers = (0..10).map(|number| ListedWorker {
            capacity: amounts(
                16 + draws.below(80),
                16 + draws.below(240),
                draws.count(2) * 8,
            ),
            ..listed(number)
        });
        let workers: Vec<ListedWorker> = workers.collect();
        let mut driver = open_with(&tuning(true), &[], workers.clone());
        let mut ends: BTreeMap<Incarnation, u64> = BTreeMap::new();
        let mut ended = Vec::new();
        for round in 0..25 {
            for number in 0..draws.below(3) {
                let needs = amounts(
                    1 + draws.below(16),
                    1 + draws.below(64),
                    draws.count(4) / 3 * 2,
                );
                let mut step = short(1 + draws.count(12), needs);
                step.spread = draws.count(3);
                step.long_running = draws.below(2) == 0;
                step.spread *= u32::from(!step.long_running);
                step.label = (draws.below(4) == 0 && !step.long_running).then(|| "r1".into());
                driver.submit(job(&format!("{round}-{number}"), vec![step]));
            }
            let live = |(_, run): &(Incarnation, Run)| driver.core.log_state().is_live(*run);
            let running: Vec<_> = driver.starts().into_iter().filter(live).collect();
            for (id, run) in running {
                if draws.below(4) > 0 || ended.contains(&run) {
                    continue;
                }
                ended.push(run);
                let step = &driver.core.log_state().jobs[&run.task.job].job.steps[0];
                let how = match step.long_running {
                    true if draws.below(3) > 0 => continue,
                    true => EndReason::Failed,
                    false => EndReason::Done,
                };
                let number = ends.entry(id.clone()).or_insert(0);
                *number += 1;
                driver.end(&id, run, how, *number);
            }
            driver.run_for(300 * MS);
            // The end of a quarantine is no event: the next round follows within 200 ms.
            let mut found = passed_over(&driver);
            if !found.is_empty() {
                driver.run_for(250 * MS);
                let later = passed_over(&driver);
                found.retain(|it| later.contains(it));
            }
            assert!(found.is_empty(), "seed {seed}, round {round}: {found:?}");
            held += driver.core.held_back_steps();
        }
    }
    assert!(held > 100, "{held} rounds with a task that is held back");
}

/// Returns the workers that may get runs.
fn eligible(driver: &Driver) -> Vec<Incarnation> {
    let dump = driver.core.dump(driver.now);
    let workers = dump["workers"].as_array().expect("workers").iter();
    let open = workers.filter(|it| it["gate"] == "open");
    open.map(|it| it["id"].as_str().expect("an id").into())
        .collect()
}

/// Guards against tasks that no other worker may take, and gangs, that wait for the reserve.
#[test]
fn bound_tasks_and_gangs_start_in_the_reserve() {
    let needs = amounts(40, 1, 0);
    let first = Run {
        task: Task {
            job: 0,
            occurrence: 0,
            step: 0,
            index: 8,
        },
        number: 1,
    };
    // The last task of the step is bound to a worker by a start in doubt. Two gaps are reserved.
    let bound: Incarnation = "w7".into();
    let records = [
        LogRecord::Accepted(
            Box::new(job("lasts", vec![lasting(9, needs)])),
            policy(),
            1_000_000,
        ),
        LogRecord::Placed(first, bound.clone(), "".into()),
        LogRecord::StartUnconfirmed(first, bound.clone()),
        LogRecord::Ended(first, End::Lost, "".into()),
        learn(&short(40, amounts(64, 1, 0))),
    ];
    let workers = || (0..8).map(worker).collect();
    let mut driver = open_with(&tuning(true), &records, workers());
    driver.run_for(SECOND);
    let starts = driver.starts();
    assert_eq!(starts.len(), 7, "{starts:?}");
    let on_bound = starts.iter().filter(|(id, _)| *id == bound);
    let on_bound: Vec<Task> = on_bound.map(|(_, run)| run.task).collect();
    assert_eq!(on_bound, [first.task]);
    for (gang, placed) in [(true, 8), (false, 6)] {
        let mut driver = open_with(&tuning(true), &records[4..], workers());
        let step = Step {
            gang,
            ..lasting(8, needs)
        };
        driver.submit(job("lasts", vec![step]));
        driver.run_for(SECOND);
        assert_eq!(started(&driver, "lasts"), placed);
    }
}

/// Returns the record of an owner that has seen this short step run.
fn learn(step: &Step) -> LogRecord {
    let mut driver = open(40);
    run_short(&mut driver, "seen", step.clone());
    driver.run_for(4 * SECOND);
    let records = driver.records.iter().rev();
    let mut learned = records.filter(|it| matches!(it, LogRecord::DemandLearned(_)));
    learned.next().expect("a record of the demand").clone()
}

/// Guards against a new owner that gives the reserve away before it has seen a short job.
#[test]
fn a_new_owner_knows_the_demand_before_its_first_placement() {
    let record = learn(&short(10, amounts(8, 1, 0)));
    let mut state = LogState::default();
    state.apply(&record, Duration::ZERO);
    let bytes = snapshot::encode(&state).expect("encodes");
    let restored = snapshot::decode(&bytes).expect("decodes");
    let LogRecord::DemandLearned(bytes) = &record else {
        panic!("no record of the demand")
    };
    assert_eq!(restored.learned_demand(), bytes);
    let waiting = LogRecord::Accepted(
        Box::new(job("lasts", vec![lasting(60, amounts(16, 1, 0))])),
        policy(),
        1_000_000,
    );
    let mut later = bytes.clone();
    later[0] = 200;
    // The record of a later version is ignored, as is one that is cut off.
    let later = LogRecord::DemandLearned(later);
    let cut = LogRecord::DemandLearned(bytes[..bytes.len() / 2].to_vec());
    for (learned, placed) in [(record, 33), (later, 40), (cut, 40)] {
        let workers = (0..10).map(worker).collect();
        let records = [waiting.clone(), learned];
        let mut driver = open_with(&tuning(true), &records, workers);
        driver.run_for(SECOND);
        assert_eq!(started(&driver, "lasts"), placed);
    }
}

/// Guards against a record of the demand with every entry, or one that causes entries.
#[test]
fn the_demand_is_recorded_rarely_and_only_when_it_changes() {
    let mut driver = open(10);
    let began = driver.now.at;
    for number in 0..8 {
        run_short(
            &mut driver,
            &format!("{number}"),
            short(10, amounts(8, 1, 0)),
        );
    }
    let learned = |driver: &Driver| {
        let records = driver.records.iter();
        let learned = records.filter(|it| matches!(it, LogRecord::DemandLearned(_)));
        learned.count()
    };
    let span = driver.now.at.saturating_sub(began);
    let limit = usize::try_from(span.as_secs() / 3 + 1).expect("small");
    assert!((1..=limit).contains(&learned(&driver)), "{span:?}");
    assert!(LogRecord::DemandLearned(Vec::new()).may_wait());
    // Without work, nothing changes until the peak leaves the window.
    let before = learned(&driver);
    driver.run_for(6 * SECOND);
    assert!(learned(&driver) <= before + 1);
}

/// Guards against workers that are kept free of short runs for a task that the reserve holds back.
#[test]
fn no_worker_is_emptied_for_a_task_that_is_held_back() {
    let mut driver = open(8);
    run_short(&mut driver, "before", short(16, amounts(16, 1, 0)));
    // Long-running work takes all beyond the reserve of 8 gaps; short runs use most of the rest.
    driver.submit(job("fills-up", vec![lasting(60, amounts(16, 1, 0))]));
    driver.run_for(SECOND);
    driver.submit(job("short", vec![short(8, amounts(15, 1, 0))]));
    driver.run_for(200 * MS);
    assert_eq!(started(&driver, "short"), 8);
    let placed = started(&driver, "fills-up");
    for _ in 0..60 {
        driver.run_for(200 * MS);
        let dump = driver.core.dump(driver.now);
        assert!(dump["kept"].is_null(), "{}", dump["kept"]);
    }
    assert_eq!(started(&driver, "fills-up"), placed);
}

/// Guards against workers under evacuation that count as room for short jobs.
#[test]
fn only_workers_that_may_get_runs_are_counted() {
    let inside = |number| ListedWorker {
        zone: "olten".into(),
        ..worker(number)
    };
    let mut tuning = tuning(true);
    tuning.evacuation = Some(5 * SECOND);
    let workers = (0..10).map(worker).chain((10..20).map(inside));
    let mut driver = open_with(&tuning, &[], workers.collect());
    run_waves(&mut driver, &short(10, amounts(8, 1, 0)));
    driver.evacuated = Some([(Arc::from("olten"), 17)].into());
    driver.run_for(100 * MS);
    driver.submit(job("lasts", vec![lasting(60, amounts(16, 1, 0))]));
    driver.run_for(SECOND);
    assert_eq!(started(&driver, "lasts"), 33);
}

/// Guards against gaps that lie on too few workers, or on those without a label that short steps
/// ask for.
#[test]
fn gaps_lie_where_a_recent_step_could_use_them() {
    // Ten workers, two on each rack; a worker takes four long-running tasks.
    let spread = Step {
        spread: 1,
        ..short(2, amounts(8, 1, 0))
    };
    let labelled = Step {
        label: Some("r4".into()),
        ..short(2, amounts(8, 1, 0))
    };
    let rack = Step {
        rack: Some("r4".into()),
        ..short(2, amounts(8, 1, 0))
    };
    for shape in [spread, labelled, rack] {
        let mut driver = open(10);
        run_short(&mut driver, "before", shape.clone());
        driver.submit(job("lasts", vec![lasting(60, amounts(16, 1, 0))]));
        driver.run_for(SECOND);
        assert!(started(&driver, "lasts") >= 38);
        assert!(started(&driver, "lasts") < 40);
        driver.submit(job("burst", vec![shape.clone()]));
        driver.run_for(100 * MS);
        assert_eq!(started(&driver, "burst"), 2, "{shape:?}");
        if let Some(rack) = &shape.rack {
            let (id, _) = driver.starts().last().expect("a start").clone();
            let worker = &driver.core.workers()[&id];
            assert!(worker.listed.labels.contains(rack));
        }
    }
}

/// Guards against gaps without the memory or the accelerators of the short tasks.
#[test]
fn gaps_have_the_memory_and_the_accelerators_of_short_tasks() {
    let accelerated = |number| ListedWorker {
        capacity: amounts(64, 256, 8),
        ..worker(number)
    };
    let shapes = [
        (amounts(1, 64, 0), amounts(1, 64, 0)),
        (amounts(1, 1, 2), amounts(1, 1, 2)),
    ];
    for (needs, lasts) in shapes {
        let workers = (0..10).map(accelerated).collect();
        let mut driver = open_with(&tuning(true), &[], workers);
        run_short(&mut driver, "before", short(6, needs));
        driver.submit(job("lasts", vec![lasting(60, lasts)]));
        driver.run_for(SECOND);
        let room = workers_with(&driver, &needs);
        assert!((6..=10).contains(&room), "{room} of {needs}");
    }
}

/// Guards against a reserve for tasks that no worker can ever run.
#[test]
fn tasks_that_fit_no_worker_are_not_reserved_for() {
    let mut driver = open(10);
    driver.submit(job("huge", vec![short(10, amounts(65, 1, 0))]));
    let unknown = Step {
        label: Some("unknown".into()),
        ..short(10, amounts(8, 1, 0))
    };
    driver.submit(job("nowhere", vec![unknown]));
    driver.run_for(SECOND);
    driver.submit(job("lasts", vec![lasting(40, amounts(16, 1, 0))]));
    driver.run_for(SECOND);
    assert_eq!(started(&driver, "lasts"), 40);
}

/// What came of waves of short jobs beside long-running work that always asks for more.
struct Waves {
    /// Waits of short tasks for a worker, in increasing order.
    waits: Vec<Duration>,
    /// Mean number of long-running tasks with a worker.
    lasting: f64,
}

/// Runs waves with a period of 12 s and bursts of 4 s on 16 workers for 60 s. Short tasks take 0.8 s.
/// After the first wave, 20 long-running tasks more than fit wait at any time; each ends after 20 s.
fn run_contended(reserves: bool) -> Waves {
    const TICK: Duration = Duration::from_millis(50);
    let mut tuning = tuning(reserves);
    // Without a reserve, most of the short jobs would be refused.
    tuning.switches.admission_control = false;
    let mut driver = open_with(&tuning, &[], (0..16).map(worker).collect());
    let mut numbers: BTreeMap<Incarnation, u64> = BTreeMap::new();
    let mut submitted: BTreeMap<u32, Duration> = BTreeMap::new();
    let mut running: Vec<(Duration, Incarnation, Run)> = Vec::new();
    let (mut waits, mut known, mut job_count) = (Vec::new(), 0, 0);
    let (mut lasting_sum, mut ticks) = (0.0, 0.0);
    let began = driver.now.at;
    while driver.now.at < began + 60 * SECOND {
        let elapsed = driver.now.at.saturating_sub(began);
        let waiting = driver.core.summarize_waits(driver.now)[0].1.tasks;
        if waiting < 20 && elapsed >= 12 * SECOND {
            job_count += 1;
            let step = lasting(8, amounts(16, 1, 0));
            driver.submit(job(&format!("lasts-{job_count}"), vec![step]));
        }
        let interval = if elapsed.as_secs() % 12 < 4 {
            200
        } else {
            1000
        };
        if elapsed.as_millis() / interval > elapsed.saturating_sub(TICK).as_millis() / interval {
            job_count += 1;
            let id = format!("short-{job_count}");
            driver.submit(job(&id, vec![short(4, amounts(8, 1, 0))]));
            driver.run_for(35 * MS);
            let number = driver.core.log_state().find(&id).expect("accepted");
            submitted.insert(number, driver.now.at.saturating_sub(35 * MS));
        }
        driver.run_for(TICK.saturating_sub(35 * MS));
        let now = driver.now.at;
        let starts = driver.starts();
        for (id, run) in &starts[known..] {
            let since = submitted.get(&run.task.job);
            waits.extend(since.map(|since| now.saturating_sub(*since)));
            let span = if since.is_some() {
                800 * MS
            } else {
                20 * SECOND
            };
            running.push((now + span, id.clone(), *run));
        }
        known = starts.len();
        let is_over = |it: &(Duration, Incarnation, Run)| it.0 <= now;
        let over: Vec<_> = running.iter().filter(|it| is_over(it)).cloned().collect();
        running.retain(|it| !is_over(it));
        for (_, id, run) in over {
            let number = numbers.entry(id.clone()).or_insert(0);
            *number += 1;
            let is_short = submitted.contains_key(&run.task.job);
            let how = if is_short {
                EndReason::Done
            } else {
                EndReason::Stopped
            };
            driver.end(&id, run, how, *number);
        }
        let short = |it: &&(Duration, Incarnation, Run)| submitted.contains_key(&it.2.task.job);
        let lasts = running.len() - running.iter().filter(short).count();
        #[expect(clippy::cast_precision_loss, reason = "small counts")]
        let lasts = lasts as f64;
        if elapsed >= 12 * SECOND {
            lasting_sum += lasts;
            ticks += 1.0;
        }
    }
    waits.sort_unstable();
    Waves {
        waits,
        lasting: lasting_sum / ticks,
    }
}

/// Guards against waves of short jobs that wait behind long-running work on a full fleet, and
/// against a reserve that costs more long-running work than the short work needs.
#[test]
fn short_jobs_in_waves_start_soon_beside_long_running_work() {
    let mean = |waits: &[Duration]| {
        waits.iter().sum::<Duration>() / u32::try_from(waits.len()).expect("small")
    };
    let [with, without] = [true, false].map(run_contended);
    let late = |waves: &Waves| waves.waits[waves.waits.len() * 95 / 100];
    assert!(mean(&with.waits) <= 100 * MS, "{:?}", mean(&with.waits));
    assert!(late(&with) <= 300 * MS, "{:?}", late(&with));
    assert!(mean(&without.waits) > SECOND, "{:?}", mean(&without.waits));
    // The waves need 160 processors of 1024 at their peaks.
    assert!(with.lasting > 0.78 * without.lasting, "{}", with.lasting);
}

/// Guards against a start that waits for a full round when capacity for two tasks is freed: with
/// 600 waiting steps, these rounds are 60 ms and more apart.
#[test]
fn a_task_that_was_held_back_starts_at_once_where_two_fit() {
    let mut driver = open(10);
    run_short(&mut driver, "before", short(40, amounts(8, 1, 0)));
    driver.submit(job("lasts", vec![lasting(60, amounts(16, 1, 0))]));
    driver.run_for(SECOND);
    for number in 0..600 {
        let step = short(1, amounts(17, 1, 0));
        driver.submit(job(&format!("short-{number}"), vec![step]));
    }
    driver.run_for(5 * SECOND);
    let placed = started(&driver, "lasts");
    assert_eq!((placed, driver.core.held_back_steps()), (30, 1));
    for (number, moment) in (1..=4).zip([0, 35, 70, 105]) {
        driver.run_for(500 * MS + moment * MS);
        let (id, run) = driver.starts()[40 + number].clone();
        driver.end(&id, run, EndReason::Stopped, 100 + number as u64);
        driver.run_for(40 * MS);
        assert_eq!(started(&driver, "lasts"), placed + number);
    }
}
