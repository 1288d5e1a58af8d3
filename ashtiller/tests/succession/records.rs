//! Records of replaced owners in the store.

use std::sync::Arc;

use ashtiller::workflow::kv::{Store, Txn};
use ashtiller::workflow::log::predecessors::{self, ReplacedOwner};
use ashtiller::workflow::log::{Acquisition, Log};
use ashtiller::workflow::record::{LogOwner, PreviousOwner};
use bytes::Bytes;

use crate::memory_store::MemoryStore;

const PREFIX: &str = "flow/";

fn open(store: &Arc<MemoryStore>) -> Log {
    Log::new(store.clone(), PREFIX, 1)
}

/// Lets `count` owners acquire the log one after the other; returns their epochs.
async fn acquire_in_series(log: &Log, count: u64) -> Vec<u64> {
    let mut former: Option<PreviousOwner> = None;
    let mut epochs = Vec::new();
    for incarnation in 1..=count {
        let mine = LogOwner {
            name: "owner".into(),
            address: ([127, 0, 0, 1], 7800).into(),
            incarnation,
            largest: 250,
            former,
            epoch: 0,
        };
        let replaced = former.map_or(0, |owner| owner.epoch);
        let acquired = log.acquire(&mine, replaced).await;
        let Ok(Acquisition::Acquired(epoch)) = acquired else {
            panic!("not acquired: {acquired:?}");
        };
        former = Some(LogOwner { epoch, ..mine }.as_former());
        epochs.push(epoch);
    }
    epochs
}

async fn read(log: &Log) -> Vec<ReplacedOwner> {
    let owners = log.read_replaced_owners().await;
    owners.expect("the records should be read")
}

fn epochs_before(owners: &[ReplacedOwner], epoch: u64) -> Vec<u64> {
    let owners = predecessors::trace_predecessors(owners, epoch);
    owners.iter().map(|owner| owner.epoch).collect()
}

#[tokio::test(start_paused = true)]
async fn all_replaced_owners_are_known_newest_first() {
    let log = open(&Arc::default());
    let mut epochs = acquire_in_series(&log, 40).await;
    let newest = epochs.pop().expect("there should be an owner");
    epochs.reverse();
    assert_eq!(epochs_before(&read(&log).await, newest), epochs);
}

/// A missing or unreadable record hides all owners before it: whether they have ended is then known
/// from the log only.
#[tokio::test(start_paused = true)]
async fn owners_before_an_unreadable_record_are_unknown() {
    let store = Arc::<MemoryStore>::default();
    let log = open(&store);
    let epochs = acquire_in_series(&log, 4).await;
    let key = format!("{PREFIX}former/{:016x}", epochs[1]);
    let overwrite = Txn {
        put: vec![(key, Bytes::from_static(b"?"))],
        ..Txn::default()
    };
    let written = store.commit(&overwrite).await;
    written.expect("the record should be overwritten");
    assert_eq!(epochs_before(&read(&log).await, epochs[3]), [epochs[2]]);
}

/// The records of owners that have ended are removed, all others stay. They are more than one
/// transaction may remove.
#[tokio::test(start_paused = true)]
async fn records_of_ended_owners_are_removed() {
    let log = open(&Arc::default());
    let epochs = acquire_in_series(&log, 40).await;
    let (oldest, newest) = (epochs[36], epochs[39]);
    let removed = log
        .remove_replaced_owners(newest, &read(&log).await, oldest)
        .await;
    removed.expect("the records should be removed");
    let expected = [epochs[38], epochs[37], epochs[36]];
    assert_eq!(epochs_before(&read(&log).await, newest), expected);
    assert_eq!(read(&log).await.len(), expected.len());
}

/// A former owner removes nothing: its view of the owners may be outdated.
#[tokio::test(start_paused = true)]
async fn a_former_owner_removes_no_records() {
    let log = open(&Arc::default());
    let epochs = acquire_in_series(&log, 4).await;
    let removed = log
        .remove_replaced_owners(epochs[2], &read(&log).await, epochs[3])
        .await;
    assert!(removed.is_err());
    assert_eq!(read(&log).await.len(), 3);
}
