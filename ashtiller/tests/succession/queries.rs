//! Calls of clients that reach an owner which does not know yet that it was replaced.
//!
//! Guards against answers from the log of a replaced owner: a process that had been suspended answered
//! 410 to cancellations of jobs that its successor had accepted, and these jobs went on.

use std::time::Duration;

use ashtiller::workflow::message::{PeerRequest, Reply, State};
use ashtiller::workflow::record::PreviousOwner;
use tokio::task::LocalSet;
use tokio::time::{self, Instant};

use crate::series::Series;

/// Time that a client waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Time that a client waits which is in a hurry.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for the first entries of an owner.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Returns an owner that was replaced without its knowledge, and its successor.
async fn replace_unnoticed() -> (Series, PreviousOwner) {
    let mut series = Series::open().await;
    series.acquire_for_node().await;
    series.begin().await;
    time::sleep(SETTLE_TIME).await;
    let next = series.acquire(2).await;
    (series, next)
}

async fn ask(series: &Series, request: PeerRequest) -> Reply {
    series.ask(&request, Instant::now() + TIMEOUT).await
}

#[tokio::test(start_paused = true)]
async fn a_replaced_owner_leaves_a_cancellation_to_the_next_one() {
    let scenario = async {
        let (series, next) = replace_unnoticed().await;
        let process = series.host(&next, next.incarnation, true);
        process.reply_to_clients(Reply::Accepted);
        let reply = ask(&series, PeerRequest::Cancel("later".into())).await;
        assert_eq!(reply, Reply::Accepted);
    };
    LocalSet::new().run_until(scenario).await;
}

#[tokio::test(start_paused = true)]
async fn a_replaced_owner_leaves_the_state_of_a_job_to_the_next_one() {
    let scenario = async {
        let (series, next) = replace_unnoticed().await;
        let process = series.host(&next, next.incarnation, true);
        process.reply_to_clients(Reply::State(State::Running));
        let reply = ask(&series, PeerRequest::State("later".into())).await;
        assert_eq!(reply, Reply::State(State::Running));
    };
    LocalSet::new().run_until(scenario).await;
}

#[tokio::test(start_paused = true)]
async fn a_replaced_owner_leaves_the_number_of_pending_jobs_to_the_next_one() {
    let scenario = async {
        let (series, next) = replace_unnoticed().await;
        let process = series.host(&next, next.incarnation, true);
        process.reply_to_clients(Reply::Pending(7));
        let reply = ask(&series, PeerRequest::Pending("jobs/q/".into())).await;
        assert_eq!(reply, Reply::Pending(7));
    };
    LocalSet::new().run_until(scenario).await;
}

/// Nobody answers for the job in time: the client is told to try again, and not that there is no such
/// job. The time is too short for the instance to replace the next owner.
#[tokio::test(start_paused = true)]
async fn a_replaced_owner_tells_to_retry_while_the_next_one_is_silent() {
    let scenario = async {
        let (series, next) = replace_unnoticed().await;
        series.set_dark(&next, true);
        let queries = [
            PeerRequest::State("later".into()),
            PeerRequest::Cancel("later".into()),
        ];
        for query in queries {
            let reply = series.ask(&query, Instant::now() + SHORT_TIMEOUT).await;
            let says_retry = matches!(reply, Reply::Refused(_) | Reply::Unknown);
            assert!(says_retry, "{reply:?}");
        }
    };
    LocalSet::new().run_until(scenario).await;
}

/// Operators read the status of a wave in the store. What a replaced owner knows of it may be outdated:
/// the next one may have written that the wave is over.
#[tokio::test(start_paused = true)]
async fn a_replaced_owner_does_not_write_the_status_of_a_wave() {
    let scenario = async {
        let mut series = Series::open().await;
        series.acquire_for_node().await;
        series.begin().await;
        time::sleep(SETTLE_TIME).await;
        assert!(series.request_wave(1).await, "it owns the log");
        series.acquire(2).await;
        assert!(!series.request_wave(2).await, "it was replaced");
    };
    LocalSet::new().run_until(scenario).await;
}
