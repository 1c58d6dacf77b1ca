//! Observed service time of an engine.

/// Moving average of the time that a request occupies a batch place, per token of predicted cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    ms_per_token: Option<f64>,
}

impl ServiceTime {
    /// Weight of the newest observation in the exponentially weighted moving average.
    const EWMA_WEIGHT: f64 = 0.1;

    /// Records a completed request.
    pub fn record(&mut self, duration_ms: u64, tokens: u64) {
        let observed = duration_ms as f64 / tokens.max(1) as f64;
        let mean = self.ms_per_token.unwrap_or(observed);
        self.ms_per_token = Some(mean + (observed - mean) * Self::EWMA_WEIGHT);
    }

    /// Estimates the service time of a number of tokens; 0 before the first observation, so that no
    /// request is refused without data.
    #[must_use]
    pub fn estimate_ms(&self, tokens: f64) -> f64 {
        self.ms_per_token.unwrap_or(0.0) * tokens
    }
}
