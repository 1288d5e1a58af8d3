//! The actor that announces this process and watches the others.

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

/// How often members are looked at for a heartbeat that is due.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// Longest wait of the watch.
const WAIT: Duration = Duration::from_mins(1);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(500);
/// Renewals within one lease.
const RENEWALS: u32 = 3;

/// What the actor needs.
pub struct Args {
    /// This process.
    pub own: Member,
    /// Key-value service.
    pub store: Arc<dyn Store>,
    /// Lease of the member's key.
    pub lease: Duration,
    /// Wire to other processes.
    pub rpc: RpcClient,
    /// Configuration, told of newer revisions.
    pub config: Arc<Config>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// This process's heartbeat.
    pub heartbeat: Arc<dyn Fn() -> Heartbeat + Send + Sync>,
}

/// A running membership.
pub struct Membership {
    members: watch::Receiver<Arc<Members>>,
    actor: ActorRef<Registrar>,
    tasks: Vec<JoinHandle<()>>,
    lease: watch::Receiver<Option<Arc<str>>>,
    args: Arc<Args>,
}

impl Membership {
    /// The members as known now.
    #[must_use]
    pub fn members(&self) -> Arc<Members> {
        self.members.borrow().clone()
    }

    /// A receiver that is told of each change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Members>> {
        self.members.clone()
    }

    /// Tells every member at once what this process's heartbeat says now.
    pub async fn broadcast(&self) {
        let others = self.members();
        let mut greetings = JoinSet::new();
        for known in others.iter().filter(|known| known.member != self.args.own) {
            let peer = self.args.rpc.connect(known.member.peers);
            let greeting = (self.args.heartbeat)();
            greetings.spawn(async move { peer.heartbeat(greeting).await });
        }
        greetings.join_all().await;
    }

    /// Takes a heartbeat that another member began.
    pub fn receive_heartbeat(&self, greeting: Heartbeat, now: Duration) {
        let Some(role) = Role::parse(&greeting.role) else {
            return;
        };
        let name = greeting.name.clone();
        let _ = self
            .actor
            .tell(Heard {
                role,
                name,
                answer: Some(greeting),
                now,
            })
            .try_send();
    }

    /// Stops to announce and to watch, as a kill does.
    pub fn abort(&self) {
        for task in &self.tasks {
            task.abort();
        }
        self.actor.kill();
    }

    /// Takes this process off the store's list, in a planned stop.
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

/// Starts to announce this process and to watch the others.
#[must_use]
pub fn spawn(args: Args) -> Membership {
    let (sender, members) = watch::channel(Arc::default());
    let (held, lease) = watch::channel(None);
    let registrar = Registrar {
        members: Members::default(),
        sender,
    };
    let actor = Registrar::spawn(registrar);
    let args = Arc::new(args);
    let tasks = vec![
        tokio::spawn(announce(args.clone(), held)),
        tokio::spawn(watch_members(args.clone(), actor.clone())),
        tokio::spawn(greet_all(args.clone(), actor.clone(), members.clone())),
    ];
    Membership {
        members,
        actor,
        tasks,
        lease,
        args,
    }
}

async fn announce(args: Arc<Args>, held: watch::Sender<Option<Arc<str>>>) {
    let value = serde_json::to_vec(&args.own).unwrap_or_default();
    let key = args.own.key();
    loop {
        let opened = args.store.open_lease(args.lease).await;
        let Ok(lease) = opened else {
            time::sleep(PAUSE).await;
            continue;
        };
        held.send_replace(Some(lease.clone()));
        // The key of an earlier life is held by a lease that soon ends.
        while !matches!(
            args.store.acquire(&key, value.clone().into(), &lease).await,
            Ok(true)
        ) {
            time::sleep(PAUSE).await;
            if !matches!(args.store.renew(&lease).await, Ok(true)) {
                break;
            }
        }
        loop {
            time::sleep(args.lease / RENEWALS).await;
            // While the store is down, a lease may or may not live on: ask again.
            if let Ok(false) = args.store.renew(&lease).await {
                break;
            }
        }
    }
}

async fn watch_members(args: Arc<Args>, actor: ActorRef<Registrar>) {
    let mut index = 0;
    loop {
        let Ok(view) = args.store.watch(members::KEY_PREFIX, index, WAIT).await else {
            time::sleep(PAUSE).await;
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

async fn greet_all(
    args: Arc<Args>,
    actor: ActorRef<Registrar>,
    members: watch::Receiver<Arc<Members>>,
) {
    let mut ticks = time::interval(LOOK_EVERY);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut greetings = JoinSet::new();
    let mut busy = BTreeSet::new();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(done) = greetings.join_next() => {
                if let Ok(key) = done {
                    busy.remove(&key);
                }
                continue;
            }
        }
        let due = members.borrow().heartbeats_due(&args.own, args.clock.now());
        for member in due {
            let key = (member.role, member.name.clone());
            if busy.insert(key.clone()) {
                let (args, actor) = (args.clone(), actor.clone());
                greetings.spawn(async move {
                    greet(args, actor, member).await;
                    key
                });
            }
        }
    }
}

async fn greet(args: Arc<Args>, actor: ActorRef<Registrar>, member: Member) {
    let answer = args
        .rpc
        .connect(member.peers)
        .heartbeat((args.heartbeat)())
        .await
        .ok();
    // A greeting from another life at the same address says nothing of this one.
    let answer = answer.filter(|greeting| greeting.name == member.name);
    if let Some(greeting) = &answer {
        args.config.observe_revision(greeting.revision);
    }
    let heard = Heard {
        role: member.role,
        name: member.name,
        answer,
        now: args.clock.now(),
    };
    let _ = actor.tell(heard).await;
}

struct Registrar {
    members: Members,
    sender: watch::Sender<Arc<Members>>,
}

impl Actor for Registrar {
    type Args = Self;
    type Error = std::convert::Infallible;

    async fn on_start(args: Self, _: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(args)
    }
}

/// The store's list.
struct Listed {
    list: Vec<Member>,
    now: Duration,
}

/// The end of a heartbeat.
struct Heard {
    role: Role,
    name: Arc<str>,
    answer: Option<Heartbeat>,
    now: Duration,
}

impl Message<Listed> for Registrar {
    type Reply = ();

    async fn handle(&mut self, listed: Listed, _: &mut Context<Self, ()>) {
        self.members.update_list(&listed.list, listed.now);
        self.sender.send_replace(Arc::new(self.members.clone()));
    }
}

impl Message<Heard> for Registrar {
    type Reply = ();

    async fn handle(&mut self, heard: Heard, _: &mut Context<Self, ()>) {
        self.members
            .record_heartbeat(heard.role, &heard.name, heard.answer.as_ref(), heard.now);
        self.sender.send_replace(Arc::new(self.members.clone()));
    }
}
