//! Availability zones being evacuated, according to operators' entries in the store.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Moment;
use crate::workflow::config::PlatformCodec;
use crate::workflow::follow::StoreUpdate;
use crate::workflow::kv::{Change, Item};

/// Zones being evacuated, each with the revision of its entry.
pub type Zones = BTreeMap<Arc<str>, u64>;

/// Evacuations known from operators' entries.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evacuations {
    /// Zones being evacuated.
    pub zones: Zones,
    /// Time up to which all changes are included; none before the first read.
    pub as_of: Option<Moment>,
}

impl Evacuations {
    /// Applies an update of the operators' entries.
    pub fn take(&mut self, codec: &dyn PlatformCodec, update: &StoreUpdate) {
        let as_of = match update {
            StoreUpdate::All { items, as_of } => {
                self.zones.clear();
                for item in items {
                    self.put(codec, item);
                }
                *as_of
            }
            StoreUpdate::Changes { changes, as_of } => {
                for change in changes {
                    match change {
                        Change::Put(item) => self.put(codec, item),
                        Change::Gone(key) => {
                            if let Some(zone) = codec.evacuated(key) {
                                self.zones.remove(&zone);
                            }
                        }
                    }
                }
                *as_of
            }
        };
        self.as_of = Some(as_of);
    }

    fn put(&mut self, codec: &dyn PlatformCodec, item: &Item) {
        if let Some(zone) = codec.evacuated(&item.key) {
            self.zones.insert(zone, item.revision);
        }
    }
}
