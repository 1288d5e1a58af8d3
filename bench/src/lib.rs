//! Replays of recorded traces, shared by the tool and its tests.

pub mod replay;
