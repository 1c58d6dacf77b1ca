//! Demand for an adapter that a worker does not hold.

/// Maximum age of the newest request for its answer to start before the deadline after a load.
const FRESH_MS: u64 = 600;

/// Demand for one adapter version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AdapterDemand {
    /// Version; 0 means the newest.
    pub version: u32,
    /// Time of the first request.
    pub since_ms: u64,
    /// Time of the last confirmation.
    pub confirmed_ms: u64,
    /// Time of the newest request.
    pub newest_ms: u64,
    /// Time before which no load is started.
    pub start_ms: u64,
    /// Number of requests.
    pub requests: u32,
}

impl AdapterDemand {
    /// Returns the sort key; the demand with the lowest key is served first.
    ///
    /// Demands that a load can still serve in time come first, then those with the most requests,
    /// then the oldest.
    pub fn rank(&self, now_ms: u64) -> (bool, std::cmp::Reverse<u32>, u64) {
        let is_late = now_ms.saturating_sub(self.newest_ms) > FRESH_MS;
        (is_late, std::cmp::Reverse(self.requests), self.since_ms)
    }
}
