//! Records of replaced owners.
//!
//! The transaction that replaces an owner also writes a record of it, so that each later owner knows
//! all owners before it, even those that ended before their first entry. The revision of a record is
//! the epoch of the successor, which links each owner to the one that it replaced.

use std::sync::Arc;

use bytes::Bytes;

use crate::failure::Failure;
use crate::workflow::kv::Item;
use crate::workflow::log::Log;
use crate::workflow::record::PreviousOwner;

/// The record of a replaced owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplacedOwner {
    /// Key of the record.
    key: Arc<str>,
    /// The owner.
    owner: PreviousOwner,
    /// Epoch of the owner that replaced it.
    successor: u64,
}

impl Log {
    fn predecessor_prefix(&self) -> String {
        format!("{}former/", self.prefix)
    }

    /// Returns the key and the value of the record of an owner that is to be replaced.
    pub(super) fn encode_predecessor(
        &self,
        owner: &PreviousOwner,
    ) -> Result<(String, Bytes), Failure> {
        let key = format!("{}{:016x}", self.predecessor_prefix(), owner.epoch);
        let value = postcard::to_stdvec(owner)
            .map_err(|error| Failure::no_effect("encode replaced owner", &key, error))?;
        Ok((key, value.into()))
    }

    /// Reads the records of replaced owners.
    ///
    /// # Errors
    /// The store did not answer.
    pub async fn read_replaced_owners(&self) -> Result<Vec<ReplacedOwner>, Failure> {
        let prefix = self.predecessor_prefix();
        let mut owners = Vec::new();
        let mut after = None;
        loop {
            let page = self.store.fetch(&prefix, after.as_deref()).await?;
            owners.extend(page.items.iter().filter_map(decode));
            after = page.items.last().map(|item| item.key.to_string());
            if !page.more || after.is_none() {
                return Ok(owners);
            }
        }
    }

    /// Removes the records of owners before the epoch `cleared`, which have ended.
    ///
    /// # Errors
    /// The store did not answer, or the owner at `epoch` was replaced.
    pub async fn remove_replaced_owners(
        &self,
        epoch: u64,
        owners: &[ReplacedOwner],
        cleared: u64,
    ) -> Result<(), Failure> {
        let ended = owners.iter().filter(|it| it.owner.epoch < cleared);
        let keys: Vec<String> = ended.map(|it| it.key.to_string()).collect();
        self.remove_all_fenced(epoch, &keys).await
    }
}

/// Other programs may write below this prefix too. Without its record, an owner counts as unknown.
fn decode(item: &Item) -> Option<ReplacedOwner> {
    match postcard::from_bytes(&item.value) {
        Ok(owner) => Some(ReplacedOwner {
            key: item.key.clone(),
            owner,
            successor: item.revision,
        }),
        Err(error) => {
            tracing::warn!(key = %item.key, revision = item.revision, %error,
                "record of a replaced owner cannot be decoded");
            None
        }
    }
}

/// Returns the owners before the one at `epoch`, from the newest to the oldest one that a record
/// links to it.
#[must_use]
pub fn trace_predecessors(owners: &[ReplacedOwner], mut epoch: u64) -> Vec<PreviousOwner> {
    let mut predecessors = Vec::new();
    while let Some(found) = owners
        .iter()
        .find(|it| it.successor == epoch && it.owner.epoch < epoch)
    {
        predecessors.push(found.owner);
        epoch = found.owner.epoch;
    }
    predecessors
}
