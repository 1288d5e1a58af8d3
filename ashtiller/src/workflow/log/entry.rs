//! Entries of the log: their encoding and their size.

use bytes::Bytes;
use postcard::ser_flavors::Size;
use serde::{Deserialize, Serialize};

use crate::workflow::job::Job;
use crate::workflow::record::{LogRecord, Section};
use crate::workflow::snapshot;

/// Size limit of an entry in bytes. It bounds the time that one write takes on a slow link, and stays
/// below the usual limit of a store on values in base64.
pub const BYTES_MAX: usize = 512 << 10;
/// Bytes of an entry beside its records: the incarnation, and the lengths of three sections.
const FRAME_BYTES: usize = 32;
/// Bytes of the length of a record that is encoded by itself.
const LENGTH_BYTES: usize = 5;
/// Bytes of an [`LogRecord::Accepted`] beside its job: the policy of the queue and the time.
const POLICY_BYTES_MAX: usize = 1024;

/// Returns the size limit of an entry in a store that takes values of up to `value_max` bytes. The limit
/// may count the bytes or their text in base64, which is longer by a third.
#[must_use]
pub fn bytes_max(value_max: usize) -> usize {
    BYTES_MAX.min(value_max / 4 * 3)
}

/// Returns the encoded size of a value in bytes; that of one that cannot be encoded is the largest.
fn encoded_size(value: &impl Serialize) -> usize {
    postcard::serialize_with_flavor(value, Size::default()).unwrap_or(usize::MAX)
}

/// Returns the bytes that a job takes in an entry by itself, at most.
#[must_use]
pub fn job_bytes(job: &Job) -> usize {
    encoded_size(job).saturating_add(FRAME_BYTES + POLICY_BYTES_MAX)
}

/// Splits records into the entries that hold them, in order, each of at most `limit` bytes. A record
/// that is larger by itself gets an entry of its own.
#[must_use]
pub fn split(records: Vec<LogRecord>, limit: usize) -> Vec<Vec<LogRecord>> {
    let mut entries = Vec::new();
    let mut entry = Vec::new();
    let mut size = FRAME_BYTES;
    for record in records {
        let bytes = encoded_size(&record).saturating_add(LENGTH_BYTES);
        if size.saturating_add(bytes) > limit && !entry.is_empty() {
            entries.push(std::mem::take(&mut entry));
            size = FRAME_BYTES;
        }
        size = size.saturating_add(bytes);
        entry.push(record);
    }
    entries.push(entry);
    entries
}

/// Returns an encoded entry without the values that can be learned again; `None` if it has none.
pub(super) fn without_learned(value: &[u8]) -> Option<Bytes> {
    let mut entry = Entry::decode(value).ok()?;
    let count = entry.records.len();
    entry.records.retain(|record| !record.is_learned());
    let Entry {
        incarnation,
        records,
    } = entry;
    (records.len() < count)
        .then(|| Entry::encode(incarnation, records).ok())
        .flatten()
        .map(Bytes::from)
}

/// The value of one entry of the log. Two sections follow it, which versions that do not know them
/// ignore: one of optional records, and one of optional records that are encoded one by one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Entry {
    /// Incarnation of the writer, by which it recognizes its own entries.
    #[serde(rename = "life")]
    incarnation: u64,
    /// Records, in the order in which they apply.
    #[serde(rename = "facts")]
    pub records: Vec<LogRecord>,
}

impl Entry {
    /// Encodes an entry. Its records are in the order of their sections.
    pub fn encode(incarnation: u64, records: Vec<LogRecord>) -> Result<Vec<u8>, postcard::Error> {
        let (required, optional): (Vec<LogRecord>, Vec<LogRecord>) = records
            .into_iter()
            .partition(|record| record.section() == Section::Required);
        let (starts, extension): (Vec<LogRecord>, Vec<LogRecord>) = optional
            .into_iter()
            .partition(|record| record.section() == Section::Starts);
        let entry = Self {
            incarnation,
            records: required,
        };
        let bytes = postcard::to_stdvec(&entry)?;
        if starts.is_empty() && extension.is_empty() {
            return Ok(bytes);
        }
        let bytes = postcard::to_extend(&starts, bytes)?;
        if extension.is_empty() {
            return Ok(bytes);
        }
        let encoded: Result<Vec<Vec<u8>>, _> = extension.iter().map(postcard::to_stdvec).collect();
        postcard::to_extend(&encoded?, bytes)
    }

    /// Decodes an entry and its optional records, of which earlier versions wrote none. Skips
    /// records of the last section that this version does not know.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (mut entry, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        let (starts, rest) = snapshot::take_section::<Vec<LogRecord>>(rest)?;
        let (encoded, _) = snapshot::take_section::<Vec<Vec<u8>>>(rest)?;
        entry.records.extend(starts);
        for bytes in encoded {
            match postcard::from_bytes(&bytes) {
                Ok(record) => entry.records.push(record),
                Err(error) => tracing::debug!(%error, "unknown record of a log entry skipped"),
            }
        }
        Ok(entry)
    }
}
