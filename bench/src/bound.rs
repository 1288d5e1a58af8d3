//! The latency of one queue shared by every slot, for the same arrivals: no way
//! to route through separate gateways can do better on average.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::arrivals::Arrival;

/// Runs the arrivals through one queue; `speeds` gives each slot's slowdown.
pub fn run(arrivals: &[Arrival], speeds: &[f64]) -> anyhow::Result<Histogram<u64>> {
    let mut latency = Histogram::new(3)?;
    let mut free: BinaryHeap<Reverse<(Duration, usize)>> = (0..speeds.len())
        .map(|slot| Reverse((Duration::ZERO, slot)))
        .collect();
    for arrival in arrivals {
        let Some(Reverse((from, slot))) = free.pop() else {
            break;
        };
        let start = from.max(arrival.at);
        let end = start + arrival.service.mul_f64(speeds[slot]);
        free.push(Reverse((end, slot)));
        let micros = end.saturating_sub(arrival.at).as_micros();
        latency.record(u64::try_from(micros)?)?;
    }
    Ok(latency)
}
