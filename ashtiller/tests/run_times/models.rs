//! Single models, case by case.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::job::Step;
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::record::{LogRecord, Section};
use ashtiller::workflow::run_times::recorded::{EncodedModels, RecordedModels};
use ashtiller::workflow::run_times::{MODELS_MAX, RunTimes, StepRuns};
use ashtiller::workflow::snapshot;

use crate::driver::{MS, step};

const SECOND: Duration = Duration::from_secs(1);

fn queue() -> Arc<str> {
    "jobs/q/".into()
}

/// Returns models after 100 steps whose tasks took `factor` times their estimate of 0.5 s.
fn learned(factor: f64, now: Duration) -> RunTimes {
    let mut models = RunTimes::default();
    for number in 0..100 {
        // The run times vary by 10 percent.
        let run_time = step(4)
            .estimate
            .mul_f64(factor * (0.9 + 0.002 * f64::from(number)));
        for _ in 0..4 {
            models.observe(&queue(), &step(4), run_time, now);
        }
        let mut runs = StepRuns::default();
        for factor in [1.0, 1.0, 1.0, 1.2] {
            runs.add(run_time.mul_f64(factor));
        }
        models.observe_step(&queue(), &step(4), &runs, now);
    }
    models
}

fn is_near(time: Duration, expected: Duration) -> bool {
    (time.div_duration_f64(expected).ln()).abs() < 0.08
}

/// Guards against decisions that differ from those by the estimate before anything was learned.
#[test]
fn without_observations_the_estimate_holds() {
    let models = RunTimes::default();
    let step = step(4);
    assert_eq!(models.expected(&queue(), &step, SECOND), step.estimate);
    assert_eq!(models.slowest(&queue(), &step, SECOND), step.estimate);
    assert_eq!(models.quantile(&queue(), &step, 0.9, SECOND), step.estimate);
    let left = models.remaining(&queue(), &step, 200 * MS, 0, SECOND);
    assert_eq!(left, 300 * MS);
    assert!(!models.is_straggler(&queue(), &step, 100 * SECOND, 1, SECOND));
}

/// Guards against knowledge that outlives the work it is about.
#[test]
fn a_factor_is_learned_and_forgotten() {
    let models = learned(3.0, SECOND);
    let expected = |at| models.expected(&queue(), &step(4), at);
    assert!(
        is_near(expected(SECOND), 1500 * MS),
        "{:?}",
        expected(SECOND)
    );
    let slowest = models.slowest(&queue(), &step(4), SECOND);
    assert!(is_near(slowest, 1800 * MS), "{slowest:?}");
    let later = expected(300 * SECOND);
    assert!(is_near(later, 500 * MS), "{later:?}");
    // Another queue, another class and another width have models of their own.
    assert_eq!(models.expected(&"other".into(), &step(4), SECOND), 500 * MS);
    assert_eq!(models.expected(&queue(), &step(40), SECOND), 500 * MS);
}

/// Guards against work that has changed and is predicted by what it was for long: at 15 steps a
/// second, a change by a factor of three is mostly learned within the memory of the models.
#[test]
fn a_change_is_followed_within_seconds() {
    let mut models = learned(1.0, Duration::ZERO);
    let mut now = Duration::ZERO;
    while models.expected(&queue(), &step(4), now) < 1200 * MS {
        now += 66 * MS;
        for _ in 0..4 {
            models.observe(&queue(), &step(4), 1500 * MS, now);
        }
    }
    println!("followed after {now:?}");
    assert!(now < 30 * SECOND, "{now:?}");
}

/// Guards against extrapolation: a step unlike all others would be taken for one of them.
#[test]
fn the_estimate_of_an_unusual_step_counts() {
    let models = learned(1.0, SECOND);
    let long = Step {
        estimate: 60 * SECOND,
        ..step(4)
    };
    let expected = models.expected(&queue(), &long, SECOND);
    assert!(expected > 50 * SECOND, "{expected:?}");
}

/// Guards against rare runs of seven times the usual time that shift the prediction, and against
/// runs that are never recognised as such.
#[test]
fn stragglers_are_recognised_and_do_not_shift_the_prediction() {
    let mut models = learned(1.0, SECOND);
    for _ in 0..4 {
        models.observe(&queue(), &step(4), 3500 * MS, SECOND);
    }
    let expected = models.expected(&queue(), &step(4), SECOND);
    assert!(is_near(expected, 500 * MS), "{expected:?}");
    let is_straggler = |age, percent| models.is_straggler(&queue(), &step(4), age, percent, SECOND);
    assert!(is_straggler(500 * MS, 14));
    assert!(!is_straggler(500 * MS, 80));
    assert!(!is_straggler(100 * MS, 1), "it has just begun");
    let left = |age| models.remaining(&queue(), &step(4), age, 0, SECOND);
    assert!(left(200 * MS) < 400 * MS, "{:?}", left(200 * MS));
    // A run that has outlived all usual ones is one of the others.
    assert!(left(1500 * MS) > SECOND, "{:?}", left(1500 * MS));
    assert!(models.quantile(&queue(), &step(4), 0.999, SECOND) > 2 * SECOND);
}

/// Guards against memory that grows with the number of queues.
#[test]
fn the_number_of_models_is_bounded() {
    let mut models = learned(2.0, Duration::ZERO);
    for number in 0..MODELS_MAX {
        let queue = format!("q{number}").into();
        models.observe(&queue, &step(1), SECOND, SECOND);
    }
    assert_eq!(models.models().count(), MODELS_MAX);
    assert!(models.model(&queue(), &step(4)).is_none(), "the oldest one");
}

/// Guards against records without bound, and against an owner that begins without what is known.
#[test]
fn records_are_bounded_and_hold_every_model_in_turn() {
    let mut models = RunTimes::default();
    for number in 0..MODELS_MAX {
        let queue = format!("jobs/queue-{number}/").into();
        for _ in 0..20 {
            models.observe(&queue, &step(1), SECOND, SECOND);
        }
    }
    let mut state = LogState::default();
    while let Some(changed) = models.take_changed(SECOND) {
        let record = LogRecord::RunTimesLearned(changed);
        assert!(postcard::to_stdvec(&record).expect("encodes").len() < 500);
        assert!(record.may_wait() && record.section() == Section::Extension);
        state.apply(&record, SECOND);
    }
    let bytes = snapshot::encode(&state).expect("encodes");
    let state = snapshot::decode(&bytes).expect("decodes");
    let restored = RunTimes::restore(state.run_times(), 500 * SECOND);
    assert_eq!(restored.models().count(), MODELS_MAX);
    let queue = "jobs/queue-7/".into();
    let known = models.expected(&queue, &step(1), SECOND);
    assert_eq!(restored.expected(&queue, &step(1), 500 * SECOND), known);
}

/// Guards against an owner that fails on, or trusts, models that it cannot read.
#[test]
fn unknown_versions_and_damaged_models_are_ignored() {
    let mut changed = learned(2.0, SECOND).take_changed(SECOND).expect("models");
    let mut recorded = RecordedModels::default();
    let later = EncodedModels {
        version: 2,
        ..changed.clone()
    };
    recorded.apply(&later);
    assert!(recorded.is_empty());
    changed.models[0].truncate(5);
    changed.models.push(vec![0xff; 80]);
    recorded.apply(&changed);
    assert!(recorded.is_empty());
}
