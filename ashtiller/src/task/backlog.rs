//! Queued tasks of a cell, by urgency and client account.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::fact::TaskId;
use crate::peer::Submission;
use crate::template::Class;

/// Order in which tasks start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Marked urgent.
    Urgent,
    /// Latency-critical.
    Critical,
    /// Batch.
    Batch,
}

/// All ranks, first to last.
pub const PRIORITIES: [Priority; 3] = [Priority::Urgent, Priority::Critical, Priority::Batch];

impl Priority {
    /// The rank of a job's tasks.
    #[must_use]
    pub fn of(submission: &Submission) -> Self {
        match (submission.urgent, submission.class) {
            (true, _) => Self::Urgent,
            (false, Class::LatencyCritical) => Self::Critical,
            (false, Class::Batch) => Self::Batch,
        }
    }
}

/// Queued tasks.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    ranks: BTreeMap<Priority, BTreeMap<Arc<str>, VecDeque<TaskId>>>,
    size: usize,
}

impl Backlog {
    /// Number of queued tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.size
    }

    /// Whether nothing is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.size == 0
    }

    /// Queued tasks of one rank.
    #[must_use]
    pub fn priority_len(&self, rank: Priority) -> usize {
        self.ranks
            .get(&rank)
            .map_or(0, |accounts| accounts.values().map(VecDeque::len).sum())
    }

    /// Queued tasks of one account.
    #[must_use]
    pub fn account_len(&self, account: &str) -> usize {
        let of =
            |accounts: &BTreeMap<_, VecDeque<_>>| accounts.get(account).map_or(0, VecDeque::len);
        self.ranks.values().map(of).sum()
    }

    /// Adds a task behind those of its account.
    pub fn push_back(&mut self, rank: Priority, account: &Arc<str>, task: TaskId) {
        self.tasks(rank, account).push_back(task);
        self.size += 1;
    }

    /// Adds a task before those of its account, because it waited before.
    pub fn push_front(&mut self, rank: Priority, account: &Arc<str>, task: TaskId) {
        self.tasks(rank, account).push_front(task);
        self.size += 1;
    }

    fn tasks(&mut self, rank: Priority, account: &Arc<str>) -> &mut VecDeque<TaskId> {
        self.ranks
            .entry(rank)
            .or_default()
            .entry(account.clone())
            .or_default()
    }

    /// Accounts with queued tasks of a rank.
    pub fn accounts(&self, rank: Priority) -> impl Iterator<Item = &Arc<str>> {
        self.ranks.get(&rank).into_iter().flat_map(BTreeMap::keys)
    }

    /// Queued tasks of an account, in order.
    pub fn queued(&self, rank: Priority, account: &str) -> impl Iterator<Item = TaskId> {
        let tasks = self
            .ranks
            .get(&rank)
            .and_then(|accounts| accounts.get(account));
        tasks.into_iter().flatten().copied()
    }

    /// Removes one task.
    pub fn remove(&mut self, rank: Priority, account: &str, task: TaskId) {
        let Some(accounts) = self.ranks.get_mut(&rank) else {
            return;
        };
        let Some(tasks) = accounts.get_mut(account) else {
            return;
        };
        // Almost always the first.
        let Some(place) = tasks.iter().position(|queued| *queued == task) else {
            return;
        };
        tasks.remove(place);
        self.size -= 1;
        if tasks.is_empty() {
            accounts.remove(account);
        }
    }
}
