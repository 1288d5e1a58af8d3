//! What fills, beside what serves.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::resources::Resources;
use ashtiller::workflow::agents::{Active, How, Order};
use ashtiller::workflow::fact::Run;
use ashtiller::workflow::job::{Sharing, Step};

use crate::driver::{Driver, MS, job, policy, step};

const SECOND: Duration = Duration::from_secs(1);

fn processors(thousandths: u64) -> Resources {
    Resources {
        processors: thousandths,
        memory: 1 << 20,
        accelerators: 0,
    }
}

fn service(count: u32, target: Duration) -> Step {
    Step {
        needs: processors(2000),
        lasting: true,
        image: Some("serves".into()),
        sharing: Sharing::Serves(target),
        ..step(count)
    }
}

fn fill(count: u32, thousandths: u64) -> Step {
    Step {
        needs: processors(thousandths),
        estimate: 10 * SECOND,
        checkpoints: true,
        image: Some("fills".into()),
        sharing: Sharing::Fills,
        ..step(count)
    }
}

/// The services that run report this tail from now on.
fn set_tails(driver: &mut Driver, services: &[(Arc<str>, Run)], tail: u64) {
    driver.at_work = services
        .iter()
        .map(|(id, run)| {
            let row = Active {
                name: driver.name(*run),
                run: run.number,
                saved: "".into(),
                percent: 100,
                figure: Some(tail),
            };
            (id.clone(), row)
        })
        .collect();
}

#[test]
fn fills_start_wherever_targets_lie_above_idle_tails() {
    // Targets of 2.2, 3, 5 and 12 times the idle tail of 10 ms, all under usual load.
    for (target, tail) in [(22, 16), (30, 18), (50, 18), (120, 24)] {
        let mut driver = Driver::new(2, policy());
        driver.submit(job("1", vec![service(4, target * MS)]));
        driver.pass(SECOND);
        let services = driver.starts();
        assert_eq!(services.len(), 4);
        set_tails(&mut driver, &services, tail);
        driver.pass(20 * SECOND);
        driver.submit(job("2", vec![fill(2, 400)]));
        driver.pass(SECOND);
        let fills = driver.starts().len() - services.len();
        assert_eq!(fills, 2, "target {target} ms, tail {tail} ms");
    }
}

#[test]
fn a_fill_that_stands_still_moves_to_where_it_works() {
    let mut driver = Driver::new(2, policy());
    driver.submit(job("1", vec![service(1, 50 * MS)]));
    driver.pass(SECOND);
    let services = driver.starts();
    set_tails(&mut driver, &services, 18);
    // The other worker is taken, so the fill goes beside the service.
    let whole = Step {
        needs: processors(3900),
        ..step(1)
    };
    driver.submit(job("2", vec![whole]));
    driver.pass(SECOND);
    let (other, taken) = driver.starts()[1].clone();
    assert_ne!(other, services[0].0);
    driver.submit(job("3", vec![fill(1, 1000)]));
    driver.pass(SECOND);
    assert_eq!(driver.starts()[2].0, services[0].0);
    // The service is over its target, which the fill may be the cause of.
    set_tails(&mut driver, &services, 55);
    driver.end(&other, taken, How::Done, 1);
    driver.pass(5 * SECOND);
    let starts = driver.starts();
    assert_eq!(starts.len(), 4, "{starts:?}");
    assert_eq!(starts[3].0, other);
    let paced = driver
        .orders
        .iter()
        .filter(|(_, _, order)| matches!(order, Order::Pace(..)));
    assert!(paced.count() > 0);
}

#[test]
fn a_fill_that_stands_still_stays_when_no_place_is_better() {
    let mut driver = Driver::new(1, policy());
    driver.submit(job("1", vec![service(1, 50 * MS)]));
    driver.pass(SECOND);
    let services = driver.starts();
    set_tails(&mut driver, &services, 18);
    driver.pass(SECOND);
    driver.submit(job("2", vec![fill(1, 1000)]));
    driver.pass(SECOND);
    set_tails(&mut driver, &services, 60);
    driver.pass(5 * SECOND);
    assert_eq!(driver.starts().len(), 2);
    assert!(driver.stops().is_empty());
}
