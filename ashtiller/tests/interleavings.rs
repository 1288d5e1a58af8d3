//! A cell's owners, its log and its workers under random interleavings, watched
//! by an oracle that sees what really runs.
//!
//! Messages are late, lost, doubled and out of order; owners pause, die and are
//! replaced while they live; answers of the log are lost; clocks drift; workers
//! restart. Only the state machines run here, with injected time.

mod fleet;

use std::cell::RefCell;

use fleet::{Coverage, Fleet};
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

/// Steps in one interleaving.
const STEPS: usize = 1500;
/// Interleavings.
const CASES: u32 = 96;

fn check_steps(steps: &[(u8, u16, u16)]) -> Result<Coverage, String> {
    let mut fleet = Fleet::open();
    for (kind, one, other) in steps {
        fleet.step(*kind, *one, *other)?;
    }
    let coverage = fleet.coverage();
    fleet.settle()?;
    Ok(coverage)
}

#[test]
fn no_interleaving_breaks_a_promise() {
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

/// An explorer that reaches nothing proves nothing.
fn check_coverage(covered: &[Coverage]) {
    let sum = |part: fn(&Coverage) -> usize| covered.iter().map(part).sum::<usize>();
    let reached = [
        ("starts", sum(|one| one.starts), 20),
        ("finished", sum(|one| one.finished), 5),
        ("resumed", sum(|one| one.resumed), 5),
        ("evicted", sum(|one| one.evicted), 2),
        ("lost", sum(|one| one.lost), 5),
        ("owners", sum(|one| one.owners), 5),
        ("superseded", sum(|one| one.superseded), 2),
    ];
    println!("{reached:?} in {} interleavings", covered.len());
    for (what, count, least) in reached {
        assert!(
            count >= least * covered.len(),
            "{what}: only {count} in all"
        );
    }
    // An attempt placed where it cannot start is lost before it began.
    let (starts, lost) = (sum(|one| one.starts), sum(|one| one.lost));
    assert!(lost < starts * 2, "{lost} attempts lost, {starts} started");
}
