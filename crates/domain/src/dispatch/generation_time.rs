//! Mean duration of generations.

/// Weight of the latest generation in the moving average.
const WEIGHT: f64 = 1.0 / 64.0;
/// Initial mean: 100 tokens at 10 ms each.
const INITIAL_MS: f64 = 1_000.0;

/// Moving average of the time from the first to the last part of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GenerationTime {
    mean_ms: f64,
}

impl GenerationTime {
    /// Records a completed generation.
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
