//! Recorded traces against the outcomes that were written in them before the first
//! run, for three draws of the measurements' noise.

use bench::replay::{self, Policy, Score, Trace};

const SEEDS: [u64; 3] = [1, 2, 3];

/// Runs a trace; the product, best fit and the threshold controller, in this order.
fn scores(text: &str, seed: u64) -> [Score; 3] {
    let trace = Trace::parse(text).expect("a trace");
    [Policy::Product, Policy::BestFit, Policy::Threshold]
        .map(|policy| replay::run(&trace, policy, seed))
}

fn check(text: &str) {
    for seed in SEEDS {
        let [product, best_fit, threshold] = scores(text, seed);
        assert!(best_fit.over > 0, "the trace harms nobody");
        let tenth = best_fit.over / 10;
        assert!(
            product.over <= tenth,
            "over target: {product:?}, best fit {best_fit:?}"
        );
        assert!(
            product.batch >= best_fit.batch * 0.9,
            "batch: {product:?}, {best_fit:?}"
        );
        assert!(
            product.evictions < threshold.evictions,
            "evictions: {product:?}, {threshold:?}"
        );
    }
}

#[test]
fn harm_that_comes_and_goes() {
    check(include_str!("../traces/comes-and-goes.trace"));
}

#[test]
fn a_wave_of_noisy_tasks() {
    check(include_str!("../traces/noisy-wave.trace"));
}

#[test]
fn reports_half_a_minute_late() {
    check(include_str!("../traces/late-reports.trace"));
}

#[test]
fn declared_run_times_wrong_by_ten() {
    check(include_str!("../traces/wrong-sizes.trace"));
}

#[test]
fn two_suspects_of_which_one_is_innocent() {
    let text = include_str!("../traces/two-suspects.trace");
    check(text);
    for seed in SEEDS {
        let [product, _, _] = scores(text, seed);
        let innocent = (product.evictions - product.spread.min(product.evictions)) / 2;
        assert!(innocent * 3 <= product.evictions, "{product:?}");
    }
}

#[test]
fn a_pair_harmful_only_above_a_load() {
    check(include_str!("../traces/above-a-load.trace"));
}

#[test]
fn never_colocate_keeps_targets_and_does_no_batch_work_here() {
    let trace = Trace::parse(include_str!("../traces/comes-and-goes.trace")).expect("a trace");
    let score = replay::run(&trace, Policy::Apart, 1);
    assert_eq!((score.over, score.evictions), (0, 0));
    assert!(score.batch < 1.0, "{score:?}");
}
