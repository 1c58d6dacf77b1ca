//! A request as its worker's owner schedules it.

use crate::adapter;
use crate::name;
use crate::request;

/// Waiting time that raises a request by one class, so that strict class order starves nothing for
/// longer than twice this time.
const CLASS_AGING_MS: u64 = 10_000;
/// Waiting time lowers the rank by this many tokens for each millisecond: a request of 8,000 tokens
/// is level with a new one of no cost after 4 s.
const AGING_TOKENS_PER_MS: f64 = 2.0;

/// A request as its worker's owner schedules it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Request id.
    pub request_id: name::RequestId,
    /// Adapter version that must answer.
    pub adapter: adapter::AdapterRef,
    /// Team of the caller.
    pub team: name::TeamName,
    /// Weight of the team among equal classes.
    pub weight: u32,
    /// Share of the team when the queue is full.
    pub share: u32,
    /// Scheduling class.
    pub class: request::Class,
    /// Predicted cost.
    pub cost_tokens: u64,
    /// When the request arrived.
    pub submitted_ms: u64,
    /// When the answer is of no use any more.
    pub deadline_ms: u64,
}

impl Job {
    /// Returns how long the request has waited.
    #[must_use]
    pub fn waited_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.submitted_ms)
    }

    /// Returns the class raised by waiting.
    #[must_use]
    pub fn aged_class(&self, now_ms: u64) -> request::Class {
        match (self.class, self.waited_ms(now_ms) / CLASS_AGING_MS) {
            (class, 0) => class,
            (request::Class::Bulk, 1) => request::Class::Normal,
            _ => request::Class::Urgent,
        }
    }

    /// Returns the rank within a team: the predicted cost less the waiting time; lowest first.
    #[must_use]
    pub fn aged_cost(&self, now_ms: u64) -> f64 {
        self.cost_tokens as f64 - self.waited_ms(now_ms) as f64 * AGING_TOKENS_PER_MS
    }
}
