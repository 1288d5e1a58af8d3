//! Election of the owner of the log: followers send heartbeats to the owner and replace it when it
//! fails. The lead key in the store decides who owns the log; this module only decides when to try
//! to write it.

use std::convert::Infallible;
use std::future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{self, Instant};

use crate::failure::{Failure, RemoteEffect};
use crate::workflow::log::{Acquisition, LogTail};
use crate::workflow::membership::failover_order;
use crate::workflow::membership::handover;
use crate::workflow::message::{Heartbeat, PeerRequest, Reply};
use crate::workflow::node::Node;
use crate::workflow::owner;
use crate::workflow::record::{LogOwner, PreviousOwner};

/// Interval between two heartbeats to the owner.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of one heartbeat; an instance with a share of a core may be slow to answer.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which an owner that has not answered a heartbeat is suspected to have failed. The
/// tail of its log is read then, so that it is known at the timeout whether it still writes.
const SUSPICION_DELAY: Duration = Duration::from_millis(250);
/// Delay between the attempts of two seed instances to acquire a log that never had an owner.
const BOOTSTRAP_STEP: Duration = Duration::from_millis(150);
/// Time that a new owner gets to learn of its ownership when answers of the store are lost or slow.
const NEW_OWNER_GRACE: Duration = Duration::from_millis(1500);
/// Least delay of an instance that is smaller than the largest one that the owner knew.
const SMALLER_MIN_DELAY: Duration = Duration::from_millis(500);
/// Delay before the owner is looked up again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of a request for the owner, or of one that sends it a configuration.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Why a follower no longer follows an owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loss {
    /// A later owner is known.
    Replaced,
    /// It has ended, or reports that it does not own the log.
    Ended,
    /// It does not answer; the tail of its log as of when it was first suspected.
    Silent(Option<LogTail>),
}

/// Follows the owner, and replaces it when it fails, until the process ends.
pub async fn run(node: Rc<Node>) {
    find_owner(&node).await;
    loop {
        if node.owns() {
            time::sleep(RETRY_DELAY).await;
            continue;
        }
        match node.log_owner() {
            Some(owner) if owner.incarnation != node.incarnation => {
                let loss = follow(&node, &owner).await;
                if loss != Loss::Replaced {
                    tracing::warn!(owner = %owner.name, epoch = owner.epoch, ?loss, "owner lost");
                    replace(&node, &owner, loss).await;
                }
            }
            // A write of the lead key whose answer was lost made this process the owner.
            Some(owner) => owner::spawn(&node, owner),
            None => bootstrap(&node).await,
        }
    }
}

/// Looks the owner up in the store, or asks the peers if the store does not answer.
async fn find_owner(node: &Rc<Node>) {
    match node.log.read_owner(false).await {
        Ok(Some(owner)) => node.adopt_log_owner(&owner),
        Ok(None) => {}
        Err(failure) => {
            tracing::info!(%failure, "failed to read the lead key");
            ask_peers(node).await;
        }
    }
}

async fn ask_peers(node: &Rc<Node>) {
    for address in node.peer_addresses() {
        match node
            .links
            .ask(
                "ask for the owner",
                address,
                &PeerRequest::Lead,
                REQUEST_TIMEOUT,
            )
            .await
        {
            Ok(Reply::Lead(Some(owner))) => node.adopt_log_owner(&owner),
            Ok(_) => {}
            Err(failure) => tracing::debug!(%failure, "failed to ask a peer for the owner"),
        }
    }
}

/// Sends heartbeats until the owner is lost; returns why.
async fn follow(node: &Rc<Node>, owner: &LogOwner) -> Loss {
    let mut grace_end = Instant::now() + NEW_OWNER_GRACE;
    loop {
        if node
            .log_owner()
            .is_none_or(|known| known.epoch != owner.epoch)
        {
            return Loss::Replaced;
        }
        let began = Instant::now();
        let heartbeat = PeerRequest::Heartbeat(Heartbeat {
            member: node.as_member(),
            config: node.config().version,
            members: node.members_version(),
        });
        let (answer, tail) = send_heartbeat(node, owner, &heartbeat).await;
        match answer {
            Ok(Reply::Welcome(reply)) => {
                node.note_position(reply.position);
                if reply.epoch == owner.epoch {
                    grace_end = Instant::now();
                } else if reply.incarnation != owner.incarnation || Instant::now() >= grace_end {
                    return Loss::Ended;
                }
                if let Some(config) = reply.config {
                    node.adopt_config(&Arc::new(*config));
                }
                if let Some(update) = reply.members {
                    node.apply_membership_update(update, reply.list);
                }
                if reply.version < node.config().version {
                    send_config(node, owner).await;
                }
            }
            Ok(_) => return Loss::Ended,
            Err(failure) => {
                let in_grace = Instant::now() < grace_end;
                if let Some(loss) = classify_failure(&failure, tail)
                    && !(in_grace && matches!(loss, Loss::Silent(_)))
                {
                    return loss;
                }
            }
        }
        let mut changed = node.watch_log_owner();
        let remaining = HEARTBEAT_INTERVAL.saturating_sub(began.elapsed());
        let _ = time::timeout(remaining, changed.changed()).await;
    }
}

/// Sends one heartbeat; also returns the tail of the log if the answer was late.
async fn send_heartbeat(
    node: &Rc<Node>,
    owner: &LogOwner,
    heartbeat: &PeerRequest,
) -> (Result<Reply, Failure>, Option<LogTail>) {
    let answer = node
        .links
        .ask("greet owner", owner.address, heartbeat, HEARTBEAT_TIMEOUT);
    tokio::pin!(answer);
    if let Ok(answer) = time::timeout(SUSPICION_DELAY, &mut answer).await {
        return (answer, None);
    }
    let mut tail = None;
    let read = async {
        match node.log.read_tail(node.position()).await {
            Ok(read) => tail = Some(read),
            Err(failure) => tracing::info!(%failure, "failed to read the tail of the log"),
        }
        future::pending::<Infallible>().await
    };
    let answer = tokio::select! {
        answer = &mut answer => answer,
        never = read => match never {},
    };
    (answer, tail)
}

/// Classifies a failed heartbeat; `None` if the owner is still followed. A broken connection may be
/// a reset, and the next heartbeat opens another one. A refused connection means that the process
/// has ended.
fn classify_failure(failure: &Failure, tail: Option<LogTail>) -> Option<Loss> {
    if failure.is_connection_refused() {
        return Some(Loss::Ended);
    }
    let silent = failure.is_timeout() || failure.effect == RemoteEffect::None;
    silent.then_some(Loss::Silent(tail))
}

async fn send_config(node: &Rc<Node>, owner: &LogOwner) {
    let config = PeerRequest::Config(Box::new((*node.config()).clone()));
    if let Err(failure) = node
        .links
        .ask(
            "send configuration",
            owner.address,
            &config,
            REQUEST_TIMEOUT,
        )
        .await
    {
        tracing::info!(%failure, "failed to send the newer configuration to the owner");
    }
}

/// Returns how long this instance waits for others to replace an owner.
fn failover_delay(node: &Node, owner: &LogOwner) -> Duration {
    let own = node.settings.entry.processors;
    let name = &node.settings.instance.name;
    let rank = failover_order::rank(own, name, &owner.name, &node.members());
    let smaller = own * handover::LARGER_RATIO.0 < owner.largest * handover::LARGER_RATIO.1;
    let least = if smaller {
        SMALLER_MIN_DELAY
    } else {
        Duration::ZERO
    };
    failover_order::delay(rank).max(least)
}

/// Tries to replace a lost owner, unless it still writes to its log.
async fn replace(node: &Rc<Node>, owner: &LogOwner, loss: Loss) {
    if node.is_leaving() {
        time::sleep(RETRY_DELAY).await;
        find_owner(node).await;
        return;
    }
    let wait = failover_delay(node, owner);
    let mut changed = node.watch_log_owner();
    if time::timeout(wait, changed.changed()).await.is_ok() {
        return;
    }
    match node.log.read_owner(false).await {
        Ok(Some(known)) if known.epoch != owner.epoch => node.adopt_log_owner(&known),
        Ok(_) => {
            if let Loss::Silent(tail) = loss
                && is_still_writing(node, owner, tail).await
            {
                tracing::info!(owner = %owner.name, "owner still writes; not replacing it");
                return;
            }
            try_acquire(node, Some(owner.as_former())).await;
        }
        Err(failure) => {
            tracing::info!(%failure, "failed to read the lead key");
            ask_peers(node).await;
            time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Returns whether an owner that does not answer this instance still writes to its log; true if
/// the log cannot be read.
async fn is_still_writing(node: &Rc<Node>, owner: &LogOwner, tail: Option<LogTail>) -> bool {
    let has_grown = async {
        let since = match tail {
            Some(tail) => tail,
            None => node.log.read_tail(node.position()).await?,
        };
        node.log.has_grown(since).await
    };
    match has_grown.await {
        Ok(has_grown) => has_grown,
        Err(failure) => {
            tracing::info!(%failure, epoch = owner.epoch, "failed to read the tail of the log");
            true
        }
    }
}

/// Tries to acquire a log that never had an owner. The seeds try one after the other.
async fn bootstrap(node: &Rc<Node>) {
    let peers = node.settings.entry.peers;
    let seeds = node.settings.entry.seeds.iter();
    let index = seeds.into_iter().position(|seed| seed.ip() == peers.ip());
    let wait = index.map_or(BOOTSTRAP_STEP * 4, |index| {
        BOOTSTRAP_STEP * u32::try_from(index).unwrap_or(0)
    });
    let mut changed = node.watch_log_owner();
    if time::timeout(wait, changed.changed()).await.is_ok() {
        return;
    }
    match node.log.read_owner(false).await {
        Ok(Some(owner)) => node.adopt_log_owner(&owner),
        Ok(None) => try_acquire(node, None).await,
        Err(failure) => {
            tracing::info!(%failure, "failed to read the lead key");
            time::sleep(RETRY_DELAY).await;
            ask_peers(node).await;
        }
    }
}

/// Takes over the log at the request of its owner, unless this instance is shutting down.
pub async fn take_over(node: &Rc<Node>, owner: &LogOwner) {
    if node.owns() || node.is_leaving() {
        return;
    }
    tracing::info!(owner = %owner.name, epoch = owner.epoch, "asked to take over the log");
    try_acquire(node, Some(owner.as_former())).await;
}

async fn try_acquire(node: &Rc<Node>, predecessor: Option<PreviousOwner>) {
    let mine = node.as_log_owner(predecessor);
    let replaced = predecessor.map_or(0, |predecessor| predecessor.epoch);
    match node.log.acquire(&mine, replaced).await {
        Ok(Acquisition::Acquired(epoch)) => {
            let owner = LogOwner { epoch, ..mine };
            owner::spawn(node, owner);
        }
        Ok(Acquisition::HeldByOther(Some(owner))) => node.adopt_log_owner(&owner),
        Ok(Acquisition::HeldByOther(None)) => {}
        Err(failure) => {
            tracing::warn!(%failure, "acquisition of the log not confirmed");
            find_owner(node).await;
        }
    }
}
