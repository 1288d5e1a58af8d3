//! The actor that registers this process as a member and watches the others.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time;

use crate::clock::Clock;
use crate::config::Config;
use crate::members::{self, Member, Members};
use crate::peer::{Heartbeat, Role};
use crate::rpc::RpcClient;
use crate::store::Store;

/// How often the members are checked for due heartbeats.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait of the watch.
const WATCH_WAIT: Duration = Duration::from_mins(1);
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Number of renewals within one lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// What the actor needs.
pub struct Args {
    /// This process.
    pub own: Member,
    /// Key-value service.
    pub store: Arc<dyn Store>,
    /// Time to live of the lease on the member's key.
    pub lease: Duration,
    /// Client for calls to other processes.
    pub rpc: RpcClient,
    /// Configuration, notified of the revisions in heartbeats.
    pub config: Arc<Config>,
    /// Source of the time.
    pub clock: Arc<dyn Clock>,
    /// Builds this process's heartbeat.
    pub heartbeat: Arc<dyn Fn() -> Heartbeat + Send + Sync>,
}

/// A running membership.
pub struct Membership {
    members: watch::Receiver<Arc<Members>>,
    actor: ActorRef<MembershipActor>,
    tasks: Vec<JoinHandle<()>>,
    lease: watch::Receiver<Option<Arc<str>>>,
    args: Arc<Args>,
}

impl Membership {
    /// Returns the members as currently known.
    #[must_use]
    pub fn members(&self) -> Arc<Members> {
        self.members.borrow().clone()
    }

    /// Returns a receiver that is notified of each change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Members>> {
        self.members.clone()
    }

    /// Sends this process's current heartbeat to every member at once.
    pub async fn broadcast(&self) {
        let others = self.members();
        let mut sends = JoinSet::new();
        for known in others.iter().filter(|known| known.member != self.args.own) {
            let peer = self.args.rpc.connect(known.member.peers);
            let heartbeat = (self.args.heartbeat)();
            sends.spawn(async move { peer.heartbeat(heartbeat).await });
        }
        sends.join_all().await;
    }

    /// Records a heartbeat that another member sent.
    pub fn receive_heartbeat(&self, heartbeat: Heartbeat, now: Duration) {
        let Some(role) = Role::parse(&heartbeat.role) else {
            return;
        };
        let name = heartbeat.name.clone();
        let _ = self
            .actor
            .tell(HeartbeatResult {
                role,
                name,
                heartbeat: Some(heartbeat),
                now,
            })
            .try_send();
    }

    /// Stops all tasks and leaves the lease to expire, as when the process is killed.
    pub fn abort(&self) {
        for task in &self.tasks {
            task.abort();
        }
        self.actor.kill();
    }

    /// Revokes the lease in a planned shutdown, which removes this process from the
    /// store's list at once.
    pub async fn deregister(&self) {
        for task in &self.tasks {
            task.abort();
        }
        let lease = self.lease.borrow().clone();
        if let Some(lease) = lease {
            let _ = self.args.store.revoke(&lease).await;
        }
    }
}

impl Drop for Membership {
    fn drop(&mut self) {
        self.abort();
    }
}

/// Registers this process and starts to watch the others.
#[must_use]
pub fn spawn(args: Args) -> Membership {
    let (sender, members) = watch::channel(Arc::default());
    let (lease_sender, lease) = watch::channel(None);
    let state = MembershipActor {
        members: Members::default(),
        sender,
    };
    let actor = MembershipActor::spawn(state);
    let args = Arc::new(args);
    let tasks = vec![
        tokio::spawn(register(args.clone(), lease_sender)),
        tokio::spawn(watch_members(args.clone(), actor.clone())),
        tokio::spawn(send_heartbeats(
            args.clone(),
            actor.clone(),
            members.clone(),
        )),
    ];
    Membership {
        members,
        actor,
        tasks,
        lease,
        args,
    }
}

async fn register(args: Arc<Args>, lease_sender: watch::Sender<Option<Arc<str>>>) {
    let value = serde_json::to_vec(&args.own).unwrap_or_default();
    let key = args.own.key();
    loop {
        let opened = args.store.open_lease(args.lease).await;
        let Ok(lease) = opened else {
            time::sleep(RETRY_DELAY).await;
            continue;
        };
        lease_sender.send_replace(Some(lease.clone()));
        // The lease of an earlier incarnation may still hold the key; it expires soon.
        while !matches!(
            args.store.acquire(&key, value.clone().into(), &lease).await,
            Ok(true)
        ) {
            time::sleep(RETRY_DELAY).await;
            if !matches!(args.store.renew(&lease).await, Ok(true)) {
                break;
            }
        }
        loop {
            time::sleep(args.lease / RENEWALS_PER_LEASE).await;
            // While the store is down, the lease may or may not be valid: renew it again.
            if let Ok(false) = args.store.renew(&lease).await {
                break;
            }
        }
    }
}

async fn watch_members(args: Arc<Args>, actor: ActorRef<MembershipActor>) {
    let mut index = 0;
    loop {
        let Ok(view) = args
            .store
            .watch(members::KEY_PREFIX, index, WATCH_WAIT)
            .await
        else {
            time::sleep(RETRY_DELAY).await;
            index = 0;
            continue;
        };
        index = view.index;
        let list = view
            .items
            .iter()
            .filter_map(|item| serde_json::from_slice(&item.value).ok());
        let listed = Listed {
            list: list.collect(),
            now: args.clock.now(),
        };
        if actor.tell(listed).await.is_err() {
            return;
        }
    }
}

async fn send_heartbeats(
    args: Arc<Args>,
    actor: ActorRef<MembershipActor>,
    members: watch::Receiver<Arc<Members>>,
) {
    let mut ticks = time::interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut sends = JoinSet::new();
    let mut in_flight = BTreeSet::new();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(done) = sends.join_next() => {
                if let Ok(key) = done {
                    in_flight.remove(&key);
                }
                continue;
            }
        }
        let due = members.borrow().heartbeats_due(&args.own, args.clock.now());
        for member in due {
            let key = (member.role, member.name.clone());
            if in_flight.insert(key.clone()) {
                let (args, actor) = (args.clone(), actor.clone());
                sends.spawn(async move {
                    send_heartbeat(args, actor, member).await;
                    key
                });
            }
        }
    }
}

async fn send_heartbeat(args: Arc<Args>, actor: ActorRef<MembershipActor>, member: Member) {
    let heartbeat = args
        .rpc
        .connect(member.peers)
        .heartbeat((args.heartbeat)())
        .await
        .ok();
    // Another process may listen on the address by now; its heartbeat says nothing about
    // this member.
    let heartbeat = heartbeat.filter(|heartbeat| heartbeat.name == member.name);
    if let Some(heartbeat) = &heartbeat {
        args.config.observe_revision(heartbeat.revision);
    }
    let result = HeartbeatResult {
        role: member.role,
        name: member.name,
        heartbeat,
        now: args.clock.now(),
    };
    let _ = actor.tell(result).await;
}

struct MembershipActor {
    members: Members,
    sender: watch::Sender<Arc<Members>>,
}

impl Actor for MembershipActor {
    type Args = Self;
    type Error = std::convert::Infallible;

    async fn on_start(args: Self, _: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(args)
    }
}

/// Message: the store's list of members.
struct Listed {
    list: Vec<Member>,
    now: Duration,
}

/// Message: a member's heartbeat, or the failure of one sent to it.
struct HeartbeatResult {
    role: Role,
    name: Arc<str>,
    heartbeat: Option<Heartbeat>,
    now: Duration,
}

impl Message<Listed> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, listed: Listed, _: &mut Context<Self, ()>) {
        self.members.update_list(&listed.list, listed.now);
        self.sender.send_replace(Arc::new(self.members.clone()));
    }
}

impl Message<HeartbeatResult> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, result: HeartbeatResult, _: &mut Context<Self, ()>) {
        self.members.record_heartbeat(
            result.role,
            &result.name,
            result.heartbeat.as_ref(),
            result.now,
        );
        self.sender.send_replace(Arc::new(self.members.clone()));
    }
}
