//! Latency of one worker, measured on its answers.

/// Half-life of an observation.
const HALF_LIFE_MS: f64 = 2_000.0;

/// Exponentially decayed mean.
#[derive(Clone, Copy, Debug, Default)]
struct DecayedMean {
    sum_ms: f64,
    weight: f64,
    at_ms: u64,
}

impl DecayedMean {
    fn record(&mut self, value_ms: f64, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let kept = (-age_ms / HALF_LIFE_MS).exp2();
        self.sum_ms = self.sum_ms * kept + value_ms;
        self.weight = self.weight * kept + 1.0;
        self.at_ms = now_ms;
    }

    fn mean_ms(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum_ms / self.weight)
    }
}

/// Exponentially decayed latencies of one worker, and since when it has been slow.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerLatency {
    first_token: DecayedMean,
    between_tokens: DecayedMean,
    slow_since_ms: Option<u64>,
    probed_ms: Option<u64>,
}

impl WorkerLatency {
    /// Records the time to a first token.
    pub fn record_first_token(&mut self, elapsed_ms: f64, now_ms: u64) {
        self.first_token.record(elapsed_ms, now_ms);
    }

    /// Records the time between two tokens.
    pub fn record_between_tokens(&mut self, elapsed_ms: f64, now_ms: u64) {
        self.between_tokens.record(elapsed_ms, now_ms);
    }

    /// Returns the time to the first token.
    #[must_use]
    pub fn first_token_ms(&self) -> Option<f64> {
        self.first_token.mean_ms()
    }

    /// Returns the time between tokens.
    #[must_use]
    pub fn between_tokens_ms(&self) -> Option<f64> {
        self.between_tokens.mean_ms()
    }

    /// Records whether the worker is currently slow compared with others.
    pub(super) fn set_slow(&mut self, is_slow: bool, now_ms: u64) {
        if !is_slow {
            self.slow_since_ms = None;
            return;
        }
        self.slow_since_ms.get_or_insert(now_ms);
    }

    /// Returns since when the worker has been slow.
    #[must_use]
    pub fn slow_since_ms(&self) -> Option<u64> {
        self.slow_since_ms
    }

    pub(super) fn probed_ms(&self) -> Option<u64> {
        self.probed_ms
    }

    pub(super) fn record_probe(&mut self, now_ms: u64) {
        self.probed_ms = Some(now_ms);
    }
}
