//! An accepted template reaches every gateway and never reverts.

mod support;

use std::sync::Arc;
use std::time::Duration;

use ashtiller::apply::{self, Applied};
use ashtiller::consul;
use standin::faults::Switches;
use standin::store::Store;
use support::{TestRequest, World, apply_text, template, wait_until};

async fn revision_of(store: &Store) -> u64 {
    let client = consul::open(store.address(), Duration::from_secs(2));
    let account = Arc::from("dealer-north");
    let base = apply::read(&*client, &account).await.expect("base");
    let text = base.text().expect("text").clone();
    match apply::write(&*client, &account, &text, &base, false).await {
        Ok(Applied::Unchanged(revision)) => revision,
        other => panic!("{other:?}"),
    }
}

/// Returns whether every gateway applies a template without the service `fleet`.
async fn all_without_service(world: &World) -> bool {
    for number in 0..world.gateways.len() {
        if TestRequest::get("g")
            .send(world.callers(number))
            .await
            .status()
            != 404
        {
            return false;
        }
    }
    true
}

fn without_service() -> String {
    "[account]\nname = dealer-north\n[service other]\nclass = batch\n".to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_every_gateway() {
    let world = World::open(3, 1).await;
    assert_eq!(
        TestRequest::get("g").send(world.callers(0)).await.status(),
        200
    );
    apply_text(&world.store, "dealer-north", &without_service()).await;
    wait_until("every gateway applies it", async || {
        all_without_service(&world).await
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_arrives_although_a_watch_is_stuck() {
    let world = World::open(2, 1).await;
    world.store.faults().set(Switches {
        stuck: true,
        ..Switches::default()
    });
    apply_text(&world.store, "dealer-north", &without_service()).await;
    wait_until("every gateway applies it", async || {
        all_without_service(&world).await
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_restored_to_an_older_state_reverts_no_template() {
    let world = World::open(2, 1).await;
    world.store.save();
    apply_text(&world.store, "dealer-north", &without_service()).await;
    wait_until("every gateway applies it", async || {
        all_without_service(&world).await
    })
    .await;
    let revision = revision_of(&world.store).await;
    world.store.restore();
    wait_until("the store has the newer template again", async || {
        let client = consul::open(world.store.address(), Duration::from_secs(2));
        let base = apply::read(&*client, "dealer-north").await;
        base.is_ok_and(|base| {
            base.text()
                .is_some_and(|text| text.contains("service other"))
        })
    })
    .await;
    assert_eq!(
        revision_of(&world.store).await,
        revision,
        "rewritten under its own revision"
    );
    assert!(all_without_service(&world).await);
    // A gateway that starts now reads the accepted template.
    let mut world = world;
    world.add_gateway(7).await;
    wait_until("every gateway applies it", async || {
        all_without_service(&world).await
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_racing_updates_one_gets_a_conflict() {
    let world = World::without_gateways(1, "").await;
    let client = consul::open(world.store.address(), Duration::from_secs(2));
    let account: Arc<str> = Arc::from("dealer-north");
    let base = apply::read(&*client, &account).await.expect("base");
    let first: Arc<str> = template("dealer-north", "limit = 5").into();
    let second: Arc<str> = template("dealer-north", "limit = 6").into();
    let applied = apply::write(&*client, &account, &first, &base, false)
        .await
        .expect("written");
    assert!(matches!(applied, Applied::Accepted(_)));
    let raced = apply::write(&*client, &account, &second, &base, false)
        .await
        .expect("answered");
    let Applied::Conflict(_, now) = raced else {
        panic!("{raced:?}")
    };
    assert_eq!(now, first, "the conflict returns the current template");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_answer_is_lost_is_read_back() {
    let world = World::without_gateways(1, "").await;
    let client = consul::open(world.store.address(), Duration::from_secs(2));
    let account: Arc<str> = Arc::from("dealer-north");
    let base = apply::read(&*client, &account).await.expect("base");
    world.store.faults().set(Switches {
        lose_answers: 1,
        ..Switches::default()
    });
    let text: Arc<str> = template("dealer-north", "limit = 5").into();
    let applied = apply::write(&*client, &account, &text, &base, false)
        .await
        .expect("written");
    assert!(matches!(applied, Applied::Accepted(_)), "{applied:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_template_in_the_store_changes_nothing() {
    let world = World::open(1, 1).await;
    // Bypasses the validation of `ashtiller apply`, as a newer program or a manual write might.
    apply_text(
        &world.store,
        "dealer-south",
        "[account]\nname = dealer-south\nwine = red\n",
    )
    .await;
    apply_text(&world.store, "dealer-north", &without_service()).await;
    wait_until("the valid template is applied", async || {
        all_without_service(&world).await
    })
    .await;
    let response = TestRequest::get("s")
        .account("dealer-south")
        .send(world.callers(0))
        .await;
    assert_eq!(
        response.status(),
        200,
        "the last valid template stays applied"
    );
}
