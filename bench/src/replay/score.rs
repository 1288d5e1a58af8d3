//! What a replay came to.

/// Counts of one replay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Score {
    /// Seconds in which a service was over its target, summed over services.
    pub over: u32,
    /// Seconds in which services were watched.
    pub watched: u32,
    /// Ratio of latency to target that 99 % of those seconds kept.
    pub p99: f64,
    /// Batch work done in seconds at full speed.
    pub batch: f64,
    /// Batch attempts started.
    pub starts: u32,
    /// Batch attempts evicted.
    pub evictions: u32,
    /// Most evictions of one client account less the fewest.
    pub spread: u32,
}
