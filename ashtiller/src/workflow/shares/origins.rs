//! Origins of jobs: the availability zone of the instance that took a job from its caller.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::workflow::snapshot;

/// Number of the origins in a snapshot's extensions.
pub const EXTENSION: u8 = 1;
/// Most zones that are told apart. Deployments have 3 or 4.
const ZONES_MAX: usize = 32;
/// Longest zone name in bytes. Operators choose names of at most some ten characters.
const NAME_MAX: usize = 64;

/// Section after the message [`PeerRequest::Submit`](crate::workflow::message::PeerRequest::Submit).
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SubmitSection {
    /// Availability zone of the instance that took the job from its caller.
    pub origin: Arc<str>,
}

impl SubmitSection {
    /// Encodes the section.
    ///
    /// # Errors
    /// Fails if the section cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes the section. Older versions send none, and one that cannot be decoded counts as
    /// none, as a job without an origin is still a valid job.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Self {
        snapshot::take_section(bytes).map_or_else(|_| Self::default(), |(section, _)| section)
    }
}

/// Origins of the jobs of a log. The name of a zone is stored once.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    by_job: BTreeMap<u32, Arc<str>>,
    /// Zones with the number of their jobs.
    zones: BTreeMap<Arc<str>, usize>,
}

impl Origins {
    /// Returns whether a zone can be recorded as an origin: its name is not too long, and it is
    /// known or there are few others.
    #[must_use]
    pub fn accepts(&self, zone: &str) -> bool {
        !zone.is_empty()
            && zone.len() <= NAME_MAX
            && (self.zones.len() < ZONES_MAX || self.zones.contains_key(zone))
    }

    /// Records the origin of a job, unless it has one.
    pub fn insert(&mut self, job: u32, zone: &Arc<str>) {
        if self.by_job.contains_key(&job) {
            return;
        }
        let known = self.zones.get_key_value(zone).map(|(name, _)| name.clone());
        let zone = known.unwrap_or_else(|| zone.clone());
        *self.zones.entry(zone.clone()).or_insert(0) += 1;
        self.by_job.insert(job, zone);
    }

    /// Drops the origin of a job.
    pub fn remove(&mut self, job: u32) {
        let Some(zone) = self.by_job.remove(&job) else {
            return;
        };
        if let Some(jobs) = self.zones.get_mut(&zone) {
            *jobs -= 1;
            if *jobs == 0 {
                self.zones.remove(&zone);
            }
        }
    }

    /// Returns the origin of a job; empty if unknown.
    #[must_use]
    pub fn of(&self, job: u32) -> Arc<str> {
        self.by_job.get(&job).cloned().unwrap_or_default()
    }

    /// Returns whether no origin is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }

    /// Encodes the origins for a snapshot: the jobs of each zone.
    ///
    /// # Errors
    /// Fails if the origins cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let mut jobs: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
        for (job, zone) in &self.by_job {
            jobs.entry(zone).or_default().push(*job);
        }
        postcard::to_stdvec(&jobs)
    }

    /// Decodes the origins of a snapshot.
    ///
    /// # Errors
    /// Fails if the bytes are no valid origins.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let jobs: BTreeMap<Arc<str>, Vec<u32>> = postcard::from_bytes(bytes)?;
        let mut origins = Self::default();
        for (zone, jobs) in &jobs {
            for job in jobs {
                origins.insert(*job, zone);
            }
        }
        Ok(origins)
    }
}
