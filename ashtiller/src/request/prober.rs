//! The task that probes ejected endpoints and closes idle connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tokio::time;

use crate::service_dispatcher::ServiceDispatcher;
use crate::web;

/// Interval between two rounds.
const INTERVAL: Duration = Duration::from_millis(250);
/// Time limit of a probe.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Path that a probe requests.
const PATH: &str = "/health";

/// Runs the prober of one service until it is aborted.
pub async fn run(service: Arc<ServiceDispatcher>) {
    let client = Arc::new(web::Client::default());
    let mut ticks = time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let due: Vec<(u64, SocketAddr)> = service.with_dispatch(|dispatch, now| {
            let due = dispatch.due_probes(now).into_iter();
            due.filter_map(|id| Some((id, dispatch.endpoint(id)?.listing.address)))
                .collect()
        });
        let mut probes = tokio::task::JoinSet::new();
        for (id, address) in due {
            probes.spawn(probe(service.clone(), client.clone(), id, address));
        }
        probes.join_all().await;
        let listed: Vec<SocketAddr> = service.with_dispatch(|dispatch, _| {
            dispatch
                .endpoints()
                .iter()
                .map(|endpoint| endpoint.listing.address)
                .collect()
        });
        service.pool.prune(|address| listed.contains(&address));
    }
}

async fn probe(
    service: Arc<ServiceDispatcher>,
    client: Arc<web::Client>,
    id: u64,
    address: SocketAddr,
) {
    let response = client
        .call("probe", address, Method::GET, PATH, Bytes::new(), TIMEOUT)
        .await;
    let good = response.is_ok_and(|response| !response.status.is_server_error());
    service.with_dispatch(|dispatch, now| dispatch.record_probe(id, good, now));
}
