//! Orders that a worker may still execute and of which its holder has no record.

use super::LATE_ORDER_WINDOW_MS;

/// Maximum difference between the clocks of two machines, as the platform guarantees it.
const MAX_CLOCK_SKEW_MS: u64 = 6_000;

/// Times until which a worker may execute orders of which its holder has no record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnrecordedOrders {
    /// End for orders of earlier holders, and of this daemon before it claimed the worker. It matters
    /// only if the worker does not check preconditions.
    pub until_ms: u64,
    /// End for orders to the worker's previous process, whose preconditions may hold by chance.
    pub restart_until_ms: u64,
}

impl UnrecordedOrders {
    /// Returns the times for a worker that this daemon claims now and that started at
    /// `started_unix_ms`, according to its own clock; 0 means that the start is unknown. A worker that
    /// no daemon held before, `was_held`, has got no orders.
    #[must_use]
    pub fn after_claim(
        was_held: bool,
        started_unix_ms: u64,
        now_unix_ms: u64,
        now_ms: u64,
    ) -> Self {
        if !was_held {
            return Self { until_ms: now_ms, restart_until_ms: now_ms };
        }
        let safe_unix_ms = started_unix_ms + LATE_ORDER_WINDOW_MS + MAX_CLOCK_SKEW_MS;
        let left_ms = match started_unix_ms {
            0 => LATE_ORDER_WINDOW_MS,
            _ => safe_unix_ms.saturating_sub(now_unix_ms).min(LATE_ORDER_WINDOW_MS),
        };
        Self { until_ms: now_ms + LATE_ORDER_WINDOW_MS, restart_until_ms: now_ms + left_ms }
    }

    /// Returns the times for a worker that was seen to restart now.
    #[must_use]
    pub fn after_restart(now_ms: u64) -> Self {
        let until_ms = now_ms + LATE_ORDER_WINDOW_MS;
        Self { until_ms, restart_until_ms: until_ms }
    }
}
