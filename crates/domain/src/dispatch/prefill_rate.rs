//! Rate at which engines read prompts.

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use crate::name;

/// Rate before the first measurement, in the middle of current engines on a logarithmic scale.
const INITIAL_TOKENS_PER_MS: f64 = 25.0;
/// Lowest and highest rate that a measurement can lead to.
const MIN_TOKENS_PER_MS: f64 = 2.0;
const MAX_TOKENS_PER_MS: f64 = 500.0;
/// Share by which all earlier measurements fade with each new one.
const FADING: f64 = 1.0 / 256.0;
/// Weight of the initial rate: that of two prompts which differ by 2,000 tokens.
const INITIAL_WEIGHT: f64 = 2_000.0 * 2_000.0;
/// Time above the prediction from which a measurement is cut: it waited for something else.
const MAX_EXCESS_MS: f64 = 300.0;

/// Rate at which the engines of each service read prompts, measured from the times to the first part of
/// answers.
///
/// The time to the first part also contains the network, steps of the batch and other prompts. These do not
/// depend on the prompt, so the rate is the slope of the regression of the time on the unread tokens.
#[derive(Clone, Debug, Default)]
pub struct PrefillRate {
    services: IndexMap<name::ServiceName, Regression, FxBuildHasher>,
}

/// Sums of a linear regression in which earlier measurements fade.
#[derive(Clone, Copy, Debug, Default)]
struct Regression {
    weight: f64,
    tokens: f64,
    time_ms: f64,
    tokens_squared: f64,
    tokens_by_time: f64,
}

impl PrefillRate {
    /// Records the time from sending a request to the first part of its answer.
    pub fn record(&mut self, service: &name::ServiceName, unread_tokens: u32, took_ms: u64) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Regression::default());
        }
        if let Some(regression) = self.services.get_mut(service) {
            regression.record(f64::from(unread_tokens), took_ms as f64);
        }
    }

    /// Returns the rate of a service's engines.
    #[must_use]
    pub fn tokens_per_ms(&self, service: &name::ServiceName) -> f64 {
        self.services.get(service).copied().unwrap_or_default().tokens_per_ms()
    }
}

impl Regression {
    fn record(&mut self, tokens: f64, took_ms: f64) {
        let time_ms = match self.mean_ms() {
            Some(mean_ms) => {
                let beyond = tokens - self.tokens / self.weight;
                took_ms.min(mean_ms + beyond / self.tokens_per_ms() + MAX_EXCESS_MS)
            }
            None => took_ms,
        };
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.time_ms,
            &mut self.tokens_squared,
            &mut self.tokens_by_time,
        ] {
            *sum *= 1.0 - FADING;
        }
        self.weight += 1.0;
        self.tokens += tokens;
        self.time_ms += time_ms;
        self.tokens_squared += tokens * tokens;
        self.tokens_by_time += tokens * time_ms;
    }

    fn mean_ms(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.time_ms / self.weight)
    }

    fn tokens_per_ms(&self) -> f64 {
        let weight = self.weight.max(1.0);
        let variance = self.tokens_squared - self.tokens * self.tokens / weight;
        let covariance = self.tokens_by_time - self.tokens * self.time_ms / weight;
        let ms_per_token = (covariance + INITIAL_WEIGHT / INITIAL_TOKENS_PER_MS)
            / (variance.max(0.0) + INITIAL_WEIGHT);
        (1.0 / ms_per_token.max(1.0 / MAX_TOKENS_PER_MS)).max(MIN_TOKENS_PER_MS)
    }
}
