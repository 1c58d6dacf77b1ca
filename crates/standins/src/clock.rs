//! Monotonic time of a stand-in.

use std::time::Instant;

/// Milliseconds since the stand-in started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts at 0.
    #[must_use]
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Returns the present time.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
