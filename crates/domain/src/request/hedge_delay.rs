//! Time after which a request without a token is sent to a second worker.

use super::Class;

/// Part of requests whose first token comes within the estimate.
const QUANTILE: f64 = 0.95;
/// Part of the estimate by which one sample moves it at most.
const STEP: f64 = 0.05;
/// Samples before the estimate is used.
const MIN_SAMPLES: u32 = 50;
/// Shortest delay; below it a second request costs more than it saves.
const MIN_DELAY_MS: f64 = 20.0;

/// Estimates the p95 time to the first token by class.
///
/// The estimate rises by a step with each sample above it and falls by a step that is 19 times
/// smaller with each sample below it, so that it settles where 95% of samples are below.
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
    /// Records the time to the first token of a request.
    pub fn record(&mut self, class: Class, first_token_ms: u64) {
        let estimate = &mut self.classes[class as usize];
        let first_token_ms = first_token_ms as f64;
        estimate.samples = estimate.samples.saturating_add(1);
        if estimate.samples == 1 {
            estimate.p95_ms = first_token_ms;
        }
        let step_ms = STEP * estimate.p95_ms.max(1.0);
        if first_token_ms > estimate.p95_ms {
            estimate.p95_ms += step_ms * QUANTILE;
        } else {
            estimate.p95_ms -= step_ms * (1.0 - QUANTILE);
        }
    }

    /// Returns the delay, or `None` while too little is known.
    #[must_use]
    pub fn delay_ms(&self, class: Class) -> Option<u64> {
        let estimate = &self.classes[class as usize];
        if estimate.samples < MIN_SAMPLES {
            return None;
        }
        Some(estimate.p95_ms.max(MIN_DELAY_MS) as u64)
    }
}
