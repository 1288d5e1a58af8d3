//! The task that asks ejected endpoints whether they are well again, and closes
//! idle connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tokio::time;

use crate::service_dispatcher::ServiceDispatcher;
use crate::web;

/// How often endpoints are looked at.
const EVERY: Duration = Duration::from_millis(250);
/// Time limit of a probe.
const LIMIT: Duration = Duration::from_secs(1);
/// What a probe asks for.
const TARGET: &str = "/health";

/// Runs until it is aborted.
pub async fn run(desk: Arc<ServiceDispatcher>) {
    let client = Arc::new(web::Client::default());
    let mut ticks = time::interval(EVERY);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let due: Vec<(u64, SocketAddr)> = desk.with_dispatch(|dispatch, now| {
            let due = dispatch.due_probes(now).into_iter();
            due.filter_map(|id| Some((id, dispatch.endpoint(id)?.listing.address)))
                .collect()
        });
        let mut probes = tokio::task::JoinSet::new();
        for (id, address) in due {
            probes.spawn(probe(desk.clone(), client.clone(), id, address));
        }
        probes.join_all().await;
        let serving: Vec<SocketAddr> = desk.with_dispatch(|dispatch, _| {
            dispatch
                .endpoints()
                .iter()
                .map(|endpoint| endpoint.listing.address)
                .collect()
        });
        desk.pool.sweep(|address| serving.contains(&address));
    }
}

async fn probe(
    desk: Arc<ServiceDispatcher>,
    client: Arc<web::Client>,
    id: u64,
    address: SocketAddr,
) {
    let answer = client
        .call("probe", address, Method::GET, TARGET, Bytes::new(), LIMIT)
        .await;
    let good = answer.is_ok_and(|answer| !answer.status.is_server_error());
    desk.with_dispatch(|dispatch, now| dispatch.record_probe(id, good, now));
}
