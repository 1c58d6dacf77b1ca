//! Demand for an adapter that a worker does not hold.

/// Age of the newest request up to which its answer can still begin in time after a load.
const FRESH_MS: u64 = 600;

/// Demand for one adapter version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Want {
    /// Version; 0 for the newest.
    pub version: u32,
    /// When the demand arose.
    pub since_ms: u64,
    /// When it was last confirmed.
    pub confirmed_ms: u64,
    /// When the newest request came.
    pub newest_ms: u64,
    /// Requests that have asked.
    pub requests: u32,
}

impl Want {
    /// Returns the rank among all demands; the lowest is met first.
    ///
    /// While loads are scarce, those that can still be in time go before those that cannot, and then
    /// those for which most requests wait.
    pub fn rank(&self, now_ms: u64) -> (bool, std::cmp::Reverse<u32>, u64) {
        let is_late = now_ms.saturating_sub(self.newest_ms) > FRESH_MS;
        (is_late, std::cmp::Reverse(self.requests), self.since_ms)
    }
}
