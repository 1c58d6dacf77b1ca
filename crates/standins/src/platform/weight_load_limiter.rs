//! Rate and bandwidth limits of the weight store.

/// Sustained rate of the token bucket.
const LOADS_PER_SECOND: u64 = 3;
const BURST_LOADS: u64 = 8;
/// Concurrent loads served at full speed.
const FULL_SPEED_LOADS: usize = 8;
const MIN_LOAD_MS: u64 = 250;
const LOAD_INTERVAL_MS: u64 = 1_000 / LOADS_PER_SECOND;

/// Computes the duration of each load.
#[derive(Debug, Default)]
pub struct WeightLoadLimiter {
    /// Time at which the token bucket will be full.
    full_at_ms: u64,
    in_flight: usize,
}

impl WeightLoadLimiter {
    /// Starts a load and returns its duration in milliseconds, including the wait for a token.
    ///
    /// The token bucket allows 3 loads per second with a burst of 8. A load takes 0.25 s while at
    /// most 8 are in flight, and proportionally longer beyond that.
    pub fn start(&mut self, now_ms: u64) -> u64 {
        self.in_flight += 1;
        self.full_at_ms = self.full_at_ms.max(now_ms) + LOAD_INTERVAL_MS;
        let wait_ms = (self.full_at_ms - now_ms).saturating_sub(BURST_LOADS * LOAD_INTERVAL_MS);
        let concurrent_loads = self.in_flight.max(FULL_SPEED_LOADS) as u64;
        wait_ms + MIN_LOAD_MS * concurrent_loads / FULL_SPEED_LOADS as u64
    }

    /// Records the end of a load.
    pub fn finish(&mut self) {
        self.in_flight -= 1;
    }

    /// Returns the number of loads in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }
}
