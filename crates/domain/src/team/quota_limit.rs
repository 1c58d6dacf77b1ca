//! Limits of a team's requests.

use super::QuotaUnit;
use crate::dispatch;

/// Rate that a team may use over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Unit of the other fields.
    pub unit: QuotaUnit,
    /// Units per second.
    pub rate_per_s: f64,
    /// Units that may be used at once in addition.
    pub burst: f64,
    /// Cost of a request that does not state its size, if tokens are counted.
    pub default_cost: u64,
}

impl QuotaLimit {
    /// Returns the units that a request uses; `size` is the size that it states.
    #[must_use]
    pub fn cost(&self, size: Option<dispatch::RequestSize>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens => size.map_or(self.default_cost, |size| {
                u64::from(size.prompt_tokens) + u64::from(size.answer_tokens)
            }),
        }
    }
}
