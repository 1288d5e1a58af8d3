//! Learned run times in log records and snapshots.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::workflow::run_times::model::{Model, Sums};
use crate::workflow::run_times::{Entry, MODELS_MAX, ModelKey, RunTimes};

/// Version of the encoded models. Owners ignore versions that they do not know.
const VERSION: u8 = 1;
/// Size limit of the models in one record, in bytes. One takes 50 to 80.
const RECORD_BYTES_MAX: usize = 400;

/// Encoded models, with their version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EncodedModels {
    /// Version of the encoding.
    pub version: u8,
    /// Models, each encoded by itself.
    pub models: Vec<Vec<u8>>,
}

/// Models as last recorded, the oldest record first.
#[derive(Clone, Debug, Default)]
pub struct RecordedModels(Vec<(ModelKey, Sums)>);

impl RecordedModels {
    /// Adds the models of a record. Ignores those of unknown versions and those that do not decode.
    pub fn apply(&mut self, encoded: &EncodedModels) {
        if encoded.version != VERSION {
            return;
        }
        for bytes in &encoded.models {
            let Ok((key, sums)) = postcard::from_bytes::<(ModelKey, Sums)>(bytes) else {
                continue;
            };
            if !sums.is_valid() {
                continue;
            }
            self.0.retain(|(other, _)| *other != key);
            self.0.push((key, sums));
        }
        let surplus = self.0.len().saturating_sub(MODELS_MAX);
        self.0.drain(..surplus);
    }

    /// Encodes all models.
    ///
    /// # Errors
    /// Fails if a model cannot be encoded.
    pub fn encode(&self) -> Result<EncodedModels, postcard::Error> {
        let models: Result<Vec<Vec<u8>>, _> = self.0.iter().map(postcard::to_stdvec).collect();
        Ok(EncodedModels {
            version: VERSION,
            models: models?,
        })
    }

    /// Returns whether no model was recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl RunTimes {
    /// Creates the models that earlier owners recorded, as if learned until `now`.
    #[must_use]
    pub fn restore(recorded: &RecordedModels, now: Duration) -> Self {
        let models = recorded.0.iter().map(|(key, sums)| {
            let entry = Entry {
                model: Model::new(*sums, now),
                changed: false,
                last_recorded: now,
            };
            (key.clone(), entry)
        });
        Self {
            models: models.collect(),
        }
    }

    /// Returns models that have changed since their last record, those first that were recorded the
    /// longest ago, and counts them as recorded. None if nothing has changed.
    pub fn take_changed(&mut self, now: Duration) -> Option<EncodedModels> {
        let mut changed: Vec<(&ModelKey, &mut Entry)> = self
            .models
            .iter_mut()
            .filter(|(_, entry)| entry.changed)
            .collect();
        changed.sort_by_key(|(_, entry)| entry.last_recorded);
        let (mut models, mut size) = (Vec::new(), 0);
        for (key, entry) in changed {
            let Ok(bytes) = postcard::to_stdvec(&(key, entry.model.sums())) else {
                continue;
            };
            if size + bytes.len() > RECORD_BYTES_MAX {
                continue;
            }
            size += bytes.len();
            entry.changed = false;
            entry.last_recorded = now;
            models.push(bytes);
        }
        (!models.is_empty()).then_some(EncodedModels {
            version: VERSION,
            models,
        })
    }
}
