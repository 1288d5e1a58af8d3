//! Order of the waiting steps of one placement round by the shares of their queues and origins.
//!
//! Steps compete within a group: the same service, class of work, lateness and priority. In a group,
//! the queue goes first whose most urgent step has the least slack after an allowance for the share
//! of the queue, and in the same way its origin. What a step gets in the round counts at once, as in
//! start-time fair queueing: otherwise the first queue would take everything that is free.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;

use crate::workflow::load::account::WorkClass;
use crate::workflow::shares::ledger::Weight;

/// Slack in milliseconds that a key with its whole fair share of the capacity yields to one with
/// none. A quarter of it exceeds the slack of a short job on arrival (half of a chain of 0.75 s, and
/// 0.3 s), so that a quarter of a share decides between such jobs. Steps whose objective is seconds
/// longer wait instead.
pub const ALLOWANCE_MS: f64 = 3000.0;
/// Largest multiple of its fair share that counts. It bounds by how much a step may be overtaken.
const MULTIPLE_MAX: f64 = 3.0;
/// Difference of two keys, as a part of the fair share, that counts as equal: slack decides. It is
/// about one task of ten processors in the share of a queue of 100.
const TOLERANCE: f64 = 0.1;
/// Smallest fair share, in shares of the capacity of the service: less than a task.
const FAIR_MIN: f64 = 1e-6;

/// Steps that compete with each other.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Group {
    /// Lateness class.
    pub lateness: u8,
    /// Priority.
    pub priority: u32,
    /// Band of the triage while capacity is short, 0 otherwise.
    pub band: u8,
    /// Service whose workers run the work.
    pub service: Arc<str>,
    /// Class of the work.
    pub class: WorkClass,
}

/// Usage of a queue or origin that competes, in shares of the capacity of the service.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Usage so far.
    pub level: f64,
    /// Weight among its siblings.
    pub weight: Weight,
}

impl Claim {
    /// Returns the slack in milliseconds that its steps yield; `fair` is the share of weight one.
    fn allowance_ms(&self, fair: f64) -> i64 {
        let multiple = self.level / (self.weight.get() * fair.max(FAIR_MIN));
        let steps = (multiple.clamp(0.0, MULTIPLE_MAX) / TOLERANCE).floor();
        #[expect(clippy::cast_possible_truncation, reason = "bounded by the clamp")]
        let allowance = (steps * TOLERANCE * ALLOWANCE_MS) as i64;
        allowance
    }
}

/// Sort key of a queue or origin: slack of its first step with the allowance, position of the step
/// in the order without shares, and index among the siblings.
type Rank = Reverse<(i64, usize, usize)>;

/// A waiting step.
#[derive(Clone, Copy, Debug)]
struct Step<T> {
    slack: i64,
    position: usize,
    item: T,
}

#[derive(Debug)]
struct OriginSteps<T> {
    claim: Claim,
    steps: VecDeque<Step<T>>,
}

#[derive(Debug)]
struct QueueSteps<T> {
    claim: Claim,
    origins: Vec<OriginSteps<T>>,
    by_name: BTreeMap<Arc<str>, usize>,
    heap: BinaryHeap<Rank>,
    fair: f64,
}

impl<T: Copy> QueueSteps<T> {
    fn enter(&mut self, index: usize) {
        let origin = &self.origins[index];
        if let Some(first) = origin.steps.front() {
            let rank = first
                .slack
                .saturating_add(origin.claim.allowance_ms(self.fair));
            self.heap.push(Reverse((rank, first.position, index)));
        }
    }

    /// Returns the step that goes first.
    fn first(&self) -> Option<&Step<T>> {
        let Reverse((_, _, origin)) = self.heap.peek()?;
        self.origins[*origin].steps.front()
    }
}

#[derive(Debug)]
struct GroupSteps<T> {
    queues: Vec<QueueSteps<T>>,
    by_name: BTreeMap<Arc<str>, usize>,
    heap: BinaryHeap<Rank>,
    /// Part of the capacity that the group can have.
    attainable: f64,
    fair: f64,
}

impl<T: Copy> GroupSteps<T> {
    fn enter(&mut self, index: usize) {
        let queue = &self.queues[index];
        if let Some(first) = queue.first() {
            let rank = first
                .slack
                .saturating_add(queue.claim.allowance_ms(self.fair));
            self.heap.push(Reverse((rank, first.position, index)));
        }
    }

    /// Computes the fair shares and ranks all queues and origins.
    fn prepare(&mut self) {
        let claims = self.queues.iter().map(|queue| queue.claim.weight.get());
        self.fair = self.attainable / claims.sum::<f64>();
        for queue in &mut self.queues {
            let claims = queue.origins.iter().map(|origin| origin.claim.weight.get());
            queue.fair = self.fair * queue.claim.weight.get() / claims.sum::<f64>();
            for index in 0..queue.origins.len() {
                queue.enter(index);
            }
        }
        for index in 0..self.queues.len() {
            self.enter(index);
        }
    }
}

/// Position of a step that was returned, by group, queue and origin.
#[derive(Clone, Copy, Debug)]
struct Taken {
    group: usize,
    queue: usize,
    origin: usize,
    /// Whether a step of a lower position was not returned before.
    is_early: bool,
}

enum Slot<T> {
    /// A step to which shares do not apply.
    Fixed(T),
    /// Any step of this group.
    Of(usize),
}

/// A waiting step to which shares apply.
pub struct Entry<'a, T> {
    /// Queue of its job.
    pub queue: &'a Arc<str>,
    /// Origin of its job.
    pub origin: &'a Arc<str>,
    /// Milliseconds until it must start.
    pub slack: i64,
    /// The step.
    pub item: T,
}

/// The waiting steps of a round, in the order in which they get workers.
pub struct ShareOrder<T> {
    slots: VecDeque<Slot<T>>,
    groups: Vec<GroupSteps<T>>,
    by_key: BTreeMap<Group, usize>,
    last: Option<Taken>,
    /// Positions of the steps that were not returned yet, and how many got workers before one of a
    /// lower position.
    left: BTreeSet<usize>,
    reordered: u32,
}

impl<T: Copy> Default for ShareOrder<T> {
    fn default() -> Self {
        Self {
            slots: VecDeque::new(),
            groups: Vec::new(),
            by_key: BTreeMap::new(),
            last: None,
            left: BTreeSet::new(),
            reordered: 0,
        }
    }
}

impl<T: Copy> ShareOrder<T> {
    /// Adds a step to which shares do not apply, after those added before.
    pub fn push_fixed(&mut self, item: T) {
        self.slots.push_back(Slot::Fixed(item));
    }

    /// Adds a step after those added before. Steps of one group come in the order of their slack.
    /// The functions return what a new group can have of the capacity, and the claims of a queue
    /// and of an origin.
    pub fn push(
        &mut self,
        group: Group,
        entry: &Entry<'_, T>,
        attainable: impl FnOnce() -> f64,
        claim: impl Fn(Option<&Arc<str>>) -> Claim,
    ) {
        let group = *self.by_key.entry(group).or_insert_with(|| {
            self.groups.push(GroupSteps {
                queues: Vec::new(),
                by_name: BTreeMap::new(),
                heap: BinaryHeap::new(),
                attainable: attainable(),
                fair: 0.0,
            });
            self.groups.len() - 1
        });
        self.slots.push_back(Slot::Of(group));
        let state = &mut self.groups[group];
        let queue = *state.by_name.entry(entry.queue.clone()).or_insert_with(|| {
            state.queues.push(QueueSteps {
                claim: claim(None),
                origins: Vec::new(),
                by_name: BTreeMap::new(),
                heap: BinaryHeap::new(),
                fair: 0.0,
            });
            state.queues.len() - 1
        });
        let state = &mut state.queues[queue];
        let origin = *state
            .by_name
            .entry(entry.origin.clone())
            .or_insert_with(|| {
                state.origins.push(OriginSteps {
                    claim: claim(Some(entry.origin)),
                    steps: VecDeque::new(),
                });
                state.origins.len() - 1
            });
        let position = self.left.len();
        self.left.insert(position);
        state.origins[origin].steps.push_back(Step {
            slack: entry.slack,
            position,
            item: entry.item,
        });
    }

    /// Ranks all steps, once all were added.
    pub fn prepare(&mut self) {
        self.groups.iter_mut().for_each(GroupSteps::prepare);
    }

    /// Returns the next step.
    pub fn take_next(&mut self) -> Option<T> {
        self.return_last();
        let group = match self.slots.pop_front()? {
            Slot::Fixed(item) => return Some(item),
            Slot::Of(group) => group,
        };
        let state = &mut self.groups[group];
        let Reverse((_, _, queue)) = state.heap.pop()?;
        let state = &mut state.queues[queue];
        let Reverse((_, _, origin)) = state.heap.pop()?;
        let step = state.origins[origin].steps.pop_front()?;
        self.last = Some(Taken {
            group,
            queue,
            origin,
            is_early: self
                .left
                .first()
                .is_some_and(|first| *first < step.position),
        });
        self.left.remove(&step.position);
        Some(step.item)
    }

    /// Returns how many steps got workers before one that comes first without shares.
    #[must_use]
    pub fn reordered(&self) -> u32 {
        self.reordered
    }

    /// Adds what the step that was returned last got to the levels of its queue and origin.
    pub fn charge(&mut self, share: f64) {
        if share <= 0.0 {
            return;
        }
        if let Some(last) = self.last {
            self.reordered += u32::from(last.is_early);
            let queue = &mut self.groups[last.group].queues[last.queue];
            queue.claim.level += share;
            queue.origins[last.origin].claim.level += share;
        }
    }

    /// Ranks the queue and origin of the step that was returned last again.
    fn return_last(&mut self) {
        if let Some(last) = self.last.take() {
            let group = &mut self.groups[last.group];
            group.queues[last.queue].enter(last.origin);
            group.enter(last.queue);
        }
    }
}
