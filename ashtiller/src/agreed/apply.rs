//! Applies operators' templates by compare-and-swap on the store.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::config_state::{self, Head, StoredTemplate};
use crate::failure::{Failure, RemoteEffect};
use crate::store::{Commit, Item, Store};

/// Result of applying a template.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Applied {
    /// The template was written under this revision.
    Accepted(u64),
    /// The store already holds the same text, under this revision.
    Unchanged(u64),
    /// Nothing was written, as asked; the template would replace this text.
    DryRun(Option<Arc<str>>),
    /// Another operator changed the account first, to this revision and text.
    Conflict(u64, Arc<str>),
}

/// State of the store that a change of an account is based on.
#[derive(Clone, Debug)]
pub struct Base {
    head: Head,
    head_index: u64,
    stored: Option<StoredTemplate>,
    index: u64,
}

impl Base {
    /// Returns the template's text in the store, if the account exists.
    #[must_use]
    pub fn text(&self) -> Option<&Arc<str>> {
        self.stored
            .as_ref()
            .map(|stored| &stored.text)
            .filter(|text| !text.is_empty())
    }
}

/// Reads the state that a change of `account` is based on.
///
/// # Errors
/// The store cannot be read, or a stored value cannot be decoded.
pub async fn read(store: &dyn Store, account: &str) -> Result<Base, Failure> {
    let (head, head_index) = read_key(store, config_state::HEAD_KEY).await?;
    let key = format!("{}{account}", config_state::ACCOUNT_PREFIX);
    let (stored, index) = read_key(store, &key).await?;
    Ok(Base {
        head: head.unwrap_or_default(),
        head_index,
        stored,
        index,
    })
}

async fn read_key<T: serde::de::DeserializeOwned>(
    store: &dyn Store,
    key: &str,
) -> Result<(Option<T>, u64), Failure> {
    let Some(Item { value, index, .. }) = store.get(key).await? else {
        return Ok((None, 0));
    };
    let value = serde_json::from_slice(&value)
        .map_err(|error| Failure::no_effect("read configuration", key, error))?;
    Ok((Some(value), index))
}

/// Writes `text` as the template of `account`, unless the account has changed from `base`.
/// An empty text removes the account.
///
/// # Errors
/// The store cannot be reached. After a write whose effect is unknown, the value is read
/// back; an error then means that this read failed too.
pub async fn write(
    store: &dyn Store,
    account: &Arc<str>,
    text: &Arc<str>,
    base: &Base,
    dry_run: bool,
) -> Result<Applied, Failure> {
    if let Some(stored) = base.stored.as_ref().filter(|stored| stored.text == *text) {
        return Ok(Applied::Unchanged(stored.revision));
    }
    if dry_run {
        return Ok(Applied::DryRun(base.text().cloned()));
    }
    let mut base = base.clone();
    loop {
        let head = base.head.next(account, unix_millis());
        let stored = StoredTemplate {
            revision: head.revision,
            text: text.clone(),
        };
        let writes = [
            config_state::swap(config_state::HEAD_KEY.to_owned(), &head, base.head_index),
            config_state::swap(
                format!("{}{account}", config_state::ACCOUNT_PREFIX),
                &stored,
                base.index,
            ),
        ];
        match store.commit(&writes).await {
            Ok(Commit::Done) => return Ok(Applied::Accepted(head.revision)),
            Ok(Commit::Conflict(_)) => {}
            // The write may have been applied although its response was lost.
            Err(failure) if failure.effect == RemoteEffect::Unknown => {}
            Err(failure) => return Err(failure),
        }
        let current = read(store, account).await?;
        if current.stored.as_ref() == Some(&stored) {
            return Ok(Applied::Accepted(head.revision));
        }
        if current.index != base.index {
            let (revision, text) = current
                .stored
                .map_or((0, Arc::from("")), |stored| (stored.revision, stored.text));
            return Ok(Applied::Conflict(revision, text));
        }
        // Only the head has changed, with another account; retry on the new head.
        base = current;
    }
}

fn unix_millis() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
