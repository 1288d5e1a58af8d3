//! The task that borrows slots of one service from other gateways.
//!
//! It sleeps while the gateway's own slots suffice, so its messages cost
//! nothing in balance and grow only with the imbalance.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::time;

use crate::gateway_metrics::GatewayMetrics;
use crate::members::{Member, Members};
use crate::membership::Membership;
use crate::peer::{LoanRequest, Role};
use crate::rpc::RpcClient;
use crate::service_dispatcher::ServiceDispatcher;

/// A loan lapses this long after the last message about it.
pub const TERM: Duration = Duration::from_secs(6);
/// How often loans are renewed and idle slots given back.
const SETTLE_EVERY: Duration = Duration::from_millis(2500);
/// Most slots in one question.
const WANT_MAX: u32 = 32;
/// Gateways asked in one round.
const ASKED_MAX: usize = 3;
/// Pause after a round in which nobody could lend.
const PAUSE_MIN: Duration = Duration::from_millis(10);
/// Longest such pause.
const PAUSE_MAX: Duration = Duration::from_millis(320);

/// Borrows for one service.
pub struct SlotBorrower {
    /// The service.
    pub desk: Arc<ServiceDispatcher>,
    /// This gateway.
    pub own: Arc<str>,
    /// The other gateways.
    pub membership: Arc<Membership>,
    /// Wire to them.
    pub wire: RpcClient,
    /// Counters.
    pub tally: Arc<GatewayMetrics>,
}

impl SlotBorrower {
    /// Runs until it is aborted.
    pub async fn run(self) {
        let mut settle = time::interval(SETTLE_EVERY);
        settle.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut last: Option<Arc<str>> = None;
        let mut pause = PAUSE_MIN;
        loop {
            tokio::select! {
                () = self.desk.shortage.notified() => {
                    let want = self.desk.with_dispatch(|dispatch, _| dispatch.shortage());
                    if want > 0 {
                        last = self.borrow(last, want).await;
                    }
                    pause = if last.is_some() { PAUSE_MIN } else { (pause * 2).min(PAUSE_MAX) };
                    time::sleep(pause).await;
                    // Those that wait bring no new offer by themselves.
                    self.desk.notify_shortage();
                }
                _ = settle.tick() => last = self.settle(last).await,
            }
        }
    }

    fn others(&self, members: &Members) -> Vec<Member> {
        let names = members.available(Role::Gateway);
        let others = names.iter().filter(|name| **name != self.own);
        others
            .filter_map(|name| members.get(Role::Gateway, name))
            .map(|known| known.member.clone())
            .collect()
    }

    /// Asks until somebody lends; the last lender first, the others in any order.
    async fn borrow(&self, last: Option<Arc<str>>, want: u32) -> Option<Arc<str>> {
        let mut lenders = self.others(&self.membership.members());
        lenders.shuffle(&mut rand::rng());
        lenders.sort_by_key(|member| Some(&member.name) != last.as_ref());
        for lender in lenders.into_iter().take(ASKED_MAX) {
            if self.ask_more(&lender, want.min(WANT_MAX)).await {
                return Some(lender.name);
            }
        }
        None
    }

    /// Renews loans, gives back what the recent peak did not need, and borrows what
    /// it needed beyond them.
    async fn settle(&self, last: Option<Arc<str>>) -> Option<Arc<str>> {
        let excess = self.desk.with_dispatch(super::dispatch::Dispatch::excess);
        if excess > 0 {
            return self.borrow(last, excess).await;
        }
        for lender in self.others(&self.membership.members()) {
            let name = &lender.name;
            let keep = self.desk.with_dispatch(|dispatch, now| {
                dispatch
                    .borrows_from(name, now)
                    .then(|| dispatch.kept(name, now))
            });
            if let Some(keep) = keep {
                self.give_back(&lender, keep).await;
            }
        }
        last
    }

    /// Asks for more; true when something was lent.
    async fn ask_more(&self, lender: &Member, want: u32) -> bool {
        let until = self.desk.now() + TERM;
        let Some(added) = self.ask(lender, false, Vec::new(), want).await else {
            return false;
        };
        self.desk
            .with_dispatch(|dispatch, now| dispatch.borrow_more(&lender.name, &added, until, now));
        !added.is_empty()
    }

    /// Renews the loan for `keep` and gives the rest back.
    async fn give_back(&self, lender: &Member, keep: Vec<(u64, u32)>) {
        let until = self.desk.now() + TERM;
        // What is given back must not be used while the message is under way.
        self.desk
            .with_dispatch(|dispatch, _| dispatch.borrow_from(&lender.name, &keep, until));
        self.ask(lender, true, keep, 0).await;
    }

    async fn ask(
        &self,
        lender: &Member,
        settles: bool,
        keep: Vec<(u64, u32)>,
        want: u32,
    ) -> Option<Vec<(u64, u32)>> {
        self.tally.asks.inc();
        let (service, borrower) = (self.desk.name.clone(), self.own.clone());
        let ask = LoanRequest {
            service,
            borrower,
            replaces_loan: settles,
            keep,
            want,
        };
        self.wire.connect(lender.peers).lend(ask).await.ok()
    }
}
