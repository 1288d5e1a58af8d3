//! Ways to predict the chain of a job, compared by their errors under the noise of the platform.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::job::Step;
use ashtiller::workflow::run_times::{RunTimes, StepRuns};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::driver::step;

/// Time between two jobs: 15 a second.
const GAP: Duration = Duration::from_millis(66);
/// Share of runs that take seven times as long.
const SLOW_SHARE: f64 = 0.01;

/// Mean absolute logarithm of predicted by actual chain, over the second half of the jobs.
#[derive(Debug, Default)]
struct Errors {
    /// Of the chain of usual run times: estimates, one factor for the queue, regression.
    usual: [f64; 3],
    /// Of the chain of slowest tasks: estimates, quantile by width, learned offset.
    slowest: [f64; 3],
}

fn draw_normal(rng: &mut Pcg64) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

/// Plays jobs of two steps of `width` tasks, whose mean run times vary by `spread` (as a logarithm).
fn play(jobs: u32, width: u32, spread: f64, seed: u64) -> Errors {
    let mut rng = Pcg64::seed_from_u64(seed);
    let queue: Arc<str> = "jobs/q/".into();
    let (mut models, mut factor) = (RunTimes::default(), [0.0, 0.0]);
    let mut errors = Errors::default();
    for job in 0..jobs {
        let now = GAP * job;
        let mut actual = [0.0; 2];
        let mut predicted = [[0.0; 3]; 2];
        let mut observed = Vec::new();
        for _ in 0..2 {
            let mean = 0.75 * (spread * draw_normal(&mut rng)).exp();
            let step = Step {
                estimate: Duration::from_secs_f64(mean * (0.1 + 1.8 * rng.random::<f64>())),
                ..step(width)
            };
            let runs = (0..width).map(|_| {
                let time = mean * (1.0 + 0.22 * draw_normal(&mut rng)).max(0.2);
                let slow = rng.random::<f64>() < SLOW_SHARE;
                Duration::from_secs_f64(if slow { mean * 7.0 } else { time })
            });
            let runs: Vec<Duration> = runs.collect();
            let slowest = runs.iter().max().copied().unwrap_or_default();
            let width_quantile = 0.5f64.powf(1.0 / f64::from(width));
            let estimate = step.estimate.as_secs_f64();
            let time = |time: Duration| time.as_secs_f64();
            actual[0] += mean;
            actual[1] += time(slowest);
            let scaled = estimate * (factor[1] / (factor[0] + 4.0_f64)).exp();
            let usual = [estimate, scaled, time(models.expected(&queue, &step, now))];
            let slow = [
                estimate,
                time(models.quantile(&queue, &step, width_quantile, now)),
                time(models.slowest(&queue, &step, now)),
            ];
            for (sums, values) in predicted.iter_mut().zip([usual, slow]) {
                for (sum, value) in sums.iter_mut().zip(values) {
                    *sum += value;
                }
            }
            observed.push((step, runs));
        }
        if job >= jobs / 2 {
            let all = [&mut errors.usual, &mut errors.slowest];
            for (errors, (predicted, actual)) in all.into_iter().zip(predicted.iter().zip(actual)) {
                for (error, predicted) in errors.iter_mut().zip(predicted) {
                    *error += (predicted / actual).ln().abs() / f64::from(jobs - jobs / 2);
                }
            }
        }
        for (step, runs) in observed {
            let mut done = StepRuns::default();
            for run in runs {
                done.add(run);
                let correction = (run.as_secs_f64() / step.estimate.as_secs_f64()).ln();
                let weight = 1.0 / f64::from(width);
                factor = [
                    factor[0] * 0.999 + weight,
                    factor[1] * 0.999 + weight * correction,
                ];
                models.observe(&queue, &step, run, now);
            }
            models.observe_step(&queue, &step, &done, now);
        }
    }
    errors
}

/// Guards against a way that predicts chains worse than the client's estimates or than the simpler
/// ways, for queues of similar and of different steps.
#[test]
fn regression_with_a_learned_offset_predicts_chains_best() {
    let cases = [(10, 0.05), (10, 0.3), (10, 0.8), (40, 0.05), (1, 0.3)];
    for (jobs, (width, spread)) in [12, 1_500]
        .into_iter()
        .flat_map(|it| cases.map(|case| (it, case)))
    {
        let mut errors = Errors::default();
        let seeds = 1_500 / jobs;
        for seed in 0..seeds {
            let of_seed = play(jobs, width, spread, seed.into());
            let sums = errors.usual.iter_mut().chain(&mut errors.slowest);
            for (sum, error) in sums.zip(of_seed.usual.iter().chain(&of_seed.slowest)) {
                *sum += error / f64::from(seeds);
            }
        }
        println!("{jobs} jobs, {width} tasks, spread {spread}: {errors:.3?}");
        let [estimate, factor, regression] = errors.usual;
        assert!(regression < factor && regression < estimate, "{errors:?}");
        let [estimate, quantile, offset] = errors.slowest;
        assert!(offset < estimate && offset < quantile * 1.05, "{errors:?}");
    }
}
