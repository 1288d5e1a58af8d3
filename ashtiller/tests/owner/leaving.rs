//! Workers that leave without notice: their entry disappears, and they continue to run for a while.

use std::time::Duration;

use ashtiller::workflow::agents::Active;
use ashtiller::workflow::config::ListedWorker;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::{Sharing, Step};
use ashtiller::workflow::record::Run;

use crate::driver::{Driver, MS, job, listed, policy, step};

/// Returns a driver on which both tasks of a service run, on separate workers.
fn serving(away_max: Option<u32>) -> (Driver, Vec<(Incarnation, Run)>) {
    let mut driver = Driver::new(4, policy());
    let service = Step {
        long_running: true,
        sharing: Sharing::Serves(50 * MS),
        spread: 1,
        away_max,
        ..step(2)
    };
    driver.submit(job("1", vec![service]));
    driver.run_for(200 * MS);
    let starts = driver.starts();
    for (id, run) in &starts {
        let running = Active {
            name: driver.name(*run),
            run: run.number,
            checkpoint: "".into(),
            percent: 100,
            figure: None,
        };
        driver.running.push((id.clone(), running));
    }
    driver.run_for(200 * MS);
    (driver, starts)
}

#[test]
fn a_service_leaves_a_worker_whose_entry_went() {
    let (mut driver, starts) = serving(None);
    let (id, run) = starts[0].clone();
    driver.core.unlist_worker(&id, driver.now);
    driver.run_for(1500 * MS);
    assert_eq!(driver.stops().len(), 1);
    assert!(driver.stops().contains(&run));
    let placed = driver.starts();
    assert_eq!(placed.len(), 3);
    assert_ne!(placed[2].0, id);
}

/// The workers may be cut off from the store only and otherwise healthy.
#[test]
fn services_leave_workers_without_entries_as_their_step_allows() {
    for (away_max, expected) in [(Some(0), 0), (Some(1), 1), (None, 2)] {
        let (mut driver, starts) = serving(away_max);
        for (id, _) in &starts {
            driver.core.unlist_worker(id, driver.now);
        }
        driver.run_for(1500 * MS);
        assert_eq!(driver.stops().len(), expected, "may miss {away_max:?}");
    }
}

#[test]
fn nothing_leaves_a_worker_whose_entry_expired_while_the_store_was_unavailable() {
    let (mut driver, starts) = serving(None);
    driver.store_available = false;
    driver.run_for(Duration::from_secs(3));
    driver.core.unlist_worker(&starts[0].0, driver.now);
    driver.run_for(200 * MS);
    driver.restore_store();
    driver.run_for(2000 * MS);
    assert_eq!(driver.stops().len(), 0, "it may be listed again");
    driver.run_for(2000 * MS);
    assert_eq!(driver.stops().len(), 1, "it does not come back");
}

/// Two incarnations of one worker are listed for a moment after a restart; the one that answers is
/// the newer.
#[test]
fn the_newer_of_two_incarnations_stays() {
    let mut driver = Driver::new(1, policy());
    driver.crash(&"w0".into());
    let newer = ListedWorker {
        incarnation: "a-newer-life".into(),
        ..listed(0)
    };
    driver.core.list_all(vec![listed(0), newer], driver.now);
    driver.run_for(20 * MS);
    let incarnations: Vec<Incarnation> = driver.core.workers().keys().cloned().collect();
    assert_eq!(incarnations, ["a-newer-life".into()]);
}
