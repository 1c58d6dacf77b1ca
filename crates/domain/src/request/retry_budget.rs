//! Budget of retries and hedged requests.

/// Retries that may be saved up, so that a few failures at low load are retried too.
const MAX_SAVED: u32 = 10;
const PERCENT: u32 = 100;

/// Token bucket that limits extra requests to a part of all requests.
///
/// A failure of many workers would otherwise multiply the load on the rest.
///
/// ```
/// use jasminetack_domain::request;
///
/// let mut budget = request::RetryBudget::new(10);
/// while budget.take() {}
/// for _ in 0..10 {
///     budget.count_request();
/// }
/// assert!(budget.take());
/// assert!(!budget.take());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    percent: u32,
    saved_percent: u32,
}

impl RetryBudget {
    /// Creates a full budget of `percent` extra requests in 100.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        let saved_percent = if percent == 0 { 0 } else { MAX_SAVED * PERCENT };
        Self { percent, saved_percent }
    }

    /// Counts a request of a caller.
    pub fn count_request(&mut self) {
        let saved_percent = self.saved_percent.saturating_add(self.percent);
        self.saved_percent = saved_percent.min(MAX_SAVED * PERCENT);
    }

    /// Takes the right to send one extra request; returns whether there was one.
    pub fn take(&mut self) -> bool {
        if self.saved_percent < PERCENT {
            return false;
        }
        self.saved_percent -= PERCENT;
        true
    }
}
