//! Failures and latency of one endpoint, and its ejection.
//!
//! An endpoint is judged against its peers: what all of them do is no fault of
//! one. [`judge`] decides; [`Health`] keeps the figures.

use std::time::Duration;

use serde::Serialize;

/// Weight of a new sample.
const WEIGHT: f64 = 0.1;
/// Failures in a row after which an endpoint is suspected.
const FAILURES: u32 = 5;
/// Samples before latency is compared.
const SAMPLES: u32 = 30;
/// An endpoint is slow when its typical latency exceeds its peers' by this factor.
const SLOW_FACTOR: f64 = 3.0;
/// A latency below this is never slow.
const SLOW_FLOOR: Duration = Duration::from_millis(20);
/// Peers that fail more than this share make failure no ground for ejection.
const PEERS_FAIL: f64 = 0.5;
/// First ejection; each further one doubles.
const EJECT_FIRST: Duration = Duration::from_secs(1);
/// Longest ejection.
const EJECT_MAX: Duration = Duration::from_mins(1);
/// Time without ejection that halves the next one.
const FORGIVE: Duration = Duration::from_mins(2);

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestResult {
    /// A whole answer below status 500, after this time.
    Success(Duration),
    /// An error, a cut, a refused connection or no answer in time.
    Failure,
    /// Given up by the caller; says nothing about the endpoint.
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
    /// It said that it is leaving.
    Leaving,
}

/// What [`judge`] decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EjectionDecision {
    /// It goes on taking requests.
    Keep,
    /// It takes none for a while.
    Eject(EjectionReason),
}

/// Figures of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    row: u32,
    failure_rate: f64,
    latency_log: f64,
    samples: u32,
    ejected: Option<(EjectionReason, Duration)>,
    times: u32,
    last: Duration,
}

impl Health {
    /// Adds a sample.
    pub fn record(&mut self, sample: RequestResult) {
        match sample {
            RequestResult::Success(latency) => {
                self.row = 0;
                self.failure_rate *= 1.0 - WEIGHT;
                self.add_latency(latency);
            }
            RequestResult::Failure => {
                self.row += 1;
                self.failure_rate += WEIGHT * (1.0 - self.failure_rate);
            }
            RequestResult::Ignored => {}
        }
    }

    fn add_latency(&mut self, latency: Duration) {
        // The mean of logarithms is barely moved by a heavy tail.
        let log = latency.as_secs_f64().max(1e-6).ln();
        if self.samples == 0 {
            self.latency_log = log;
        }
        self.samples = self.samples.saturating_add(1);
        self.latency_log += WEIGHT * (log - self.latency_log);
    }

    /// Share of failures among recent requests.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Typical latency in seconds, once there are enough samples.
    #[must_use]
    pub fn latency(&self) -> Option<f64> {
        (self.samples >= SAMPLES).then(|| self.latency_log.exp())
    }

    /// Whether it takes no requests now.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.ejected.is_some()
    }

    /// Why it is ejected.
    #[must_use]
    pub fn ejection_reason(&self) -> Option<EjectionReason> {
        self.ejected.map(|(reason, _)| reason)
    }

    /// Whether the ejection is over and a probe may let it back.
    #[must_use]
    pub fn is_probe_due(&self, now: Duration) -> bool {
        self.ejected.is_some_and(|(_, until)| now >= until)
    }

    /// Ejects it; each time in a row lasts twice as long.
    pub fn eject(&mut self, reason: EjectionReason, now: Duration) {
        if now.saturating_sub(self.last) > FORGIVE {
            self.times /= 2;
        }
        let time = EJECT_FIRST
            .saturating_mul(1 << self.times.min(10))
            .min(EJECT_MAX);
        self.times += 1;
        self.last = now;
        self.ejected = Some((reason, now + time));
    }

    /// Takes the result of a probe.
    pub fn record_probe(&mut self, good: bool, now: Duration) {
        let Some((reason, _)) = self.ejected else {
            return;
        };
        if !good {
            self.eject(reason, now);
            return;
        }
        self.ejected = None;
        self.row = 0;
        self.failure_rate = 0.0;
        self.samples = 0;
    }
}

/// Compares one endpoint with its peers.
#[must_use]
pub fn evaluate<'a>(
    health: &Health,
    peers: impl Iterator<Item = &'a Health> + Clone,
) -> EjectionDecision {
    if health.row >= FAILURES && !peers_fail(peers.clone()) {
        return EjectionDecision::Eject(EjectionReason::Failing);
    }
    if health.failure_rate >= PEERS_FAIL && !peers_fail(peers.clone()) {
        return EjectionDecision::Eject(EjectionReason::Failing);
    }
    let (Some(own), Some(typical)) = (health.latency(), median_latency(peers)) else {
        return EjectionDecision::Keep;
    };
    let slow = own > SLOW_FLOOR.as_secs_f64() && own > typical * SLOW_FACTOR;
    if slow {
        EjectionDecision::Eject(EjectionReason::Slow)
    } else {
        EjectionDecision::Keep
    }
}

fn peers_fail<'a>(peers: impl Iterator<Item = &'a Health>) -> bool {
    let (sum, count) = peers
        .filter(|peer| !peer.is_ejected())
        .fold((0.0, 0.0), |(sum, count), peer| {
            (sum + peer.failure_rate, count + 1.0)
        });
    count == 0.0 || sum / count >= PEERS_FAIL
}

fn median_latency<'a>(peers: impl Iterator<Item = &'a Health>) -> Option<f64> {
    let mut latencies: Vec<f64> = peers.filter_map(Health::latency).collect();
    if latencies.len() < 2 {
        return None;
    }
    latencies.sort_by(f64::total_cmp);
    Some(latencies[latencies.len() / 2])
}
