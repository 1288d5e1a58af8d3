//! The account of demand and capacity, and the sections of snapshots.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::resources::Resources;
use ashtiller::workflow::load::account::{
    Capacity, CapacityReading, DemandKey, LoadAccount, Usage, WaitingReading, WorkClass,
};
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::snapshot;

const SECOND: Duration = Duration::from_secs(1);

fn key(queue: &str, class: WorkClass) -> DemandKey {
    DemandKey {
        service: "fleet".into(),
        queue: queue.into(),
        origin: "".into(),
        class,
    }
}

fn processors(units: u64) -> Resources {
    Resources {
        processors: units * 1000,
        ..Resources::default()
    }
}

/// Guards against usage that stays counted after its runs have ended.
#[test]
fn usage_follows_runs_and_completed_work_is_counted_once() {
    let mut account = LoadAccount::default();
    let short = key("a", WorkClass::Short);
    account.add_run(&short, &processors(4));
    account.add_run(&short, &processors(4));
    account.remove_run(&short, &processors(4), Some(2 * SECOND));
    account.remove_run(&short, &processors(4), None);
    let demand = account.class_demand("fleet", WorkClass::Short);
    assert_eq!(demand.used, Usage::default());
    assert!((demand.completed - 8.0).abs() < 1e-9, "{demand:?}");
}

/// Guards against waiting demand of an earlier round that no step has any more.
#[test]
fn a_reading_of_waiting_demand_replaces_the_one_before() {
    let mut account = LoadAccount::default();
    let mut waiting = Usage::default();
    waiting.add(3, &processors(2));
    let reading = WaitingReading::from([(key("a", WorkClass::BestEffort), waiting)]);
    account.set_waiting(reading, SECOND);
    let demand = account.class_demand("fleet", WorkClass::BestEffort);
    assert_eq!(demand.waiting.resources, processors(6));
    account.set_waiting(WaitingReading::new(), 2 * SECOND);
    assert_eq!(account.demands().count(), 0);
    assert_eq!(account.waiting_read_at(), 2 * SECOND);
}

/// Guards against a capacity that is used without its age.
#[test]
fn a_capacity_has_the_time_of_its_reading() {
    let mut account = LoadAccount::default();
    assert_eq!(account.capacity("fleet"), None);
    let capacity = Capacity {
        workers: 2,
        ..Capacity::default()
    };
    let service: Arc<str> = "fleet".into();
    account.set_capacities(CapacityReading::from([(service, capacity)]), SECOND);
    assert_eq!(account.capacity("fleet"), Some((capacity, SECOND)));
}

/// Guards against snapshots that an owner of the version before, which ends at an earlier section,
/// cannot read, and against its snapshots being unreadable here.
#[test]
fn a_snapshot_is_read_without_its_last_section() {
    let state = LogState::default();
    let bytes = snapshot::encode(&state).expect("encodes");
    let decoded = snapshot::decode(&bytes[..bytes.len() - 1]).expect("decodes");
    assert_eq!(decoded.next, state.next);
}
