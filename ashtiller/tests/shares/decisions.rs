//! The order of steps in one round, and the account of usage.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::resources::Resources;
use ashtiller::workflow::load::account::{
    Capacity, CapacityReading, DemandKey, LoadAccount, Usage, WaitingReading, WorkClass,
};
use ashtiller::workflow::shares::ledger::{Ledger, MEMORY, Weight};
use ashtiller::workflow::shares::order::{Claim, Entry, Group, ShareOrder};

use crate::fleet::{MS, SECOND};

/// Returns the order of steps that are given by queue and slack, of which each gets a tenth of the
/// capacity if its queue has a weight.
fn order(
    steps: &[(&'static str, i64)],
    weight: fn(&str) -> Option<f64>,
) -> Vec<(&'static str, i64)> {
    let mut order = ShareOrder::default();
    for step in steps {
        let group = Group {
            lateness: 0,
            priority: 0,
            band: 0,
            service: "fleet".into(),
            class: WorkClass::Short,
        };
        let entry = Entry {
            queue: &step.0.into(),
            origin: &"".into(),
            slack: step.1,
            item: *step,
        };
        let claim = |_: Option<&Arc<str>>| Claim {
            level: 0.0,
            weight: weight(step.0).map_or(Weight::EQUAL, Weight::new),
        };
        order.push(group, &entry, || 1.0, claim);
    }
    order.prepare();
    let mut taken = Vec::new();
    while let Some(step) = order.take_next() {
        order.charge(weight(step.0).map_or(0.0, |_| 0.1));
        taken.push(step);
    }
    taken
}

fn queues(order: &[(&'static str, i64)]) -> String {
    order.iter().map(|(queue, _)| *queue).collect()
}

/// Guards against a queue that takes all of a round, weights without effect, an order that changes
/// with a single queue, and steps that get nothing but count.
#[test]
fn what_a_step_gets_in_a_round_counts_at_once() {
    let steps = |queue, slack| (0i64..4).map(move |number| (queue, slack + number));
    let both: Vec<_> = steps("a", 0).chain(steps("b", 20)).collect();
    assert_eq!(queues(&order(&both, |_| Some(1.0))), "abababab");
    let heavier = |queue: &str| Some(if queue == "a" { 2.0 } else { 1.0 });
    assert_eq!(queues(&order(&both, heavier)), "abaabab".to_owned() + "b");
    let one: Vec<_> = steps("a", 0).collect();
    assert_eq!(order(&one, |_| Some(1.0)), one);
    let unplaced = |queue: &str| (queue == "b").then_some(1.0);
    assert_eq!(queues(&order(&both, unplaced)), "aaaabbbb");
}

/// Guards against a debt for the use of idle capacity, a shortage that is not compensated, and one
/// that is held for longer than seconds.
#[test]
fn past_usage_counts_only_while_others_wait_and_decays() {
    let key = |queue: &str| DemandKey {
        service: "fleet".into(),
        queue: queue.into(),
        origin: "n".into(),
        class: WorkClass::Short,
    };
    let processors = |processors| Resources {
        processors,
        ..Resources::default()
    };
    let mut load = LoadAccount::default();
    let capacity = Capacity {
        total: processors(1000),
        ..Capacity::default()
    };
    load.set_capacities(CapacityReading::from([("fleet".into(), capacity)]), SECOND);
    load.add_run(&key("a"), &processors(800));
    load.add_run(&key("b"), &processors(200));
    let mut ledger = Ledger::default();
    let mut now = SECOND;
    let mut past = |ledger: &mut Ledger, waits: bool, span: Duration| {
        let mut waiting = Usage::default();
        waiting.add(u32::from(waits), &processors(100));
        load.set_waiting(WaitingReading::from([(key("b"), waiting)]), now);
        let end = now + span;
        while now < end {
            now += 100 * MS;
            ledger.observe(&load, now);
        }
        let past = |queue: &str| {
            let mut shares = ledger.shares();
            let found = shares.find(|(key, _)| *key.queue == *queue);
            found.map_or(0.0, |(_, share)| share.past)
        };
        (past("a"), past("b"))
    };
    assert_eq!(past(&mut ledger, false, 10 * SECOND), (0.0, 0.0));
    let (a, b) = past(&mut ledger, true, MEMORY);
    assert!(a > 0.4 && b < 0.2, "{a} {b}");
    let (a, b) = past(&mut ledger, false, 3 * MEMORY);
    assert!(a < 0.05 && b < 0.05, "{a} {b}");
}
