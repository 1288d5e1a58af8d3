//! Snapshots of a book, as bytes.
//!
//! The format names no fields, so what a book gained later stands behind what it had first,
//! in a section of its own. A snapshot without it reads as one in which there is nothing.

use std::collections::BTreeMap;

use crate::workflow::blame::Suspect;
use crate::workflow::log_state::LogState;
use crate::workflow::record::Task;

type Suspects = BTreeMap<Task, Suspect>;

/// Encodes a book.
///
/// # Errors
/// It cannot be encoded.
pub fn encode(book: &LogState) -> Result<Vec<u8>, postcard::Error> {
    let bytes = postcard::to_stdvec(book)?;
    postcard::to_extend(book.suspects(), bytes)
}

/// Decodes a book, also one that was encoded before there were suspects.
///
/// # Errors
/// The bytes are no snapshot.
pub fn decode(bytes: &[u8]) -> Result<LogState, postcard::Error> {
    let (mut book, rest) = postcard::take_from_bytes::<LogState>(bytes)?;
    if !rest.is_empty() {
        book.set_suspects(postcard::from_bytes::<Suspects>(rest)?);
    }
    Ok(book)
}
