//! Single decisions of the workflow plane, case by case.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::resources::Resources;
use ashtiller::workflow::agents::{Active, How, Order};
use ashtiller::workflow::book::Book;
use ashtiller::workflow::config::{Config, Listed, Queue};
use ashtiller::workflow::fact::{End, Fact, Outcome, Run, Task};
use ashtiller::workflow::interference::{Beside, Interference};
use ashtiller::workflow::job::{Advice, Policy, Schedule, Sharing, Step};
use ashtiller::workflow::lease::{self, Lease};
use ashtiller::workflow::machines::{Duty, Wave};
use ashtiller::workflow::message::{Reply, State};

use crate::driver::{Driver, MS, job, listed, policy, step};

#[test]
fn a_job_is_checked_before_it_is_taken() {
    let after = |steps: Vec<u16>| Step {
        after: steps,
        ..step(1)
    };
    let cases: [(&str, Vec<Step>, bool); 6] = [
        ("one step", vec![step(1)], true),
        ("a chain", vec![step(1), after(vec![0])], true),
        ("no step", Vec::new(), false),
        ("no task", vec![step(0)], false),
        ("on itself", vec![after(vec![0])], false),
        ("too many tasks", vec![step(9_000), step(9_000)], false),
    ];
    for (name, steps, good) in cases {
        assert_eq!(job("1", steps).check().is_ok(), good, "{name}");
    }
}

#[test]
fn chains_are_the_longest_way_to_the_end() {
    let mut steps = vec![step(1), step(1), step(1)];
    steps[1].after = vec![0];
    steps[1].estimate = 2000 * MS;
    steps[2].after = vec![0];
    let chains = job("1", steps).chains();
    assert_eq!(chains, [2500 * MS, 2000 * MS, 500 * MS]);
}

#[test]
fn the_longest_prefix_finds_the_queue() {
    let queue = |prefix: &str| Queue {
        host: "h".into(),
        prefix: prefix.into(),
        policy: policy(),
    };
    let config = Config {
        queues: vec![queue("/a/"), queue("/a/b/")],
        ..Config::default()
    };
    let found = |host, path| {
        config
            .find(host, path)
            .map(|queue| queue.prefix.to_string())
    };
    assert_eq!(found("h", "/a/b/1").as_deref(), Some("/a/b/"));
    assert_eq!(found("h", "/a/c").as_deref(), Some("/a/"));
    assert_eq!(found("other", "/a/c"), None);
    assert_eq!(found("h", "/c"), None);
}

#[test]
fn a_lease_ends_on_the_slowest_clock() {
    let start = Duration::from_secs(100);
    let mut lease = Lease::new(start);
    assert_eq!(lease.grant(start, Duration::from_secs(6)), None);
    lease.hear(50_000, start);
    assert_eq!(
        lease.grant(start + 500 * MS, Duration::from_secs(6)),
        Some(56_500)
    );
    assert_eq!(lease.bound(), start + lease::stretch(6500 * MS));
    // An answer that is overtaken by a later one says nothing.
    lease.hear(49_000, start + Duration::from_secs(1));
    assert_eq!(
        lease.grant(start + Duration::from_secs(1), Duration::ZERO),
        Some(51_000)
    );
}

#[test]
fn harm_is_learned_by_pair() {
    let mut known = Interference::default();
    let serves = known.number(&"serves".into());
    let (heavy, mild) = (known.number(&"heavy".into()), known.number(&"mild".into()));
    for round in 0..600u32 {
        // Loads swing around 0.47.
        let load = 0.47 + f64::from(round % 7) * 0.05 - 0.15;
        let beside = |image| [Beside { image, share: 0.3 }];
        known.learn(serves, load + 0.3 * 0.9, None, &beside(heavy));
        known.learn(serves, load + 0.3 * 0.1, None, &beside(mild));
    }
    assert!(
        (known.factor(serves, heavy) - 0.9).abs() < 0.15,
        "{}",
        known.factor(serves, heavy)
    );
    assert!(
        (known.factor(serves, mild) - 0.1).abs() < 0.15,
        "{}",
        known.factor(serves, mild)
    );
    let mut later = Interference::default();
    later.import(&known.export());
    assert_eq!(later.export(), known.export());
}

#[test]
fn a_book_is_the_same_from_a_snapshot() {
    let task = Task {
        job: 0,
        time: 0,
        step: 0,
        index: 0,
    };
    let run = Run { task, number: 1 };
    let facts = [
        Fact::Accepted(Box::new(job("1", vec![step(2)])), policy(), 7),
        Fact::Placed(run, "w0".into(), "".into()),
        Fact::Ended(run, End::Done, "".into()),
        Fact::Accepted(Box::new(job("2", vec![step(1)])), policy(), 8),
        Fact::Cancelled(1),
    ];
    let mut whole = Book::default();
    for fact in &facts {
        whole.apply(fact, MS);
    }
    for cut in 0..facts.len() {
        let mut first = Book::default();
        for fact in &facts[..cut] {
            first.apply(fact, MS);
        }
        let bytes = postcard::to_stdvec(&first).unwrap();
        let mut book: Book = postcard::from_bytes(&bytes).unwrap();
        book.index(MS);
        for fact in &facts[cut..] {
            book.apply(fact, MS);
        }
        assert_eq!(
            postcard::to_stdvec(&book).unwrap(),
            postcard::to_stdvec(&whole).unwrap(),
            "cut {cut}"
        );
        assert_eq!(book.open(), whole.open(), "cut {cut}");
    }
    assert_eq!(whole.jobs[&1].outcome, Some(Outcome::Cancelled));
}

#[test]
fn an_accepted_job_is_answered_when_it_is_durable() {
    let mut driver = Driver::new(2, policy());
    let ticket = driver.submit(job("1", vec![step(2)]));
    assert!(driver.answers.is_empty());
    driver.pass(100 * MS);
    assert_eq!(driver.answers, [(ticket, Reply::Accepted)]);
    assert_eq!(driver.starts().len(), 2);
    // The same id again is the same job.
    let again = driver.submit(job("1", vec![step(2)]));
    driver.pass(100 * MS);
    assert_eq!(driver.answers[1], (again, Reply::Accepted));
    assert_eq!(driver.starts().len(), 2);
}

#[test]
fn nothing_starts_before_its_record_is_durable() {
    let mut driver = Driver::new(2, policy());
    driver.store = false;
    driver.submit(job("1", vec![step(2)]));
    driver.pass(300 * MS);
    assert!(driver.starts().is_empty());
    assert!(driver.answers.is_empty());
}

#[test]
fn jobs_are_refused_at_once_while_the_store_is_away() {
    let mut driver = Driver::new(2, policy());
    driver.store = false;
    driver.pass(Duration::from_secs(2));
    let ticket = driver.submit(job("1", vec![step(1)]));
    driver.pass(10 * MS);
    assert_eq!(driver.answers, [(ticket, Reply::Refused(1000))]);
    let known = driver
        .facts
        .iter()
        .any(|fact| matches!(fact, Fact::Accepted(..)));
    assert!(!known, "a refused job is nowhere");
    assert_eq!(driver.core.state("1"), Reply::Missing);
}

#[test]
fn a_step_waits_for_those_it_depends_on() {
    let mut driver = Driver::new(2, policy());
    let second = Step {
        after: vec![0],
        ..step(1)
    };
    driver.submit(job("1", vec![step(1), second]));
    driver.pass(200 * MS);
    let starts = driver.starts();
    assert_eq!(starts.len(), 1);
    let (id, run) = starts[0].clone();
    driver.end(&id, run, How::Done, 1);
    driver.pass(200 * MS);
    let starts = driver.starts();
    assert_eq!(starts.len(), 2);
    assert_eq!(starts[1].1.task.step, 1);
    let (id, run) = starts[1].clone();
    driver.end(&id, run, How::Done, 2);
    driver.pass(200 * MS);
    assert_eq!(
        driver.core.state("1"),
        Reply::State(State::Over(Outcome::Complete))
    );
}

#[test]
fn a_task_that_fails_too_often_ends_its_job() {
    let mut driver = Driver::new(2, policy());
    driver.submit(job("1", vec![step(1)]));
    for attempt in 1..=2 {
        driver.pass(300 * MS);
        let (id, run) = driver.starts().last().unwrap().clone();
        assert_eq!(run.number, attempt);
        driver.end(&id, run, How::Failed, u64::from(attempt));
    }
    driver.pass(200 * MS);
    assert_eq!(
        driver.core.state("1"),
        Reply::State(State::Over(Outcome::Failed))
    );
    assert_eq!(driver.starts().len(), 2);
}

#[test]
fn a_retry_avoids_the_worker_on_which_it_failed() {
    let mut driver = Driver::new(3, policy());
    driver.submit(job("1", vec![step(1)]));
    driver.pass(200 * MS);
    let (first, run) = driver.starts()[0].clone();
    driver.end(&first, run, How::Failed, 1);
    driver.pass(200 * MS);
    assert_ne!(driver.starts()[1].0, first);
}

#[test]
fn a_gang_starts_whole_and_under_one_number() {
    let mut driver = Driver::new(4, policy());
    let gang = Step {
        gang: true,
        one_rack: true,
        ..step(6)
    };
    driver.submit(job("1", vec![gang]));
    driver.pass(300 * MS);
    let starts = driver.starts();
    assert_eq!(starts.len(), 6);
    assert!(starts.iter().all(|(_, run)| run.number == 1));
    // Two workers of four processors make a rack.
    let racks: BTreeSet<u32> = starts
        .iter()
        .map(|(id, _)| id[1..].parse::<u32>().unwrap() / 2)
        .collect();
    assert_eq!(racks.len(), 1);
}

#[test]
fn a_gang_that_does_not_fit_starts_nothing() {
    let mut driver = Driver::new(2, policy());
    let gang = Step {
        gang: true,
        ..step(9)
    };
    driver.submit(job("1", vec![gang]));
    driver.pass(300 * MS);
    assert!(driver.starts().is_empty());
}

#[test]
fn spread_and_labels_bound_where_tasks_go() {
    let mut driver = Driver::new(4, policy());
    let spread = Step {
        spread: 1,
        ..step(4)
    };
    driver.submit(job("1", vec![spread]));
    driver.pass(300 * MS);
    let workers: BTreeSet<Arc<str>> = driver.starts().into_iter().map(|(id, _)| id).collect();
    assert_eq!(workers.len(), 4);
    let labelled = Step {
        label: Some("r1".into()),
        ..step(2)
    };
    driver.submit(job("2", vec![labelled]));
    driver.pass(300 * MS);
    let starts = driver.starts();
    let late = &starts[4..];
    assert_eq!(late.len(), 2);
    assert!(late.iter().all(|(id, _)| matches!(&**id, "w2" | "w3")));
}

#[test]
fn a_repeated_job_starts_at_its_times() {
    let mut driver = Driver::new(2, policy());
    let mut repeated = job("1", vec![step(1)]);
    repeated.schedule = Some(Schedule {
        first: driver.now.wall + 1000,
        interval: 1000,
        times: 2,
    });
    driver.submit(repeated);
    driver.pass(900 * MS);
    assert!(driver.starts().is_empty());
    driver.pass(400 * MS);
    assert_eq!(driver.starts().len(), 1);
    driver.pass(1000 * MS);
    let times: Vec<u32> = driver
        .starts()
        .iter()
        .map(|(_, run)| run.task.time)
        .collect();
    assert_eq!(times, [0, 1]);
}

#[test]
fn a_lost_worker_gives_its_runs_back_after_its_lease() {
    let mut driver = Driver::new(2, policy());
    driver.submit(job("1", vec![step(1)]));
    driver.pass(200 * MS);
    let (id, _) = driver.starts()[0].clone();
    let number: u16 = id[1..].parse().unwrap();
    // The same machine under another id: the former life is over.
    let back = Listed {
        id: "w9".into(),
        ..listed(number)
    };
    driver.core.list_worker(back, driver.now);
    driver.pass(200 * MS);
    let starts = driver.starts();
    assert_eq!(starts.len(), 2);
    assert_eq!(starts[1].1.number, 2);
}

#[test]
fn lasting_tasks_leave_a_draining_worker() {
    let mut driver = Driver::new(2, policy());
    let lasting = Step {
        lasting: true,
        sharing: Sharing::Serves(50 * MS),
        ..step(1)
    };
    driver.submit(job("1", vec![lasting]));
    driver.pass(200 * MS);
    let (id, run) = driver.starts()[0].clone();
    let number: u16 = id[1..].parse().unwrap();
    driver.core.list_worker(
        Listed {
            draining: true,
            remaining: Some(Duration::from_secs(3)),
            ..listed(number)
        },
        driver.now,
    );
    driver.pass(100 * MS);
    let stopped = driver
        .orders
        .iter()
        .any(|(_, at, order)| *at == run && matches!(order, Order::Stop(..)));
    assert!(stopped);
    driver.end(&id, run, How::Stopped, 1);
    driver.pass(300 * MS);
    let starts = driver.starts();
    assert_eq!(starts.len(), 2);
    assert_ne!(starts[1].0, id);
}

#[test]
fn the_advisor_is_asked_for_likely_workers_only() {
    let advised = Policy {
        advice: Some(Advice {
            decide: 5 * MS,
            each: MS,
            valid: Duration::from_secs(3),
        }),
        ..policy()
    };
    let mut driver = Driver::new(20, advised);
    driver.submit(job("1", vec![step(2)]));
    driver.pass(300 * MS);
    assert_eq!(driver.asked.len(), 1);
    assert!(driver.asked[0].len() <= 8, "{}", driver.asked[0].len());
    let tickets: Vec<bool> = driver
        .orders
        .iter()
        .map(|(_, _, order)| matches!(order, Order::Start(start) if start.ticket.is_some()))
        .collect();
    assert_eq!(tickets, [true, true]);
}

#[test]
fn a_wave_goes_a_few_machines_at_a_time() {
    let mut driver = Driver::new(4, policy());
    driver.core.set_wave(
        Wave {
            number: 3,
            machines: (0..4).map(|number| format!("m{number}").into()).collect(),
            duration: Duration::from_secs(30),
            most: 1,
        },
        driver.now,
    );
    driver.pass(Duration::from_secs(10));
    assert_eq!(driver.duties.len(), 1);
    for round in 1..4u16 {
        let (machine, duty) = driver.duties.last().unwrap().clone();
        assert_eq!(duty, Duty::Upkeep(3));
        let number: u16 = machine[1..].parse().unwrap();
        let back = Listed {
            id: format!("w{}", 100 + round).into(),
            ..listed(number)
        };
        driver.core.list_worker(back, driver.now);
        driver.pass(Duration::from_secs(3));
        assert_eq!(driver.duties.len(), usize::from(round) + 1);
    }
    assert_eq!(driver.core.wave_states().get(&3), Some(&true));
}

#[test]
fn a_worker_on_trial_is_trusted_again_when_a_lasting_task_is_at_work() {
    let once = Policy {
        attempts: 1,
        ..policy()
    };
    let mut driver = Driver::new(1, once);
    driver.submit(job("1", vec![step(1)]));
    driver.submit(job("2", vec![step(1)]));
    driver.pass(200 * MS);
    let starts = driver.starts();
    for (number, (id, run)) in (1..).zip(starts) {
        driver.end(&id, run, How::Failed, number);
    }
    // The worker is put aside, then tried with one run.
    let lasting = Step {
        lasting: true,
        ..step(1)
    };
    driver.submit(job("3", vec![lasting]));
    driver.pass(Duration::from_secs(4));
    let tried: Vec<Run> = driver.starts()[2..].iter().map(|(_, run)| *run).collect();
    assert_eq!(tried.len(), 1, "one run on trial");
    driver.submit(job("4", vec![step(1)]));
    driver.pass(Duration::from_secs(4));
    assert_eq!(driver.starts().len(), 3, "nothing beside the trial");
    let at_work = Active {
        name: driver.name(tried[0]),
        run: tried[0].number,
        saved: "".into(),
        percent: 100,
        figure: None,
    };
    driver.at_work.push((driver.starts()[2].0.clone(), at_work));
    driver.pass(Duration::from_secs(4));
    assert_eq!(driver.starts().len(), 4, "the others follow");
}

#[test]
fn a_copy_starts_where_the_step_allows_it_and_the_worker_says_nothing() {
    for (copies, starts) in [(true, 2), (false, 1)] {
        let mut driver = Driver::new(2, policy());
        driver.submit(job("1", vec![Step { copies, ..step(1) }]));
        driver.pass(200 * MS);
        let (id, _) = driver.starts()[0].clone();
        driver.silent = Some(id.clone());
        driver.pass(Duration::from_secs(4));
        let placed = driver.starts();
        assert_eq!(placed.len(), starts, "copies {copies}");
        assert!(placed.iter().skip(1).all(|(other, _)| *other != id));
    }
}

#[test]
fn a_large_lasting_task_is_not_kept_waiting_by_short_ones() {
    let mut driver = Driver::new(1, policy());
    let large = Step {
        lasting: true,
        needs: Resources {
            processors: 3000,
            ..step(1).needs
        },
        ..step(1)
    };
    // All come in one round; the worker has four processors.
    driver.submit(job("1", vec![step(4)]));
    driver.submit(job("2", vec![large]));
    driver.pass(200 * MS);
    let jobs: Vec<u32> = driver
        .starts()
        .iter()
        .map(|(_, run)| run.task.job)
        .collect();
    assert_eq!(jobs.iter().filter(|job| **job == 1).count(), 1, "{jobs:?}");
    assert_eq!(jobs.iter().filter(|job| **job == 0).count(), 1, "{jobs:?}");
}

/// More of them at once would slow each other down.
#[test]
fn fills_wait_for_unused_processors() {
    let fill = |count, processors| Step {
        sharing: Sharing::Fills,
        needs: Resources {
            processors,
            ..step(1).needs
        },
        ..step(count)
    };
    for (beside, asked, started) in [(0, 1000, 4), (2, 1000, 2), (0, 6000, 1)] {
        let mut driver = Driver::new(1, policy());
        if beside > 0 {
            driver.submit(job("1", vec![step(beside)]));
            driver.pass(200 * MS);
        }
        driver.submit(job("2", vec![fill(8, asked)]));
        driver.pass(500 * MS);
        let starts = driver.starts().len();
        let beside = usize::try_from(beside).unwrap();
        assert_eq!(starts - beside, started, "of 4 processors, {beside} taken");
    }
}
