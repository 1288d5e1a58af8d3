//! Jobs, log states, leases and learned interference, each by itself.

use std::time::Duration;

use ashtiller::workflow::blame::LostRun;
use ashtiller::workflow::config::{Config, Queue};
use ashtiller::workflow::interference::{Interference, NeighborFill};
use ashtiller::workflow::job::Step;
use ashtiller::workflow::lease::{self, Lease};
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::record::{End, LogRecord, Outcome, Run, Task};
use ashtiller::workflow::snapshot;

use crate::driver::{MS, job, policy, step};

#[test]
fn a_job_is_checked_before_it_is_accepted() {
    let after = |steps: Vec<u16>| Step {
        depends_on: steps,
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
fn chains_are_the_longest_paths_to_the_end() {
    let mut steps = vec![step(1), step(1), step(1)];
    steps[1].depends_on = vec![0];
    steps[1].estimate = 2000 * MS;
    steps[2].depends_on = vec![0];
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
    assert_eq!(lease.bound(), start + lease::worst_case_elapsed(6500 * MS));
    // A reply that a later one has overtaken is ignored.
    lease.hear(49_000, start + Duration::from_secs(1));
    assert_eq!(
        lease.grant(start + Duration::from_secs(1), Duration::ZERO),
        Some(51_000)
    );
}

#[test]
fn interference_is_learned_by_pair() {
    let mut known = Interference::default();
    let serves = known.number(&"serves".into());
    let (heavy, mild) = (known.number(&"heavy".into()), known.number(&"mild".into()));
    for _ in 0..200 {
        known.learn(serves, 2.5, None, &[]);
    }
    for round in 0..600u32 {
        // Headroom varies around its usual value.
        let own = 1.0 + f64::from(round % 7) * 0.1 - 0.3;
        let beside = |image| [NeighborFill { image, share: 0.3 }];
        known.learn(serves, 2.5 * (own - 0.3 * 1.7), None, &beside(heavy));
        known.learn(serves, 2.5 * (own - 0.3 * 0.2), None, &beside(mild));
    }
    assert!(
        (known.factor(serves, heavy) - 1.7).abs() < 0.28,
        "{}",
        known.factor(serves, heavy)
    );
    assert!(
        (known.factor(serves, mild) - 0.2).abs() < 0.28,
        "{}",
        known.factor(serves, mild)
    );
    assert!((known.floor(serves) - 0.4).abs() < 0.01);
    let mut later = Interference::default();
    later.import(&known.export());
    assert_eq!(later.export(), known.export());
    assert!((later.floor(serves) - 0.4).abs() < 0.01);
}

#[test]
fn a_log_state_is_the_same_from_a_snapshot() {
    let task = Task {
        job: 0,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let run = Run { task, number: 1 };
    let records = [
        LogRecord::Accepted(Box::new(job("1", vec![step(2)])), policy(), 7),
        LogRecord::Placed(run, "w0".into(), "".into()),
        LogRecord::Ended(run, End::Done, "".into()),
        LogRecord::Accepted(Box::new(job("2", vec![step(1)])), policy(), 8),
        LogRecord::Cancelled(1),
        LogRecord::Accepted(Box::new(job("3", vec![step(2)])), policy(), 9),
        LogRecord::Crashed("w0".into(), vec![crash_of(2, 0), crash_of(2, 1)]),
        LogRecord::Absolved(crash_of(2, 1).run.task),
    ];
    let mut whole = LogState::default();
    for record in &records {
        whole.apply(record, MS);
    }
    for cut in 0..records.len() {
        let mut first = LogState::default();
        for record in &records[..cut] {
            first.apply(record, MS);
        }
        let bytes = snapshot::encode(&first).unwrap();
        let mut state = snapshot::decode(&bytes).unwrap();
        state.index(MS);
        for record in &records[cut..] {
            state.apply(record, MS);
        }
        assert_eq!(
            snapshot::encode(&state).unwrap(),
            snapshot::encode(&whole).unwrap(),
            "cut {cut}"
        );
        assert_eq!(state.open(), whole.open(), "cut {cut}");
    }
    assert_eq!(whole.jobs[&1].outcome, Some(Outcome::Cancelled));
    assert_eq!(whole.suspects().len(), 1);
}

/// Returns the crash of a worker under the first run of a task.
fn crash_of(job: u32, index: u16) -> LostRun {
    let task = Task {
        job,
        occurrence: 0,
        step: 0,
        index,
    };
    LostRun {
        run: Run { task, number: 1 },
        age: 40,
        weight: 2,
        begun: true,
    }
}

#[test]
fn a_snapshot_without_suspects_is_readable() {
    let mut state = LogState::default();
    state.apply(
        &LogRecord::Accepted(Box::new(job("1", vec![step(2)])), policy(), 7),
        MS,
    );
    let bytes = postcard::to_stdvec(&state).unwrap();
    let read = snapshot::decode(&bytes).unwrap();
    assert_eq!(read.jobs.len(), 1);
    assert!(read.suspects().is_empty());
}

/// The bytes are of an entry that was written before workers' crashes were recorded.
#[test]
fn records_of_earlier_versions_are_readable() {
    const BYTES: [u8; 32] = [
        5, 2, 3, 0, 1, 17, 2, 2, 119, 48, 2, 99, 55, 3, 3, 0, 1, 17, 2, 3, 2, 99, 56, 4, 3, 6, 5,
        2, 109, 49, 9, 9,
    ];
    let task = Task {
        job: 3,
        occurrence: 0,
        step: 1,
        index: 17,
    };
    let run = Run { task, number: 2 };
    let records: Vec<LogRecord> = postcard::from_bytes(&BYTES).unwrap();
    let expected = [
        LogRecord::Placed(run, "w0".into(), "c7".into()),
        LogRecord::Ended(run, End::Lost, "c8".into()),
        LogRecord::Failed(3),
        LogRecord::Upkept(5, "m1".into()),
        LogRecord::Cleared(9),
    ];
    assert_eq!(records, expected);
}

/// A snapshot that ends with the suspects was written before unconfirmed starts were added.
#[test]
fn a_snapshot_without_unconfirmed_starts_is_readable() {
    let mut state = LogState::default();
    let accepted = LogRecord::Accepted(Box::new(job("1", vec![step(2)])), policy(), 7);
    state.apply(&accepted, MS);
    state.apply(&LogRecord::Crashed("w0".into(), vec![crash_of(0, 1)]), MS);
    let bytes = postcard::to_stdvec(&state).unwrap();
    let bytes = postcard::to_extend(state.suspects(), bytes).unwrap();
    let read = snapshot::decode(&bytes).unwrap();
    assert_eq!(read.suspects().len(), 1);
    assert!(read.unconfirmed().is_empty());
}

/// The next owner must know of each start that its predecessor sent without a reply, also if it
/// reads them from a snapshot. It counts their time from its own beginning.
#[test]
fn unconfirmed_starts_outlast_a_snapshot() {
    let run = crash_of(0, 1).run;
    let records = [
        LogRecord::Accepted(Box::new(job("1", vec![step(2)])), policy(), 7),
        LogRecord::Placed(run, "w0@5".into(), "".into()),
        LogRecord::StartUnconfirmed(run, "w0@5".into()),
        LogRecord::Ended(run, End::Stopped, "".into()),
    ];
    let mut state = LogState::default();
    for record in &records {
        state.apply(record, MS);
    }
    let bytes = snapshot::encode(&state).unwrap();
    let mut read = snapshot::decode(&bytes).unwrap();
    read.index(9 * MS);
    let [start] = &read.unconfirmed()[&run.task][..] else {
        panic!("{:?}", read.unconfirmed());
    };
    assert_eq!((start.run, start.worker.as_str()), (1, "w0@5"));
    assert_eq!(start.since, 9 * MS);
    read.apply(&LogRecord::StartSettled(run), 9 * MS);
    assert!(read.unconfirmed().is_empty());
}

/// Returns the state of a log with a start that may be in flight.
fn state_with_pending_start() -> LogState {
    let run = crash_of(0, 1).run;
    let records = [
        LogRecord::Accepted(Box::new(job("1", vec![step(2)])), policy(), 7),
        LogRecord::Placed(run, "w0@5".into(), "".into()),
        LogRecord::StartPending(run, 3),
    ];
    let mut state = LogState::default();
    for record in &records {
        state.apply(record, MS);
    }
    state
}

/// A snapshot that ends with the unconfirmed starts was written before pending starts were added.
/// Such versions read a newer one without its last section.
#[test]
fn snapshots_with_and_without_pending_starts_are_readable() {
    let state = state_with_pending_start();
    let bytes = postcard::to_stdvec(&state).unwrap();
    let bytes = postcard::to_extend(state.suspects(), bytes).unwrap();
    let bytes = postcard::to_extend(state.unconfirmed(), bytes).unwrap();
    let read = snapshot::decode(&bytes).unwrap();
    assert_eq!(read.jobs[&0].live, 1);
    assert!(read.pending_starts().is_empty());
    let newer = snapshot::encode(&state).unwrap();
    assert!(newer.starts_with(&bytes));
    let read = snapshot::decode(&newer).unwrap();
    assert_eq!(read.pending_starts(), state.pending_starts());
}

/// A run whose end is recorded has no start in flight: what outlasts the run is recorded as
/// unconfirmed.
#[test]
fn the_end_of_a_run_or_its_job_ends_a_pending_start() {
    let run = crash_of(0, 1).run;
    let mut state = state_with_pending_start();
    state.apply(&LogRecord::Ended(run, End::Lost, "".into()), MS);
    assert!(state.pending_starts().is_empty());
    let mut state = state_with_pending_start();
    state.apply(&LogRecord::Cancelled(0), MS);
    assert!(state.pending_starts().is_empty());
}

/// An unconfirmed start is of no interest once its task is done, or where copies are allowed.
#[test]
fn starts_of_done_or_copied_tasks_are_not_kept() {
    let copied = Step {
        speculative: true,
        ..step(1)
    };
    let mut state = LogState::default();
    let accepted = LogRecord::Accepted(Box::new(job("1", vec![step(1), copied])), policy(), 7);
    state.apply(&accepted, MS);
    let first = crash_of(0, 0).run;
    let second = Run {
        task: Task {
            step: 1,
            ..first.task
        },
        number: 1,
    };
    for run in [first, second] {
        state.apply(&LogRecord::Placed(run, "w0".into(), "".into()), MS);
        state.apply(&LogRecord::StartUnconfirmed(run, "w0".into()), MS);
    }
    assert_eq!(state.unconfirmed().len(), 1);
    state.apply(&LogRecord::Ended(first, End::Done, "".into()), MS);
    assert!(state.unconfirmed().is_empty());
}
