//! Admission by the owner of a log: refusals, repeats, and what they leave in the log.

use std::time::Duration;

use ashtiller::resources::Resources;
use ashtiller::workflow::admission::refusals::RETRY_MAX;
use ashtiller::workflow::job::{Schedule, Step};
use ashtiller::workflow::message::{Reply, State};
use ashtiller::workflow::record::{LogRecord, Outcome};
use ashtiller::workflow::switches::Switches;
use ashtiller::workflow::tuning::Tuning;

use crate::driver::{MS, job, step};
use crate::fleet::Fleet;

const SECOND: Duration = Duration::from_secs(1);

/// Returns an overloaded owner of 2 workers with 8 processors: 20 jobs of 4 tasks a second, which
/// is 5 times the load that they sustain.
fn overloaded() -> Fleet {
    let mut fleet = Fleet::new(2, &Tuning::default(), &[]);
    for number in 0..60 {
        fleet.submit(job(&format!("load-{number}"), vec![step(4)]));
        fleet.run_for(50 * MS);
    }
    fleet
}

/// Offers jobs until one is refused; returns its id and the retry delay.
fn refused(fleet: &mut Fleet, prefix: &str) -> (String, Duration) {
    for number in 0..200 {
        let id = format!("{prefix}-{number}");
        if let Some(Reply::Refused(retry)) = fleet.offer(job(&id, vec![step(4)])) {
            return (id, Duration::from_millis(retry.into()));
        }
    }
    panic!("none of 200 jobs is refused");
}

/// Guards against refusals that cost a write or an answer that is not final: a refused job is in no
/// record, also not for the next owner, and its id is refused again until its time has come.
#[test]
fn a_refused_job_is_nowhere_and_may_return_at_its_time() {
    let mut fleet = overloaded();
    let (id, retry) = refused(&mut fleet, "new");
    assert!(retry <= RETRY_MAX, "{retry:?}");
    assert_eq!(fleet.recorded(&id), 0);
    assert_eq!(fleet.core.state(&id), Reply::Missing);
    // A delayed earlier attempt comes through another instance.
    let again = fleet.offer(job(&id, vec![step(4)]));
    let Some(Reply::Refused(left)) = again else {
        panic!("accepted behind the caller's back: {again:?}");
    };
    assert!(Duration::from_millis(left.into()) <= retry, "{left}");
    let records = fleet.records.clone();
    let next = Fleet::new(2, &Tuning::default(), &records);
    assert_eq!(next.core.state(&id), Reply::Missing);
    // Once the load is gone, the caller is admitted.
    fleet.run_for(60 * SECOND);
    assert_eq!(fleet.offer(job(&id, vec![step(4)])), None);
    fleet.run_for(2 * SECOND);
    assert_eq!(
        fleet.core.state(&id),
        Reply::State(State::Over(Outcome::Complete))
    );
    assert_eq!(fleet.core.counts().readmitted, 1);
}

/// Guards against jobs that were accepted and are refused, or left unfinished, under overload.
#[test]
fn a_job_known_to_the_log_is_accepted_under_overload_and_ends() {
    let mut fleet = overloaded();
    refused(&mut fleet, "new");
    let known = fleet.submit(job("load-0", vec![step(4)]));
    // An accepted job waits to be recorded, and its caller repeats it.
    fleet.store_available = false;
    fleet.run_for(100 * MS);
    let mut waiting = job("waits", vec![step(1)]);
    waiting.schedule = Some(Schedule {
        first: fleet.now.wall,
        interval: 1000,
        times: 1,
    });
    let first = fleet.submit(waiting.clone());
    let second = fleet.submit(waiting);
    fleet.restore_store();
    fleet.run_for(300 * MS);
    for token in [known, first, second] {
        assert_eq!(fleet.replies.get(&token), Some(&Reply::Accepted));
    }
    let accepted = fleet.core.counts().accepted;
    fleet.run_for(60 * SECOND);
    assert!(fleet.core.log_state().open().is_empty());
    assert!(accepted >= 10, "{accepted}");
}

/// Guards against a new owner that refuses by what it does not know, and against one that loses an
/// accepted job.
#[test]
fn a_new_owner_admits_until_it_has_measured_a_rate() {
    let mut former = overloaded();
    refused(&mut former, "new");
    let records = former.records.clone();
    let mut next = Fleet::new(2, &Tuning::default(), &records);
    let answer = next.offer(job("after", vec![step(4)]));
    assert_eq!(answer, None);
    next.run_for(300 * MS);
    assert_eq!(next.recorded("after"), 1);
}

/// Guards against refusals while workers are free, and by a switch that is off.
#[test]
fn nothing_is_refused_without_overload_or_switch() {
    let mut calm = Fleet::new(2, &Tuning::default(), &[]);
    for number in 0..40 {
        let answer = calm.offer(job(&format!("calm-{number}"), vec![step(2)]));
        assert_eq!(answer, None);
        calm.run_for(200 * MS);
    }
    assert_eq!(calm.core.counts().refused, 0);
    let tuning = Tuning {
        switches: Switches {
            admission_control: false,
            ..Switches::default()
        },
        ..Tuning::default()
    };
    let mut off = Fleet::new(2, &tuning, &[]);
    for number in 0..100 {
        assert_eq!(off.offer(job(&format!("{number}"), vec![step(4)])), None);
        off.run_for(30 * MS);
    }
}

/// Guards against long-running and repeated jobs that are refused for overload.
#[test]
fn long_running_and_repeated_jobs_are_admitted_under_overload() {
    let mut fleet = overloaded();
    refused(&mut fleet, "new");
    let lasting = Step {
        long_running: true,
        ..step(1)
    };
    assert_eq!(fleet.offer(job("lasting", vec![step(1), lasting])), None);
    let mut repeated = job("repeated", vec![step(4)]);
    repeated.schedule = Some(Schedule {
        first: fleet.now.wall + 100,
        interval: 1000,
        times: 2,
    });
    assert_eq!(fleet.offer(repeated), None);
}

/// Guards against jobs that no worker can ever run and that block others: their work does not count
/// as waiting, and they take no turn of the share of jobs that are worth nothing.
#[test]
fn jobs_that_no_worker_could_run_delay_no_others() {
    let mut fleet = Fleet::new(2, &Tuning::default(), &[]);
    let large = Step {
        needs: Resources {
            processors: 5000,
            ..step(1).needs
        },
        ..step(1000)
    };
    let elsewhere = Step {
        label: Some("moon".into()),
        ..step(1000)
    };
    for number in 0..20 {
        fleet.submit(job(&format!("large-{number}"), vec![large.clone()]));
        fleet.submit(job(&format!("moon-{number}"), vec![elsewhere.clone()]));
    }
    for number in 0..100 {
        let answer = fleet.offer(job(&format!("small-{number}"), vec![step(2)]));
        assert_eq!(answer, None, "small-{number}");
        fleet.run_for(200 * MS);
    }
    fleet.run_for(2 * SECOND);
    let open = fleet.core.log_state().open().len();
    assert_eq!(open, 40, "only those that cannot run are left");
    // Under overload, such jobs are still admitted: workers may come.
    for number in 0..60 {
        fleet.submit(job(&format!("load-{number}"), vec![step(4)]));
        fleet.run_for(50 * MS);
    }
    refused(&mut fleet, "new");
    assert_eq!(fleet.offer(job("large", vec![large])), None);
    fleet.run_for(60 * SECOND);
    assert_eq!(fleet.core.log_state().open().len(), 41);
}

/// Guards against callers who all return at one moment after an outage of the store, and against
/// jobs of a burst that are both refused and run.
#[test]
fn callers_refused_in_an_outage_of_the_store_return_spread_and_are_served() {
    let mut fleet = overloaded();
    fleet.store_available = false;
    fleet.run_for(SECOND);
    let mut returns = Vec::new();
    for number in 0..40 {
        let id = format!("outage-{number}");
        let Some(Reply::Refused(retry)) = fleet.offer(job(&id, vec![step(1)])) else {
            panic!("{id} is not refused");
        };
        returns.push((fleet.now.at + MS * retry, id));
    }
    assert_eq!(fleet.recorded("outage"), 0);
    returns.sort();
    let spread = returns[39].0.saturating_sub(returns[0].0);
    assert!(spread > 300 * MS, "{spread:?}");
    fleet.restore_store();
    let (mut refused, mut attempts) = (0, 0);
    while let Some((at, id)) = returns.first().cloned() {
        returns.remove(0);
        fleet.run_for(at.saturating_sub(fleet.now.at).max(MS));
        attempts += 1;
        if let Some(Reply::Refused(retry)) = fleet.offer(job(&id, vec![step(1)])) {
            refused += 1;
            assert_eq!(fleet.recorded(&format!("{id}-")), 0);
            returns.push((fleet.now.at + MS * retry + MS, id));
            returns.sort();
        }
        assert!(attempts < 40 * 5, "{refused} refusals");
    }
    fleet.run_for(60 * SECOND);
    println!("{attempts} attempts of 40 callers");
    assert_eq!(fleet.recorded("outage"), 40);
    assert!(fleet.core.log_state().open().is_empty());
}

/// Guards against a burst between two rounds that is admitted as a whole, because the waiting work
/// was last read before it.
#[test]
fn jobs_of_one_moment_are_counted() {
    let mut fleet = overloaded();
    let mut probe = 0;
    while fleet
        .offer(job(&format!("probe-{probe}"), vec![step(4)]))
        .is_some()
    {
        probe += 1;
        fleet.run_for(20 * MS);
    }
    assert!(probe > 0, "there is no overload");
    let burst = (0..200).map(|number| job(&format!("burst-{number}"), vec![step(4)]));
    let tokens: Vec<u64> = burst.map(|job| fleet.submit(job)).collect();
    fleet.run_for(200 * MS);
    let answers = tokens.iter().map(|token| &fleet.replies[token]);
    let delays: Vec<u32> = answers
        .filter_map(|answer| match answer {
            Reply::Refused(retry) => Some(*retry),
            _ => None,
        })
        .collect();
    println!("{} of 200 refused, {:?} ms", delays.len(), delays.last());
    assert!(delays.len() > 150, "{}", delays.len());
    assert!(delays.is_sorted(), "a later caller returns earlier");
    let limit = u32::try_from(RETRY_MAX.as_millis()).unwrap();
    assert!(delays.iter().all(|delay| *delay <= limit));
    assert!(delays.last() > delays.first());
}

/// Guards against an accepted job whose time objective begins anew with each attempt.
#[test]
fn the_time_of_a_job_counts_from_its_first_attempt() {
    let mut fleet = overloaded();
    let (id, _) = refused(&mut fleet, "new");
    let first = fleet.now.wall;
    fleet.run_for(5 * SECOND);
    fleet.submit(job(&id, vec![step(4)]));
    fleet.run_for(100 * MS);
    let accepted = fleet.records.iter().find_map(|record| match record {
        LogRecord::Accepted(job, _, since) if *job.id == *id => Some(*since),
        _ => None,
    });
    assert!(
        accepted.is_some_and(|since| since.abs_diff(first) <= 10),
        "{accepted:?}"
    );
}
