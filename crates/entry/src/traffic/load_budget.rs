//! Limit of adapter loads in flight.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::Notify;

/// Counts the loads that this daemon has in flight against its part of the fleet's limit.
#[derive(Debug)]
pub struct LoadBudget {
    counts: Mutex<Counts>,
    freed: Notify,
}

#[derive(Debug)]
struct Counts {
    limit: usize,
    in_flight: usize,
}

impl LoadBudget {
    /// Creates a budget.
    pub fn new(limit: usize) -> Arc<Self> {
        let counts = Counts { limit: limit.max(1), in_flight: 0 };
        Arc::new(Self { counts: Mutex::new(counts), freed: Notify::new() })
    }

    /// Changes the limit; loads in flight continue.
    pub fn set_limit(&self, limit: usize) {
        self.counts.lock().limit = limit.max(1);
        self.freed.notify_waiters();
    }

    /// Lets `plan` order up to the given number of loads; it returns how many with its result.
    pub fn spend<Planned, Plan>(&self, plan: Plan) -> Planned
    where
        Plan: FnOnce(usize) -> (usize, Planned),
    {
        let mut counts = self.counts.lock();
        let (ordered, planned) = plan(counts.limit.saturating_sub(counts.in_flight));
        counts.in_flight += ordered;
        planned
    }

    /// Counts the end of a load.
    pub fn finish(&self) {
        let mut counts = self.counts.lock();
        counts.in_flight = counts.in_flight.saturating_sub(1);
        drop(counts);
        self.freed.notify_waiters();
    }

    /// Waits until a load may be ordered that could not be before.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }
}
