//! Failure detector with a fixed timeout.

use super::Detector;

/// Suspects a sender after a fixed time of silence.
#[derive(Clone, Debug)]
pub struct FixedTimeout {
    timeout_ms: u64,
    last_ms: u64,
}

impl FixedTimeout {
    /// Creates a detector that counts silence from `now_ms`.
    #[must_use]
    pub fn new(timeout_ms: u64, now_ms: u64) -> Self {
        Self { timeout_ms, last_ms: now_ms }
    }
}

impl Detector for FixedTimeout {
    fn restarted(&self, now_ms: u64) -> Self {
        Self::new(self.timeout_ms, now_ms)
    }

    fn record_heartbeat(&mut self, now_ms: u64) {
        self.last_ms = now_ms;
    }

    fn suspected_from_ms(&self) -> u64 {
        self.last_ms + self.timeout_ms
    }
}
