//! The task that borrows slots of one service from other gateways.
//!
//! It sleeps while the gateway's own slots suffice, so its messages cost
//! nothing in balance and grow only with the imbalance.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::time;

use crate::desk::Desk;
use crate::members::{Member, Members};
use crate::membership::Membership;
use crate::peer::{Ask, Role};
use crate::tally::Tally;
use crate::wire::Wire;

/// A loan lapses this long after the last message about it.
pub const TERM: Duration = Duration::from_secs(2);
/// How often loans are renewed and idle slots given back.
const SETTLE_EVERY: Duration = Duration::from_millis(700);
/// Most slots in one question.
const WANT_MAX: u32 = 32;
/// Pause after a round in which nobody could lend.
const PAUSE_MIN: Duration = Duration::from_millis(10);
/// Longest such pause.
const PAUSE_MAX: Duration = Duration::from_millis(320);

/// Borrows for one service.
pub struct Lender {
    /// The service.
    pub desk: Arc<Desk>,
    /// This gateway.
    pub own: Arc<str>,
    /// The other gateways.
    pub membership: Arc<Membership>,
    /// Wire to them.
    pub wire: Wire,
    /// Counters.
    pub tally: Arc<Tally>,
}

impl Lender {
    /// Runs until it is aborted.
    pub async fn run(self) {
        let mut settle = time::interval(SETTLE_EVERY);
        settle.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut last: Option<Arc<str>> = None;
        let mut pause = PAUSE_MIN;
        loop {
            tokio::select! {
                () = self.desk.short.notified() => {
                    last = self.borrow(last).await;
                    if last.is_some() {
                        pause = PAUSE_MIN;
                    } else {
                        time::sleep(pause).await;
                        pause = (pause * 2).min(PAUSE_MAX);
                    }
                }
                _ = settle.tick() => self.settle().await,
            }
        }
    }

    fn others(&self, members: &Members) -> Vec<Member> {
        let names = members.present(Role::Gateway);
        let others = names.iter().filter(|name| **name != self.own);
        others
            .filter_map(|name| members.get(Role::Gateway, name))
            .map(|known| known.member.clone())
            .collect()
    }

    /// Asks until somebody lends; the last lender first, the others in any order.
    async fn borrow(&self, last: Option<Arc<str>>) -> Option<Arc<str>> {
        let mut lenders = self.others(&self.membership.members());
        lenders.shuffle(&mut rand::rng());
        lenders.sort_by_key(|member| Some(&member.name) != last.as_ref());
        for lender in lenders {
            let want = self
                .desk
                .with(|dispatch, now| dispatch.shortage(now))
                .min(WANT_MAX);
            if want == 0 {
                return Some(lender.name);
            }
            let keep = self
                .desk
                .with(|dispatch, now| dispatch.borrowed_from(&lender.name, now));
            if self.ask(&lender, keep, want).await {
                return Some(lender.name);
            }
        }
        None
    }

    async fn settle(&self) {
        for lender in self.others(&self.membership.members()) {
            let name = &lender.name;
            let keep = self.desk.with(|dispatch, now| {
                dispatch
                    .borrows_from(name, now)
                    .then(|| dispatch.kept(name, now))
            });
            if let Some(keep) = keep {
                self.ask(&lender, keep, 0).await;
            }
        }
    }

    /// Sends one question; true when the loan grew.
    async fn ask(&self, lender: &Member, keep: Vec<(u64, u32)>, want: u32) -> bool {
        self.tally.asks.inc();
        let before: u32 = keep.iter().map(|(_, count)| count).sum();
        let (service, borrower) = (self.desk.name.clone(), self.own.clone());
        let ask = Ask {
            service,
            borrower,
            keep: keep.clone(),
            want,
        };
        // What is given back must not be used while the message is under way.
        let until = self.desk.now() + TERM;
        self.desk
            .with(|dispatch, _| dispatch.borrow_from(&lender.name, &keep, until));
        let Ok(loans) = self.wire.connect(lender.peers).lend(ask).await else {
            return false;
        };
        let after: u32 = loans.iter().map(|(_, count)| count).sum();
        self.desk
            .with(|dispatch, _| dispatch.borrow_from(&lender.name, &loans, until));
        after > before
    }
}
