//! Load patterns of hard load, in virtual time, each with and without fair shares.

use std::ops::Range;
use std::time::Duration;

use crate::fleet::{Fleet, JobFate, MS, PATIENT, SECOND, Source, in_time, percentile_95};

/// Jobs of four tasks per second that the fleet of 160 processors can do. A task runs for half a
/// second, and its processor is idle for some 60 ms before the next one starts.
const SUSTAINABLE: f64 = 70.0;
const QUEUES: [&str; 5] = ["/a/", "/b/", "/c/", "/d/", PATIENT];
const ZONES: [&str; 4] = ["n", "e", "s", "w"];

/// Lets the jobs of these sources arrive for a number of seconds, and then end.
fn run(fair: bool, mut sources: Vec<Source>, seconds: u32) -> Fleet {
    let mut fleet = Fleet::new(&QUEUES, fair);
    fleet.run(&mut sources, SECOND * seconds);
    fleet.run(&mut [], SECOND * 6);
    fleet
}

/// 95th percentiles of the wait and of the time of jobs, and the share of jobs in time.
#[derive(Clone, Copy, Debug)]
struct Figures {
    wait: Duration,
    time: Duration,
    in_time: f64,
}

fn figures(name: &str, fleet: &Fleet, sources: Range<usize>, span: &Range<f64>) -> Figures {
    let fates: Vec<&JobFate> = sources
        .flat_map(|source| fleet.fates_of(source, span.clone()))
        .collect();
    let (wait, time) = percentile_95(&fates);
    let figures = Figures {
        wait,
        time,
        in_time: in_time(&fates),
    };
    println!("{name}: {figures:?} of {} jobs", fates.len());
    figures
}

/// Guards against a burst of one queue that lets the callers of the other queues wait: without fair
/// shares, all wait alike. Since runs that fill the fleet have to end first, a wait grows by up to one
/// placement round.
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
        let mut sources = vec![Source::new(QUEUES[0], "n", move |at| {
            SUSTAINABLE * 0.24 * rate(at)
        })];
        for queue in &QUEUES[1..4] {
            sources.push(Source::new(queue, "n", |_| SUSTAINABLE * 0.22));
        }
        sources
    };
    let burst = 4.0..9.0;
    let calm = figures("calm", &run(true, sources(1.0), 12), 1..4, &burst);
    let off = figures("off", &run(false, sources(2.6), 12), 1..4, &burst);
    let fleet = run(true, sources(2.6), 12);
    let on = figures("on", &fleet, 1..4, &burst);
    figures("on, bursting queue", &fleet, 0..1, &burst);
    assert!(off.in_time < 0.7, "{off:?}");
    assert!(on.in_time > 0.99, "{on:?}");
    assert!(on.time < calm.time.mul_f64(1.1), "{on:?}, calm {calm:?}");
    assert!(on.wait <= calm.wait + 30 * MS, "{on:?}, calm {calm:?}");
}

/// Guards against zones that wait for the peak of another zone.
#[test]
fn a_peak_that_moves_from_zone_to_zone_hurts_no_other_zone() {
    let sources = |scale: f64| {
        let sources = (0..4u8).map(|zone| {
            let phase = f64::from(zone) * 0.25;
            Source::new(QUEUES[0], ZONES[usize::from(zone)], move |at| {
                let turn = (at / 13.0 - phase) * std::f64::consts::TAU;
                SUSTAINABLE * scale * (1.0 + 0.55 * turn.cos())
            })
        });
        sources.collect()
    };
    let (on, off) = (run(true, sources(0.3), 26), run(false, sources(0.3), 26));
    for zone in 0..4u8 {
        // Within a quarter of a turn around its trough, the zone asks for less than its share.
        let trough = 13.0 * (f64::from(zone) * 0.25 + 0.5);
        let (span, zone) = (trough - 1.6..trough + 1.6, usize::from(zone));
        let without = figures("off, trough", &off, zone..zone + 1, &span);
        let with = figures("on, trough", &on, zone..zone + 1, &span);
        assert!(without.in_time < 0.5, "zone {zone}: {without:?}");
        assert!(with.in_time > 0.95, "zone {zone}: {with:?}");
    }
    let all = 0.0..26.0;
    let without = figures("off, all", &off, 0..4, &all);
    assert!(figures("on, all", &on, 0..4, &all).in_time > without.in_time);
}

/// Guards against callers of other zones that wait since a third of the callers moved to one zone,
/// and against capacity that is left unused meanwhile.
#[test]
fn moved_callers_share_with_the_zone_that_they_come_to() {
    let sources = || {
        let moved = |at: f64| at >= 5.0;
        let rates: [Box<dyn Fn(f64) -> f64>; 4] = [
            Box::new(move |at| if moved(at) { 0.0 } else { 0.4 }),
            Box::new(move |at| if moved(at) { 0.67 } else { 0.27 }),
            Box::new(|_| 0.27),
            Box::new(|_| 0.27),
        ];
        let sources = rates.into_iter().zip(ZONES);
        let sources = sources
            .map(|(rate, zone)| Source::new(QUEUES[0], zone, move |at| SUSTAINABLE * rate(at)));
        sources.collect()
    };
    let after = 6.0..15.0;
    let (on, off) = (run(true, sources(), 15), run(false, sources(), 15));
    let without = figures("off, others", &off, 2..4, &after);
    let with = figures("on, others", &on, 2..4, &after);
    assert!(without.in_time < 0.5, "{without:?}");
    assert!(with.in_time > 0.99, "{with:?}");
    figures("on, zone with the moved callers", &on, 1..2, &after);
    let [with, without] = [&on, &off].map(|fleet| fleet.core.counts().done);
    println!("tasks done: on {with}, off {without}");
    assert!(with * 100 > without * 98, "on {with}, off {without}");
}

/// Guards against a queue whose steps that fit nowhere count as what it got: its other steps would
/// wait behind everything. Other callers of the rack get their share of it.
#[test]
fn one_rack_that_many_jobs_want_does_not_delay_the_rest() {
    let on_rack = |queue, rate: f64| Source {
        rack: Some("r1"),
        ..Source::new(queue, "n", move |_| SUSTAINABLE * rate)
    };
    let sources = || {
        vec![
            on_rack(QUEUES[0], 0.35),
            Source::new(QUEUES[0], "n", |_| SUSTAINABLE * 0.2),
            Source::new(QUEUES[1], "n", |_| SUSTAINABLE * 0.2),
            on_rack(QUEUES[2], 0.04),
        ]
    };
    let span = 3.0..12.0;
    let (on, off) = (run(true, sources(), 12), run(false, sources(), 12));
    let without = figures("off, few jobs for the rack", &off, 3..4, &span);
    let with = figures("on, few jobs for the rack", &on, 3..4, &span);
    assert!(without.in_time < 0.5, "{without:?}");
    assert!(with.in_time > 0.9, "{with:?}");
    for source in [1, 2] {
        let without = figures("off, elsewhere", &off, source..source + 1, &span);
        let with = figures("on, elsewhere", &on, source..source + 1, &span);
        assert!(with.in_time > 0.99, "source {source}: {with:?}");
        assert!(with.wait <= without.wait + 30 * MS, "{with:?} {without:?}");
    }
    let [with, without] = [&on, &off].map(|fleet| fleet.core.counts().done);
    assert!(with * 100 > without * 98, "on {with}, off {without}");
}

/// Guards against steps of a queue with much of the capacity that become late although those placed
/// before them could have waited: 0.725 of them were in time when shares came strictly first.
#[test]
fn patient_callers_with_a_small_share_make_no_others_late() {
    let sources = || {
        let wave = |at: f64| if at % 4.0 < 2.0 { 1.35 } else { 0.65 };
        vec![
            Source::new(QUEUES[0], "n", move |at| SUSTAINABLE * 0.75 * wave(at)),
            Source::new(PATIENT, "n", move |at| SUSTAINABLE * 0.25 * wave(at)),
        ]
    };
    let fleet = run(true, sources(), 12);
    let span = 0.0..12.0;
    let urgent = figures("urgent", &fleet, 0..1, &span);
    let patient = figures("patient", &fleet, 1..2, &span);
    assert!(urgent.in_time > 0.99, "{urgent:?}");
    assert!(patient.in_time > 0.99, "{patient:?}");
}

/// Guards against a debt for capacity that nobody else wanted: a queue that had the fleet for itself
/// gets its half as soon as another one asks.
#[test]
fn use_of_idle_capacity_is_not_held_against_a_queue() {
    let sources = vec![
        Source::new(QUEUES[0], "n", |at| {
            SUSTAINABLE * if at < 6.0 { 0.95 } else { 0.48 }
        }),
        Source::new(QUEUES[1], "n", |at| {
            SUSTAINABLE * if at < 6.0 { 0.0 } else { 1.2 }
        }),
    ];
    let fleet = run(true, sources, 10);
    let first = figures("first queue", &fleet, 0..1, &(6.0..10.0));
    assert!(first.in_time > 0.99, "{first:?}");
}
