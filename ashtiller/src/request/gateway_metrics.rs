//! Prometheus metrics of the gateway.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Registry};

use crate::counters::Counters;

/// Upper bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Metrics of one gateway, each registered under `ashtiller_gateway_`.
pub struct GatewayMetrics {
    /// Requests with an endpoint's response, by status class.
    pub answered: IntCounterVec,
    /// Requests with a response from the gateway itself, by outcome.
    pub ended: IntCounterVec,
    /// Requests rejected as malformed, too large or not allowed.
    pub rejected: IntCounter,
    /// Responses that broke off.
    pub truncated: IntCounter,
    /// Attempts without a response in time.
    pub unanswered: IntCounter,
    /// Second and later attempts.
    pub retries: IntCounter,
    /// Retries denied by the retry budget.
    pub retries_denied: IntCounter,
    /// Open connections from callers.
    pub callers: IntGauge,
    /// Callers' requests in progress.
    pub requests: IntGauge,
    /// Idempotency keys claimed.
    pub claimed: IntCounter,
    /// Requests rejected because their key had been claimed before.
    pub duplicates: IntCounter,
    /// Loan requests sent to other gateways.
    pub loan_requests: IntCounter,
    /// Time from a request's head to the response's head, in seconds.
    pub latency: Histogram,
}

impl GatewayMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// One of them is already registered.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counters = Counters::new(registry, "gateway");
        Ok(Self {
            answered: counters.register_counter_vec(
                "answered_total",
                "Requests answered by an endpoint.",
                "status",
            )?,
            ended: counters.register_counter_vec(
                "ended_total",
                "Requests ended by the gateway.",
                "outcome",
            )?,
            rejected: counters.register_counter("wrong_total", "Requests not passed on.")?,
            truncated: counters.register_counter("cut_total", "Answers cut in the middle.")?,
            unanswered: counters
                .register_counter("unanswered_total", "Attempts without an answer in time.")?,
            retries: counters.register_counter("retries_total", "Second and later attempts.")?,
            retries_denied: counters
                .register_counter("retries_denied_total", "Retries denied by the budget.")?,
            callers: counters.register_gauge("callers", "Connections from callers.")?,
            requests: counters.register_gauge("requests", "Requests in progress.")?,
            claimed: counters.register_counter("claims_total", "Idempotency keys claimed.")?,
            duplicates: counters
                .register_counter("repeats_total", "Requests whose key was claimed before.")?,
            loan_requests: counters
                .register_counter("slot_asks_total", "Questions for slots sent.")?,
            latency: register_latency(registry)?,
        })
    }
}

fn register_latency(registry: &Registry) -> Result<Histogram, prometheus::Error> {
    let help = "Time from a request's head to its answer's head, in seconds.";
    let opts = HistogramOpts::new("latency_seconds", help)
        .namespace("ashtiller")
        .subsystem("gateway")
        .buckets(LATENCY_BOUNDS.to_vec());
    let histogram = Histogram::with_opts(opts)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}
