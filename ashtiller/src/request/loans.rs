//! Slots lent to other gateways and borrowed from them, for one service.

use std::sync::Arc;
use std::time::Duration;

use crate::dispatch::{self, Dispatch};
use crate::endpoint::Endpoint;
use crate::peer::LoanRequest;

/// Free slots that a lender keeps, as a divisor of its slots.
const RESERVE: u32 = 32;
/// Slots that a borrower asks for beyond those it needs at once.
const AHEAD: u32 = 4;
/// Weight of the last peak against an earlier, higher one.
const PEAK_DECAY: f64 = 0.8;

impl Dispatch {
    /// Slots that requests in the line need now.
    #[must_use]
    pub fn shortage(&self) -> u32 {
        let waiting = dispatch::count_of(self.line.len());
        if waiting == 0 { 0 } else { waiting + AHEAD }
    }

    /// Slots by which the recent peak exceeds those of this gateway; begins a new
    /// span of observation.
    pub fn excess(&mut self, now: Duration) -> u32 {
        let usable = self.slack(now).1;
        let excess = self.peak.saturating_sub(usable);
        let former = f64::from(self.peak) * PEAK_DECAY;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a count"
        )]
        let former = former as u32;
        self.peak = former.max(self.in_flight + dispatch::count_of(self.line.len()));
        excess
    }

    fn slack(&self, now: Duration) -> (u32, u32) {
        let takes = |endpoint: &&Endpoint| endpoint.accepts(self.limits.max_connections);
        self.endpoints
            .iter()
            .filter(takes)
            .fold((0, 0), |(free, usable), endpoint| {
                (
                    free + endpoint.free_slots(now),
                    usable + endpoint.slots.usable(now),
                )
            })
    }

    /// Goes on with the loan to `peer` until `until`, reduced to `keep` when it
    /// settles, and adds up to `want` slots, at most half of what is free. Returns
    /// what was added.
    pub fn lend(&mut self, ask: &LoanRequest, until: Duration, now: Duration) -> Vec<(u64, u32)> {
        let peer = &ask.borrower;
        for endpoint in &mut self.endpoints {
            let mut lent = endpoint.slots.lent_to(peer, now);
            if ask.replaces_loan {
                let kept = ask.keep.iter().find(|(id, _)| *id == endpoint.id);
                lent = lent.min(kept.map_or(0, |(_, count)| *count));
            }
            endpoint.slots.lend(peer, lent, until);
        }
        let (free, usable) = self.slack(now);
        let reserve = (usable / RESERVE).max(1);
        let spare = if self.line.is_empty() {
            free.saturating_sub(reserve).div_ceil(2)
        } else {
            0
        };
        let mut added = Vec::new();
        for endpoint in &mut self.endpoints {
            if added.len() >= ask.want.min(spare) as usize {
                break;
            }
            if endpoint.accepts(self.limits.max_connections) && endpoint.free_slots(now) > 0 {
                let lent = endpoint.slots.lent_to(peer, now);
                endpoint.slots.lend(peer, lent + 1, until);
                added.push((endpoint.id, 1));
            }
        }
        added
    }

    /// Replaces what is borrowed from `peer`.
    pub fn borrow_from(&mut self, peer: &Arc<str>, loans: &[(u64, u32)], until: Duration) {
        for endpoint in &mut self.endpoints {
            let loan = loans.iter().find(|(id, _)| *id == endpoint.id);
            endpoint
                .slots
                .borrow_from(peer, loan.map_or(0, |(_, count)| *count), until);
        }
    }

    /// Goes on with what is borrowed from `peer` and adds to it.
    pub fn borrow_more(
        &mut self,
        peer: &Arc<str>,
        added: &[(u64, u32)],
        until: Duration,
        now: Duration,
    ) {
        for endpoint in &mut self.endpoints {
            let more = added.iter().find(|(id, _)| *id == endpoint.id);
            let count =
                endpoint.slots.borrowed_from(peer, now) + more.map_or(0, |(_, count)| *count);
            endpoint.slots.borrow_from(peer, count, until);
        }
    }

    /// Borrowed slots of `peer` that are still needed at `now`.
    #[must_use]
    pub fn kept(&self, peer: &str, now: Duration) -> Vec<(u64, u32)> {
        let (_, usable) = self.slack(now);
        let mut spare = usable.saturating_sub(self.peak + 1);
        let mut kept = Vec::new();
        for endpoint in &self.endpoints {
            let borrowed = endpoint.slots.borrowed_from(peer, now);
            let idle = endpoint.free_slots(now).min(borrowed).min(spare);
            spare -= idle;
            if borrowed > idle {
                kept.push((endpoint.id, borrowed - idle));
            }
        }
        kept
    }

    /// Whether anything is borrowed from `peer`.
    #[must_use]
    pub fn borrows_from(&self, peer: &str, now: Duration) -> bool {
        self.endpoints
            .iter()
            .any(|endpoint| endpoint.slots.borrowed_from(peer, now) > 0)
    }
}
