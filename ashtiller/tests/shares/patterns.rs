//! Load patterns of hard load, in virtual time.

use crate::fleet::{Fleet, JobFate, SECOND, Source, in_time, percentile_95};

/// Jobs of four tasks per second that the fleet of 160 processors can do. A task runs for half a
/// second, and its processor is idle for some 60 ms before the next one starts.
const SUSTAINABLE: f64 = 70.0;
const QUEUES: [&str; 4] = ["/a/", "/b/", "/c/", "/d/"];
const ZONES: [&str; 4] = ["n", "e", "s", "w"];

fn run(fair: bool, mut sources: Vec<Source>, seconds: u32) -> Fleet {
    let mut fleet = Fleet::new(&QUEUES, fair);
    fleet.run(&mut sources, SECOND * seconds);
    let end = fleet.now;
    fleet.run(&mut [], SECOND * 6);
    assert!(fleet.now > end);
    fleet
}

fn all(
    fleet: &Fleet,
    sources: std::ops::Range<usize>,
    span: std::ops::Range<f64>,
) -> Vec<&JobFate> {
    sources
        .flat_map(|source| fleet.fates_of(source, span.clone()))
        .collect()
}

/// Guards against a burst of one queue that lets the callers of the other queues wait: before fair
/// shares, all waited alike.
#[test]
fn a_burst_of_one_queue_leaves_steady_callers_alone() {
    let steady = |factor: f64| {
        let burst = move |at: f64| {
            if (4.0..9.0).contains(&at) {
                factor
            } else {
                1.0
            }
        };
        let mut sources = vec![Source::new(QUEUES[0], "n", move |at| {
            SUSTAINABLE * 0.24 * burst(at)
        })];
        for queue in &QUEUES[1..] {
            sources.push(Source::new(queue, "n", |_| SUSTAINABLE * 0.22));
        }
        sources
    };
    for factor in [2.6, 4.0] {
        let calm = run(true, steady(1.0), 14);
        let before = percentile_95(&all(&calm, 1..4, 4.0..9.0));
        for fair in [false, true] {
            let fleet = run(fair, steady(factor), 14);
            let (others, bursty) = (all(&fleet, 1..4, 4.0..9.0), all(&fleet, 0..1, 4.0..9.0));
            println!(
                "factor {factor} fair {fair}: p95 of others {:?} calm {before:?} in time {:.3}; bursting p95 {:?} in time {:.3}; total {:.3}; reordered {}",
                percentile_95(&others),
                in_time(&others),
                percentile_95(&bursty),
                in_time(&bursty),
                in_time(&all(&fleet, 0..4, 0.0..14.0)),
                fleet.core.reordered_by_shares(),
            );
        }
    }
}

/// Guards against zones that wait for the peak of another zone.
#[test]
fn a_peak_that_moves_from_zone_to_zone_hurts_no_other_zone() {
    for fair in [false, true] {
        let sources = (0..4u8).map(|zone| {
            let phase = f64::from(zone) * 0.25;
            Source::new(QUEUES[0], ZONES[usize::from(zone)], move |at| {
                let turn = (at / 13.0 - phase) * std::f64::consts::TAU;
                SUSTAINABLE * 0.27 * (1.0 + 0.55 * turn.cos())
            })
        });
        let fleet = run(fair, sources.collect(), 26);
        for zone in 0..4u8 {
            // The zone's traffic is below its average for the half of a turn around its trough.
            let trough = 13.0 * (f64::from(zone) * 0.25 + 0.5);
            let span = trough - 2.0..trough + 2.0;
            let own = all(&fleet, usize::from(zone)..usize::from(zone) + 1, span);
            println!(
                "fair {fair} zone {zone}: trough p95 {:?} in time {:.3}",
                percentile_95(&own),
                in_time(&own)
            );
        }
        println!(
            "fair {fair} total in time {:.3}",
            in_time(&all(&fleet, 0..4, 0.0..26.0))
        );
    }
}

/// Guards against callers of a zone that wait since the callers of another zone moved there.
#[test]
fn moved_callers_share_with_the_zone_that_they_come_to() {
    for fair in [false, true] {
        let moved = |at: f64| at >= 5.0;
        let rates: [Box<dyn Fn(f64) -> f64>; 4] = [
            Box::new(move |at| if moved(at) { 0.0 } else { 0.36 }),
            Box::new(move |at| if moved(at) { 0.24 + 0.36 } else { 0.24 }),
            Box::new(|_| 0.24),
            Box::new(|_| 0.24),
        ];
        let sources = rates
            .into_iter()
            .zip(ZONES)
            .map(|(rate, zone)| Source::new(QUEUES[0], zone, move |at| SUSTAINABLE * rate(at)));
        let fleet = run(fair, sources.collect(), 15);
        for zone in 1..4 {
            let own = all(&fleet, zone..zone + 1, 6.0..15.0);
            println!(
                "fair {fair} zone {zone}: p95 {:?} in time {:.3}",
                percentile_95(&own),
                in_time(&own)
            );
        }
        println!(
            "fair {fair} total in time {:.3}",
            in_time(&all(&fleet, 0..4, 0.0..15.0))
        );
    }
}

/// Guards against a queue whose steps that fit nowhere count as what it got: its other steps would
/// wait behind everything.
#[test]
fn one_rack_that_many_jobs_want_does_not_delay_the_rest() {
    for fair in [false, true] {
        let mut racked = Source::new(QUEUES[0], "n", |_| SUSTAINABLE * 0.5);
        racked.rack = Some("r1");
        let sources = vec![
            racked,
            Source::new(QUEUES[0], "n", |_| SUSTAINABLE * 0.2),
            Source::new(QUEUES[1], "n", |_| SUSTAINABLE * 0.2),
            Source::new(QUEUES[2], "n", |_| SUSTAINABLE * 0.2),
        ];
        let fleet = run(fair, sources, 12);
        for source in 0..4 {
            let own = all(&fleet, source..source + 1, 2.0..12.0);
            println!(
                "fair {fair} source {source}: p95 {:?} in time {:.3}",
                percentile_95(&own),
                in_time(&own)
            );
        }
    }
}
