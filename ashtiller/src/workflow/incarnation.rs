//! Incarnations of workers.
//!
//! A worker may restart under the same id and then knows nothing of its earlier state. So
//! everything about its runs, its reports and the calls sent to it is keyed by the incarnation: the
//! id and the start time. What belongs to the machine outlives an incarnation.

use std::borrow::Borrow;
use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Separates a worker's id from its start time in the log, in messages and in dumps.
const MARK: char = '@';

/// One incarnation of a worker.
///
/// The start time is a time of day, which may be lower for a later incarnation: start times only
/// tell incarnations apart, and which one is newer is known only from an answer. On platforms that
/// report no start times, the id alone identifies an incarnation.
#[derive(Clone)]
pub struct Incarnation {
    /// Id, followed by the separator and the start time if that is known.
    text: Arc<str>,
    /// Length of the id in bytes.
    id: usize,
}

impl Incarnation {
    /// Creates the incarnation that started at `born` milliseconds since the Unix epoch, if that is
    /// known.
    #[must_use]
    pub fn new(id: &str, born: Option<u64>) -> Self {
        let text = match born {
            Some(born) => format!("{id}{MARK}{born}").into(),
            None => id.into(),
        };
        Self { text, id: id.len() }
    }

    /// Returns the worker's id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.text[..self.id]
    }

    /// Returns the start time in milliseconds since the Unix epoch, if that is known.
    #[must_use]
    pub fn born(&self) -> Option<u64> {
        self.text.get(self.id + MARK.len_utf8()..)?.parse().ok()
    }

    /// Reports whether both are incarnations of the same worker.
    #[must_use]
    pub fn is_same_worker(&self, other: &Self) -> bool {
        self.id() == other.id()
    }

    /// Returns the text form that the log uses.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl From<&str> for Incarnation {
    /// Parses the text form; text without a start time is an id.
    fn from(text: &str) -> Self {
        let id = match text.rsplit_once(MARK) {
            Some((id, born)) if !id.is_empty() && born.parse::<u64>().is_ok() => id.len(),
            _ => text.len(),
        };
        Self {
            text: text.into(),
            id,
        }
    }
}

impl From<String> for Incarnation {
    fn from(text: String) -> Self {
        text.as_str().into()
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.text)
    }
}

impl fmt::Debug for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.text, f)
    }
}

impl PartialEq for Incarnation {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl Eq for Incarnation {}

impl PartialOrd for Incarnation {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Incarnation {
    fn cmp(&self, other: &Self) -> Ordering {
        self.text.cmp(&other.text)
    }
}

impl Hash for Incarnation {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.text.hash(state);
    }
}

impl Borrow<str> for Incarnation {
    fn borrow(&self) -> &str {
        &self.text
    }
}

impl Serialize for Incarnation {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.text.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Incarnation {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text: Arc<str> = Deserialize::deserialize(deserializer)?;
        Ok(Self::from(&*text))
    }
}
