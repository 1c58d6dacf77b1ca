//! Failure detectors.

/// Decides from heartbeat arrival times whether the sender is suspected to have failed.
pub trait Detector {
    /// Returns a detector with the same settings that counts silence from `now_ms`.
    #[must_use]
    fn restarted(&self, now_ms: u64) -> Self;

    /// Records the arrival of a heartbeat.
    fn record_heartbeat(&mut self, now_ms: u64);

    /// Returns the time, possibly in the past, from which the sender is suspected if no further
    /// heartbeat arrives.
    fn suspected_from_ms(&self) -> u64;

    /// Returns whether the sender is suspected.
    fn suspects(&self, now_ms: u64) -> bool {
        now_ms >= self.suspected_from_ms()
    }
}
