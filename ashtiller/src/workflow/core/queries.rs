//! Queries whose reply holds only while this process owns the log.
//!
//! An owner that was suspended or cut off does not know of its successor at first, and its log lacks
//! what the successor has recorded. So such a query waits for a proof of ownership that was requested
//! after the query had arrived (a read index). The reply is then made from the state as of the proof or
//! later, and was true at some time after the query.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::core::{Core, Effect, Now, RequestToken};
use crate::workflow::message::{Reply, State};

/// A query about the jobs of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Query {
    /// Asks for the state of the job with this id.
    State(Arc<str>),
    /// Asks how many jobs of this queue have not begun.
    Pending(Arc<str>),
    /// Asks for the reply to a submission to a queue that the configuration lacks.
    Queue,
}

/// Queries that wait for a proof of ownership, in the order in which they arrived.
#[derive(Debug, Default)]
pub(super) struct WaitingQueries {
    waiting: VecDeque<(Duration, RequestToken, Query)>,
    /// Whether a confirmation of the ownership is under way.
    confirming: bool,
    /// Time before which no confirmation is requested, after one has failed.
    retry_at: Duration,
}

impl Core {
    /// Answers a query, at once if its reply is final, otherwise after the next proof of ownership.
    pub fn query(&mut self, query: Query, ticket: RequestToken, now: Now) {
        if let Query::State(id) = &query
            && let reply @ Reply::State(State::Over(_)) = self.state(id)
        {
            self.effects.push(Effect::Reply(ticket, reply));
            return;
        }
        self.queries.waiting.push_back((now.at, ticket, query));
    }

    /// Records that the ownership was confirmed by a read that was sent at `sent`. The read says
    /// nothing of whether entries can be written, and so it permits neither starts nor renewals.
    pub fn note_ownership_confirmed(&mut self, sent: Duration) {
        self.queries.confirming = false;
        self.answer_queries(sent);
    }

    /// Records that the store did not answer a confirmation of the ownership.
    pub fn note_confirmation_failed(&mut self, now: Now) {
        self.queries.confirming = false;
        self.queries.retry_at = now.at + self.tuning.stall;
    }

    /// Returns the callers of the queries that were not answered. Another owner may answer them.
    #[must_use]
    pub fn waiting_queries(&self) -> Vec<RequestToken> {
        let waiting = self.queries.waiting.iter();
        waiting.map(|(_, ticket, _)| *ticket).collect()
    }

    /// Drops the queries whose callers do not wait any more.
    pub fn retain_queries(&mut self, waits: impl Fn(&RequestToken) -> bool) {
        self.queries.waiting.retain(|(_, ticket, _)| waits(ticket));
    }

    /// Answers the queries that arrived before a proof of ownership was requested at `sent`.
    pub(super) fn answer_queries(&mut self, sent: Duration) {
        let waiting = &self.queries.waiting;
        let proved = waiting.partition_point(|(asked, ..)| *asked <= sent);
        let proved: Vec<_> = self.queries.waiting.drain(..proved).collect();
        for (_, ticket, query) in proved {
            let reply = match query {
                Query::State(id) => self.state(&id),
                Query::Pending(queue) => self.count_pending(&queue),
                Query::Queue => Reply::Missing,
            };
            self.effects.push(Effect::Reply(ticket, reply));
        }
    }

    /// Requests a confirmation of the ownership if no entry has answered the oldest query for as long
    /// as entries take while there is something to record.
    pub(super) fn confirm_ownership(&mut self, now: Now) {
        let queries = &mut self.queries;
        let Some((asked, ..)) = queries.waiting.front() else {
            return;
        };
        let due = (*asked + self.tuning.commit).max(queries.retry_at);
        if queries.confirming || now.at < due {
            return;
        }
        queries.confirming = true;
        self.effects.push(Effect::ConfirmOwnership);
    }
}
