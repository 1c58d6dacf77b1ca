//! Delay after which a request without a first token is hedged on a second worker.

use super::Class;

/// Estimated quantile of the time to first token.
const QUANTILE: f64 = 0.95;
/// Largest change of the estimate by one sample, as a fraction of the estimate.
const MAX_STEP_FRACTION: f64 = 0.05;
/// Number of samples required before the estimate is used.
const MIN_SAMPLES: u32 = 50;
/// Lower bound of the delay; hedging earlier costs more capacity than it saves in latency.
const MIN_DELAY_MS: f64 = 20.0;

/// Online estimate of the p95 time to first token of each class.
///
/// Each sample above the estimate raises it by a step, and each other sample lowers it by a step 19
/// times smaller, so it converges to the value that 95% of the samples don't exceed.
#[derive(Clone, Copy, Debug, Default)]
pub struct HedgeDelay {
    classes: [Estimate; 3],
}

#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    samples: u32,
    p95_ms: f64,
}

impl HedgeDelay {
    /// Records the time to first token of one request.
    pub fn record(&mut self, class: Class, first_token_ms: u64) {
        let estimate = &mut self.classes[class as usize];
        let first_token_ms = first_token_ms as f64;
        estimate.samples = estimate.samples.saturating_add(1);
        if estimate.samples == 1 {
            estimate.p95_ms = first_token_ms;
        }
        let step_ms = MAX_STEP_FRACTION * estimate.p95_ms.max(1.0);
        if first_token_ms > estimate.p95_ms {
            estimate.p95_ms += step_ms * QUANTILE;
        } else {
            estimate.p95_ms -= step_ms * (1.0 - QUANTILE);
        }
    }

    /// Returns the delay, or `None` until enough samples are recorded.
    #[must_use]
    pub fn delay_ms(&self, class: Class) -> Option<u64> {
        let estimate = &self.classes[class as usize];
        if estimate.samples < MIN_SAMPLES {
            return None;
        }
        Some(estimate.p95_ms.max(MIN_DELAY_MS) as u64)
    }
}
