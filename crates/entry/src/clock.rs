//! The daemon's monotonic clock.

use std::time::Instant;

/// Monotonic clock that counts milliseconds since the daemon started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Returns the present time.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
