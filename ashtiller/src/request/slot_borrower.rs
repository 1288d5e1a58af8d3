//! The task that borrows slots of one service from other gateways.
//!
//! It is idle while the gateway's own slots suffice. So it sends no messages when the
//! load is balanced, and their number grows only with the imbalance.

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

/// Time after the last message about a loan at which it expires.
pub const LOAN_TERM: Duration = Duration::from_secs(6);
/// Interval at which loans are renewed and idle slots returned.
const SETTLE_INTERVAL: Duration = Duration::from_millis(2500);
/// Largest number of slots in one loan request.
const SLOTS_PER_REQUEST_MAX: u32 = 32;
/// Gateways asked in one round.
const LENDERS_PER_ROUND_MAX: usize = 3;
/// Shortest pause after a round; it doubles with each round in which no gateway lends.
const PAUSE_MIN: Duration = Duration::from_millis(10);
/// Longest pause after a round.
const PAUSE_MAX: Duration = Duration::from_millis(320);

/// Borrows slots for one service.
pub struct SlotBorrower {
    /// The service.
    pub service: Arc<ServiceDispatcher>,
    /// Name of this gateway.
    pub own: Arc<str>,
    /// Membership that lists the other gateways.
    pub membership: Arc<Membership>,
    /// Transport to the other gateways.
    pub rpc: RpcClient,
    /// Metrics of this gateway.
    pub metrics: Arc<GatewayMetrics>,
}

impl SlotBorrower {
    /// Runs until it is aborted.
    pub async fn run(self) {
        let mut ticks = time::interval(SETTLE_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut last_lender: Option<Arc<str>> = None;
        let mut pause = PAUSE_MIN;
        loop {
            tokio::select! {
                () = self.service.shortage.notified() => {
                    let want = self.service.with_dispatch(|dispatch, _| dispatch.shortage());
                    if want > 0 {
                        last_lender = self.borrow(last_lender, want).await;
                    }
                    pause = if last_lender.is_some() { PAUSE_MIN } else { (pause * 2).min(PAUSE_MAX) };
                    time::sleep(pause).await;
                    // Requests already queued don't trigger another notification.
                    self.service.notify_shortage();
                }
                _ = ticks.tick() => last_lender = self.settle_loans(last_lender).await,
            }
        }
    }

    fn other_gateways(&self, members: &Members) -> Vec<Member> {
        let names = members.available(Role::Gateway);
        let others = names.iter().filter(|name| **name != self.own);
        others
            .filter_map(|name| members.get(Role::Gateway, name))
            .map(|known| known.member.clone())
            .collect()
    }

    /// Asks gateways until one lends: first the last lender, then the others in random
    /// order.
    async fn borrow(&self, last_lender: Option<Arc<str>>, want: u32) -> Option<Arc<str>> {
        let mut lenders = self.other_gateways(&self.membership.members());
        lenders.shuffle(&mut rand::rng());
        lenders.sort_by_key(|member| Some(&member.name) != last_lender.as_ref());
        for lender in lenders.into_iter().take(LENDERS_PER_ROUND_MAX) {
            if self
                .borrow_more(&lender, want.min(SLOTS_PER_REQUEST_MAX))
                .await
            {
                return Some(lender.name);
            }
        }
        None
    }

    /// Renews loans and returns slots that the recent peak demand didn't need. If the peak
    /// exceeded the slots, borrows the difference instead.
    async fn settle_loans(&self, last_lender: Option<Arc<str>>) -> Option<Arc<str>> {
        let missing = self
            .service
            .with_dispatch(super::dispatch::Dispatch::peak_shortage);
        if missing > 0 {
            return self.borrow(last_lender, missing).await;
        }
        for lender in self.other_gateways(&self.membership.members()) {
            let name = &lender.name;
            let keep = self.service.with_dispatch(|dispatch, now| {
                dispatch
                    .borrows_from(name, now)
                    .then(|| dispatch.still_needed(name, now))
            });
            if let Some(keep) = keep {
                self.return_slots(&lender, keep).await;
            }
        }
        last_lender
    }

    /// Asks a gateway for more slots. Returns true if it lent any.
    async fn borrow_more(&self, lender: &Member, want: u32) -> bool {
        let until = self.service.now() + LOAN_TERM;
        let Some(added) = self.send_request(lender, false, Vec::new(), want).await else {
            return false;
        };
        self.service
            .with_dispatch(|dispatch, now| dispatch.add_borrowed(&lender.name, &added, until, now));
        !added.is_empty()
    }

    /// Renews the loan for `keep` and returns the rest.
    async fn return_slots(&self, lender: &Member, keep: Vec<(u64, u32)>) {
        let until = self.service.now() + LOAN_TERM;
        // Returned slots must not be used while the message is in transit.
        self.service
            .with_dispatch(|dispatch, _| dispatch.set_borrowed(&lender.name, &keep, until));
        self.send_request(lender, true, keep, 0).await;
    }

    async fn send_request(
        &self,
        lender: &Member,
        replaces_loan: bool,
        keep: Vec<(u64, u32)>,
        want: u32,
    ) -> Option<Vec<(u64, u32)>> {
        self.metrics.loan_requests.inc();
        let (service, borrower) = (self.service.name.clone(), self.own.clone());
        let request = LoanRequest {
            service,
            borrower,
            replaces_loan,
            keep,
            want,
        };
        self.rpc.connect(lender.peers).lend(request).await.ok()
    }
}
