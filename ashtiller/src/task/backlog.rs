//! Queues of a cell's waiting tasks, by priority and client account.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::fact::TaskId;
use crate::peer::Submission;
use crate::template::Class;

/// Priority of a task; lower values are placed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Jobs that are marked as urgent.
    Urgent,
    /// Latency-critical jobs that are not urgent.
    Critical,
    /// Batch jobs that are not urgent.
    Batch,
}

/// All priorities, highest first.
pub const PRIORITIES: [Priority; 3] = [Priority::Urgent, Priority::Critical, Priority::Batch];

impl Priority {
    /// Returns the priority of a job's tasks.
    #[must_use]
    pub fn of(submission: &Submission) -> Self {
        match (submission.urgent, submission.class) {
            (true, _) => Self::Urgent,
            (false, Class::LatencyCritical) => Self::Critical,
            (false, Class::Batch) => Self::Batch,
        }
    }
}

/// Queued tasks, with one queue for each priority and account.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    queues: BTreeMap<Priority, BTreeMap<Arc<str>, VecDeque<TaskId>>>,
    size: usize,
}

impl Backlog {
    /// Returns the number of queued tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.size
    }

    /// Returns whether no task is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.size == 0
    }

    /// Returns the number of queued tasks of one priority.
    #[must_use]
    pub fn priority_len(&self, priority: Priority) -> usize {
        self.queues
            .get(&priority)
            .map_or(0, |accounts| accounts.values().map(VecDeque::len).sum())
    }

    /// Returns the number of queued tasks of one account.
    #[must_use]
    pub fn account_len(&self, account: &str) -> usize {
        let len_of =
            |accounts: &BTreeMap<_, VecDeque<_>>| accounts.get(account).map_or(0, VecDeque::len);
        self.queues.values().map(len_of).sum()
    }

    /// Appends a task to the queue of its account.
    pub fn push_back(&mut self, priority: Priority, account: &Arc<str>, task: TaskId) {
        self.tasks(priority, account).push_back(task);
        self.size += 1;
    }

    /// Inserts a task at the head of its account's queue, because it has waited there before.
    pub fn push_front(&mut self, priority: Priority, account: &Arc<str>, task: TaskId) {
        self.tasks(priority, account).push_front(task);
        self.size += 1;
    }

    fn tasks(&mut self, priority: Priority, account: &Arc<str>) -> &mut VecDeque<TaskId> {
        self.queues
            .entry(priority)
            .or_default()
            .entry(account.clone())
            .or_default()
    }

    /// Returns the accounts that have queued tasks of a priority.
    pub fn accounts(&self, priority: Priority) -> impl Iterator<Item = &Arc<str>> {
        self.queues
            .get(&priority)
            .into_iter()
            .flat_map(BTreeMap::keys)
    }

    /// Returns the queued tasks of an account, in queue order.
    pub fn queued(&self, priority: Priority, account: &str) -> impl Iterator<Item = TaskId> {
        let tasks = self
            .queues
            .get(&priority)
            .and_then(|accounts| accounts.get(account));
        tasks.into_iter().flatten().copied()
    }

    /// Removes a task from its queue.
    pub fn remove(&mut self, priority: Priority, account: &str, task: TaskId) {
        let Some(accounts) = self.queues.get_mut(&priority) else {
            return;
        };
        let Some(tasks) = accounts.get_mut(account) else {
            return;
        };
        // The task is almost always the first in its queue.
        let Some(index) = tasks.iter().position(|queued| *queued == task) else {
            return;
        };
        tasks.remove(index);
        self.size -= 1;
        if tasks.is_empty() {
            accounts.remove(account);
        }
    }
}
