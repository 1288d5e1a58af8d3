//! One life of a worker.
//!
//! A worker may start again under the id that it had, and then knows nothing of before. So
//! everything that is about what runs there, what it has told and what it was told hangs on
//! its life: its id and when it was born. What belongs to the machine outlives a life.

use std::borrow::Borrow;
use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Stands between a worker's id and its birth in the log, in messages and in dumps.
const MARK: char = '@';

/// One life of a worker.
///
/// A birth is a time of day, which may be lower for a later life: another birth is another
/// life, and which of them is the newer one only an answer tells. Where a platform's messages
/// have no births, the id alone names a life.
#[derive(Clone)]
pub struct Incarnation {
    /// The id, and the birth behind a mark if there is one.
    text: Arc<str>,
    /// Length of the id in bytes.
    id: usize,
}

impl Incarnation {
    /// The life of a worker that was born at this millisecond since the Unix epoch, if that is
    /// known.
    #[must_use]
    pub fn new(id: &str, born: Option<u64>) -> Self {
        let text = match born {
            Some(born) => format!("{id}{MARK}{born}").into(),
            None => id.into(),
        };
        Self { text, id: id.len() }
    }

    /// The worker's id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.text[..self.id]
    }

    /// When it was born, in milliseconds since the Unix epoch, where that is known.
    #[must_use]
    pub fn born(&self) -> Option<u64> {
        self.text.get(self.id + MARK.len_utf8()..)?.parse().ok()
    }

    /// Whether both are lives of one worker.
    #[must_use]
    pub fn is_same_worker(&self, other: &Self) -> bool {
        self.id() == other.id()
    }

    /// Its text, as in the log.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl From<&str> for Incarnation {
    /// Reads a life's text; one without a birth is an id.
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
