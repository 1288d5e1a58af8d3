//! Owners of a log whose chain of records has a beginning, or none.

use std::time::Duration;

use tokio::task::LocalSet;

use crate::series::Series;
use crate::{assert_full_wait, assert_prompt};

/// The first owner of the log ended before its first entry, and the second one before it had any
/// proof. The record of the first owner is there, and no owner preceded it, but only an entry of it
/// would say so: the third owner waits for 17.3 s although nothing listens at both addresses.
#[tokio::test(start_paused = true)]
async fn a_task_starts_soon_after_a_first_owner_without_entries() {
    let scenario = async {
        let mut series = Series::open().await;
        series.acquire(1).await;
        series.acquire(2).await;
        series.write_entry_without_proof().await;
        let begin = series.begin().await;
        assert_prompt(series.start_delay(begin).await, Duration::ZERO);
    };
    LocalSet::new().run_until(scenario).await;
}

/// Another program removes the lead key: the next owner names no predecessor, but the log and the
/// records show that there were some, and the last one is still active.
#[tokio::test(start_paused = true)]
async fn a_task_waits_for_an_owner_whose_lead_key_was_removed() {
    let scenario = async {
        let mut series = Series::open().await;
        let first = series.acquire(1).await;
        series.write_entry(first.epoch).await;
        series.host(&first, first.incarnation, true);
        series.remove_lead().await;
        let begin = series.begin().await;
        assert_full_wait(series.start_delay(begin).await);
    };
    LocalSet::new().run_until(scenario).await;
}
