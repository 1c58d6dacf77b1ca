//! Rate at which the waiting loads of a worker start.

/// Mean interval before the first observation: three loads of a quarter of a second at once.
const INITIAL_INTERVAL_MS: f64 = 80.0;
/// Weight of the latest interval in the moving average.
const WEIGHT: f64 = 0.2;
/// Longest wait that is published.
const MAX_WAIT_MS: f64 = 30_000.0;
/// Resolution of the published wait, so that small changes are not published.
const RESOLUTION_MS: u32 = 100;

/// Moving average of the time between two starts of loads while others wait.
///
/// The interval grows when all slots are in use and a load must wait until one becomes idle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LoadTurnover {
    interval_ms: f64,
    /// Time of the last start, or since when loads wait.
    since_ms: u64,
    waiting: usize,
}

impl LoadTurnover {
    /// Updates the rate after a decision that started some of the waiting loads.
    pub fn update(&mut self, started: usize, waiting: usize, now_ms: u64) {
        if self.waiting == 0 {
            self.since_ms = now_ms;
        } else if started > 0 {
            let interval_ms = now_ms.saturating_sub(self.since_ms) as f64 / started as f64;
            self.interval_ms += (interval_ms - self.interval_ms) * WEIGHT;
            self.since_ms = now_ms;
        }
        self.waiting = waiting;
    }

    /// Predicts how long a further load would wait for its start.
    pub fn wait_ms(&self, now_ms: u64) -> u32 {
        if self.waiting == 0 {
            return 0;
        }
        let current_ms = now_ms.saturating_sub(self.since_ms) as f64;
        let wait_ms = self.waiting as f64 * self.interval_ms.max(current_ms);
        wait_ms.min(MAX_WAIT_MS) as u32 / RESOLUTION_MS * RESOLUTION_MS
    }
}

impl Default for LoadTurnover {
    fn default() -> Self {
        Self { interval_ms: INITIAL_INTERVAL_MS, since_ms: 0, waiting: 0 }
    }
}
