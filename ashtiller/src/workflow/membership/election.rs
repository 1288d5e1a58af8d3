//! Who owns the log: followers hear the owner's heartbeat and replace it when it is
//! gone. The lead key decides; what is here only says when to try.

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

/// Time between two heartbeats to the owner.
const HELLO: Duration = Duration::from_millis(250);
/// Time limit of one heartbeat; an instance with a share of a core may be busy.
const HELLO_LIMIT: Duration = Duration::from_millis(700);
/// Time after which an owner that has not answered a heartbeat is doubted: its log is
/// looked at, so that it is known when the time limit is over whether it still writes.
const DOUBT: Duration = Duration::from_millis(250);
/// Time between two instances that try to own a log that nobody has owned.
const SEED_STEP: Duration = Duration::from_millis(150);
/// Time for a new owner to learn that it is one, when answers of the store are lost
/// or slow.
const BEGIN: Duration = Duration::from_millis(1500);
/// Least wait of an instance that is smaller than the largest that the owner knew.
const SMALL_WAIT: Duration = Duration::from_millis(500);
/// Pause before another look for an owner.
const PAUSE: Duration = Duration::from_millis(100);
/// Time limit of a question who the owner is.
const LEAD_LIMIT: Duration = Duration::from_millis(300);

/// Why a follower lost its owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loss {
    /// A later owner is known.
    Replaced,
    /// It has ended, or says that it does not own the log.
    Ended,
    /// It does not answer; its log as it was when that was first doubted.
    Silent(Option<LogTail>),
}

/// Follows or replaces the owner until the process ends.
pub async fn run(node: Rc<Node>) {
    find_lead(&node).await;
    loop {
        if node.owns() {
            time::sleep(PAUSE).await;
            continue;
        }
        match node.lead() {
            Some(lead) if lead.incarnation != node.life => {
                let loss = follow(&node, &lead).await;
                if loss != Loss::Replaced {
                    tracing::warn!(owner = %lead.name, epoch = lead.epoch, ?loss, "owner lost");
                    replace(&node, &lead, loss).await;
                }
            }
            // A write of the lead key whose answer was lost has made this process the
            // owner.
            Some(lead) => owner::spawn(&node, lead),
            None => begin(&node).await,
        }
    }
}

/// Asks the store and others who the owner is.
async fn find_lead(node: &Rc<Node>) {
    match node.log.read_lead(false).await {
        Ok(Some(lead)) => node.adopt_lead(&lead),
        Ok(None) => {}
        Err(failure) => {
            tracing::info!(%failure, "lead not read");
            ask_others(node).await;
        }
    }
}

async fn ask_others(node: &Rc<Node>) {
    for address in node.peer_addresses() {
        match node
            .links
            .ask("ask for the owner", address, &PeerRequest::Lead, LEAD_LIMIT)
            .await
        {
            Ok(Reply::Lead(Some(lead))) => node.adopt_lead(&lead),
            Ok(_) => {}
            Err(failure) => tracing::debug!(%failure, "not told who the owner is"),
        }
    }
}

/// Heartbeats until the owner is lost.
async fn follow(node: &Rc<Node>, lead: &LogOwner) -> Loss {
    let mut patience = Instant::now() + BEGIN;
    loop {
        if node.lead().is_none_or(|known| known.epoch != lead.epoch) {
            return Loss::Replaced;
        }
        let began = Instant::now();
        let hello = PeerRequest::Heartbeat(Heartbeat {
            member: node.as_member(),
            config: node.config().version,
            members: node.members_version(),
        });
        let (answer, sight) = greet(node, lead, &hello).await;
        match answer {
            Ok(Reply::Welcome(welcome)) => {
                node.note_position(welcome.position);
                if welcome.epoch == lead.epoch {
                    patience = Instant::now();
                } else if welcome.incarnation != lead.incarnation || Instant::now() >= patience {
                    return Loss::Ended;
                }
                if let Some(config) = welcome.config {
                    node.adopt_config(&Arc::new(*config));
                }
                if let Some(news) = welcome.members {
                    node.apply_membership_update(news, welcome.list);
                }
                if welcome.version < node.config().version {
                    send_config(node, lead).await;
                }
            }
            Ok(_) => return Loss::Ended,
            Err(failure) => {
                let begins = Instant::now() < patience;
                if let Some(loss) = judge(&failure, sight)
                    && !(begins && matches!(loss, Loss::Silent(_)))
                {
                    return loss;
                }
            }
        }
        let mut changed = node.watch_lead();
        let left = HELLO.saturating_sub(began.elapsed());
        let _ = time::timeout(left, changed.changed()).await;
    }
}

/// One heartbeat, with the log as it was when the answer was late.
async fn greet(
    node: &Rc<Node>,
    lead: &LogOwner,
    hello: &PeerRequest,
) -> (Result<Reply, Failure>, Option<LogTail>) {
    let answer = node
        .links
        .ask("greet owner", lead.address, hello, HELLO_LIMIT);
    tokio::pin!(answer);
    if let Ok(answer) = time::timeout(DOUBT, &mut answer).await {
        return (answer, None);
    }
    let mut sight = None;
    let look = async {
        match node.log.read_tail(node.position()).await {
            Ok(seen) => sight = Some(seen),
            Err(failure) => tracing::info!(%failure, "log not read"),
        }
        future::pending::<Infallible>().await
    };
    let answer = tokio::select! {
        answer = &mut answer => answer,
        never = look => match never {},
    };
    (answer, sight)
}

/// A broken connection may be a reset: the next heartbeat opens another. Nobody
/// listening means that the process has ended.
fn judge(failure: &Failure, sight: Option<LogTail>) -> Option<Loss> {
    if failure.is_connection_refused() {
        return Some(Loss::Ended);
    }
    let silent = failure.is_timeout() || failure.effect == RemoteEffect::None;
    silent.then_some(Loss::Silent(sight))
}

async fn send_config(node: &Rc<Node>, lead: &LogOwner) {
    let config = PeerRequest::Config(Box::new((*node.config()).clone()));
    if let Err(failure) = node
        .links
        .ask("send configuration", lead.address, &config, LEAD_LIMIT)
        .await
    {
        tracing::info!(%failure, "newer configuration not sent to the owner");
    }
}

/// How long this instance leaves it to others to replace an owner.
fn wait_of(node: &Node, lead: &LogOwner) -> Duration {
    let own = node.settings.entry.processors;
    let name = &node.settings.instance.name;
    let rank = failover_order::rank(own, name, &lead.name, &node.members());
    let small = own * handover::LARGER_BY.0 < lead.largest * handover::LARGER_BY.1;
    let least = if small { SMALL_WAIT } else { Duration::ZERO };
    failover_order::delay(rank).max(least)
}

/// Tries to replace an owner that was lost.
async fn replace(node: &Rc<Node>, lead: &LogOwner, loss: Loss) {
    if node.is_leaving() {
        time::sleep(PAUSE).await;
        find_lead(node).await;
        return;
    }
    let wait = wait_of(node, lead);
    let mut changed = node.watch_lead();
    if time::timeout(wait, changed.changed()).await.is_ok() {
        return;
    }
    match node.log.read_lead(false).await {
        Ok(Some(known)) if known.epoch != lead.epoch => node.adopt_lead(&known),
        Ok(_) => {
            if let Loss::Silent(sight) = loss
                && is_alive(node, lead, sight).await
            {
                tracing::info!(owner = %lead.name, "owner still writes; it is not replaced");
                return;
            }
            seize(node, Some(lead.as_former())).await;
        }
        Err(failure) => {
            tracing::info!(%failure, "lead not read");
            ask_others(node).await;
            time::sleep(PAUSE).await;
        }
    }
}

/// Whether an owner that does not answer here still writes to its log.
async fn is_alive(node: &Rc<Node>, lead: &LogOwner, sight: Option<LogTail>) -> bool {
    let grown = async {
        let since = match sight {
            Some(sight) => sight,
            None => node.log.read_tail(node.position()).await?,
        };
        node.log.has_grown(since).await
    };
    match grown.await {
        Ok(growing) => growing,
        Err(failure) => {
            tracing::info!(%failure, epoch = lead.epoch, "log not read");
            true
        }
    }
}

/// Nobody has ever owned the log.
async fn begin(node: &Rc<Node>) {
    let peers = node.settings.entry.peers;
    let seeds = node.settings.entry.seeds.iter();
    let place = seeds.into_iter().position(|seed| seed.ip() == peers.ip());
    let wait = place.map_or(SEED_STEP * 4, |place| {
        SEED_STEP * u32::try_from(place).unwrap_or(0)
    });
    let mut changed = node.watch_lead();
    if time::timeout(wait, changed.changed()).await.is_ok() {
        return;
    }
    match node.log.read_lead(false).await {
        Ok(Some(lead)) => node.adopt_lead(&lead),
        Ok(None) => seize(node, None).await,
        Err(failure) => {
            tracing::info!(%failure, "lead not read");
            time::sleep(PAUSE).await;
            ask_others(node).await;
        }
    }
}

/// The owner asks this instance to go on in its place.
pub async fn take_over(node: &Rc<Node>, lead: &LogOwner) {
    if node.owns() || node.is_leaving() {
        return;
    }
    tracing::info!(owner = %lead.name, epoch = lead.epoch, "asked to take over");
    seize(node, Some(lead.as_former())).await;
}

async fn seize(node: &Rc<Node>, former: Option<PreviousOwner>) {
    let mine = node.as_lead(former);
    let replaced = former.map_or(0, |former| former.epoch);
    match node.log.acquire(&mine, replaced).await {
        Ok(Acquisition::Acquired(epoch)) => {
            let lead = LogOwner { epoch, ..mine };
            owner::spawn(node, lead);
        }
        Ok(Acquisition::HeldByOther(Some(lead))) => node.adopt_lead(&lead),
        Ok(Acquisition::HeldByOther(None)) => {}
        Err(failure) => {
            tracing::warn!(%failure, "lead not confirmed");
            find_lead(node).await;
        }
    }
}
