//! Memory of a worker for prompts and answers.

/// Longest time for which a cached segment is assumed to be held.
const MAX_RETENTION_MS: f64 = 20_000.0;

/// Memory of a worker for prompts and answers, and what the running requests take of it.
///
/// Running requests and cached segments share the memory, and the least recently used segments are evicted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerMemory {
    /// Tokens that fit into the memory; `None` if it is not known.
    pub capacity_tokens: Option<u32>,
    /// Tokens of the requests in flight, over all daemons.
    pub in_flight_tokens: u32,
    /// Mean time of a request.
    pub request_ms: f64,
}

impl WorkerMemory {
    /// Returns the tokens that fit beside the running requests; `None` if the capacity is not known.
    #[must_use]
    pub fn room_tokens(&self) -> Option<u32> {
        Some(self.capacity_tokens?.saturating_sub(self.in_flight_tokens))
    }

    /// Predicts for how long a segment is held after its last use.
    ///
    /// The requests in flight are replaced once in the time of a request, and each token of the next ones
    /// takes the place of the segment used longest ago.
    #[must_use]
    pub fn retention_ms(&self) -> u64 {
        let Some(room_tokens) = self.room_tokens() else { return MAX_RETENTION_MS as u64 };
        let tokens_per_ms = f64::from(self.in_flight_tokens) / self.request_ms.max(1.0);
        if tokens_per_ms <= 0.0 {
            return MAX_RETENTION_MS as u64;
        }
        (f64::from(room_tokens) / tokens_per_ms).min(MAX_RETENTION_MS) as u64
    }

    /// Predicts how long a request of this size waits until it fits: the time in which as many tokens of
    /// running requests end as it lacks.
    #[must_use]
    pub fn wait_ms(&self, request_tokens: u32) -> f64 {
        let Some(room_tokens) = self.room_tokens() else { return 0.0 };
        let missing = f64::from(request_tokens.saturating_sub(room_tokens));
        let tokens_per_ms = f64::from(self.in_flight_tokens) / self.request_ms.max(1.0);
        if missing <= 0.0 || tokens_per_ms <= 0.0 { 0.0 } else { missing / tokens_per_ms }
    }
}
