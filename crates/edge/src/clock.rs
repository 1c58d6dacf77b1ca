//! Monotonic clock of the daemon.

use nix::time::{ClockId, clock_gettime};

/// Returns the milliseconds since boot, including the time during which the machine was suspended.
///
/// Leases are measured by this clock, so that a holder that was suspended notices that its lease
/// has expired.
#[must_use]
pub fn now_ms() -> u64 {
    let Ok(time) = clock_gettime(ClockId::CLOCK_BOOTTIME) else { return 0 };
    let seconds = u64::try_from(time.tv_sec()).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec()).unwrap_or(0);
    seconds * 1_000 + nanoseconds / 1_000_000
}
