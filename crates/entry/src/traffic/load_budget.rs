//! Limit on concurrent adapter loads.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::Notify;

/// Counts the loads that this daemon has in flight, up to its share of the fleet's limit.
#[derive(Debug)]
pub struct LoadBudget {
    counts: Mutex<Counts>,
    released: Notify,
}

#[derive(Debug)]
struct Counts {
    limit: usize,
    in_flight: usize,
}

impl LoadBudget {
    /// Creates a budget of at least one load.
    pub fn new(limit: usize) -> Arc<Self> {
        let counts = Counts { limit: limit.max(1), in_flight: 0 };
        Arc::new(Self { counts: Mutex::new(counts), released: Notify::new() })
    }

    /// Sets the limit, which is at least one; loads in flight continue.
    pub fn set_limit(&self, limit: usize) {
        self.counts.lock().limit = limit.max(1);
        self.released.notify_waiters();
    }

    /// Calls `plan` with the number of loads that may start, and counts the number of started loads
    /// that it returns along with its result.
    pub fn reserve<Planned, Plan>(&self, plan: Plan) -> Planned
    where
        Plan: FnOnce(usize) -> (usize, Planned),
    {
        let mut counts = self.counts.lock();
        let (started, planned) = plan(counts.limit.saturating_sub(counts.in_flight));
        counts.in_flight += started;
        planned
    }

    /// Releases the reservation of a load that has ended.
    pub fn release(&self) {
        let mut counts = self.counts.lock();
        counts.in_flight = counts.in_flight.saturating_sub(1);
        drop(counts);
        self.released.notify_waiters();
    }

    /// Waits until a load ends or the limit changes.
    pub async fn released(&self) {
        self.released.notified().await;
    }
}
