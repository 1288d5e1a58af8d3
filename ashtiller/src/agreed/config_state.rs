//! State machine of the configuration that is active in one process.
//!
//! The store holds a small head key and one key for each client account. Each change has
//! a higher revision than the one before. The head names the newest changes, so that a
//! watch on the head shows which accounts to read. A process never replaces an account's
//! template by an older revision, whatever the store holds; when the store has gone back
//! to an older state, the process writes the newer revisions again.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::mistake::Mistakes;
use crate::store::Write;
use crate::template::Template;

/// Key of the head.
pub const HEAD_KEY: &str = "ashtiller/config/head";
/// Prefix of the accounts' keys.
pub const ACCOUNT_PREFIX: &str = "ashtiller/config/account/";
/// Number of newest changes that the head keeps.
const MAX_HEAD_CHANGES: usize = 16;

/// Value of the head key: the newest changes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Newest revision.
    pub revision: u64,
    /// Newest changes, oldest first.
    pub changes: Vec<Change>,
}

/// One change of an account's template.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Revision of the change.
    pub revision: u64,
    /// The account that changed.
    pub account: Arc<str>,
}

/// An account's value in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredTemplate {
    /// Revision of the change that wrote it.
    pub revision: u64,
    /// Template as INI text; empty when the account was removed.
    pub text: Arc<str>,
}

impl Head {
    /// Returns the head after a change of `account`. The revision is at least `floor`, the
    /// Unix time in milliseconds, so that revisions rise even if the store has lost the
    /// newest ones.
    #[must_use]
    pub fn next(&self, account: &Arc<str>, floor: u64) -> Self {
        let revision = (self.revision + 1).max(floor);
        let mut changes = self.changes.clone();
        changes.push(Change {
            revision,
            account: account.clone(),
        });
        if changes.len() > MAX_HEAD_CHANGES {
            changes.remove(0);
        }
        Self { revision, changes }
    }
}

/// Returns the write that replaces a key of the configuration at revision `index`.
#[must_use]
pub fn swap(key: String, value: &impl Serialize, index: u64) -> Write {
    // Encoding cannot fail: these types have no map keys or numbers that JSON cannot hold.
    let value = serde_json::to_vec(value).unwrap_or_default().into();
    Write::CompareAndSwap { key, value, index }
}

/// What to read or write after the head was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HeadAction {
    /// Nothing has changed.
    UpToDate,
    /// Read these accounts.
    Read(Vec<Arc<str>>),
    /// Read every account.
    ReadAll,
    /// The store went back to an older state: write these newer values again.
    Repair(Vec<(Arc<str>, StoredTemplate)>),
}

/// Result of adopting an account's value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdoptResult {
    /// The value is active now.
    Adopted,
    /// The value was already active.
    Same,
    /// The value is older than the active one and was ignored.
    Older,
    /// The template is invalid; the active one stays.
    Invalid(Mistakes),
}

/// Active value of one account.
#[derive(Clone, Debug)]
struct ActiveAccount {
    stored: StoredTemplate,
    template: Option<Arc<Template>>,
}

/// The active templates, shared with readers as one value.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    /// Newest active revision.
    pub revision: u64,
    /// Templates by account.
    pub templates: BTreeMap<Arc<str>, Arc<Template>>,
}

/// State machine of the active configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    revision: u64,
    all_read: bool,
    accounts: BTreeMap<Arc<str>, ActiveAccount>,
}

impl ConfigState {
    /// Returns the newest active revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Decides what to read or write for the head that was read.
    #[must_use]
    pub fn next_action(&self, head: &Head) -> HeadAction {
        if !self.all_read {
            return HeadAction::ReadAll;
        }
        if head.revision < self.revision {
            return HeadAction::Repair(self.values_after(head.revision));
        }
        if head.revision == self.revision {
            return HeadAction::UpToDate;
        }
        // Only a head that names the active revision continues from it. If it does not,
        // it is too far ahead, or the store went back to an older state in between.
        if !head
            .changes
            .iter()
            .any(|change| change.revision == self.revision)
        {
            return HeadAction::ReadAll;
        }
        let mut accounts: Vec<Arc<str>> = head
            .changes
            .iter()
            .filter(|change| change.revision > self.revision)
            .map(|change| change.account.clone())
            .collect();
        accounts.sort();
        accounts.dedup();
        HeadAction::Read(accounts)
    }

    fn values_after(&self, revision: u64) -> Vec<(Arc<str>, StoredTemplate)> {
        self.accounts
            .iter()
            .filter(|(_, entry)| entry.stored.revision > revision)
            .map(|(account, entry)| (account.clone(), entry.stored.clone()))
            .collect()
    }

    /// Makes an account's value active, unless it is older or invalid.
    pub fn adopt(&mut self, account: &Arc<str>, stored: StoredTemplate) -> AdoptResult {
        if let Some(entry) = self.accounts.get(account) {
            if stored.revision < entry.stored.revision {
                return AdoptResult::Older;
            }
            if stored == entry.stored {
                return AdoptResult::Same;
            }
        }
        let template = if stored.text.is_empty() {
            None
        } else {
            match Template::parse(account, &stored.text) {
                Ok(template) => Some(Arc::new(template)),
                Err(mistakes) => return AdoptResult::Invalid(mistakes),
            }
        };
        self.accounts
            .insert(account.clone(), ActiveAccount { stored, template });
        AdoptResult::Adopted
    }

    /// Records that the accounts which a head of `revision` names have been read; `all` if
    /// every account in the store was.
    pub fn advance_to(&mut self, revision: u64, all: bool) {
        self.revision = self.revision.max(revision);
        self.all_read |= all;
    }

    /// Returns the active values that the store lacks or has in an older revision.
    /// `stored` holds the revisions in the store by account.
    #[must_use]
    pub fn missing_in_store(
        &self,
        stored: &BTreeMap<Arc<str>, u64>,
    ) -> Vec<(Arc<str>, StoredTemplate)> {
        self.accounts
            .iter()
            .filter(|(account, entry)| {
                stored
                    .get(*account)
                    .is_none_or(|revision| *revision < entry.stored.revision)
            })
            .map(|(account, entry)| (account.clone(), entry.stored.clone()))
            .collect()
    }

    /// Returns a copy of the active templates for readers.
    #[must_use]
    pub fn active(&self) -> ActiveConfig {
        let templates = self
            .accounts
            .iter()
            .filter_map(|(account, entry)| Some((account.clone(), entry.template.clone()?)))
            .collect();
        ActiveConfig {
            revision: self.revision,
            templates,
        }
    }
}
