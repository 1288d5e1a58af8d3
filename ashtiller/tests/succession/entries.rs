//! Entries of the log as versions with and without optional records write and read them.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::blame::LostRun;
use ashtiller::workflow::interference::Interference;
use ashtiller::workflow::kv::{Store, Txn};
use ashtiller::workflow::log::Log;
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::record::{End, LogRecord, Run, Task};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::memory_store::MemoryStore;
use crate::series;

const PREFIX: &str = "flow/";
const RUN: Run = Run {
    task: Task {
        job: 0,
        occurrence: 0,
        step: 0,
        index: 0,
    },
    number: 1,
};

/// The layout of an entry before optional records were added.
#[derive(Deserialize, Serialize)]
struct EarlierEntry {
    life: u64,
    facts: Vec<LogRecord>,
}

/// Replays a log with a single entry.
async fn replay(entry: Bytes) -> LogState {
    let store = Arc::<MemoryStore>::default();
    let log = Log::new(store.clone(), PREFIX, 1);
    let write = Txn {
        put: vec![(format!("{PREFIX}log/{:012x}", 1), entry)],
        ..Txn::default()
    };
    let written = store.commit(&write).await;
    written.expect("the entry should be written");
    let replayed = log.replay(Duration::ZERO).await;
    let Ok(replayed) = replayed else {
        panic!("the log should be replayed");
    };
    assert_eq!(replayed.next_position, 2);
    replayed.state
}

fn encode(records: &[LogRecord]) -> Bytes {
    let log = Log::new(Arc::<MemoryStore>::default(), PREFIX, 1);
    let entry = log.encode(records.to_vec());
    entry.expect("the entry should be encoded")
}

/// Returns the records of a run, with the given ones after them.
fn records_with(more: &[LogRecord]) -> Vec<LogRecord> {
    [&series::records(), more].concat()
}

#[tokio::test(start_paused = true)]
async fn optional_records_are_replayed() {
    let records = records_with(&[LogRecord::StartPending(RUN, 7)]);
    let state = replay(encode(&records)).await;
    assert_eq!(state.pending_starts().get(&RUN), Some(&7));
    let records = records_with(&[
        LogRecord::StartPending(RUN, 7),
        LogRecord::StartAnswered(RUN),
    ]);
    let state = replay(encode(&records)).await;
    assert!(state.pending_starts().is_empty());
}

/// An owner of an earlier version reads the log as before.
#[test]
fn earlier_versions_skip_optional_records() {
    let records = records_with(&[LogRecord::StartPending(RUN, 7)]);
    let entry: EarlierEntry = postcard::from_bytes(&encode(&records)).unwrap();
    assert_eq!(entry.life, 1);
    assert_eq!(entry.facts, series::records());
}

#[tokio::test(start_paused = true)]
async fn entries_of_earlier_versions_are_readable() {
    let entry = EarlierEntry {
        life: 1,
        facts: series::records().to_vec(),
    };
    let state = replay(postcard::to_stdvec(&entry).unwrap().into()).await;
    assert!(state.is_live(RUN));
    assert!(state.pending_starts().is_empty());
}

/// Optional records apply last, and a start of a run that has ended by then is not pending.
#[tokio::test(start_paused = true)]
async fn a_run_that_ended_in_the_same_entry_has_no_pending_start() {
    let records = records_with(&[
        LogRecord::StartPending(RUN, 7),
        LogRecord::Ended(RUN, End::Stopped, "".into()),
    ]);
    let state = replay(encode(&records)).await;
    assert!(!state.is_live(RUN));
    assert!(state.pending_starts().is_empty());
}

/// An owner of an earlier version reads the log as before, and later ones know which workers got no lease.
#[tokio::test(start_paused = true)]
async fn records_of_silent_workers_are_replayed_and_skipped_by_earlier_versions() {
    let records = records_with(&[
        LogRecord::WorkersSilent(7, vec!["w0".into(), "w1".into()]),
        LogRecord::WorkerHeard(7, "w1".into()),
    ]);
    let entry: EarlierEntry = postcard::from_bytes(&encode(&records)).unwrap();
    assert_eq!(entry.facts, series::records());
    let state = replay(encode(&records)).await;
    assert!(state.silent_workers().contains(7, "w0"));
    assert!(!state.silent_workers().contains(7, "w1"));
}

/// The same for ids that were cancelled before their jobs arrived, and for learned factors.
#[tokio::test(start_paused = true)]
async fn records_of_cancelled_ids_and_factors_are_replayed_and_skipped_by_earlier_versions() {
    let mut learned = Interference::default();
    let image = learned.number(&"serves".into());
    learned.learn(image, 2.0, None, &[]);
    let factors = learned.take_changed().expect("a change");
    let records = records_with(&[
        LogRecord::IdCancelled("a".into()),
        LogRecord::FactorsLearned(factors),
    ]);
    let entry: EarlierEntry = postcard::from_bytes(&encode(&records)).unwrap();
    assert_eq!(entry.facts, series::records());
    let state = replay(encode(&records)).await;
    assert!(state.cancelled_ids().contains("a"));
    assert!(!state.factors().is_empty());
}

/// The same for losses that say nothing about the tasks; an earlier version keeps its suspects.
#[tokio::test(start_paused = true)]
async fn records_of_explained_losses_are_replayed_and_skipped_by_earlier_versions() {
    let lost = LostRun {
        run: RUN,
        age: 40,
        weight: 2,
        begun: true,
    };
    let crashed = records_with(&[LogRecord::Crashed("w0".into(), vec![lost])]);
    let state = replay(encode(&crashed)).await;
    assert_eq!(state.suspects().len(), 1);
    let explained = [LogRecord::LossExplained("w0".into(), vec![RUN])];
    let records = [&crashed[..], &explained].concat();
    let entry: EarlierEntry = postcard::from_bytes(&encode(&records)).unwrap();
    assert_eq!(entry.facts, crashed);
    let state = replay(encode(&records)).await;
    assert!(state.suspects().is_empty());
}
