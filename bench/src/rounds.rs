//! What one placement round costs an owner whose workers are full, and what the record of demand
//! costs. Run it with switches on and off to get the cost of the parts that they control.

use std::fmt::Write;
use std::hint::black_box;
use std::time::{Duration, Instant};

use anyhow::Context;
use ashtiller::resources::Resources;
use ashtiller::workflow::job::{Job, Sharing, Step};
use ashtiller::workflow::load::account::{
    Capacity, CapacityReading, DemandKey, LoadAccount, Usage, WaitingReading, WorkClass,
};
use ashtiller::workflow::switches::Switches;
use ashtiller::workflow::tuning::Tuning;
use pico_args::Arguments;

use crate::decisions::Fleet;

const MS: Duration = Duration::from_millis(1);
const GB: u64 = 1 << 30;
/// Capacity of a worker.
const CAPACITY: Resources = resources(64_000, 256);
/// Part of it that is left free: no waiting task fits there.
const FREE: Resources = resources(6_000, 10);
/// Time for jobs to run before the measurement, so that what is learned has been learned.
const WARM_UP: Duration = Duration::from_secs(10);
/// Time for all tasks to end or to start: many rounds.
const SETTLE: Duration = Duration::from_secs(5);
/// Steps of time after a round. A round follows the last one after 200 ms. The owner's pass over
/// all workers, due 20 ms after the one before, falls in other steps.
const STEPS_MS: [u32; 9] = [20, 40, 60, 80, 100, 120, 140, 185, 200];
/// Repetitions of what takes microseconds.
const REPEAT: u32 = 1000;
/// Accounts whose memory is measured.
const ACCOUNTS: usize = 2000;

const fn resources(processors: u64, gigabytes: u64) -> Resources {
    Resources {
        processors,
        memory: gigabytes * GB,
        accelerators: 0,
    }
}

/// `bench rounds`.
pub fn run(mut args: Arguments) -> anyhow::Result<()> {
    let rounds: usize = args.opt_value_from_str("--rounds")?.unwrap_or(40);
    let off: Option<String> = args.opt_value_from_str("--off")?;
    let mut tuning = Tuning::default();
    for name in off.iter().flat_map(|names| names.split(',')) {
        turn_off(&mut tuning.switches, name)?;
    }
    let sizes = match args.opt_value_from_str("--workers")? {
        Some(workers) => vec![workers],
        None => vec![350, 1000, 3000],
    };
    // First, since memory that the fleets have freed would be used again.
    show_account()?;
    println!("\nswitched off: {}", off.as_deref().unwrap_or("none"));
    println!("workers  jobs  waiting  round us: median     p95  other us  load us  keys");
    for workers in sizes {
        for jobs in [0, 300, 2000] {
            println!("{}", measure(workers, jobs, rounds, &tuning)?);
        }
    }
    Ok(())
}

fn turn_off(switches: &mut Switches, name: &str) -> anyhow::Result<()> {
    let switch = match name {
        "capacity_reserve" => &mut switches.capacity_reserve,
        "admission_control" => &mut switches.admission_control,
        "fair_shares" => &mut switches.fair_shares,
        "learned_run_times" => &mut switches.learned_run_times,
        _ => anyhow::bail!("there is no switch `{name}`"),
    };
    *switch = false;
    Ok(())
}

/// Measures rounds while the steps of these jobs wait. `waiting` in its row are the tasks that do
/// so after the last round, and `other` is an advance of the owner without a round.
fn measure(workers: u16, jobs: u32, rounds: usize, tuning: &Tuning) -> anyhow::Result<String> {
    let mut fleet = Fleet::new(workers, tuning, CAPACITY);
    // Long-running tasks of the usual load would end during the measurement.
    fleet.rates[2] = 0.0;
    fleet.play(WARM_UP);
    fleet.rates = [0.0; 3];
    fleet.play(SETTLE);
    fleet.submit(make_job("hold", "short", hold(workers)));
    fleet.play(SETTLE);
    for number in 0..jobs {
        let (queue, step) = waiting_step(number);
        fleet.submit(make_job(&format!("{queue}{number}"), queue, step));
    }
    let (mut with, mut without) = (Vec::new(), Vec::new());
    fleet.play(200 * MS);
    while with.len() < rounds {
        let last = fleet.core.load().waiting_read_at();
        for after in STEPS_MS {
            let took = fleet.step_to((last + MS * after).max(fleet.now + MS));
            let is_round = fleet.core.load().waiting_read_at() == fleet.now;
            match after {
                200 if is_round => with.push(took),
                140 if !is_round => without.push(took),
                _ => {}
            }
        }
    }
    let load = fleet.core.load();
    let classes = [
        WorkClass::LongRunning,
        WorkClass::Short,
        WorkClass::BestEffort,
    ];
    let waiting = classes.map(|class| load.class_demand("fleet", class).waiting.tasks);
    let mut row = String::new();
    write!(
        row,
        "{workers:7}  {jobs:4}  {:7}  {:16.1}  {:6.1}  {:8.1}  {:7.2}  {:4}",
        waiting.iter().sum::<u32>(),
        micros(rank(&mut with, 50)?),
        micros(rank(&mut with, 95)?),
        micros(rank(&mut without, 50)?),
        micros(read(load)),
        load.demands().count(),
    )?;
    Ok(row)
}

/// Returns the time for one reading of the demand of each class and of the capacity.
fn read(load: &LoadAccount) -> Duration {
    let began = Instant::now();
    for _ in 0..REPEAT {
        for class in [
            WorkClass::LongRunning,
            WorkClass::Short,
            WorkClass::BestEffort,
        ] {
            black_box(black_box(load).class_demand("fleet", class));
        }
        black_box(load.capacity("fleet"));
    }
    began.elapsed() / REPEAT
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

/// Returns the time at this rank in percent.
fn rank(times: &mut [Duration], percent: usize) -> anyhow::Result<Duration> {
    times.sort_unstable();
    let index = times.len() * percent / 100;
    times.get(index).copied().context("no time was measured")
}

fn make_job(id: &str, queue: &str, step: Step) -> Job {
    Job {
        id: id.into(),
        queue: format!("jobs/{queue}/").into(),
        payload: "".into(),
        steps: vec![step],
        schedule: None,
    }
}

/// A task for each worker, which takes nearly all of it.
fn hold(workers: u16) -> Step {
    Step {
        count: workers.into(),
        needs: CAPACITY.minus(&FREE),
        estimate: Duration::from_secs(1),
        ..Step::default()
    }
}

/// The queue and the step of a waiting job: a third of them are of each class, in some sizes.
fn waiting_step(number: u32) -> (&'static str, Step) {
    let size = u64::from(number % 11);
    let step = |count, needs, estimate| Step {
        count,
        needs,
        estimate: MS * estimate,
        image: Some(format!("image-{}", number % 4).into()),
        ..Step::default()
    };
    match number % 3 {
        0 => (
            "short",
            step(
                10,
                resources(7_000 + 100 * size, 2),
                700 + 10 * number % 100,
            ),
        ),
        1 => (
            "fill",
            Step {
                sharing: Sharing::Fills,
                ..step(20, resources(7_000, 11 + size), 1700 + 10 * number % 600)
            },
        ),
        _ => (
            "last",
            Step {
                long_running: true,
                sharing: Sharing::Serves(100 * MS),
                ..step(14, resources(13_000 + 100 * size, 20), 70_000)
            },
        ),
    }
}

/// Prints the cost of an account with 5 queues of 4 origins each.
fn show_account() -> anyhow::Result<()> {
    let (mut keys, mut waiting) = (Vec::new(), WaitingReading::new());
    for queue in 0..5 {
        for zone in 0..4 {
            for class in [WorkClass::Short, WorkClass::BestEffort] {
                keys.push(DemandKey {
                    service: "fleet".into(),
                    queue: format!("jobs.example/queue-{queue}/").into(),
                    origin: format!("zone-{zone}").into(),
                    class,
                });
            }
        }
    }
    let needs = resources(7_000, 2);
    for key in &keys {
        let usage = Usage {
            tasks: 10,
            resources: needs,
        };
        waiting.insert(key.clone(), usage);
    }
    let capacities = || CapacityReading::from([("fleet".into(), Capacity::default())]);
    let fill = || {
        let mut account = LoadAccount::default();
        account.set_waiting(waiting.clone(), MS);
        account.set_capacities(capacities(), MS);
        for key in &keys {
            account.add_run(key, &needs);
        }
        account
    };
    let mut account = fill();
    let time = |work: &mut dyn FnMut()| {
        let began = Instant::now();
        (0..REPEAT).for_each(|_| work());
        micros(began.elapsed() / REPEAT)
    };
    println!("account of {} keys:", keys.len());
    println!("  reading of all classes {:8.2} us", micros(read(&account)));
    let runs = time(&mut || {
        for key in &keys {
            account.add_run(key, &needs);
            account.remove_run(key, &needs, Some(MS));
        }
    });
    let each = f64::from(u32::try_from(keys.len())?);
    println!("  begin and end of a run {:8.2} us", runs / each);
    let copies = time(&mut || drop(black_box(waiting.clone())));
    let set = time(&mut || account.set_waiting(waiting.clone(), MS));
    println!("  waiting demand set     {:8.2} us", set - copies);
    let before = resident()?;
    let accounts: Vec<LoadAccount> = (0..ACCOUNTS).map(|_| fill()).collect();
    let bytes = resident()?.saturating_sub(before) / accounts.len();
    println!("  memory                 {bytes:8} B, names of queues and zones apart");
    Ok(())
}

/// Returns the resident memory of this process in bytes.
fn resident() -> anyhow::Result<usize> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(kilobytes.context("no resident memory")?.parse::<usize>()? << 10)
}
