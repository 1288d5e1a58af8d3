//! The gateway's counters.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Upper bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Counters of one gateway, each registered under `ashtiller_gateway_`.
pub struct Tally {
    /// Requests answered by an endpoint, by status class.
    pub answered: IntCounterVec,
    /// Requests ended by the gateway, by outcome.
    pub ended: IntCounterVec,
    /// Requests that are malformed, too large or not allowed.
    pub wrong: IntCounter,
    /// Answers cut in the middle.
    pub cut: IntCounter,
    /// Second and later attempts.
    pub retries: IntCounter,
    /// Retries that the budget forbade.
    pub unspent: IntCounter,
    /// Connections from callers.
    pub callers: IntGauge,
    /// Requests of callers in progress.
    pub requests: IntGauge,
    /// Idempotency keys that were taken.
    pub claimed: IntCounter,
    /// Requests stopped by a key that was taken before.
    pub repeated: IntCounter,
    /// Questions for slots sent to other gateways.
    pub asks: IntCounter,
    /// Time from a request's head to its answer's head, in seconds.
    pub latency: Histogram,
}

impl Tally {
    /// Registers the counters.
    ///
    /// # Errors
    /// One of them is registered already.
    pub fn open(registry: &Registry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            answered: vec(
                registry,
                "answered_total",
                "Requests answered by an endpoint.",
                "status",
            )?,
            ended: vec(
                registry,
                "ended_total",
                "Requests ended by the gateway.",
                "outcome",
            )?,
            wrong: count(registry, "wrong_total", "Requests not passed on.")?,
            cut: count(registry, "cut_total", "Answers cut in the middle.")?,
            retries: count(registry, "retries_total", "Second and later attempts.")?,
            unspent: count(
                registry,
                "retries_denied_total",
                "Retries denied by the budget.",
            )?,
            callers: gauge(registry, "callers", "Connections from callers.")?,
            requests: gauge(registry, "requests", "Requests in progress.")?,
            claimed: count(registry, "claims_total", "Idempotency keys claimed.")?,
            repeated: count(
                registry,
                "repeats_total",
                "Requests whose key was claimed before.",
            )?,
            asks: count(registry, "slot_asks_total", "Questions for slots sent.")?,
            latency: latency(registry)?,
        })
    }
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help)
        .namespace("ashtiller")
        .subsystem("gateway")
}

fn count(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    let counter = IntCounter::with_opts(opts(name, help))?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn vec(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
) -> Result<IntCounterVec, prometheus::Error> {
    let counters = IntCounterVec::new(opts(name, help), &[label])?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let gauge = IntGauge::with_opts(opts(name, help))?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn latency(registry: &Registry) -> Result<Histogram, prometheus::Error> {
    let help = "Time from a request's head to its answer's head, in seconds.";
    let opts = HistogramOpts::new("latency_seconds", help)
        .namespace("ashtiller")
        .subsystem("gateway")
        .buckets(LATENCY_BOUNDS.to_vec());
    let histogram = Histogram::with_opts(opts)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}
