//! Binary format of log entries and snapshots: a version, a checksum and a body.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Format version that this program reads and writes.
const VERSION: u8 = 1;
/// Number of bytes before the body: version (1 byte) and CRC-32 of the body (4 bytes, little
/// endian).
const PREFIX_BYTES: usize = 5;

/// Error in encoding or decoding a record.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// The record is shorter than its prefix.
    #[error("the record has {0} bytes, fewer than its prefix")]
    Short(usize),
    /// The record was written by a newer program.
    #[error("the record has version {0}; this program reads version {VERSION}")]
    Version(u8),
    /// The checksum does not match.
    #[error("the record's checksum does not match")]
    Checksum,
    /// The body does not decode.
    #[error("the record's body does not decode: {0}")]
    Body(String),
}

/// Encodes a record.
///
/// # Errors
/// The value cannot be serialized.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, RecordError> {
    let body = postcard::to_stdvec(value).map_err(|error| RecordError::Body(error.to_string()))?;
    let mut record = Vec::with_capacity(PREFIX_BYTES + body.len());
    record.push(VERSION);
    record.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    record.extend_from_slice(&body);
    Ok(record)
}

/// Decodes a record.
///
/// # Errors
/// The record is damaged or from a newer program.
pub fn decode<T: DeserializeOwned>(record: &[u8]) -> Result<T, RecordError> {
    let Some((prefix, body)) = record.split_at_checked(PREFIX_BYTES) else {
        return Err(RecordError::Short(record.len()));
    };
    if prefix[0] != VERSION {
        return Err(RecordError::Version(prefix[0]));
    }
    if prefix[1..] != crc32fast::hash(body).to_le_bytes() {
        return Err(RecordError::Checksum);
    }
    postcard::from_bytes(body).map_err(|error| RecordError::Body(error.to_string()))
}
