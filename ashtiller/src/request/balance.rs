//! Ways to choose an endpoint for a request.
//!
//! `docs/DESIGN.md` compares them by measurement and says why `dealt` is the
//! default.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::endpoint::Endpoint;

/// Draws before a two-choice policy looks at every endpoint.
const DRAWS: usize = 8;
/// Age beyond which a reported load says nothing.
const LOAD_AGE: Duration = Duration::from_secs(1);

/// The policies by name.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Any endpoint, evenly.
    Random,
    /// The less loaded of two by this gateway's own requests in flight.
    LeastOwn,
    /// The less loaded of two by the load from their answers.
    LeastReported,
    /// A free slot among those dealt to this gateway or borrowed.
    Dealt,
}

/// Names of the policies in settings.
pub const KINDS: [(&str, Kind); 4] = [
    ("random", Kind::Random),
    ("least-own", Kind::LeastOwn),
    ("least-reported", Kind::LeastReported),
    ("dealt", Kind::Dealt),
];

/// A way to choose an endpoint.
pub trait RoutingPolicy: Send {
    /// Returns the position of the endpoint for a request at `now`, or `None` when
    /// the request must wait. `avoid` names one that just failed the request.
    fn choose(
        &mut self,
        endpoints: &[Endpoint],
        avoid: Option<u64>,
        connections: u32,
        now: Duration,
    ) -> Option<usize>;
}

/// Builds a policy; `seed` makes its draws repeatable.
#[must_use]
pub fn build(kind: Kind, seed: u64) -> Box<dyn RoutingPolicy> {
    let rng = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
    match kind {
        Kind::Random => Box::new(Random { rng }),
        Kind::LeastOwn => Box::new(LeastOfTwo {
            rng,
            cost: own_cost,
        }),
        Kind::LeastReported => Box::new(LeastOfTwo {
            rng,
            cost: reported_cost,
        }),
        Kind::Dealt => Box::new(Dealt {
            spill: LeastOfTwo {
                rng,
                cost: own_cost,
            },
        }),
    }
}

struct Random {
    rng: Pcg64Mcg,
}

impl RoutingPolicy for Random {
    fn choose(
        &mut self,
        endpoints: &[Endpoint],
        avoid: Option<u64>,
        connections: u32,
        _: Duration,
    ) -> Option<usize> {
        draw(&mut self.rng, endpoints, avoid, connections)
    }
}

struct LeastOfTwo {
    rng: Pcg64Mcg,
    cost: fn(&Endpoint, Duration) -> u32,
}

impl RoutingPolicy for LeastOfTwo {
    fn choose(
        &mut self,
        endpoints: &[Endpoint],
        avoid: Option<u64>,
        connections: u32,
        now: Duration,
    ) -> Option<usize> {
        let one = draw(&mut self.rng, endpoints, avoid, connections)?;
        let two = draw(&mut self.rng, endpoints, avoid, connections)?;
        let cost = |index: usize| (self.cost)(&endpoints[index], now);
        Some(if cost(two) < cost(one) { two } else { one })
    }
}

fn own_cost(endpoint: &Endpoint, _: Duration) -> u32 {
    endpoint.in_flight
}

fn reported_cost(endpoint: &Endpoint, now: Duration) -> u32 {
    let fresh = endpoint
        .reported_load
        .filter(|(_, at)| now.saturating_sub(*at) <= LOAD_AGE);
    fresh.map_or(endpoint.in_flight, |(load, _)| load.max(endpoint.in_flight))
}

/// Requests beyond this gateway's slots that may be in flight, as a divisor of its
/// slots. They bridge a short swing of the load at the price of a short wait at an
/// endpoint; what lasts is borrowed.
const SPILL: u32 = 8;

struct Dealt {
    spill: LeastOfTwo,
}

impl RoutingPolicy for Dealt {
    fn choose(
        &mut self,
        endpoints: &[Endpoint],
        avoid: Option<u64>,
        connections: u32,
        now: Duration,
    ) -> Option<usize> {
        let rested = longest_rested(endpoints, avoid, connections, now);
        if rested.is_some() {
            return rested;
        }
        let (in_flight, usable) = endpoints
            .iter()
            .fold((0, 0), |(in_flight, usable), endpoint| {
                (
                    in_flight + endpoint.in_flight,
                    usable + endpoint.slots.usable(now),
                )
            });
        let room = in_flight < usable + usable / SPILL;
        if room {
            self.spill.choose(endpoints, avoid, connections, now)
        } else {
            None
        }
    }
}

/// Among endpoints with a free slot, the one that rested longest: an endpoint that
/// answers at great speed gains no more requests than its peers.
fn longest_rested(
    endpoints: &[Endpoint],
    avoid: Option<u64>,
    connections: u32,
    now: Duration,
) -> Option<usize> {
    let free = |endpoint: &Endpoint| {
        Some(endpoint.id) != avoid && endpoint.accepts(connections) && endpoint.free_slots(now) > 0
    };
    let candidates = endpoints
        .iter()
        .enumerate()
        .filter(|(_, endpoint)| free(endpoint));
    candidates
        .min_by_key(|(_, endpoint)| endpoint.last_started)
        .map(|(index, _)| index)
}

fn draw(
    rng: &mut Pcg64Mcg,
    endpoints: &[Endpoint],
    avoid: Option<u64>,
    connections: u32,
) -> Option<usize> {
    let fits = |endpoint: &Endpoint| Some(endpoint.id) != avoid && endpoint.accepts(connections);
    if endpoints.is_empty() {
        return None;
    }
    for _ in 0..DRAWS {
        let index = rng.random_range(0..endpoints.len());
        if fits(&endpoints[index]) {
            return Some(index);
        }
    }
    let left: Vec<usize> = (0..endpoints.len())
        .filter(|&index| fits(&endpoints[index]))
        .collect();
    if left.is_empty() {
        return endpoints
            .iter()
            .position(|endpoint| endpoint.accepts(connections));
    }
    Some(left[rng.random_range(0..left.len())])
}
