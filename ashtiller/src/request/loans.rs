//! Slots lent to other gateways and borrowed from them, for one service.

use std::sync::Arc;
use std::time::Duration;

use crate::dispatch::{self, Dispatch};
use crate::endpoint::Endpoint;
use crate::peer::LoanRequest;

/// Divisor of a lender's slots that gives the number of free slots it keeps.
const RESERVE_DIVISOR: u32 = 32;
/// Slots that a borrower requests beyond those it needs at once.
const EXTRA_SLOTS: u32 = 4;
/// Factor by which the recorded peak decays with each observation window.
const PEAK_DECAY: f64 = 0.8;

impl Dispatch {
    /// Returns the number of slots to borrow for queued requests; 0 if none is queued.
    #[must_use]
    pub fn shortage(&self) -> u32 {
        let waiting = dispatch::count_of(self.queue.len());
        if waiting == 0 {
            0
        } else {
            waiting + EXTRA_SLOTS
        }
    }

    /// Returns the number of slots by which the recent peak demand exceeds those of this
    /// gateway, and begins a new observation window.
    pub fn peak_shortage(&mut self, now: Duration) -> u32 {
        let usable = self.free_and_usable(now).1;
        let shortage = self.peak_demand.saturating_sub(usable);
        let decayed = f64::from(self.peak_demand) * PEAK_DECAY;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a count"
        )]
        let decayed = decayed as u32;
        self.peak_demand = decayed.max(self.in_flight + dispatch::count_of(self.queue.len()));
        shortage
    }

    fn free_and_usable(&self, now: Duration) -> (u32, u32) {
        let accepts = |endpoint: &&Endpoint| endpoint.accepts(self.limits.max_connections);
        self.endpoints
            .iter()
            .filter(accepts)
            .fold((0, 0), |(free, usable), endpoint| {
                (
                    free + endpoint.free_slots(now),
                    usable + endpoint.slots.usable(now),
                )
            })
    }

    /// Renews the loan to the borrower until `until`, reduced to `keep` if the request
    /// replaces it, and adds up to `want` slots, at most half of those free beyond a
    /// reserve. Returns the added slots by endpoint id.
    pub fn lend(
        &mut self,
        request: &LoanRequest,
        until: Duration,
        now: Duration,
    ) -> Vec<(u64, u32)> {
        let peer = &request.borrower;
        for endpoint in &mut self.endpoints {
            let mut lent = endpoint.slots.lent_to(peer, now);
            if request.replaces_loan {
                let kept = request.keep.iter().find(|(id, _)| *id == endpoint.id);
                lent = lent.min(kept.map_or(0, |(_, count)| *count));
            }
            endpoint.slots.set_lent(peer, lent, until);
        }
        let (free, usable) = self.free_and_usable(now);
        let reserve = (usable / RESERVE_DIVISOR).max(1);
        let spare = if self.queue.is_empty() {
            free.saturating_sub(reserve).div_ceil(2)
        } else {
            0
        };
        let mut added = Vec::new();
        for endpoint in &mut self.endpoints {
            if added.len() >= request.want.min(spare) as usize {
                break;
            }
            if endpoint.accepts(self.limits.max_connections) && endpoint.free_slots(now) > 0 {
                let lent = endpoint.slots.lent_to(peer, now);
                endpoint.slots.set_lent(peer, lent + 1, until);
                added.push((endpoint.id, 1));
            }
        }
        added
    }

    /// Replaces the loans from `peer`.
    pub fn set_borrowed(&mut self, peer: &Arc<str>, loans: &[(u64, u32)], until: Duration) {
        for endpoint in &mut self.endpoints {
            let loan = loans.iter().find(|(id, _)| *id == endpoint.id);
            endpoint
                .slots
                .set_borrowed(peer, loan.map_or(0, |(_, count)| *count), until);
        }
    }

    /// Renews the loans from `peer` until `until` and adds to them.
    pub fn add_borrowed(
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
            endpoint.slots.set_borrowed(peer, count, until);
        }
    }

    /// Returns the slots borrowed from `peer` that are still needed at `now`, by endpoint
    /// id.
    #[must_use]
    pub fn still_needed(&self, peer: &str, now: Duration) -> Vec<(u64, u32)> {
        let (_, usable) = self.free_and_usable(now);
        let mut spare = usable.saturating_sub(self.peak_demand + 1);
        let mut needed = Vec::new();
        for endpoint in &self.endpoints {
            let borrowed = endpoint.slots.borrowed_from(peer, now);
            let idle = endpoint.free_slots(now).min(borrowed).min(spare);
            spare -= idle;
            if borrowed > idle {
                needed.push((endpoint.id, borrowed - idle));
            }
        }
        needed
    }

    /// Returns whether any slot is borrowed from `peer`.
    #[must_use]
    pub fn borrows_from(&self, peer: &str, now: Duration) -> bool {
        self.endpoints
            .iter()
            .any(|endpoint| endpoint.slots.borrowed_from(peer, now) > 0)
    }
}
