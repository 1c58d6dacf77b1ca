//! Demand of a team at one daemon.

/// Time constant of the average.
///
/// Short enough that a share follows callers that move, long enough that single requests do not
/// make it jump.
const TIME_CONSTANT_MS: f64 = 2_000.0;

/// Requests per time constant below which no share is needed.
///
/// A share that fills a bucket between rare requests is mostly lost when it moves on; such requests
/// get their tokens from the exchange one by one.
const RARE_REQUESTS: f64 = 1.5;

/// Moving average of the tokens per second that callers ask for, admitted or not.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    tokens_per_ms: f64,
    /// Requests per time constant.
    requests: f64,
    updated_ms: u64,
}

impl Demand {
    /// Records a request.
    pub(super) fn record(&mut self, cost: f64, now_ms: u64) {
        let decay = self.decay(now_ms);
        self.tokens_per_ms = self.tokens_per_ms * decay + cost / TIME_CONSTANT_MS;
        self.requests = self.requests * decay + 1.0;
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Returns the average.
    pub(super) fn tokens_per_ms(&self, now_ms: u64) -> f64 {
        self.tokens_per_ms * self.decay(now_ms)
    }

    /// Returns the average, less what is left to single tokens from the exchange.
    pub(super) fn steady_tokens_per_ms(&self, now_ms: u64) -> f64 {
        let decay = self.decay(now_ms);
        let requests = self.requests * decay;
        if requests <= RARE_REQUESTS {
            return 0.0;
        }
        self.tokens_per_ms * decay * (1.0 - RARE_REQUESTS / requests)
    }

    /// Returns the average cost of a request.
    pub(super) fn mean_cost(&self) -> f64 {
        if self.requests > 0.0 {
            self.tokens_per_ms * TIME_CONSTANT_MS / self.requests
        } else {
            0.0
        }
    }

    fn decay(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        (-elapsed_ms / TIME_CONSTANT_MS).exp()
    }
}
