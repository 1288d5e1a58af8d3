//! Retry budget: retries are limited to a share of first attempts, with a small reserve.

/// Retries allowed before the first attempt is counted. The budget never holds more
/// than ten times as many.
const INITIAL_TOKENS: f64 = 5.0;

/// Token bucket that first attempts fill and retries drain.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget that allows `share` retries for each first attempt.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self {
            share,
            tokens: INITIAL_TOKENS,
        }
    }

    /// Adds the share of one first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(INITIAL_TOKENS * 10.0);
    }

    /// Takes one retry. Returns false if the budget is exhausted.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
