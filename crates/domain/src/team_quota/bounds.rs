//! Bounds of the rule for quotas.

/// Bounds of the rule for quotas, the same for all teams.
///
/// In any window, a team's tokens must not exceed
/// (rate x window + burst) x (1 + overage) + slack.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Window over which tokens are counted.
    pub window_ms: u64,
    /// Share by which the limit may be exceeded.
    pub overage: f64,
    /// Tokens by which the limit may be exceeded as well.
    pub slack_tokens: f64,
}

impl QuotaBounds {
    /// Returns the most tokens of a team in one window.
    #[must_use]
    pub fn max_tokens(&self, rate_per_s: f64, burst: f64) -> f64 {
        let nominal = rate_per_s * self.window_ms as f64 / 1_000.0 + burst;
        nominal * (1.0 + self.overage) + self.slack_tokens
    }
}
