//! A budget for retries: a share of first attempts, with a small reserve.

/// Retries allowed before any first attempt was counted.
const RESERVE: f64 = 5.0;

/// Tokens that first attempts earn and retries spend.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
}

impl RetryBudget {
    /// A budget of `share` retries for each first attempt.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self {
            share,
            tokens: RESERVE,
        }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(RESERVE * 10.0);
    }

    /// Takes one retry; false when the budget is spent.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
