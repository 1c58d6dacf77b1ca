//! Mean duration of generations.

/// Lowest weight of the latest generation in the moving average.
const MIN_WEIGHT: f64 = 1.0 / 64.0;
/// Generations that the initial values count for. Engines differ by a factor of five, and a daemon that has
/// just started would refuse requests for as long as it takes them to be slow ones.
const INITIAL_WEIGHT: f64 = 2.0;
/// Initial mean: 100 tokens at 10 ms each.
const INITIAL_MS: f64 = 1_000.0;
/// Initial mean time of one token.
const INITIAL_TOKEN_MS: f64 = 10.0;

/// Moving average of the time from the first to the last part of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GenerationTime {
    mean_ms: f64,
    /// Mean time of one token of the requested maximum.
    token_ms: f64,
    /// Number of recorded generations.
    generations: u32,
}

impl GenerationTime {
    /// Records a generation of at most `answer_tokens`.
    pub fn record(&mut self, took_ms: u64, answer_tokens: u32) {
        self.generations = self.generations.saturating_add(1);
        let weight = (1.0 / (f64::from(self.generations) + INITIAL_WEIGHT)).max(MIN_WEIGHT);
        self.mean_ms += (took_ms as f64 - self.mean_ms) * weight;
        let token_ms = took_ms as f64 / f64::from(answer_tokens.max(1));
        self.token_ms += (token_ms - self.token_ms) * weight;
    }

    /// Predicts the time of a generation of at most `answer_tokens`.
    #[must_use]
    pub fn predict_ms(&self, answer_tokens: u32) -> f64 {
        self.token_ms * f64::from(answer_tokens)
    }

    /// Returns the mean time in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }
}

impl Default for GenerationTime {
    fn default() -> Self {
        Self { mean_ms: INITIAL_MS, token_ms: INITIAL_TOKEN_MS, generations: 0 }
    }
}
