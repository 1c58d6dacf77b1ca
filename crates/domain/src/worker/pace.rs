//! Observed pace of an engine.

/// Observed time that a request takes for each token of its cost while it holds a batch place.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    ms_per_token: Option<f64>,
}

impl Pace {
    /// Weight of the newest observation.
    const NEWEST_WEIGHT: f64 = 0.1;

    /// Takes in a finished request.
    pub fn record(&mut self, duration_ms: u64, tokens: u64) {
        let observed = duration_ms as f64 / tokens.max(1) as f64;
        let known = self.ms_per_token.unwrap_or(observed);
        self.ms_per_token = Some(known + (observed - known) * Self::NEWEST_WEIGHT);
    }

    /// Returns the time that a number of tokens takes; 0 before the first observation, so that
    /// nothing is refused on a guess.
    #[must_use]
    pub fn time_ms(&self, tokens: f64) -> f64 {
        self.ms_per_token.unwrap_or(0.0) * tokens
    }
}
