//! Bytes and microseconds for each worker, task and change, at three sizes.

/// `bench slopes`.
pub fn run() {}
