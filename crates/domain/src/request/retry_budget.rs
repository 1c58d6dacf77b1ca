//! Budget for retries and hedged requests.

/// Largest balance, in extra requests, so that a few failures at low load can be retried too.
const MAX_BALANCE: u32 = 10;
const PERCENT: u32 = 100;

/// Token bucket that limits extra requests to a percentage of all requests.
///
/// Without the limit, retries after the failure of many workers would overload the others.
///
/// ```
/// use jasminetack_domain::request;
///
/// let mut budget = request::RetryBudget::new(10);
/// while budget.try_withdraw() {}
/// for _ in 0..10 {
///     budget.count_request();
/// }
/// assert!(budget.try_withdraw());
/// assert!(!budget.try_withdraw());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    percent: u32,
    balance_percent: u32,
}

impl RetryBudget {
    /// Creates a full budget that allows `percent` extra requests per 100 requests.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        let balance_percent = if percent == 0 { 0 } else { MAX_BALANCE * PERCENT };
        Self { percent, balance_percent }
    }

    /// Credits the budget for one caller request.
    pub fn count_request(&mut self) {
        let balance_percent = self.balance_percent.saturating_add(self.percent);
        self.balance_percent = balance_percent.min(MAX_BALANCE * PERCENT);
    }

    /// Withdraws one extra request; returns `false` if the balance is too low.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance_percent < PERCENT {
            return false;
        }
        self.balance_percent -= PERCENT;
        true
    }
}
