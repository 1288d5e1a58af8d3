//! Binary encoding of log state snapshots.
//!
//! The format (postcard) has no field names. So state that was added later is appended in sections
//! of its own; a snapshot without such a section decodes as one in which it is empty. The last
//! section maps numbers to values that are encoded separately: a version that does not know a number
//! skips its value.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::workflow::blame::Suspect;
use crate::workflow::log_state::LogState;
use crate::workflow::record::{Run, Task};
use crate::workflow::state::UnconfirmedStart;

type Suspects = BTreeMap<Task, Suspect>;
type Unconfirmed = BTreeMap<Task, Vec<UnconfirmedStart>>;
type PendingStarts = BTreeMap<Run, u64>;
/// Encoded values of a snapshot's last section, by number.
pub type Extensions = BTreeMap<u8, Vec<u8>>;

/// Encodes the state of a log.
///
/// # Errors
/// Fails if the state cannot be encoded.
pub fn encode(state: &LogState) -> Result<Vec<u8>, postcard::Error> {
    let bytes = postcard::to_stdvec(state)?;
    let bytes = postcard::to_extend(state.suspects(), bytes)?;
    let bytes = postcard::to_extend(state.unconfirmed(), bytes)?;
    let bytes = postcard::to_extend(state.pending_starts(), bytes)?;
    postcard::to_extend(&state.extensions()?, bytes)
}

/// Decodes a snapshot, including one from before a section was added.
///
/// # Errors
/// Fails if the bytes are no valid snapshot.
pub fn decode(bytes: &[u8]) -> Result<LogState, postcard::Error> {
    let (mut state, rest) = postcard::take_from_bytes::<LogState>(bytes)?;
    let (suspects, rest) = take_section::<Suspects>(rest)?;
    let (unconfirmed, rest) = take_section::<Unconfirmed>(rest)?;
    let (pending_starts, rest) = take_section::<PendingStarts>(rest)?;
    let (extensions, _) = take_section::<Extensions>(rest)?;
    state.set_suspects(suspects);
    state.set_unconfirmed(unconfirmed);
    state.set_pending_starts(pending_starts);
    state.set_extensions(&extensions)?;
    Ok(state)
}

/// Decodes the next section, which is empty in a snapshot that ends before it.
pub(super) fn take_section<'a, T: Default + Deserialize<'a>>(
    bytes: &'a [u8],
) -> Result<(T, &'a [u8]), postcard::Error> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    postcard::take_from_bytes(bytes)
}
