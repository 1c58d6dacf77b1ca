//! Limit of one team.

use super::QuotaBounds;

/// Part of the slack by which buckets are larger than the burst.
const BUCKET_SLACK: f64 = 0.5;
/// Part of the rest of the allowance that debts may use.
///
/// The other half covers restarts and tokens in flight between daemons.
const DEBT_PART: f64 = 0.5;

/// Limit of one team, with the sizes that follow from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// Tokens per second.
    pub rate_per_s: f64,
    /// Tokens that may be used at once.
    pub burst: f64,
    bounds: QuotaBounds,
}

impl TeamLimit {
    /// Creates the limit of a team.
    #[must_use]
    pub fn new(rate_per_s: f64, burst: f64, bounds: QuotaBounds) -> Self {
        Self { rate_per_s, burst, bounds }
    }

    /// Returns the size of the buckets of all daemons together.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.burst + self.bounds.slack_tokens * BUCKET_SLACK
    }

    /// Returns the tokens per millisecond.
    #[must_use]
    pub fn rate_per_ms(&self) -> f64 {
        self.rate_per_s / 1_000.0
    }

    /// Returns the most debt of all daemons together.
    ///
    /// A request may cost more than a daemon's full bucket. If each of 70 daemons could take on a
    /// debt of 9,300 tokens, the sum would be 650,000 tokens, ten times what the rule leaves for a
    /// small team.
    #[must_use]
    pub fn max_debt(&self) -> f64 {
        let bounds = &self.bounds;
        let allowance = bounds.max_tokens(self.rate_per_s, self.burst);
        let nominal = self.rate_per_ms() * bounds.window_ms as f64 + self.capacity();
        (allowance - nominal).max(0.0) * DEBT_PART
    }
}
