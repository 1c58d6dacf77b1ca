//! Rates of the weight store.

/// Loads a second that the store sustains.
const RATE_PER_S: u64 = 3;
const BURST: u64 = 8;
/// Loads that the store serves at full speed.
const FULL_SPEED_IN_FLIGHT: usize = 8;
const LOAD_MS: u64 = 250;
const INTERVAL_MS: u64 = 1_000 / RATE_PER_S;

/// Decides how long each load takes.
#[derive(Debug, Default)]
pub struct WeightGate {
    /// Time at which the token bucket is full again.
    full_at_ms: u64,
    in_flight: usize,
}

impl WeightGate {
    /// Starts a load and returns how long it takes.
    ///
    /// A load takes 0.25 s while at most 8 are in flight and proportionally longer beyond; before
    /// that it waits for the token bucket (3 a second, burst of 8).
    pub fn start(&mut self, now_ms: u64) -> u64 {
        self.in_flight += 1;
        self.full_at_ms = self.full_at_ms.max(now_ms) + INTERVAL_MS;
        let wait_ms = (self.full_at_ms - now_ms).saturating_sub(BURST * INTERVAL_MS);
        let slowed = self.in_flight.max(FULL_SPEED_IN_FLIGHT) as u64;
        wait_ms + LOAD_MS * slowed / FULL_SPEED_IN_FLIGHT as u64
    }

    /// Ends a load.
    pub fn finish(&mut self) {
        self.in_flight -= 1;
    }

    /// Returns the loads in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }
}
