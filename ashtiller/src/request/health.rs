//! Failures and latency of one endpoint, and its ejection.
//!
//! This is outlier detection: an endpoint is compared with its peers, so that a fault
//! that all of them share ejects none. [`evaluate`] decides; [`Health`] holds the
//! statistics.

use std::time::Duration;

use serde::Serialize;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Consecutive failures after which an endpoint counts as failing.
const CONSECUTIVE_FAILURES: u32 = 5;
/// Samples needed before latencies are compared.
const LATENCY_SAMPLES_MIN: u32 = 30;
/// Factor by which the latency of a slow endpoint exceeds the median of its peers.
const SLOW_FACTOR: f64 = 3.0;
/// Latency up to which an endpoint is never slow.
const SLOW_FLOOR: Duration = Duration::from_millis(20);
/// Failure rate from which an endpoint counts as failing. If the mean rate of its peers
/// reaches it too, no endpoint is ejected for failures.
const FAILURE_RATE_MAX: f64 = 0.5;
/// Duration of the first ejection; it doubles with each further one.
const EJECTION_INITIAL: Duration = Duration::from_secs(1);
/// Longest ejection.
const EJECTION_MAX: Duration = Duration::from_mins(1);
/// Time without an ejection after which the count behind the backoff is halved.
const BACKOFF_DECAY: Duration = Duration::from_mins(2);

/// Result of a request, as evidence about its endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestResult {
    /// A complete response with a status below 500, after this time.
    Success(Duration),
    /// A server error, a truncated response, a refused connection or a timeout.
    Failure,
    /// Abandoned by the caller, which says nothing about the endpoint.
    Ignored,
}

/// Why an endpoint is ejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EjectionReason {
    /// It fails while its peers do not.
    Failing,
    /// It is slower than its peers.
    Slow,
    /// It reported that it is leaving.
    Leaving,
}

/// Result of [`evaluate`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EjectionDecision {
    /// The endpoint stays in use.
    Keep,
    /// The endpoint gets no requests until a probe succeeds.
    Eject(EjectionReason),
}

/// Failure and latency statistics of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    failure_rate: f64,
    mean_log_latency: f64,
    samples: u32,
    ejected: Option<(EjectionReason, Duration)>,
    ejections: u32,
    last_ejection: Duration,
}

impl Health {
    /// Records the result of one request.
    pub fn record(&mut self, result: RequestResult) {
        match result {
            RequestResult::Success(latency) => {
                self.consecutive_failures = 0;
                self.failure_rate *= 1.0 - SAMPLE_WEIGHT;
                self.add_latency(latency);
            }
            RequestResult::Failure => {
                self.consecutive_failures += 1;
                self.failure_rate += SAMPLE_WEIGHT * (1.0 - self.failure_rate);
            }
            RequestResult::Ignored => {}
        }
    }

    fn add_latency(&mut self, latency: Duration) {
        // A heavy tail hardly changes the mean of the logarithms.
        let log = latency.as_secs_f64().max(1e-6).ln();
        if self.samples == 0 {
            self.mean_log_latency = log;
        }
        self.samples = self.samples.saturating_add(1);
        self.mean_log_latency += SAMPLE_WEIGHT * (log - self.mean_log_latency);
    }

    /// Returns the share of failures among recent requests, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns the geometric mean latency in seconds, once there are enough samples.
    #[must_use]
    pub fn latency(&self) -> Option<f64> {
        (self.samples >= LATENCY_SAMPLES_MIN).then(|| self.mean_log_latency.exp())
    }

    /// Returns whether the endpoint is ejected.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.ejected.is_some()
    }

    /// Returns why the endpoint is ejected, if it is.
    #[must_use]
    pub fn ejection_reason(&self) -> Option<EjectionReason> {
        self.ejected.map(|(reason, _)| reason)
    }

    /// Returns whether the ejection time is over, so that a probe may end the ejection.
    #[must_use]
    pub fn is_probe_due(&self, now: Duration) -> bool {
        self.ejected.is_some_and(|(_, until)| now >= until)
    }

    /// Ejects the endpoint, each time twice as long, up to a maximum.
    pub fn eject(&mut self, reason: EjectionReason, now: Duration) {
        if now.saturating_sub(self.last_ejection) > BACKOFF_DECAY {
            self.ejections /= 2;
        }
        let duration = EJECTION_INITIAL
            .saturating_mul(1 << self.ejections.min(10))
            .min(EJECTION_MAX);
        self.ejections += 1;
        self.last_ejection = now;
        self.ejected = Some((reason, now + duration));
    }

    /// Records the result of a probe: success ends the ejection, failure renews it.
    pub fn record_probe(&mut self, good: bool, now: Duration) {
        let Some((reason, _)) = self.ejected else {
            return;
        };
        if !good {
            self.eject(reason, now);
            return;
        }
        self.ejected = None;
        self.consecutive_failures = 0;
        self.failure_rate = 0.0;
        self.samples = 0;
    }
}

/// Compares one endpoint with its peers and decides whether to eject it.
#[must_use]
pub fn evaluate<'a>(
    health: &Health,
    peers: impl Iterator<Item = &'a Health> + Clone,
) -> EjectionDecision {
    if health.consecutive_failures >= CONSECUTIVE_FAILURES && !peers_are_failing(peers.clone()) {
        return EjectionDecision::Eject(EjectionReason::Failing);
    }
    if health.failure_rate >= FAILURE_RATE_MAX && !peers_are_failing(peers.clone()) {
        return EjectionDecision::Eject(EjectionReason::Failing);
    }
    let (Some(own), Some(peer_latency)) = (health.latency(), median_latency(peers)) else {
        return EjectionDecision::Keep;
    };
    let slow = own > SLOW_FLOOR.as_secs_f64() && own > peer_latency * SLOW_FACTOR;
    if slow {
        EjectionDecision::Eject(EjectionReason::Slow)
    } else {
        EjectionDecision::Keep
    }
}

fn peers_are_failing<'a>(peers: impl Iterator<Item = &'a Health>) -> bool {
    let (sum, count) = peers
        .filter(|peer| !peer.is_ejected())
        .fold((0.0, 0.0), |(sum, count), peer| {
            (sum + peer.failure_rate, count + 1.0)
        });
    count == 0.0 || sum / count >= FAILURE_RATE_MAX
}

fn median_latency<'a>(peers: impl Iterator<Item = &'a Health>) -> Option<f64> {
    let mut latencies: Vec<f64> = peers.filter_map(Health::latency).collect();
    if latencies.len() < 2 {
        return None;
    }
    latencies.sort_by(f64::total_cmp);
    Some(latencies[latencies.len() / 2])
}
