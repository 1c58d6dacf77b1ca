//! Monotonic clock.

use std::time::Instant;

/// Monotonic clock that counts milliseconds from its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Creates a clock that starts at 0.
    #[must_use]
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Returns the milliseconds since the clock was created.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
