//! Jobs and their tasks while workers, cell owners and the store fail.

mod support;

use std::time::Duration;

use ashtiller::fact::{Body, Entry};
use ashtiller::record;
use hyper::Method;
use standin::faults::Switches;
use support::{Cluster, wait_until};

#[tokio::test(flavor = "multi_thread")]
async fn a_job_runs_once_under_its_name() {
    let cluster = Cluster::open(1, 2).await;
    assert_eq!(cluster.submit("night", "batch").await, 202);
    assert_eq!(
        cluster.submit("night", "batch").await,
        200,
        "the same job again"
    );
    assert_eq!(
        cluster.submit("night", "long").await,
        409,
        "another job under the same name"
    );
    assert_eq!(cluster.submit("night", "cellar").await, 400, "unknown kind");
    cluster.wait_until_all("night", "finished").await;
    assert_eq!(
        cluster.submit("night", "batch").await,
        200,
        "a finished job is still known"
    );
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_can_never_run_is_refused_with_the_reason() {
    let cluster = Cluster::open(1, 1).await;
    let text = support::template("dealer-north", "").replace("processors = 14", "processors = 40");
    let revision = support::apply_text(&cluster.store, "dealer-north", &text).await;
    support::wait_until_in_force(cluster.gateway.operators(), revision).await;
    let target = "/v1/jobs/dealer-north/huge?kind=plan";
    let (status, body) = cluster.call(Method::PUT, target).await;
    assert_eq!(status, 422, "{body}");
    assert_eq!(body["outcome"], "not-run");
    assert!(
        body["reason"]
            .as_str()
            .is_some_and(|reason| reason.contains("40 processors")),
        "{body}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_a_killed_worker_run_elsewhere() {
    let cluster = Cluster::open(1, 3).await;
    assert_eq!(cluster.submit("watch", "listener").await, 202);
    cluster.wait_until_running("watch", 1).await;
    let first_worker = cluster.running("watch")[0].worker.clone();
    let number: usize = first_worker
        .trim_start_matches("worker-")
        .parse()
        .expect("number");
    cluster.agents[number].kill();
    wait_until("it runs elsewhere", async || {
        cluster
            .running("watch")
            .iter()
            .any(|interval| interval.worker != first_worker)
    })
    .await;
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_a_restarted_worker_start_anew() {
    let cluster = Cluster::open(1, 1).await;
    assert_eq!(cluster.submit("watch", "listener").await, 202);
    cluster.wait_until_running("watch", 1).await;
    cluster.agents[0].restart();
    wait_until("the second attempt runs", async || {
        cluster
            .running("watch")
            .iter()
            .any(|interval| interval.attempt == 2)
    })
    .await;
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_run_on_when_their_owner_dies() {
    let mut cluster = Cluster::open(2, 2).await;
    assert_eq!(cluster.submit("watch", "listener").await, 202);
    cluster.wait_until_running("watch", 1).await;
    let owner = cluster.owner().expect("an owner");
    drop(cluster.schedulers.remove(owner));
    wait_until("another owns the cell", async || cluster.owner().is_some()).await;
    assert_eq!(cluster.submit("night", "batch").await, 202);
    cluster.wait_until_all("night", "finished").await;
    assert_eq!(cluster.running("watch").len(), 1);
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_the_cell_over_without_a_restart() {
    let mut cluster = Cluster::open(2, 2).await;
    assert_eq!(cluster.submit("watch", "listener").await, 202);
    cluster.wait_until_running("watch", 1).await;
    let owner = cluster.owner().expect("an owner");
    let stopped = cluster.schedulers.remove(owner);
    tokio::spawn(stopped.stop());
    assert_eq!(cluster.submit("night", "batch").await, 202);
    cluster.wait_until_all("night", "finished").await;
    let watch = cluster.running("watch");
    assert_eq!(
        (watch.len(), watch[0].attempt),
        (1, 1),
        "it kept running during the handover"
    );
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_run_on_while_the_store_is_down() {
    let cluster = Cluster::open(1, 2).await;
    assert_eq!(cluster.submit("watch", "listener").await, 202);
    cluster.wait_until_running("watch", 1).await;
    cluster.store.faults().set_down(true);
    // Longer than the lease of 900 ms, shorter than the horizon of 2 s.
    tokio::time::sleep(Duration::from_millis(1400)).await;
    cluster.store.faults().set_down(false);
    assert_eq!(cluster.submit("night", "batch").await, 202);
    cluster.wait_until_all("night", "finished").await;
    assert_eq!(cluster.running("watch")[0].attempt, 1);
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn past_the_horizon_tasks_stop_and_are_restarted_once() {
    let cluster = Cluster::open(1, 2).await;
    assert_eq!(cluster.submit("watch", "listener").await, 202);
    cluster.wait_until_running("watch", 1).await;
    cluster.store.faults().set_down(true);
    wait_until("the lease lapses", async || {
        cluster.running("watch").is_empty()
    })
    .await;
    cluster.store.faults().set_down(false);
    cluster.wait_until_running("watch", 1).await;
    // The outage must not cost one attempt for each scheduling round.
    let attempt = cluster.running("watch")[0].attempt;
    assert!((2..=4).contains(&attempt), "attempt {attempt}");
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_store_change_nothing() {
    let cluster = Cluster::open(1, 2).await;
    for round in 0..6 {
        cluster.store.faults().set(Switches {
            lose_answers: 3,
            ..Switches::default()
        });
        let job = format!("night-{round}");
        assert!(matches!(cluster.submit(&job, "batch").await, 200 | 202));
        cluster.wait_until_all(&job, "finished").await;
    }
    let log = cluster.store.values("ashtiller/cells/bern/log/");
    let entries = log
        .iter()
        .map(|(_, value)| record::decode::<Entry>(value).expect("an entry"));
    let seals = entries
        .filter(|entry| matches!(entry.body, Body::Seal { .. }))
        .count();
    assert_eq!(seals, 1, "the owner read its entries back and kept the log");
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_cut_off_stops_its_tasks_before_they_start_elsewhere() {
    let cluster = Cluster::open(1, 2).await;
    assert_eq!(cluster.submit("watch", "listener").await, 202);
    cluster.wait_until_running("watch", 1).await;
    let first_worker = cluster.running("watch")[0].worker.clone();
    let number: usize = first_worker
        .trim_start_matches("worker-")
        .parse()
        .expect("number");
    cluster.agents[number].faults().set_down(true);
    wait_until("it runs elsewhere", async || {
        cluster
            .running("watch")
            .iter()
            .any(|interval| interval.worker != first_worker)
    })
    .await;
    cluster.agents[number].faults().set_down(false);
    assert_eq!(cluster.submit("night", "batch").await, 202);
    cluster.wait_until_all("night", "finished").await;
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn urgent_work_evicts_batch_work_that_resumes_once() {
    let cluster = Cluster::open(1, 1).await;
    let job_path = |job: &str, kind: &str, tasks: u32| {
        format!("/v1/jobs/dealer-north/{job}?kind={kind}&tasks={tasks}")
    };
    assert_eq!(
        cluster
            .call(Method::PUT, &job_path("long", "long", 8))
            .await
            .0,
        202
    );
    cluster.wait_until_running("long", 8).await;
    assert_eq!(cluster.submit("now", "plan").await, 202);
    cluster.wait_until_all("now", "finished").await;
    cluster.wait_until_running("long", 8).await;
    let intervals = cluster.record.intervals();
    let evicted = intervals
        .iter()
        .filter(|interval| interval.end == Some(standin::agent::EndReason::Evicted));
    assert!(evicted.count() >= 7, "the plan needs 14 of 16 processors");
    let resumed = intervals.iter().filter(|interval| interval.attempt == 2);
    assert!(
        resumed.clone().all(|interval| interval.progress > 0),
        "from its checkpoint"
    );
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn cancelled_work_does_not_run_any_more() {
    let cluster = Cluster::open(1, 2).await;
    for number in 0..10 {
        let target = format!("/v1/jobs/dealer-north/wave-{number}?kind=long&tasks=4");
        assert_eq!(cluster.call(Method::PUT, &target).await.0, 202);
    }
    // The cancellations race with the starts.
    for number in 0..10 {
        let target = format!("/v1/jobs/dealer-north/wave-{number}");
        assert_eq!(cluster.call(Method::DELETE, &target).await.0, 202);
    }
    for number in 0..10 {
        let job = format!("wave-{number}");
        cluster.wait_until_all(&job, "cancelled").await;
        assert!(
            cluster.running(&job).is_empty(),
            "reported as cancelled but still running"
        );
    }
    assert_eq!(
        cluster
            .call(Method::DELETE, "/v1/jobs/dealer-north/none")
            .await
            .0,
        404
    );
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_fails_everything_is_quarantined() {
    let cluster = Cluster::open(1, 3).await;
    cluster.agents[0].set_fail_all(true);
    for number in 0..12 {
        assert_eq!(
            cluster.submit(&format!("night-{number}"), "batch").await,
            202
        );
    }
    for number in 0..12 {
        cluster
            .wait_until_all(&format!("night-{number}"), "finished")
            .await;
    }
    let cell = support::get_json(cluster.gateway.operators(), "/v1/cells/bern").await;
    assert_eq!(cell["workers"][0]["state"], "quarantined", "{cell}");
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_task_that_fails_everywhere_is_given_up() {
    let cluster = Cluster::open(1, 2).await;
    for agent in &cluster.agents {
        agent.set_fail_all(true);
    }
    let text =
        support::template("dealer-north", "").replace("tasks = 2", "tasks = 1\nattempts = 2");
    let revision = support::apply_text(&cluster.store, "dealer-north", &text).await;
    support::wait_until_in_force(cluster.gateway.operators(), revision).await;
    assert_eq!(cluster.submit("poison", "batch").await, 202);
    cluster.wait_until_all("poison", "given-up").await;
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn work_moves_off_a_leaving_worker() {
    let cluster = Cluster::open(1, 2).await;
    assert_eq!(cluster.submit("watch", "listener").await, 202);
    cluster.wait_until_running("watch", 1).await;
    let first_worker = cluster.running("watch")[0].worker.clone();
    let number: usize = first_worker
        .trim_start_matches("worker-")
        .parse()
        .expect("number");
    cluster.list(&[number]);
    wait_until("it runs elsewhere", async || {
        cluster
            .running("watch")
            .iter()
            .any(|interval| interval.worker != first_worker)
    })
    .await;
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn the_status_of_a_waiting_task_gives_the_reason() {
    let cluster = Cluster::open(1, 1).await;
    let target = "/v1/jobs/dealer-north/many?kind=long&tasks=12";
    assert_eq!(cluster.call(Method::PUT, target).await.0, 202);
    cluster.wait_until_running("many", 8).await;
    let (_, shown) = cluster
        .call(Method::GET, "/v1/jobs/dealer-north/many")
        .await;
    let reasons: Vec<&str> = shown["jobs"][0]["tasks"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|task| task["waits"].as_str())
        .collect();
    assert_eq!(reasons.len(), 4);
    assert!(
        reasons[0].starts_with("no worker has 2 processors"),
        "{reasons:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_damaged_log_stops_its_cell_with_a_clear_error() {
    let mut cluster = Cluster::open(1, 1).await;
    assert_eq!(cluster.submit("night", "batch").await, 202);
    drop(cluster.schedulers.remove(0));
    let log = cluster.store.values("ashtiller/cells/bern/log/");
    let (key, value) = log.last().cloned().expect("an entry");
    let mut damaged = value.to_vec();
    if let Some(last) = damaged.last_mut() {
        *last ^= 0x40;
    }
    cluster.store.overwrite(&key, damaged.into());
    cluster.add_scheduler(1).await;
    let operators = cluster.schedulers[0].operators();
    wait_until("the scheduler reports the damaged record", async || {
        let dump = support::get_json(operators, "/dump").await;
        dump["damaged"]["bern"]
            .as_str()
            .is_some_and(|error| error.contains("checksum"))
    })
    .await;
    assert!(cluster.owner().is_none());
    let after = cluster.store.values("ashtiller/cells/bern/log/");
    assert_eq!(after.len(), log.len(), "a damaged cell is not written to");
}
