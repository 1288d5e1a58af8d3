//! When a process learned of the owners of the log.

use std::time::Duration;

use ashtiller::clock::Moment;
use ashtiller::workflow::membership::owner_history::OwnerHistory;
use tokio::time;

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn owners_are_known_from_when_each_was_noted() {
    let mut history = OwnerHistory::default();
    history.note(3, Moment::now());
    time::advance(2 * SECOND).await;
    history.note(8, Moment::now());
    time::advance(SECOND).await;
    let ages = history.ages();
    let seconds: Vec<(u64, u64)> = ages.iter().map(|(at, age)| (*at, age.as_secs())).collect();
    assert_eq!(seconds, [(3, 3), (8, 1)]);
}

/// Without the oldest owners the others are counted from later moments, never from earlier ones.
#[tokio::test(start_paused = true)]
async fn the_oldest_owners_are_forgotten() {
    let mut history = OwnerHistory::default();
    for epoch in 0..1000 {
        history.note(epoch, Moment::now());
    }
    let ages = history.ages();
    assert!(ages.len() < 100, "{}", ages.len());
    assert_eq!(ages.last().map(|(epoch, _)| *epoch), Some(999));
}
