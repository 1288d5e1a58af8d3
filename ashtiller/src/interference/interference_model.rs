//! What batch work does to latency-critical work that shares its worker.
//!
//! The ratio of a service's latency to its target is taken as a sum: what the
//! service shows alone, and one term for each kind of batch work beside it. Each
//! term is an estimate with a variance, by pair of kinds and band of load. A
//! report corrects the terms in proportion to their variance, so that a suspect
//! seen elsewhere without harm is hardly blamed. Without reports an estimate
//! returns to "unknown", so that last night's truth can become false.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Bands of load, from idle to full.
const BANDS: u32 = 4;
/// Variance of a pair that was never seen.
const UNKNOWN: f64 = 0.25;
/// Variance of what a service shows alone, when first seen.
const ALONE_UNKNOWN: f64 = 0.09;
/// Ratio that a service is taken to show alone before it was seen.
const ALONE: f64 = 0.6;
/// Variance of one report.
const NOISE: f64 = 0.02;
/// Variance that a term gains each second, so that it follows change.
const DRIFT: f64 = 0.000_05;
/// Time after which half of what was learned is forgotten without reports.
const HALF_LIFE: f64 = 1800.0;
/// Standard deviations added to the mean when harm is feared.
const CAUTION: f64 = 0.25;

/// A number for the name of a kind.
pub type Kind = u32;

/// Names of kinds and their numbers.
#[derive(Clone, Debug, Default)]
pub struct Kinds {
    numbers: HashMap<Arc<str>, Kind>,
}

impl Kinds {
    /// The number of a kind; a new name gets the next one, counted from 1.
    pub fn number(&mut self, account: &str, kind: &str) -> Kind {
        let name: Arc<str> = format!("{account}/{kind}").into();
        let next = u32::try_from(self.numbers.len()).unwrap_or(u32::MAX - 1) + 1;
        *self.numbers.entry(name).or_insert(next)
    }
}

/// A term of the sum: a service alone (`other` is 0) or a service and batch work.
type Key = (Kind, Kind, u32);

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    variance: f64,
    at: Duration,
}

/// Batch work beside a service.
#[derive(Clone, Copy, Debug)]
pub struct ColocatedBatch {
    /// Its kind.
    pub kind: Kind,
    /// Its speed, 0 to 1, summed over tasks of this kind.
    pub speed: f64,
}

/// What was learned.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    terms: HashMap<Key, Estimate>,
    /// Services that any report was about, by kind.
    reported: Vec<bool>,
}

/// The band of a load between 0 and 1.
#[must_use]
pub fn load_band(load: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped"
    )]
    let band = (load.clamp(0.0, 1.0) * f64::from(BANDS)) as u32;
    band.min(BANDS - 1)
}

impl InterferenceModel {
    fn term(&self, key: Key, now: Duration) -> Estimate {
        let alone = key.1 == 0;
        let (prior, unknown) = if alone {
            (ALONE, ALONE_UNKNOWN)
        } else {
            (0.0, UNKNOWN)
        };
        let Some(known) = self.terms.get(&key) else {
            return self.neighbour(key, now).unwrap_or(Estimate {
                mean: prior,
                variance: unknown,
                at: now,
            });
        };
        let age = now.saturating_sub(known.at).as_secs_f64();
        let kept = 0.5_f64.powf(age / HALF_LIFE);
        Estimate {
            mean: prior + (known.mean - prior) * kept,
            variance: (known.variance + DRIFT * age).min(unknown),
            at: now,
        }
    }

    /// A band that was never seen is guessed from the next lower one, with doubt:
    /// harm grows with load.
    fn neighbour(&self, (service, other, band): Key, now: Duration) -> Option<Estimate> {
        let lower = (0..band)
            .rev()
            .find_map(|band| self.terms.get(&(service, other, band)))?;
        let unknown = if other == 0 { ALONE_UNKNOWN } else { UNKNOWN };
        Some(Estimate {
            mean: lower.mean,
            variance: unknown / 2.0,
            at: now,
        })
    }

    /// Mean and standard deviation of the harm of `other` to `service`.
    #[must_use]
    pub fn estimate(&self, service: Kind, other: Kind, load: f64, now: Duration) -> (f64, f64) {
        let term = self.term((service, other, load_band(load)), now);
        (term.mean, term.variance.sqrt())
    }

    /// Harm to fear: the mean with some of the doubt, never negative.
    #[must_use]
    pub fn upper_bound(&self, service: Kind, other: Kind, load: f64, now: Duration) -> f64 {
        // Most kinds are never measured; they are asked about most.
        if !self
            .reported
            .get(service as usize)
            .copied()
            .unwrap_or(false)
        {
            return CAUTION * UNKNOWN.sqrt();
        }
        let (mean, deviation) = self.estimate(service, other, load, now);
        (mean + CAUTION * deviation).max(0.0)
    }

    /// Learns from one report: `service` showed `ratio` beside `others`.
    pub fn learn(
        &mut self,
        service: Kind,
        others: &[ColocatedBatch],
        load: f64,
        ratio: f64,
        now: Duration,
    ) {
        let place = service as usize;
        if place >= self.reported.len() {
            self.reported.resize(place + 1, false);
        }
        self.reported[place] = true;
        let band = load_band(load);
        let alone = ColocatedBatch {
            kind: 0,
            speed: 1.0,
        };
        let parts: Vec<(Key, ColocatedBatch, Estimate)> = std::iter::once(&alone)
            .chain(others)
            .filter(|part| part.speed > 0.0)
            .map(|part| {
                let key = (service, part.kind, band);
                (key, *part, self.term(key, now))
            })
            .collect();
        let expected: f64 = parts
            .iter()
            .map(|(_, part, term)| term.mean * part.speed)
            .sum();
        let spread: f64 = parts
            .iter()
            .map(|(_, part, term)| term.variance * part.speed.powi(2))
            .sum();
        let error = ratio - expected;
        for (key, part, term) in parts {
            let gain = term.variance * part.speed / (spread + NOISE);
            let mean = term.mean + gain * error;
            let variance = term.variance * (1.0 - gain * part.speed);
            self.terms.insert(
                key,
                Estimate {
                    mean,
                    variance,
                    at: now,
                },
            );
        }
    }

    /// Number of terms.
    #[must_use]
    pub fn len(&self) -> usize {
        self.terms.len()
    }

    /// Whether nothing was learned.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.terms.is_empty()
    }
}
