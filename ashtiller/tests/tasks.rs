//! Jobs and their tasks, with workers, owners and the store failing.

mod support;

use std::time::Duration;

use ashtiller::fact::{Body, Entry};
use ashtiller::record;
use hyper::Method;
use standin::faults::Switches;
use support::{Cluster, until};

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
    assert_eq!(cluster.submit("night", "cellar").await, 400, "no such kind");
    cluster.until_all("night", "finished").await;
    assert_eq!(
        cluster.submit("night", "batch").await,
        200,
        "it is remembered"
    );
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_can_never_run_is_refused_with_the_reason() {
    let cluster = Cluster::open(1, 1).await;
    let text = support::template("dealer-north", "").replace("processors = 14", "processors = 40");
    let revision = support::apply_text(&cluster.store, "dealer-north", &text).await;
    support::until_in_force(cluster.gateway.operators(), revision).await;
    let target = "/v1/jobs/dealer-north/huge?kind=plan";
    let (status, said) = cluster.ask(Method::PUT, target).await;
    assert_eq!(status, 422, "{said}");
    assert_eq!(said["outcome"], "not-run");
    assert!(
        said["reason"]
            .as_str()
            .is_some_and(|reason| reason.contains("40 processors")),
        "{said}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_a_killed_worker_run_elsewhere() {
    let cluster = Cluster::open(1, 3).await;
    assert_eq!(cluster.submit("watch", "listener").await, 202);
    cluster.until_running("watch", 1).await;
    let busy = cluster.running("watch")[0].worker.clone();
    let number: usize = busy.trim_start_matches("worker-").parse().expect("number");
    cluster.agents[number].kill();
    until("it runs elsewhere", async || {
        cluster
            .running("watch")
            .iter()
            .any(|stretch| stretch.worker != busy)
    })
    .await;
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_a_restarted_worker_start_anew() {
    let cluster = Cluster::open(1, 1).await;
    assert_eq!(cluster.submit("watch", "listener").await, 202);
    cluster.until_running("watch", 1).await;
    cluster.agents[0].restart();
    until("the second attempt runs", async || {
        cluster
            .running("watch")
            .iter()
            .any(|stretch| stretch.attempt == 2)
    })
    .await;
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_run_on_when_their_owner_dies() {
    let mut cluster = Cluster::open(2, 2).await;
    assert_eq!(cluster.submit("watch", "listener").await, 202);
    cluster.until_running("watch", 1).await;
    let owner = cluster.owner().expect("an owner");
    drop(cluster.schedulers.remove(owner));
    until("another owns the cell", async || cluster.owner().is_some()).await;
    assert_eq!(cluster.submit("night", "batch").await, 202);
    cluster.until_all("night", "finished").await;
    assert_eq!(cluster.running("watch").len(), 1);
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_the_cell_over_without_a_restart() {
    let mut cluster = Cluster::open(2, 2).await;
    assert_eq!(cluster.submit("watch", "listener").await, 202);
    cluster.until_running("watch", 1).await;
    let owner = cluster.owner().expect("an owner");
    let stopped = cluster.schedulers.remove(owner);
    tokio::spawn(stopped.stop());
    assert_eq!(cluster.submit("night", "batch").await, 202);
    cluster.until_all("night", "finished").await;
    let watch = cluster.running("watch");
    assert_eq!(
        (watch.len(), watch[0].attempt),
        (1, 1),
        "it ran on through the hand-over"
    );
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_run_on_while_the_store_is_down() {
    let cluster = Cluster::open(1, 2).await;
    assert_eq!(cluster.submit("watch", "listener").await, 202);
    cluster.until_running("watch", 1).await;
    cluster.store.faults().set_down(true);
    // Longer than a lease, shorter than the horizon.
    tokio::time::sleep(Duration::from_millis(1400)).await;
    cluster.store.faults().set_down(false);
    assert_eq!(cluster.submit("night", "batch").await, 202);
    cluster.until_all("night", "finished").await;
    assert_eq!(cluster.running("watch")[0].attempt, 1);
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn past_the_horizon_tasks_stop_and_start_again_once() {
    let cluster = Cluster::open(1, 2).await;
    assert_eq!(cluster.submit("watch", "listener").await, 202);
    cluster.until_running("watch", 1).await;
    cluster.store.faults().set_down(true);
    until("the lease lapses", async || {
        cluster.running("watch").is_empty()
    })
    .await;
    cluster.store.faults().set_down(false);
    cluster.until_running("watch", 1).await;
    // Not one for each round of decisions while nothing could be renewed.
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
        cluster.until_all(&job, "finished").await;
    }
    let log = cluster.store.values("ashtiller/cells/bern/log/");
    let entries = log
        .iter()
        .map(|(_, value)| record::decode::<Entry>(value).expect("an entry"));
    let seals = entries
        .filter(|entry| matches!(entry.body, Body::Seal { .. }))
        .count();
    assert_eq!(seals, 1, "its owner read its entries back and stayed");
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_cut_off_stops_its_tasks_before_they_start_elsewhere() {
    let cluster = Cluster::open(1, 2).await;
    assert_eq!(cluster.submit("watch", "listener").await, 202);
    cluster.until_running("watch", 1).await;
    let busy = cluster.running("watch")[0].worker.clone();
    let number: usize = busy.trim_start_matches("worker-").parse().expect("number");
    cluster.agents[number].faults().set_down(true);
    until("it runs elsewhere", async || {
        cluster
            .running("watch")
            .iter()
            .any(|stretch| stretch.worker != busy)
    })
    .await;
    cluster.agents[number].faults().set_down(false);
    assert_eq!(cluster.submit("night", "batch").await, 202);
    cluster.until_all("night", "finished").await;
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn urgent_work_evicts_batch_work_that_resumes_once() {
    let cluster = Cluster::open(1, 1).await;
    let north = |job: &str, kind: &str, tasks: u32| {
        format!("/v1/jobs/dealer-north/{job}?kind={kind}&tasks={tasks}")
    };
    assert_eq!(
        cluster.ask(Method::PUT, &north("long", "long", 8)).await.0,
        202
    );
    cluster.until_running("long", 8).await;
    assert_eq!(cluster.submit("now", "plan").await, 202);
    cluster.until_all("now", "finished").await;
    cluster.until_running("long", 8).await;
    let stretches = cluster.record.intervals();
    let evicted = stretches
        .iter()
        .filter(|stretch| stretch.end == Some(standin::agent::EndReason::Evicted));
    assert!(evicted.count() >= 7, "room for 14 of 16 processors");
    let resumed = stretches.iter().filter(|stretch| stretch.attempt == 2);
    assert!(
        resumed.clone().all(|stretch| stretch.progress > 0),
        "from its checkpoint"
    );
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn cancelled_work_does_not_run_any_more() {
    let cluster = Cluster::open(1, 2).await;
    for number in 0..10 {
        let target = format!("/v1/jobs/dealer-north/wave-{number}?kind=long&tasks=4");
        assert_eq!(cluster.ask(Method::PUT, &target).await.0, 202);
    }
    // A wave of cancellations that races the starts.
    for number in 0..10 {
        let target = format!("/v1/jobs/dealer-north/wave-{number}");
        assert_eq!(cluster.ask(Method::DELETE, &target).await.0, 202);
    }
    for number in 0..10 {
        let job = format!("wave-{number}");
        cluster.until_all(&job, "cancelled").await;
        assert!(
            cluster.running(&job).is_empty(),
            "told cancelled, still runs"
        );
    }
    assert_eq!(
        cluster
            .ask(Method::DELETE, "/v1/jobs/dealer-north/none")
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
            .until_all(&format!("night-{number}"), "finished")
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
    support::until_in_force(cluster.gateway.operators(), revision).await;
    assert_eq!(cluster.submit("poison", "batch").await, 202);
    cluster.until_all("poison", "given-up").await;
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn work_moves_off_a_leaving_worker() {
    let cluster = Cluster::open(1, 2).await;
    assert_eq!(cluster.submit("watch", "listener").await, 202);
    cluster.until_running("watch", 1).await;
    let busy = cluster.running("watch")[0].worker.clone();
    let number: usize = busy.trim_start_matches("worker-").parse().expect("number");
    cluster.list(&[number]);
    until("it runs elsewhere", async || {
        cluster
            .running("watch")
            .iter()
            .any(|stretch| stretch.worker != busy)
    })
    .await;
    cluster.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn why_a_task_waits_is_said_in_one_line() {
    let cluster = Cluster::open(1, 1).await;
    let target = "/v1/jobs/dealer-north/many?kind=long&tasks=12";
    assert_eq!(cluster.ask(Method::PUT, target).await.0, 202);
    cluster.until_running("many", 8).await;
    let (_, shown) = cluster.ask(Method::GET, "/v1/jobs/dealer-north/many").await;
    let waits: Vec<&str> = shown["jobs"][0]["tasks"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|task| task["waits"].as_str())
        .collect();
    assert_eq!(waits.len(), 4);
    assert!(
        waits[0].starts_with("no worker has 2 processors"),
        "{waits:?}"
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
    until("the scheduler says which record is damaged", async || {
        let dump = support::get_json(operators, "/dump").await;
        dump["damaged"]["bern"]
            .as_str()
            .is_some_and(|said| said.contains("checksum"))
    })
    .await;
    assert!(cluster.owner().is_none());
    let after = cluster.store.values("ashtiller/cells/bern/log/");
    assert_eq!(after.len(), log.len(), "a damaged cell is not written to");
}
