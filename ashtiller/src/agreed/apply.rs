//! Puts operators' templates in force by compare-and-swap.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::config_state::{self, Head, StoredTemplate};
use crate::failure::{Failure, RemoteEffect};
use crate::store::{Commit, Item, Store};

/// What became of a template.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Applied {
    /// It is accepted under this revision.
    Accepted(u64),
    /// The store holds the same text already.
    Unchanged(u64),
    /// A dry run: it would replace this text.
    DryRun(Option<Arc<str>>),
    /// Another operator was faster; this is the text now.
    Conflict(u64, Arc<str>),
}

/// The value of an account that a change starts from.
#[derive(Clone, Debug)]
pub struct Base {
    head: Head,
    head_index: u64,
    stored: Option<StoredTemplate>,
    index: u64,
}

impl Base {
    /// The text in the store, if the account exists.
    #[must_use]
    pub fn text(&self) -> Option<&Arc<str>> {
        self.stored
            .as_ref()
            .map(|stored| &stored.text)
            .filter(|text| !text.is_empty())
    }
}

/// Reads what a change of `account` starts from.
///
/// # Errors
/// The store cannot be read, or holds what is not a template's value.
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

/// Writes `text` as the template of `account`, from `base`. An empty text removes
/// the account.
///
/// # Errors
/// The store cannot be reached; with an unknown effect, nothing could be read back.
pub async fn write(
    store: &dyn Store,
    account: &Arc<str>,
    text: &Arc<str>,
    base: &Base,
    dry: bool,
) -> Result<Applied, Failure> {
    if let Some(stored) = base.stored.as_ref().filter(|stored| stored.text == *text) {
        return Ok(Applied::Unchanged(stored.revision));
    }
    if dry {
        return Ok(Applied::DryRun(base.text().cloned()));
    }
    let mut base = base.clone();
    loop {
        let head = base.head.next(account, now_millis());
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
            // The write may have happened although its answer was lost.
            Err(failure) if failure.effect == RemoteEffect::Unknown => {}
            Err(failure) => return Err(failure),
        }
        let fresh = read(store, account).await?;
        if fresh.stored.as_ref() == Some(&stored) {
            return Ok(Applied::Accepted(head.revision));
        }
        if fresh.index != base.index {
            let (revision, text) = fresh
                .stored
                .map_or((0, Arc::from("")), |stored| (stored.revision, stored.text));
            return Ok(Applied::Conflict(revision, text));
        }
        // Only the head moved, by a change of another account.
        base = fresh;
    }
}

fn now_millis() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
