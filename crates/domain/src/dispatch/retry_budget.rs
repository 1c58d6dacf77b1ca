//! Retry budget over a sliding window.

use std::collections::VecDeque;

/// Resolution of the window.
const BUCKET_MS: u64 = 500;

/// Limits retries to a share of the requests in the window plus a fixed slack.
///
/// The shares of all daemons add up to the share of the fleet without coordination; the slack is
/// divided by the number of daemons. The budget of a lost daemon is lost with it, so the bound for
/// the fleet holds whichever daemons remain.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window_ms: u64,
    ratio: f64,
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start_ms: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Creates a window that allows `ratio` retries for each request of the last `window_ms`.
    #[must_use]
    pub fn new(window_ms: u64, ratio: f64) -> Self {
        Self { window_ms, ratio, buckets: VecDeque::new() }
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now_ms: u64) {
        self.bucket(now_ms).requests += 1;
    }

    /// Acquires permission for one retry and returns whether the budget allowed it; `slack` is this
    /// daemon's part of the fixed slack.
    pub fn try_acquire(&mut self, slack: f64, now_ms: u64) -> bool {
        self.bucket(now_ms);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        if f64::from(retries + 1) > f64::from(requests) * self.ratio + slack {
            return false;
        }
        self.bucket(now_ms).retries += 1;
        true
    }

    fn bucket(&mut self, now_ms: u64) -> &mut Bucket {
        let start_ms = now_ms / BUCKET_MS * BUCKET_MS;
        // A bucket is kept until its end has left the window.
        let oldest_ms = now_ms.saturating_sub(self.window_ms + BUCKET_MS);
        while self.buckets.front().is_some_and(|bucket| bucket.start_ms < oldest_ms) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.start_ms < start_ms) {
            self.buckets.push_back(Bucket { start_ms, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
