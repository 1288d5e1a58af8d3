//! Availability zones under evacuation, as operators' entries in the store say.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Moment;
use crate::workflow::config::PlatformCodec;
use crate::workflow::follow::StoreUpdate;
use crate::workflow::kv::{Change, Item};

/// Zones under evacuation, each with the revision of its entry.
pub type Zones = BTreeMap<Arc<str>, u64>;

/// What was last read of operators' entries.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evacuations {
    /// Zones under evacuation.
    pub zones: Zones,
    /// No change before this is missing; nothing before the first reading.
    pub as_of: Option<Moment>,
}

impl Evacuations {
    /// Takes what a follower of the operators' entries has seen.
    pub fn take(&mut self, dialect: &dyn PlatformCodec, seen: &StoreUpdate) {
        let as_of = match seen {
            StoreUpdate::All { items, as_of } => {
                self.zones.clear();
                for item in items {
                    self.put(dialect, item);
                }
                *as_of
            }
            StoreUpdate::Changes { changes, as_of } => {
                for change in changes {
                    match change {
                        Change::Put(item) => self.put(dialect, item),
                        Change::Gone(key) => {
                            if let Some(zone) = dialect.evacuated(key) {
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

    fn put(&mut self, dialect: &dyn PlatformCodec, item: &Item) {
        if let Some(zone) = dialect.evacuated(&item.key) {
            self.zones.insert(zone, item.revision);
        }
    }
}
