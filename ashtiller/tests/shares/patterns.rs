//! Load patterns of hard load, in virtual time, with and without fair shares.

use std::ops::Range;
use std::time::Duration;

use crate::fleet::{BEGIN, Fleet, JobFate, MS, PATIENT, QUEUES, SECOND, Source};

/// Jobs of four tasks per second; the fleet of 160 processors can do about 80.
const BASE: f64 = 70.0;
const ZONES: [&str; 4] = ["n", "e", "s", "w"];

/// Lets the jobs of these sources arrive for a number of seconds, and then end.
fn run(fair: bool, mut sources: Vec<Source>, seconds: u32) -> Fleet {
    let mut fleet = Fleet::new(fair);
    fleet.run(&mut sources, SECOND * seconds);
    fleet.run(&mut [], SECOND * 6);
    fleet
}

/// 95th percentiles of the waits for the start of the last task and of the times of jobs, where a
/// job that did not start or end counts as an hour, and the share of jobs in time.
#[derive(Clone, Copy, Debug)]
struct Figures {
    wait: Duration,
    time: Duration,
    in_time: f64,
}

/// Returns the figures of the jobs of some sources that were submitted in a span of seconds.
fn figures(name: &str, fleet: &Fleet, sources: Range<usize>, span: Range<f64>) -> Figures {
    let jobs = fleet.fates.values().filter(|job| {
        let at = job.submitted.saturating_sub(BEGIN).as_secs_f64();
        sources.contains(&job.source) && span.contains(&at)
    });
    let jobs: Vec<&JobFate> = jobs.collect();
    let percentile = |until: fn(&JobFate) -> Option<Duration>| {
        let times = jobs.iter().map(|job| {
            let at = until(job).unwrap_or(Duration::from_hours(1));
            at.saturating_sub(job.submitted)
        });
        let mut times: Vec<Duration> = times.collect();
        times.sort_unstable();
        times[(times.len() * 95).div_ceil(100) - 1]
    };
    let timely = jobs.iter().filter(|job| job.is_in_time()).count();
    #[expect(clippy::cast_precision_loss, reason = "small counts")]
    let figures = Figures {
        wait: percentile(|job| job.started),
        time: percentile(|job| job.ended),
        in_time: timely as f64 / jobs.len() as f64,
    };
    println!("{name}: {figures:?} of {} jobs", jobs.len());
    figures
}

/// Checks that shares leave no capacity unused.
fn assert_same_work(on: &Fleet, off: &Fleet) {
    let [on, off] = [on, off].map(|fleet| fleet.core.counts().done);
    println!("tasks done: on {on}, off {off}");
    assert!(on * 100 > off * 98, "on {on}, off {off}");
}

/// Guards against a burst of one queue that lets the callers of the other queues wait: without fair
/// shares, all wait alike. Since runs that fill the fleet have to end first, a wait grows by up to
/// one placement round.
#[test]
fn a_burst_of_one_queue_leaves_steady_callers_alone() {
    let sources = |factor: f64| {
        let rate = move |at: f64| {
            if (4.0..9.0).contains(&at) {
                factor
            } else {
                1.0
            }
        };
        let bursting = Source::new(QUEUES[0], "n", move |at| BASE * 0.24 * rate(at));
        let steady = QUEUES[1..4].iter();
        let steady = steady.map(|queue| Source::new(queue, "n", |_| BASE * 0.22));
        [bursting].into_iter().chain(steady).collect()
    };
    let calm = figures("calm", &run(true, sources(1.0), 12), 1..4, 4.0..9.0);
    let off = figures("off", &run(false, sources(2.6), 12), 1..4, 4.0..9.0);
    let fleet = run(true, sources(2.6), 12);
    let on = figures("on", &fleet, 1..4, 4.0..9.0);
    figures("on, bursting queue", &fleet, 0..1, 4.0..9.0);
    assert!(off.in_time < 0.7, "{off:?}");
    assert!(on.in_time > 0.99, "{on:?}");
    assert!(on.time < calm.time.mul_f64(1.1), "{on:?}, calm {calm:?}");
    assert!(on.wait <= calm.wait + 30 * MS, "{on:?}, calm {calm:?}");
}

/// Guards against zones that wait for the peak of another zone.
#[test]
fn a_peak_that_moves_from_zone_to_zone_hurts_no_other_zone() {
    let sources = || {
        let sources = ZONES.into_iter().zip([0.0, 0.25, 0.5, 0.75]);
        let sources = sources.map(|(zone, phase)| {
            Source::new(QUEUES[0], zone, move |at| {
                let turn = (at / 13.0 - phase) * std::f64::consts::TAU;
                BASE * 0.3 * (1.0 + 0.55 * turn.cos())
            })
        });
        sources.collect()
    };
    let (on, off) = (run(true, sources(), 26), run(false, sources(), 26));
    for (zone, trough) in [6.5, 9.75, 13.0, 16.25].into_iter().enumerate() {
        // In a quarter of a turn around its trough, a zone asks for less than its share.
        let span = trough - 1.6..trough + 1.6;
        let without = figures("off, trough", &off, zone..zone + 1, span.clone());
        let with = figures("on, trough", &on, zone..zone + 1, span);
        assert!(without.in_time < 0.5, "zone {zone}: {without:?}");
        assert!(with.in_time > 0.95, "zone {zone}: {with:?}");
    }
    let without = figures("off, all", &off, 0..4, 0.0..26.0);
    assert!(figures("on, all", &on, 0..4, 0.0..26.0).in_time > without.in_time);
}

/// Guards against callers of other zones that wait since a third of the callers moved to one zone.
#[test]
fn moved_callers_share_with_the_zone_that_they_come_to() {
    let sources = || {
        let rates = [[0.4, 0.0], [0.27, 0.67], [0.27, 0.27], [0.27, 0.27]];
        let sources = rates.into_iter().zip(ZONES).map(|(rates, zone)| {
            let rate = move |at: f64| rates[usize::from(at >= 5.0)];
            Source::new(QUEUES[0], zone, move |at| BASE * rate(at))
        });
        sources.collect()
    };
    let (on, off) = (run(true, sources(), 15), run(false, sources(), 15));
    let without = figures("off, others", &off, 2..4, 6.0..15.0);
    let with = figures("on, others", &on, 2..4, 6.0..15.0);
    figures("on, zone with the moved callers", &on, 1..2, 6.0..15.0);
    assert!(without.in_time < 0.5, "{without:?}");
    assert!(with.in_time > 0.99, "{with:?}");
    assert_same_work(&on, &off);
}

/// Guards against a queue whose steps that fit nowhere count as what it got: its other steps would
/// wait behind everything. Other callers of the rack get their share of it.
#[test]
fn one_rack_that_many_jobs_want_does_not_delay_the_rest() {
    let sources = || {
        let rates = [(0, 0.35), (0, 0.2), (1, 0.2), (2, 0.04)];
        let sources =
            rates.map(|(queue, rate)| Source::new(QUEUES[queue], "n", move |_| BASE * rate));
        let mut sources = Vec::from(sources);
        sources[0].rack = Some("r1");
        sources[3].rack = Some("r1");
        sources
    };
    let (on, off) = (run(true, sources(), 12), run(false, sources(), 12));
    let without = figures("off, few jobs for the rack", &off, 3..4, 3.0..12.0);
    let with = figures("on, few jobs for the rack", &on, 3..4, 3.0..12.0);
    assert!(without.in_time < 0.5, "{without:?}");
    assert!(with.in_time > 0.9, "{with:?}");
    let without = figures("off, elsewhere", &off, 1..3, 3.0..12.0);
    let with = figures("on, elsewhere", &on, 1..3, 3.0..12.0);
    assert!(with.in_time > 0.99, "{with:?}");
    assert!(with.wait <= without.wait + 30 * MS, "{with:?} {without:?}");
    assert_same_work(&on, &off);
}

/// Guards against steps of a queue with much of the capacity that become late although those placed
/// before them could have waited: 0.725 of them were in time when shares came strictly first.
#[test]
fn patient_callers_with_a_small_share_make_no_others_late() {
    let wave = |at: f64| if at % 4.0 < 2.0 { 1.35 } else { 0.65 };
    let sources = vec![
        Source::new(QUEUES[0], "n", move |at| BASE * 0.75 * wave(at)),
        Source::new(PATIENT, "n", move |at| BASE * 0.25 * wave(at)),
    ];
    let fleet = run(true, sources, 12);
    let urgent = figures("urgent", &fleet, 0..1, 0.0..12.0);
    let patient = figures("patient", &fleet, 1..2, 0.0..12.0);
    assert!(urgent.in_time > 0.99, "{urgent:?}");
    assert!(patient.in_time > 0.99, "{patient:?}");
}

/// Guards against a debt for capacity that nobody else wanted: 0.142 of the jobs of a queue that had
/// the fleet for itself were in time after another queue began, when all past usage counted.
#[test]
fn use_of_idle_capacity_is_not_held_against_a_queue() {
    let rates = [[0.95, 0.48], [0.0, 1.2]].into_iter().zip(QUEUES);
    let sources = rates.map(|(rates, queue)| {
        Source::new(queue, "n", move |at| BASE * rates[usize::from(at >= 6.0)])
    });
    let fleet = run(true, sources.collect(), 10);
    let first = figures("first queue", &fleet, 0..1, 6.0..10.0);
    assert!(first.in_time > 0.99, "{first:?}");
}
