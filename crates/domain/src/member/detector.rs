//! Failure detectors.

/// Decides from the arrival times of heartbeats whether their sender is suspected.
pub trait Detector {
    /// Returns a detector with the same settings whose silence starts now.
    #[must_use]
    fn restarted(&self, now_ms: u64) -> Self;

    /// Records a heartbeat.
    fn arrived(&mut self, now_ms: u64);

    /// Returns the time from which the sender is suspected unless another heartbeat arrives.
    ///
    /// The time may lie in the past.
    fn suspected_from_ms(&self) -> u64;

    /// Tells whether the sender is suspected.
    fn suspects(&self, now_ms: u64) -> bool {
        now_ms >= self.suspected_from_ms()
    }
}
