//! Model of the interference of batch work with latency-critical work on the same worker.
//!
//! The ratio of a service's latency to its target is modelled as a sum: the ratio of the service
//! when it runs alone, and one term for each kind of batch work beside it. Each term is an estimate
//! with a variance, for a pair of kinds and a band of load. A report corrects the terms in
//! proportion to their variance, so that batch work that was seen elsewhere without interference
//! gets little of the blame. Without reports an estimate decays to the prior, because what was true
//! last night may no longer hold.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Number of bands of load, from idle to full.
const LOAD_BANDS: u32 = 4;
/// Variance of the term of a pair that was never reported.
const UNKNOWN_VARIANCE: f64 = 0.25;
/// Variance of the ratio of a service alone that was never reported.
const ALONE_UNKNOWN_VARIANCE: f64 = 0.09;
/// Prior for the ratio of a service alone.
const ALONE_RATIO: f64 = 0.6;
/// Variance of the ratio in one report.
const REPORT_VARIANCE: f64 = 0.02;
/// Variance that a term gains each second, so that the estimate follows changes.
const DRIFT_PER_SECOND: f64 = 0.000_05;
/// Time in seconds after which an estimate without reports has lost half of its distance from the
/// prior.
const HALF_LIFE_SECONDS: f64 = 1800.0;
/// Standard deviations that the upper bound lies above the mean.
const CAUTION_DEVIATIONS: f64 = 0.25;

/// Number of a kind of work; 0 is no kind.
pub type Kind = u32;

/// Numbers of the kinds, by account and name.
#[derive(Clone, Debug, Default)]
pub struct Kinds {
    numbers: HashMap<Arc<str>, Kind>,
}

impl Kinds {
    /// Returns the number of a kind; a new name gets the next number, counted from 1.
    pub fn number(&mut self, account: &str, kind: &str) -> Kind {
        let name: Arc<str> = format!("{account}/{kind}").into();
        let next = u32::try_from(self.numbers.len()).unwrap_or(u32::MAX - 1) + 1;
        *self.numbers.entry(name).or_insert(next)
    }
}

/// Key of a term: the service, the batch work beside it (0 for the service alone), and the band
/// of load.
type TermKey = (Kind, Kind, u32);

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    variance: f64,
    updated_at: Duration,
}

/// Batch work beside a service.
#[derive(Clone, Copy, Debug)]
pub struct ColocatedBatch {
    /// Kind of the tasks.
    pub kind: Kind,
    /// Speed between 0 and 1, summed over the tasks of this kind.
    pub speed: f64,
}

/// Estimates of all terms.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    terms: HashMap<TermKey, Estimate>,
    /// Whether a service was ever reported, indexed by kind.
    reported: Vec<bool>,
}

/// Returns the band of a load between 0 and 1.
#[must_use]
pub fn load_band(load: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped"
    )]
    let band = (load.clamp(0.0, 1.0) * f64::from(LOAD_BANDS)) as u32;
    band.min(LOAD_BANDS - 1)
}

impl InterferenceModel {
    fn term(&self, key: TermKey, now: Duration) -> Estimate {
        let alone = key.1 == 0;
        let (prior, unknown_variance) = if alone {
            (ALONE_RATIO, ALONE_UNKNOWN_VARIANCE)
        } else {
            (0.0, UNKNOWN_VARIANCE)
        };
        let Some(known) = self.terms.get(&key) else {
            return self.extrapolate(key, now).unwrap_or(Estimate {
                mean: prior,
                variance: unknown_variance,
                updated_at: now,
            });
        };
        let age = now.saturating_sub(known.updated_at).as_secs_f64();
        let kept = 0.5_f64.powf(age / HALF_LIFE_SECONDS);
        Estimate {
            mean: prior + (known.mean - prior) * kept,
            variance: (known.variance + DRIFT_PER_SECOND * age).min(unknown_variance),
            updated_at: now,
        }
    }

    /// Extrapolates a band that was never reported from the next lower one, with a raised variance,
    /// because interference grows with load.
    fn extrapolate(&self, (service, other, band): TermKey, now: Duration) -> Option<Estimate> {
        let lower = (0..band)
            .rev()
            .find_map(|band| self.terms.get(&(service, other, band)))?;
        let unknown_variance = if other == 0 {
            ALONE_UNKNOWN_VARIANCE
        } else {
            UNKNOWN_VARIANCE
        };
        Some(Estimate {
            mean: lower.mean,
            variance: unknown_variance / 2.0,
            updated_at: now,
        })
    }

    /// Returns the mean and the standard deviation of the interference of `other` with `service`.
    #[must_use]
    pub fn estimate(&self, service: Kind, other: Kind, load: f64, now: Duration) -> (f64, f64) {
        let term = self.term((service, other, load_band(load)), now);
        (term.mean, term.variance.sqrt())
    }

    /// Returns an upper bound of the interference: the mean plus a part of the standard
    /// deviation, never negative.
    #[must_use]
    pub fn upper_bound(&self, service: Kind, other: Kind, load: f64, now: Duration) -> f64 {
        // Fast path: most kinds are never reported, and most queries are about them.
        if !self
            .reported
            .get(service as usize)
            .copied()
            .unwrap_or(false)
        {
            return CAUTION_DEVIATIONS * UNKNOWN_VARIANCE.sqrt();
        }
        let (mean, deviation) = self.estimate(service, other, load, now);
        (mean + CAUTION_DEVIATIONS * deviation).max(0.0)
    }

    /// Updates the terms from one report: `service` showed `ratio` beside `others`.
    pub fn learn(
        &mut self,
        service: Kind,
        others: &[ColocatedBatch],
        load: f64,
        ratio: f64,
        now: Duration,
    ) {
        let index = service as usize;
        if index >= self.reported.len() {
            self.reported.resize(index + 1, false);
        }
        self.reported[index] = true;
        let band = load_band(load);
        let alone = ColocatedBatch {
            kind: 0,
            speed: 1.0,
        };
        let terms: Vec<(TermKey, ColocatedBatch, Estimate)> = std::iter::once(&alone)
            .chain(others)
            .filter(|source| source.speed > 0.0)
            .map(|source| {
                let key = (service, source.kind, band);
                (key, *source, self.term(key, now))
            })
            .collect();
        let expected: f64 = terms
            .iter()
            .map(|(_, source, term)| term.mean * source.speed)
            .sum();
        let total_variance: f64 = terms
            .iter()
            .map(|(_, source, term)| term.variance * source.speed.powi(2))
            .sum();
        let error = ratio - expected;
        for (key, source, term) in terms {
            let gain = term.variance * source.speed / (total_variance + REPORT_VARIANCE);
            let mean = term.mean + gain * error;
            let variance = term.variance * (1.0 - gain * source.speed);
            self.terms.insert(
                key,
                Estimate {
                    mean,
                    variance,
                    updated_at: now,
                },
            );
        }
    }

    /// Returns the number of terms.
    #[must_use]
    pub fn len(&self) -> usize {
        self.terms.len()
    }

    /// Returns whether there are no terms.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.terms.is_empty()
    }
}
