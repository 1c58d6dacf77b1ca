//! Monotonic and wall clocks of the daemon.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock that counts milliseconds since the daemon started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Creates a clock that starts at zero.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Returns the milliseconds since the clock was created.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, for timestamps that other
/// hosts read.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
