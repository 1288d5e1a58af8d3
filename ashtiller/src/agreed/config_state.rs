//! The configuration in force in one process, as a state machine.
//!
//! The store holds a small head key and one key for each client account. Every
//! change has a revision that rises; the head names the newest ones, so that a
//! watch on the head tells which accounts to read. A process never takes an
//! older revision of an account than it has, whatever the store says; when the
//! store has fallen back, it writes the newer revisions again.

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
/// Changes that the head names.
const CHANGES_MAX: usize = 16;

/// The newest changes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Newest revision.
    pub revision: u64,
    /// Newest changes, oldest first.
    pub changes: Vec<Change>,
}

/// One change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Its revision.
    pub revision: u64,
    /// The account that changed.
    pub account: Arc<str>,
}

/// An account's value in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredTemplate {
    /// Revision of the change that wrote it.
    pub revision: u64,
    /// Template as INI; empty when the account was removed.
    pub text: Arc<str>,
}

impl Head {
    /// The head after a change of `account`. `floor` keeps revisions rising even
    /// when the store has lost the newest ones: the time in milliseconds.
    #[must_use]
    pub fn next(&self, account: &Arc<str>, floor: u64) -> Self {
        let revision = (self.revision + 1).max(floor);
        let mut changes = self.changes.clone();
        changes.push(Change {
            revision,
            account: account.clone(),
        });
        if changes.len() > CHANGES_MAX {
            changes.remove(0);
        }
        Self { revision, changes }
    }
}

/// The write that replaces a key of the configuration at revision `index`.
#[must_use]
pub fn swap(key: String, value: &impl Serialize, index: u64) -> Write {
    // These types have no map keys or numbers that JSON cannot write.
    let value = serde_json::to_vec(value).unwrap_or_default().into();
    Write::CompareAndSwap { key, value, index }
}

/// What to read or write after a look at the head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HeadAction {
    /// Nothing has changed.
    UpToDate,
    /// Read these accounts.
    Read(Vec<Arc<str>>),
    /// Read every account.
    ReadAll,
    /// The store fell back: write these newer values again.
    Repair(Vec<(Arc<str>, StoredTemplate)>),
}

/// What became of a value that was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdoptResult {
    /// It is in force now.
    Adopted,
    /// It was in force already.
    Same,
    /// It is older than what is in force; it was refused.
    Older,
    /// It cannot be understood; what was in force stays.
    Invalid(Mistakes),
}

/// One account in force.
#[derive(Clone, Debug)]
struct Entry {
    stored: StoredTemplate,
    template: Option<Arc<Template>>,
}

/// Accounts in force, shared as a whole.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    /// Newest revision in force.
    pub revision: u64,
    /// Templates by account.
    pub templates: BTreeMap<Arc<str>, Arc<Template>>,
}

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    revision: u64,
    whole: bool,
    entries: BTreeMap<Arc<str>, Entry>,
}

impl ConfigState {
    /// Newest revision in force.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Decides what a head asks for.
    #[must_use]
    pub fn next_action(&self, head: &Head) -> HeadAction {
        if !self.whole {
            return HeadAction::ReadAll;
        }
        if head.revision < self.revision {
            return HeadAction::Repair(self.newer_than(head.revision));
        }
        if head.revision == self.revision {
            return HeadAction::UpToDate;
        }
        // Only a head that names the revision in force continues from it: one that
        // does not is too far ahead, or the store fell back in between.
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

    fn newer_than(&self, revision: u64) -> Vec<(Arc<str>, StoredTemplate)> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.stored.revision > revision)
            .map(|(account, entry)| (account.clone(), entry.stored.clone()))
            .collect()
    }

    /// Takes one account's value.
    pub fn adopt(&mut self, account: &Arc<str>, stored: StoredTemplate) -> AdoptResult {
        if let Some(entry) = self.entries.get(account) {
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
        self.entries
            .insert(account.clone(), Entry { stored, template });
        AdoptResult::Adopted
    }

    /// Every account named by a head of `revision` has been read.
    pub fn advance_to(&mut self, revision: u64, whole: bool) {
        self.revision = self.revision.max(revision);
        self.whole |= whole;
    }

    /// Values in force that the store lacks or has in an older revision.
    #[must_use]
    pub fn missing_in_store(
        &self,
        seen: &BTreeMap<Arc<str>, u64>,
    ) -> Vec<(Arc<str>, StoredTemplate)> {
        self.entries
            .iter()
            .filter(|(account, entry)| {
                seen.get(*account)
                    .is_none_or(|revision| *revision < entry.stored.revision)
            })
            .map(|(account, entry)| (account.clone(), entry.stored.clone()))
            .collect()
    }

    /// A copy for readers.
    #[must_use]
    pub fn active(&self) -> ActiveConfig {
        let templates = self
            .entries
            .iter()
            .filter_map(|(account, entry)| Some((account.clone(), entry.template.clone()?)))
            .collect();
        ActiveConfig {
            revision: self.revision,
            templates,
        }
    }
}
