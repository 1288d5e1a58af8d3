//! How old the news of workers may be when a run starts.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::fact::Fact;

use crate::driver::{Driver, MS, job, policy, step};

fn placed(driver: &Driver) -> usize {
    let facts = driver.facts.iter();
    facts
        .filter(|fact| matches!(fact, Fact::Placed(..)))
        .count()
}

/// A driver that has placed one run, whose record waits for the store, and its worker.
fn recording(workers: u16) -> (Driver, Arc<str>) {
    let mut driver = Driver::new(workers, policy());
    driver.store = false;
    driver.submit(job("1", vec![step(1)]));
    driver.pass(100 * MS);
    let worker = driver.facts.iter().find_map(|fact| match fact {
        Fact::Placed(_, worker, _) => Some(worker.clone()),
        _ => None,
    });
    (driver, worker.expect("a run was placed"))
}

/// A run starts on a worker that drains, over two seconds after the store knew. The run is
/// placed, the channel of the watch goes silent, the worker drains, and the record of the
/// run becomes durable. Nothing asked at the order how old the list of workers was. With
/// the list of 2 s ago, and 0.35 s for the order, the start came 2.35 s after the word.
#[test]
fn a_start_waits_while_the_list_of_workers_is_old() {
    for (age, started) in [(1600, 1), (1700, 0)] {
        let (mut driver, _) = recording(2);
        driver.news = false;
        driver.pass(age * MS);
        driver.come_back();
        driver.pass(20 * MS);
        assert_eq!(driver.starts().len(), started, "list of {age} ms ago");
        driver.pass(Duration::from_secs(1));
        assert_eq!(
            driver.starts().len(),
            started,
            "list of {age} ms ago, and 1 s"
        );
        driver.news = true;
        driver.pass(20 * MS);
        assert_eq!(driver.starts().len(), 1, "with a new list");
    }
}

/// Runs pile up on workers that may be leaving. The channel of the watch goes silent while
/// jobs come in. Placing did not ask how old the list was: a run was placed 2 s after it.
#[test]
fn nothing_is_placed_while_the_list_of_workers_is_old() {
    let mut driver = Driver::new(2, policy());
    driver.news = false;
    driver.pass(Duration::from_secs(2));
    driver.submit(job("1", vec![step(1)]));
    driver.pass(Duration::from_secs(1));
    assert_eq!(placed(&driver), 0);
    driver.news = true;
    driver.pass(100 * MS);
    assert_eq!(driver.starts().len(), 1);
}

#[test]
fn runs_go_on_and_are_stopped_while_the_list_of_workers_is_old() {
    let mut driver = Driver::new(2, policy());
    driver.submit(job("1", vec![step(1)]));
    driver.pass(200 * MS);
    driver.news = false;
    driver.pass(Duration::from_secs(15));
    assert_eq!(driver.core.counts().lost, 0);
    assert_eq!(driver.stops().len(), 0);
    driver.ticket += 1;
    let ticket = ashtiller::workflow::core::Ticket(driver.ticket);
    driver.core.cancel("1", ticket, driver.now);
    driver.pass(100 * MS);
    assert_eq!(driver.stops().len(), 1);
}
