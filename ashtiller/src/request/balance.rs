//! Routing policies, which choose an endpoint for a request.
//!
//! `docs/DESIGN.md` compares them by measurement and says why `dealt` is the
//! default.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::endpoint::Endpoint;

/// Random draws before a policy examines every endpoint.
const DRAWS: usize = 8;
/// Age at which a reported load is ignored.
const LOAD_AGE_MAX: Duration = Duration::from_secs(1);

/// The built-in policies.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Random choice with equal probability.
    Random,
    /// Power of two choices, by this gateway's own requests in flight.
    LeastOwn,
    /// Power of two choices, by the load that endpoints report in their responses.
    LeastReported,
    /// A free slot among those allocated to this gateway or borrowed by it.
    Dealt,
}

/// Names of the policies in settings.
pub const KINDS: [(&str, Kind); 4] = [
    ("random", Kind::Random),
    ("least-own", Kind::LeastOwn),
    ("least-reported", Kind::LeastReported),
    ("dealt", Kind::Dealt),
];

/// A routing policy.
pub trait RoutingPolicy: Send {
    /// Returns the index of the endpoint for a request at `now`, or `None` when the
    /// request must wait. `avoid` is the id of an endpoint that just failed the request,
    /// `connections` the largest number of requests of this gateway at one endpoint.
    fn choose(
        &mut self,
        endpoints: &[Endpoint],
        avoid: Option<u64>,
        connections: u32,
        now: Duration,
    ) -> Option<usize>;
}

/// Creates a policy; `seed` makes its random choices repeatable.
#[must_use]
pub fn build(kind: Kind, seed: u64) -> Box<dyn RoutingPolicy> {
    let rng = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
    match kind {
        Kind::Random => Box::new(Random { rng }),
        Kind::LeastOwn => Box::new(PowerOfTwo {
            rng,
            cost: own_cost,
        }),
        Kind::LeastReported => Box::new(PowerOfTwo {
            rng,
            cost: reported_cost,
        }),
        Kind::Dealt => Box::new(Allocated {
            overcommit: PowerOfTwo {
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

struct PowerOfTwo {
    rng: Pcg64Mcg,
    cost: fn(&Endpoint, Duration) -> u32,
}

impl RoutingPolicy for PowerOfTwo {
    fn choose(
        &mut self,
        endpoints: &[Endpoint],
        avoid: Option<u64>,
        connections: u32,
        now: Duration,
    ) -> Option<usize> {
        let first = draw(&mut self.rng, endpoints, avoid, connections)?;
        let second = draw(&mut self.rng, endpoints, avoid, connections)?;
        let cost = |index: usize| (self.cost)(&endpoints[index], now);
        Some(if cost(second) < cost(first) {
            second
        } else {
            first
        })
    }
}

fn own_cost(endpoint: &Endpoint, _: Duration) -> u32 {
    endpoint.in_flight
}

fn reported_cost(endpoint: &Endpoint, now: Duration) -> u32 {
    let fresh = endpoint
        .reported_load
        .filter(|(_, at)| now.saturating_sub(*at) <= LOAD_AGE_MAX);
    fresh.map_or(endpoint.in_flight, |(load, _)| load.max(endpoint.in_flight))
}

/// Divisor of the gateway's slots that gives the number of requests in flight allowed
/// beyond them. They absorb short load peaks at the price of a short wait at an
/// endpoint; a lasting shortage is covered by borrowed slots.
const OVERCOMMIT_DIVISOR: u32 = 8;

struct Allocated {
    overcommit: PowerOfTwo,
}

impl RoutingPolicy for Allocated {
    fn choose(
        &mut self,
        endpoints: &[Endpoint],
        avoid: Option<u64>,
        connections: u32,
        now: Duration,
    ) -> Option<usize> {
        let free = least_recently_used(endpoints, avoid, connections, now);
        if free.is_some() {
            return free;
        }
        let (in_flight, usable) = endpoints
            .iter()
            .fold((0, 0), |(in_flight, usable), endpoint| {
                (
                    in_flight + endpoint.in_flight,
                    usable + endpoint.slots.usable(now),
                )
            });
        let may_overcommit = in_flight < usable + usable / OVERCOMMIT_DIVISOR;
        if may_overcommit {
            self.overcommit.choose(endpoints, avoid, connections, now)
        } else {
            None
        }
    }
}

/// Returns, among the endpoints with a free slot, the one that has received no request
/// for the longest time. So an endpoint that responds very fast gets no more requests
/// than its peers.
fn least_recently_used(
    endpoints: &[Endpoint],
    avoid: Option<u64>,
    connections: u32,
    now: Duration,
) -> Option<usize> {
    let is_free = |endpoint: &Endpoint| {
        Some(endpoint.id) != avoid && endpoint.accepts(connections) && endpoint.free_slots(now) > 0
    };
    let candidates = endpoints
        .iter()
        .enumerate()
        .filter(|(_, endpoint)| is_free(endpoint));
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
    let eligible =
        |endpoint: &Endpoint| Some(endpoint.id) != avoid && endpoint.accepts(connections);
    if endpoints.is_empty() {
        return None;
    }
    for _ in 0..DRAWS {
        let index = rng.random_range(0..endpoints.len());
        if eligible(&endpoints[index]) {
            return Some(index);
        }
    }
    let candidates: Vec<usize> = (0..endpoints.len())
        .filter(|&index| eligible(&endpoints[index]))
        .collect();
    if candidates.is_empty() {
        return endpoints
            .iter()
            .position(|endpoint| endpoint.accepts(connections));
    }
    Some(candidates[rng.random_range(0..candidates.len())])
}
