//! A request in the scheduler of a worker.

use crate::adapter;
use crate::name;
use crate::request;

/// Waiting time after which a request is raised by one class, so that strict class order starves no
/// request for longer than twice this time.
const CLASS_AGING_MS: u64 = 10_000;
/// Tokens by which each millisecond of waiting lowers the aged cost: after 4 s, a request of 8,000
/// tokens ranks like a new one without cost.
const AGING_TOKENS_PER_MS: f64 = 2.0;

/// A request in the scheduler of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Request id.
    pub request_id: name::RequestId,
    /// Requested adapter version.
    pub adapter: adapter::AdapterRef,
    /// Team of the caller.
    pub team: name::TeamName,
    /// Weight of the team in fair queueing within a class.
    pub weight: u32,
    /// Relative share of a full queue that the team may hold.
    pub share: u32,
    /// Scheduling class.
    pub class: request::Class,
    /// Predicted cost of prompt and output.
    pub cost_tokens: u64,
    /// Time of arrival.
    pub submitted_ms: u64,
    /// Time by which the answer must be complete.
    pub deadline_ms: u64,
}

impl Job {
    /// Returns the time since the request arrived.
    #[must_use]
    pub fn waited_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.submitted_ms)
    }

    /// Returns the class after aging.
    #[must_use]
    pub fn aged_class(&self, now_ms: u64) -> request::Class {
        match (self.class, self.waited_ms(now_ms) / CLASS_AGING_MS) {
            (class, 0) => class,
            (request::Class::Bulk, 1) => request::Class::Normal,
            _ => request::Class::Urgent,
        }
    }

    /// Returns the rank within a team, lowest first: the predicted cost, lowered by the waiting time.
    #[must_use]
    pub fn aged_cost(&self, now_ms: u64) -> f64 {
        self.cost_tokens as f64 - self.waited_ms(now_ms) as f64 * AGING_TOKENS_PER_MS
    }
}
