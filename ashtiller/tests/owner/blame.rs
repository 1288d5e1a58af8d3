//! Attribution of worker crashes to a task.

use std::collections::BTreeMap;
use std::time::Duration;

use ashtiller::workflow::blame::{
    self, CRASHES_MAX, CrashContext, Loss, LostRun, STARTS_AFTER, Suspect,
};
use ashtiller::workflow::record::{Run, Task};

use crate::driver::MS;

const HEAVY: u32 = 2;
const LIGHT: u32 = 1;

fn run(index: u16, number: u32) -> Run {
    let task = Task {
        job: 1,
        occurrence: 0,
        step: 0,
        index,
    };
    Run { task, number }
}

fn lost_run(index: u16, number: u32, age: u32, weight: u32) -> LostRun {
    LostRun {
        run: run(index, number),
        age,
        weight,
        begun: true,
    }
}

/// Returns what these crashes record for each task.
fn suspects(lost_runs: &[LostRun]) -> BTreeMap<Task, Suspect> {
    let mut known: BTreeMap<Task, Suspect> = BTreeMap::new();
    for lost_run in lost_runs {
        known.entry(lost_run.run.task).or_default().note(lost_run);
    }
    known
}

fn find_culprit(lost_runs: &[LostRun], known: &BTreeMap<Task, Suspect>) -> Option<u16> {
    let culprit = blame::find_culprit(lost_runs, |task| known.get(&task));
    culprit.map(|task| task.index)
}

#[test]
fn a_run_that_has_just_begun_is_the_strongest_suspect() {
    let young = CrashContext {
        age: 30 * MS,
        begun: true,
        loss: Loss::Alone,
        alike: false,
    };
    let old = CrashContext {
        age: Duration::from_secs(7),
        ..young
    };
    assert_eq!(young.weight(), HEAVY);
    assert_eq!(old.weight(), LIGHT);
}

#[test]
fn simultaneous_crashes_weigh_little_unless_sibling_tasks_ran_there() {
    let rack = CrashContext {
        age: 30 * MS,
        begun: true,
        loss: Loss::WithMany,
        alike: false,
    };
    let siblings = CrashContext {
        alike: true,
        ..rack
    };
    assert_eq!(rack.weight(), LIGHT);
    assert_eq!(siblings.weight(), HEAVY);
}

#[test]
fn the_only_strong_suspect_is_convicted_by_a_crash_like_the_first() {
    let known = suspects(&[lost_run(0, 1, 40, HEAVY), lost_run(1, 1, 7000, LIGHT)]);
    let again = [lost_run(0, 2, 60, HEAVY), lost_run(2, 1, 900, HEAVY)];
    assert_eq!(find_culprit(&again, &known), Some(0));
}

#[test]
fn a_crash_that_is_not_like_the_first_convicts_only_the_third_time() {
    let first = [lost_run(0, 1, 40, HEAVY)];
    let second = [lost_run(0, 2, 4000, LIGHT)];
    assert_eq!(find_culprit(&second, &suspects(&first)), None);
    let both = suspects(&[first, second].concat());
    assert_eq!(find_culprit(&[lost_run(0, 3, 9000, LIGHT)], &both), Some(0));
}

#[test]
fn of_two_strong_suspects_neither_is_convicted() {
    let known = suspects(&[lost_run(0, 1, 40, HEAVY), lost_run(1, 1, 40, HEAVY)]);
    let again = [lost_run(0, 2, 40, HEAVY), lost_run(1, 2, 40, HEAVY)];
    assert_eq!(find_culprit(&again, &known), None);
}

#[test]
fn a_weak_suspect_is_not_convicted_by_its_second_crash() {
    let known = suspects(&[lost_run(0, 1, 7000, LIGHT)]);
    assert_eq!(find_culprit(&[lost_run(0, 2, 7000, LIGHT)], &known), None);
}

/// The worker may have been gone before the start arrived.
#[test]
fn an_unconfirmed_start_weighs_little_and_convicts_no_task() {
    let context = CrashContext {
        age: 30 * MS,
        begun: false,
        loss: Loss::Alone,
        alike: false,
    };
    assert_eq!(context.weight(), LIGHT);
    let unconfirmed = |number| LostRun {
        begun: false,
        ..lost_run(0, number, 40, LIGHT)
    };
    let once = suspects(&[lost_run(0, 1, 40, HEAVY)]);
    assert_eq!(find_culprit(&[unconfirmed(2)], &once), None);
    let twice = suspects(&[lost_run(0, 1, 40, HEAVY), unconfirmed(2)]);
    assert_eq!(
        find_culprit(&[lost_run(0, 3, 4000, HEAVY)], &twice),
        Some(0)
    );
    let never = suspects(&[unconfirmed(1), unconfirmed(2)]);
    assert_eq!(find_culprit(&[unconfirmed(3)], &never), None);
}

#[test]
fn starts_are_left_after_the_third_crash() {
    let mut suspect = Suspect::default();
    for number in [2, 5, 6] {
        assert!(!suspect.has_no_starts_left(number));
        suspect.note(&lost_run(0, number, 10, LIGHT));
        // Reported twice: by an earlier owner's entry and by a late reply.
        suspect.note(&lost_run(0, number, 10, LIGHT));
    }
    assert_eq!(suspect.crashes as usize, CRASHES_MAX);
    assert!(!suspect.has_no_starts_left(6 + STARTS_AFTER - 1));
    assert!(suspect.has_no_starts_left(6 + STARTS_AFTER));
}

#[test]
fn a_crash_that_is_reported_late_counts_by_its_run_number() {
    let mut suspect = Suspect::default();
    for number in [4, 2, 5, 1] {
        suspect.note(&lost_run(0, number, 10, LIGHT));
    }
    assert_eq!(suspect.crashed, [1, 2, 4]);
    assert!(suspect.has_no_starts_left(4 + STARTS_AFTER));
}

/// A task that ran slightly longer than at its crash may still crash a moment later.
#[test]
fn a_run_has_to_live_twice_as_long_as_at_any_crash() {
    let mut suspect = Suspect::default();
    suspect.note(&lost_run(0, 1, 900, HEAVY));
    suspect.note(&lost_run(0, 2, 100, HEAVY));
    assert!(suspect.clears_at() > 1800 * MS);
}

/// A harmless job failed after three crashes of which one at most had a run of it on the worker.
/// Two of its runs had ended while their workers were unreachable, so those crashes were uncertain.
/// The fourth run was stopped because its worker drained, and as it was the one start left after
/// any three crashes, the job was given up.
#[test]
fn a_start_that_ends_without_a_crash_is_not_the_last_after_uncertain_crashes() {
    let uncertain = |number| LostRun {
        begun: false,
        ..lost_run(0, number, 2140, LIGHT)
    };
    let mut suspect = Suspect::default();
    suspect.note(&uncertain(1));
    suspect.note(&uncertain(2));
    suspect.note(&lost_run(0, 3, 300, HEAVY));
    assert!(!suspect.has_no_starts_left(4));
    // The limit holds for a task whose crashes are all uncertain, too.
    suspect.note(&uncertain(5));
    assert!(!suspect.has_no_starts_left(5));
    suspect.note(&uncertain(6));
    assert!(suspect.has_no_starts_left(6));
}

/// An expired lease and the worker's next incarnation may both report the same lost run. If it
/// counted twice, a task would be nearer to its limit than its crashes are.
#[test]
fn an_uncertain_crash_that_is_reported_twice_counts_once() {
    let uncertain = |number| LostRun {
        begun: false,
        ..lost_run(0, number, 10, LIGHT)
    };
    let mut suspect = Suspect::default();
    for number in [3, 4, 5, 5, 4, 3] {
        suspect.note(&uncertain(number));
    }
    assert_eq!(suspect.crashes, 3);
    assert!(!suspect.has_no_starts_left(6));
}

/// An owner may count a lost run as a crash before its worker is known to have crashed. If that run
/// is then found to have been there until the end, it is not a crash beside the three that were
/// counted, and a start is left.
#[test]
fn a_run_that_was_counted_before_does_not_end_the_starts() {
    let uncertain = |number| LostRun {
        begun: false,
        ..lost_run(0, number, 10, LIGHT)
    };
    let mut suspect = Suspect::default();
    suspect.note(&uncertain(1));
    suspect.note(&uncertain(2));
    assert!(!suspect.ends_with(&uncertain(3)), "a third crash");
    suspect.note(&uncertain(3));
    assert!(!suspect.ends_with(&uncertain(3)), "the same crash");
    assert!(suspect.ends_with(&uncertain(4)));
}
