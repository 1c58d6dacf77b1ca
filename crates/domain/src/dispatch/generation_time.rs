//! How long generations take.

/// Weight of the latest generation in the mean.
const WEIGHT: f64 = 1.0 / 64.0;
/// Mean before any generation has ended: a hundred tokens at ten milliseconds each.
const INITIAL_MS: f64 = 1_000.0;

/// Mean time from the first to the last part of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GenerationTime {
    mean_ms: f64,
}

impl GenerationTime {
    /// Takes in a generation that has ended.
    pub fn record(&mut self, took_ms: u64) {
        self.mean_ms += (took_ms as f64 - self.mean_ms) * WEIGHT;
    }

    /// Returns the mean time in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }
}

impl Default for GenerationTime {
    fn default() -> Self {
        Self { mean_ms: INITIAL_MS }
    }
}
