//! Replays of recorded traces and comparisons of variants, shared by the tool and its tests.

pub mod compare;
pub mod replay;
