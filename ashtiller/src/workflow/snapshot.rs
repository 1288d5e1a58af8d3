//! Binary encoding of log state snapshots.
//!
//! The format (postcard) has no field names. So state that was added later is appended in a section
//! of its own; a snapshot without that section decodes as one in which it is empty.

use std::collections::BTreeMap;

use crate::workflow::blame::Suspect;
use crate::workflow::log_state::LogState;
use crate::workflow::record::Task;

type Suspects = BTreeMap<Task, Suspect>;

/// Encodes the state of a log.
///
/// # Errors
/// Fails if the state cannot be encoded.
pub fn encode(state: &LogState) -> Result<Vec<u8>, postcard::Error> {
    let bytes = postcard::to_stdvec(state)?;
    postcard::to_extend(state.suspects(), bytes)
}

/// Decodes a snapshot, including one from before suspects were added.
///
/// # Errors
/// Fails if the bytes are no valid snapshot.
pub fn decode(bytes: &[u8]) -> Result<LogState, postcard::Error> {
    let (mut state, rest) = postcard::take_from_bytes::<LogState>(bytes)?;
    if !rest.is_empty() {
        state.set_suspects(postcard::from_bytes::<Suspects>(rest)?);
    }
    Ok(state)
}
