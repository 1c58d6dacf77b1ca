//! Token bucket.

/// Token bucket whose rate and capacity are given with each call, since shares change.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    /// Tokens; negative while there is a debt.
    level: f64,
    /// Tokens beyond the capacity, granted for a waiting request.
    extra: f64,
    extra_until_ms: u64,
    updated_ms: u64,
}

impl TokenBucket {
    /// Creates a bucket.
    #[must_use]
    pub fn new(level: f64, now_ms: u64) -> Self {
        Self { level, updated_ms: now_ms, ..Self::default() }
    }

    /// Returns the time up to which the bucket has been filled.
    #[must_use]
    pub fn updated_ms(&self) -> u64 {
        self.updated_ms
    }

    /// Fills the bucket up to a time; a bucket above its capacity is cut to it.
    pub fn fill(&mut self, rate_per_ms: f64, capacity: f64, until_ms: u64) {
        let elapsed_ms = until_ms.saturating_sub(self.updated_ms) as f64;
        self.level = (self.level + rate_per_ms * elapsed_ms).min(capacity);
        self.updated_ms = self.updated_ms.max(until_ms);
        if self.extra_until_ms <= self.updated_ms {
            self.extra = 0.0;
        }
    }

    /// Returns the tokens that can be taken.
    #[must_use]
    pub fn available(&self) -> f64 {
        self.level + self.extra
    }

    /// Returns the tokens within the capacity.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Takes tokens, first those beyond the capacity; the level may become negative.
    pub fn take(&mut self, tokens: f64) {
        let from_extra = tokens.min(self.extra);
        self.extra -= from_extra;
        self.level -= tokens - from_extra;
    }

    /// Adds tokens; those that exceed the capacity can be used until `extra_until_ms`.
    pub fn add(&mut self, tokens: f64, capacity: f64, extra_until_ms: u64) {
        let room = (capacity - self.level).max(0.0).min(tokens);
        self.level += room;
        if tokens > room {
            self.extra += tokens - room;
            self.extra_until_ms = extra_until_ms;
        }
    }
}
