//! The daemon's clock.

use nix::time::{ClockId, clock_gettime};

/// Returns milliseconds of a clock that goes on while the machine is suspended.
///
/// Leases are judged by it: a holder that was suspended must notice that its lease has expired.
#[must_use]
pub fn now_ms() -> u64 {
    let Ok(time) = clock_gettime(ClockId::CLOCK_BOOTTIME) else { return 0 };
    let seconds = u64::try_from(time.tv_sec()).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec()).unwrap_or(0);
    seconds * 1_000 + nanoseconds / 1_000_000
}
