//! The learned demand of short tasks, and the gaps that it asks for.

use std::sync::Arc;
use std::time::Duration;

use ashtiller::resources::Resources;
use ashtiller::workflow::job::Step;
use ashtiller::workflow::load::account::Usage;
use ashtiller::workflow::reserve::demand::{DemandHistory, DemandReading};
use ashtiller::workflow::reserve::plan::{Offer, ServiceReserve};

use crate::driver::{MS, step};

const SECOND: Duration = Duration::from_secs(1);

fn key(queue: &str) -> (Arc<str>, Arc<str>) {
    ("fleet".into(), queue.into())
}

fn reading(tasks: &[(&str, u32)]) -> DemandReading {
    let usage = |tasks| {
        let mut usage = Usage::default();
        usage.add(tasks, &step(1).needs);
        usage
    };
    let tasks = tasks.iter();
    tasks
        .map(|(queue, tasks)| (key(queue), usage(*tasks)))
        .collect()
}

/// Returns the number of gaps for the whole demand of queues that are known for long.
fn gaps(history: &DemandHistory) -> u64 {
    gaps_at(history, Duration::MAX)
}

fn gaps_at(history: &DemandHistory, now: Duration) -> u64 {
    let needs = history.needs("fleet", now);
    needs
        .iter()
        .find(|it| it.covers_all)
        .map_or(0, |it| it.count)
}

/// Guards against a reserve that is given away in the trough of a wave, for all periods and lengths
/// of bursts that occur, and against one that is kept for long after the last wave.
#[test]
fn the_peak_outlives_the_troughs_of_waves_and_is_forgotten_afterwards() {
    for period in [11, 12, 13] {
        for burst in [3, 5, 7] {
            let mut history = DemandHistory::default();
            for tick in 0..600_u64 {
                let at = 100 * MS * u32::try_from(tick).unwrap();
                let high = at.as_secs() % period < burst;
                let tasks = if high { 100 } else { 20 };
                history.observe(&reading(&[("a", tasks)]), at);
                if tick > 0 {
                    assert!(gaps(&history) >= 130, "{period} {burst} {at:?}");
                }
            }
            for tick in 600..1400_u32 {
                history.observe(&reading(&[("a", 20)]), 100 * MS * tick);
            }
            assert!(gaps(&history) <= 30, "{}", gaps(&history));
            for tick in 1400..2400_u32 {
                history.observe(&reading(&[]), 100 * MS * tick);
            }
            assert_eq!(gaps(&history), 0);
        }
    }
}

/// Guards against a reserve for the peak of the sum only: queues burst at different times.
#[test]
fn peaks_of_queues_add_up() {
    let mut history = DemandHistory::default();
    for tick in 0..100_u32 {
        let (a, b) = if tick % 2 == 0 { (40, 0) } else { (0, 60) };
        history.observe(&reading(&[("a", a), ("b", b)]), 10 * MS * tick);
    }
    assert_eq!(gaps(&history), 130);
}

/// Guards against a burst that exceeds every peak before it, while it is building up.
#[test]
fn a_rise_is_expected_to_go_on() {
    let mut history = DemandHistory::default();
    for second in 0..8_u32 {
        let tasks = if second < 4 { 20 } else { 20 * (second - 2) };
        history.observe(&reading(&[("a", tasks)]), SECOND * second);
    }
    // 100 tasks, and the fastest rise of 20 tasks per second, times the margin. The margin is larger
    // until a whole window has been seen.
    assert_eq!(gaps_at(&history, 15 * SECOND), 240);
    assert_eq!(gaps(&history), 156);
}

/// Guards against state that grows with the number of queues, steps or labels.
#[test]
fn the_history_is_bounded() {
    let mut history = DemandHistory::default();
    for number in 0..2000_u32 {
        let queue = format!("queue-{number}");
        let at = 10 * MS * number;
        history.observe(&reading(&[(&queue, 1 + number)]), at);
        let step = Step {
            label: Some(format!("label-{number}").into()),
            ..step(number)
        };
        history.note_step(&key(&queue), &step, at);
        history.note_step(&key("queue-5"), &step, at);
    }
    let size = history.export().len();
    assert!(size < 8000, "{size}");
    let imported = DemandHistory::import(&history.export(), SECOND);
    assert_eq!(gaps(&imported), gaps(&history));
    assert_eq!(imported.export().len(), size);
}

fn offer(processors: u64) -> Offer<'static> {
    let capacity = Resources {
        processors,
        memory: 64 << 30,
        accelerators: 0,
    };
    Offer {
        free: capacity,
        short: Resources::default(),
        capacity,
        labels: &[],
        takes_many: true,
    }
}

/// Guards against a reserve that takes the whole of a small service, and so stops long-running work.
#[test]
fn at_most_a_share_of_the_capacity_is_reserved() {
    let mut history = DemandHistory::default();
    history.observe(&reading(&[("a", 100_000)]), SECOND);
    let needs = history.needs("fleet", Duration::MAX);
    let reserve = |workers: usize, processors| {
        let offers: Vec<Offer<'_>> = (0..workers).map(|_| offer(processors)).collect();
        ServiceReserve::new(needs.clone(), Resources::default(), &offers)
    };
    assert_eq!(reserve(8, 64_000).gaps()[0].reserved, 8 * 64 / 4);
    assert_eq!(reserve(8, 1_000).gaps()[0].reserved, 2);
    // A few workers, and a share of the capacity in which no task fits.
    assert!(reserve(7, 64_000).gaps().is_empty());
    assert!(reserve(8, 900).gaps().is_empty());
}
