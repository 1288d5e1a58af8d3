//! `bench replay`: a table of policies for each trace.

use anyhow::Context;
use bench::replay::{self, Policy, Score, Trace};
use pico_args::Arguments;

/// Weights of a deployment: seconds over target, batch work, evictions.
const WEIGHTS: [(&str, [f64; 3]); 2] =
    [("Agrisana", [0.6, 0.1, 0.3]), ("Georgia", [0.4, 0.4, 0.2])];

/// Runs the traces under every policy.
pub fn run(mut args: Arguments) -> anyhow::Result<()> {
    let seed: u64 = args.opt_value_from_str("--seed")?.unwrap_or(1);
    for path in args.finish() {
        let name = path.to_string_lossy().into_owned();
        let text = std::fs::read_to_string(&path).with_context(|| name.clone())?;
        let trace = Trace::parse(&text).with_context(|| name.clone())?;
        println!("\n{name}: {}", trace.title);
        println!(
            "{:<14} {:>9} {:>9} {:>10} {:>9} {:>7} {:>9} {:>9}",
            "policy",
            "over s",
            "p99 ratio",
            "batch h",
            "evictions",
            "spread",
            "Agrisana",
            "Georgia"
        );
        let scores: Vec<(Policy, Score)> = Policy::ALL
            .iter()
            .map(|policy| (*policy, replay::run(&trace, *policy, seed)))
            .collect();
        let most = scores
            .iter()
            .map(|(_, score)| score.batch)
            .fold(0.0, f64::max);
        for (policy, score) in &scores {
            let marks: Vec<String> = WEIGHTS
                .iter()
                .map(|(_, weights)| format!("{:.3}", mark(score, weights, most)))
                .collect();
            println!(
                "{:<14} {:>9} {:>9.2} {:>10.1} {:>9} {:>7} {:>9} {:>9}",
                policy.name(),
                score.over,
                score.p99,
                score.batch / 3600.0,
                score.evictions,
                score.spread,
                marks[0],
                marks[1]
            );
        }
    }
    Ok(())
}

/// A deployment's mark, at most 1: shares of service time on target, of the most
/// batch work done, and of attempts that were not evicted.
fn mark(score: &Score, [latency, batch, evictions]: &[f64; 3], most: f64) -> f64 {
    let on_target = 1.0 - f64::from(score.over) / f64::from(score.watched.max(1));
    let kept = 1.0 - f64::from(score.evictions) / f64::from(score.starts.max(1));
    latency * on_target + batch * score.batch / most.max(1.0) + evictions * kept
}
