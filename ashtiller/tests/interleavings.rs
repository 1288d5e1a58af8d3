//! A cell's owners, log and workers under random interleavings, checked by an oracle that knows
//! which tasks really run.
//!
//! Messages are delayed, lost, duplicated and reordered; owners pause, crash and are replaced
//! while still alive; responses of the log are lost; clocks drift; workers restart. Only the state
//! machines run here, with injected time.

mod fleet;

use std::cell::RefCell;

use fleet::{Coverage, Fleet};
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

/// Number of steps in one interleaving.
const STEPS: usize = 1500;
/// Number of interleavings.
const CASES: u32 = 96;

fn check_steps(steps: &[(u8, u16, u16)]) -> Result<Coverage, String> {
    let mut fleet = Fleet::open();
    for (kind, first, second) in steps {
        fleet.step(*kind, *first, *second)?;
    }
    let coverage = fleet.coverage();
    fleet.settle()?;
    Ok(coverage)
}

#[test]
fn no_interleaving_breaks_an_invariant() {
    let config = Config {
        cases: CASES,
        max_shrink_iters: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = vec((0_u8..100, any::<u16>(), any::<u16>()), STEPS);
    let covered = RefCell::new(Vec::new());
    let checked = runner.run(&steps, |steps| {
        let coverage = check_steps(&steps).map_err(TestCaseError::fail)?;
        covered.borrow_mut().push(coverage);
        Ok(())
    });
    if let Err(error) = checked {
        panic!("{error}");
    }
    check_coverage(&covered.into_inner());
}

/// Checks that the interleavings reached enough of each event for the test to be meaningful.
fn check_coverage(covered: &[Coverage]) {
    let sum = |field: fn(&Coverage) -> usize| covered.iter().map(field).sum::<usize>();
    let totals = [
        ("starts", sum(|coverage| coverage.starts), 20),
        ("finished", sum(|coverage| coverage.finished), 5),
        ("resumed", sum(|coverage| coverage.resumed), 5),
        ("evicted", sum(|coverage| coverage.evicted), 2),
        ("lost", sum(|coverage| coverage.lost), 5),
        ("owners", sum(|coverage| coverage.owners), 5),
        ("superseded", sum(|coverage| coverage.superseded), 2),
    ];
    println!("{totals:?} in {} interleavings", covered.len());
    for (event, count, min_per_case) in totals {
        assert!(
            count >= min_per_case * covered.len(),
            "{event}: only {count} in all"
        );
    }
    // An attempt placed where it cannot start is lost before it starts.
    let (starts, lost) = (
        sum(|coverage| coverage.starts),
        sum(|coverage| coverage.lost),
    );
    assert!(lost < starts * 2, "{lost} attempts lost, {starts} started");
}
