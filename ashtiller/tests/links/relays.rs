//! Calls to workers over a relay: each arrives unchanged or fails with the right remote effect.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::failure::{Failure, RemoteEffect};
use ashtiller::store::CallFuture;
use ashtiller::workflow::agents::{
    Order, OrderReply, Poll, PollReply, Start, Target, TaskName, WorkerClient,
};
use ashtiller::workflow::link::RequestHandler;
use ashtiller::workflow::membership::member::Member;
use ashtiller::workflow::message::{PeerRequest, Reply};
use ashtiller::workflow::relay::ResultSection;
use ashtiller::workflow::relay::client::{MIN_RELAYED_WORKERS, RelayClient};
use ashtiller::workflow::relay::server::RelayServer;
use futures_util::future::LocalBoxFuture;
use parking_lot::Mutex;
use tokio::task::{self, LocalSet};
use tokio::time;

use crate::net::Net;

const LIMIT: Duration = Duration::from_millis(350);

/// Workers, with the calls that they got.
#[derive(Default)]
struct Workers {
    calls: Mutex<Vec<(&'static str, Target, Order)>>,
    polls: Mutex<Vec<Target>>,
    /// Workers that refuse connections.
    down: Mutex<Vec<Target>>,
    /// Workers with more ends than one reply lists.
    partial: Mutex<Vec<Target>>,
    /// Name of the instance that reaches no worker.
    partitioned: Mutex<Option<&'static str>>,
}

/// Client of one instance to the workers.
struct InstanceClient {
    workers: Arc<Workers>,
    from: &'static str,
}

impl WorkerClient for InstanceClient {
    fn order<'a>(&'a self, to: &'a Target, order: &'a Order) -> CallFuture<'a, OrderReply> {
        let call = (self.from, to.clone(), order.clone());
        self.workers.calls.lock().push(call);
        let down = self.workers.down.lock().contains(to);
        let partitioned = *self.workers.partitioned.lock() == Some(self.from);
        Box::pin(async move {
            if partitioned {
                time::sleep(to.timeout).await;
                return Err(Failure::unknown_effect(
                    "start",
                    to.address,
                    "no answer in time",
                ));
            }
            if down {
                return Err(Failure::no_effect(
                    "start",
                    to.address,
                    "connection refused",
                ));
            }
            Ok(OrderReply::Done(7))
        })
    }

    fn poll<'a>(&'a self, to: &'a Target, poll: &'a Poll) -> CallFuture<'a, PollReply> {
        self.workers.polls.lock().push(to.clone());
        let wait = poll.wait;
        let more_ends = self.workers.partial.lock().contains(to);
        Box::pin(async move {
            time::sleep(wait).await;
            Ok(PollReply::Report {
                clock: 7,
                active: Vec::new(),
                finished: Vec::new(),
                more_ends,
            })
        })
    }
}

/// The relaying instance.
struct Relay {
    server: RefCell<Rc<RelayServer>>,
    /// Whether the relay answers nothing.
    is_frozen: Cell<bool>,
}

impl RequestHandler for Relay {
    fn answer(self: Rc<Self>, request: PeerRequest) -> LocalBoxFuture<'static, Reply> {
        Box::pin(async move {
            if self.is_frozen.get() {
                return std::future::pending().await;
            }
            if let PeerRequest::RelayCalls(batch) = request {
                self.server.borrow().execute_batch(*batch);
            }
            Reply::Noted
        })
    }
}

/// The instance that owns the log.
struct Owner(Rc<RelayClient>);

impl RequestHandler for Owner {
    fn answer(self: Rc<Self>, request: PeerRequest) -> LocalBoxFuture<'static, Reply> {
        if let PeerRequest::RelayResults(results) = request {
            self.0.deliver_results(*results);
        }
        Box::pin(async { Reply::Noted })
    }

    fn answer_with_section(
        self: Rc<Self>,
        request: PeerRequest,
        section: &[u8],
    ) -> LocalBoxFuture<'static, Reply> {
        if let PeerRequest::RelayResults(results) = request {
            self.0.deliver_results_with_section(*results, section);
            return Box::pin(async { Reply::Noted });
        }
        self.answer(request)
    }
}

struct Cluster {
    net: Rc<Net>,
    workers: Arc<Workers>,
    relay: Rc<Relay>,
    client: Rc<RelayClient>,
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

impl Cluster {
    /// Opens an owner, and another instance in the workers' zone that may relay.
    fn open(workers: usize) -> Self {
        let net = Rc::new(Net::default());
        let shared = Arc::new(Workers::default());
        let client_of = |from| {
            Arc::new(InstanceClient {
                workers: shared.clone(),
                from,
            })
        };
        let relay = Rc::new(Relay {
            server: RefCell::new(RelayServer::new(client_of("relay"), net.links())),
            is_frozen: Cell::new(false),
        });
        net.host(address(2), relay.clone());
        let client = RelayClient::new(client_of("owner"), net.links(), address(1));
        net.host(address(1), Rc::new(Owner(client.clone())));
        client.choose_relays(workers, &[member()]);
        Self {
            net,
            workers: shared,
            relay,
            client,
        }
    }

    async fn start(&self, index: u16) -> Result<OrderReply, RemoteEffect> {
        let order = Order::Start(start(index));
        let reply = self.client.order(&target(index), &order).await;
        reply.map_err(|failure| failure.effect)
    }

    /// Returns the instances that called workers, in the order of the calls.
    fn callers(&self) -> Vec<&'static str> {
        let calls = self.workers.calls.lock();
        calls.iter().map(|(from, ..)| *from).collect()
    }

    /// Replaces the owner by a new process at the same address, which owns the log as well.
    fn restart_owner(&mut self) {
        let agents = Arc::new(InstanceClient {
            workers: self.workers.clone(),
            from: "owner",
        });
        self.client = RelayClient::new(agents, self.net.links(), address(1));
        self.net
            .host(address(1), Rc::new(Owner(self.client.clone())));
        self.client.choose_relays(MIN_RELAYED_WORKERS, &[member()]);
    }

    /// Replaces the relay by a new process at the same address.
    fn restart_relay(&self) {
        let client = InstanceClient {
            workers: self.workers.clone(),
            from: "relay",
        };
        let server = RelayServer::new(Arc::new(client), self.net.links());
        *self.relay.server.borrow_mut() = server;
    }
}

fn member() -> Member {
    Member {
        name: "relay".into(),
        address: address(2),
        store_age: 0,
        store_took: 0,
        leaving: false,
        processors: 500,
        zone: "bern".into(),
    }
}

fn target(worker: u16) -> Target {
    Target {
        incarnation: format!("w{worker}").into(),
        address: address(9000 + worker),
        fence: 5,
        timeout: LIMIT,
        zone: "bern".into(),
    }
}

fn start(index: u16) -> Start {
    Start {
        name: TaskName {
            job: "job".into(),
            occurrence: 0,
            step: 0,
            index,
        },
        run: 1,
        payload: "what the tasks get".into(),
        until: 6007,
        checkpoint: "".into(),
        ticket: None,
    }
}

fn run_paused(scenario: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime should build");
    LocalSet::new().block_on(&runtime, scenario);
}

#[test]
fn orders_reach_workers_unchanged_over_a_relay() {
    run_paused(async {
        let cluster = Cluster::open(MIN_RELAYED_WORKERS);
        for index in 0..3 {
            assert_eq!(cluster.start(index).await, Ok(OrderReply::Done(7)));
        }
        let calls = cluster.workers.calls.lock().clone();
        let sent = |index| ("relay", target(index), Order::Start(start(index)));
        assert_eq!(calls, [sent(0), sent(1), sent(2)]);
    });
}

#[test]
fn a_small_fleet_is_called_directly() {
    run_paused(async {
        let cluster = Cluster::open(MIN_RELAYED_WORKERS - 1);
        assert_eq!(cluster.start(0).await, Ok(OrderReply::Done(7)));
        assert_eq!(cluster.callers(), ["owner"]);
    });
}

#[test]
fn concurrent_calls_share_one_connection_each_way() {
    run_paused(async {
        let cluster = Rc::new(Cluster::open(MIN_RELAYED_WORKERS));
        let calls = (0..50).map(|index| {
            let cluster = cluster.clone();
            task::spawn_local(async move { cluster.start(index).await })
        });
        for call in calls.collect::<Vec<_>>() {
            assert_eq!(
                call.await.expect("the task should not panic"),
                Ok(OrderReply::Done(7))
            );
        }
        assert_eq!(cluster.callers().len(), 50);
        assert_eq!(cluster.net.opened(), 2, "one connection in each direction");
    });
}

#[test]
fn a_silent_relay_is_replaced_by_direct_calls() {
    run_paused(async {
        let cluster = Cluster::open(MIN_RELAYED_WORKERS);
        assert!(cluster.start(0).await.is_ok());
        cluster.relay.is_frozen.set(true);
        assert_eq!(cluster.start(1).await, Err(RemoteEffect::Unknown));
        // The worker of the failed call is called directly at once, the others after the relay is
        // dropped.
        assert!(cluster.start(1).await.is_ok());
        time::sleep(Duration::from_secs(1)).await;
        for index in 2..5 {
            assert!(cluster.start(index).await.is_ok());
        }
        assert_eq!(cluster.callers()[1..], ["owner"; 4]);
    });
}

#[test]
fn calls_over_an_unreachable_relay_fail_fast() {
    run_paused(async {
        let cluster = Cluster::open(MIN_RELAYED_WORKERS);
        cluster.client.choose_relays(
            MIN_RELAYED_WORKERS,
            &[Member {
                address: address(3),
                ..member()
            }],
        );
        let started = time::Instant::now();
        assert_eq!(cluster.start(0).await, Err(RemoteEffect::Unknown));
        assert!(started.elapsed() < Duration::from_millis(100));
        assert!(cluster.start(1).await.is_ok());
        assert_eq!(cluster.callers(), ["owner"]);
    });
}

#[test]
fn a_restarted_relay_gets_the_payload_again() {
    run_paused(async {
        let cluster = Cluster::open(MIN_RELAYED_WORKERS);
        assert!(cluster.start(0).await.is_ok());
        cluster.restart_relay();
        assert_eq!(
            cluster.start(1).await,
            Err(RemoteEffect::None),
            "the new process lacks the job's payload"
        );
        assert_eq!(cluster.start(1).await, Ok(OrderReply::Done(7)));
        let calls = cluster.workers.calls.lock().clone();
        assert_eq!(calls[1], ("relay", target(1), Order::Start(start(1))));
    });
}

#[test]
fn silent_connections_are_detected_within_a_second() {
    run_paused(async {
        let cluster = Cluster::open(MIN_RELAYED_WORKERS);
        assert!(cluster.start(0).await.is_ok());
        cluster.net.silence_all();
        let started = time::Instant::now();
        let mut index = 1;
        while cluster.start(index).await.is_err() {
            index += 1;
        }
        assert!(started.elapsed() < Duration::from_secs(1));
    });
}

#[test]
fn polls_over_a_relay_last_for_the_requested_wait() {
    run_paused(async {
        let cluster = Cluster::open(MIN_RELAYED_WORKERS);
        let poll = Poll {
            until: Some(6007),
            ends_recorded: 3,
            wait: Duration::from_secs(2),
        };
        let started = time::Instant::now();
        let reply = cluster.client.poll(&target(0), &poll).await;
        assert!(matches!(reply, Ok(PollReply::Report { clock: 7, .. })));
        assert!(started.elapsed() < Duration::from_millis(2100));
        assert_eq!(cluster.workers.polls.lock()[..], [target(0)]);
    });
}

/// Guards against runs that count as lost because their ends are not among those of the first reply.
#[test]
fn a_reply_that_lists_a_part_of_the_ends_stays_one_over_a_relay() {
    run_paused(async {
        let cluster = Cluster::open(MIN_RELAYED_WORKERS);
        cluster.workers.partial.lock().push(target(0));
        let poll = Poll {
            until: None,
            ends_recorded: 0,
            wait: Duration::ZERO,
        };
        let polls = [0, 1].map(target);
        let [partial, complete] = [&polls[0], &polls[1]];
        let (partial, complete) = tokio::join!(
            cluster.client.poll(partial, &poll),
            cluster.client.poll(complete, &poll)
        );
        let more_ends = |reply| match reply {
            Ok(PollReply::Report { more_ends, .. }) => more_ends,
            other => panic!("not a report: {other:?}"),
        };
        assert!(more_ends(partial));
        assert!(!more_ends(complete));
    });
}

/// A relay of an earlier version sends no section.
#[test]
fn results_without_a_section_are_delivered() {
    let bytes = ResultSection::default().encode().unwrap();
    assert!(bytes.is_empty());
    assert_eq!(
        ResultSection::decode(&bytes).unwrap(),
        ResultSection::default()
    );
}

/// Guards against direct connections to all workers after a takeover: an owner of 3,000 workers
/// held 4,169 files, where a small instance has 4,100. Relays are chosen every 250 ms by the
/// number of known workers. A new owner knows none before its first list, which arrived right
/// after the first choice.
#[test]
fn relays_are_chosen_at_once_when_a_new_owner_learns_of_its_workers() {
    run_paused(async {
        let cluster = Cluster::open(0);
        assert!(
            !cluster.client.is_relay_choice_due(MIN_RELAYED_WORKERS - 1),
            "relays were just chosen"
        );
        assert!(cluster.client.is_relay_choice_due(MIN_RELAYED_WORKERS));
        cluster
            .client
            .choose_relays(MIN_RELAYED_WORKERS, &[member()]);
        assert!(
            !cluster.client.is_relay_choice_due(MIN_RELAYED_WORKERS),
            "relays were just chosen"
        );
        assert!(cluster.start(0).await.is_ok());
        assert_eq!(cluster.callers(), ["relay"]);
    });
}

/// Guards against stale calls: an owner's process was stopped for two seconds between a decision
/// and its message to the relay. Meanwhile the worker may have begun to drain, or its availability
/// zone may be evacuated. Without a limit the relay made the call.
#[test]
fn calls_that_waited_while_the_process_was_stopped_are_dropped() {
    run_paused(async {
        let cluster = Rc::new(Cluster::open(MIN_RELAYED_WORKERS));
        assert!(cluster.start(0).await.is_ok());
        let call = {
            let cluster = cluster.clone();
            task::spawn_local(async move { cluster.start(1).await })
        };
        task::yield_now().await;
        time::advance(Duration::from_secs(2)).await;
        assert_eq!(
            call.await.expect("the task should not panic"),
            Err(RemoteEffect::Unknown)
        );
        time::sleep(Duration::from_secs(1)).await;
        assert_eq!(cluster.callers(), ["relay"]);
    });
}

/// Guards against dropping a relay because its workers crashed. After eight failed calls in a row
/// the relay counted as cut off, as did each one chosen next: with 840 of 6,002 workers gone at
/// once, relays were dropped 33 times, and the owner, which then called all other workers directly,
/// held 6,537 files. A relay is at fault only if its worker answers a direct call.
#[test]
fn a_mass_worker_crash_drops_no_relay() {
    run_paused(async {
        let cluster = Cluster::open(MIN_RELAYED_WORKERS);
        *cluster.workers.down.lock() = (0..40).map(target).collect();
        for index in 0..40 {
            assert_eq!(cluster.start(index).await, Err(RemoteEffect::None));
            assert_eq!(
                cluster.start(index).await,
                Err(RemoteEffect::None),
                "the direct call fails as well"
            );
        }
        assert_eq!(cluster.client.relays().len(), 1);
        let calls = cluster.callers().len();
        assert!(cluster.start(50).await.is_ok());
        assert_eq!(cluster.callers()[calls..], ["relay"]);
    });
}

#[test]
fn a_relay_that_is_cut_off_from_its_workers_is_not_used() {
    run_paused(async {
        let cluster = Cluster::open(MIN_RELAYED_WORKERS);
        assert!(cluster.start(0).await.is_ok());
        *cluster.workers.partitioned.lock() = Some("relay");
        for index in 1..=8 {
            assert_eq!(cluster.start(index).await, Err(RemoteEffect::Unknown));
            assert!(
                cluster.start(index).await.is_ok(),
                "the direct call should succeed"
            );
            assert!(
                cluster.start(index).await.is_ok(),
                "the second direct call should succeed; it counts no failure"
            );
        }
        assert!(cluster.client.relays().is_empty());
        assert!(cluster.start(50).await.is_ok());
    });
}

/// Guards against two runs of one task: an owner ended runs of a worker that it took for lost,
/// because the answer of another worker counted as that worker's. The process that called that one
/// had owned the log before, at the same address, and the numbers of its calls were the same.
#[test]
fn results_of_calls_of_a_former_process_answer_no_call() {
    run_paused(async {
        let mut cluster = Cluster::open(MIN_RELAYED_WORKERS);
        let poll = Poll {
            until: None,
            ends_recorded: 0,
            wait: LIMIT,
        };
        let former = cluster.client.clone();
        let call = task::spawn_local({
            let poll = poll.clone();
            async move { former.poll(&target(0), &poll).await }
        });
        time::sleep(LIMIT / 2).await;
        cluster.restart_owner();
        let started = time::Instant::now();
        let reply = cluster.client.poll(&target(1), &poll).await;
        assert!(reply.is_ok(), "{reply:?}");
        assert!(started.elapsed() >= LIMIT, "answered by another call");
        call.abort();
    });
}
