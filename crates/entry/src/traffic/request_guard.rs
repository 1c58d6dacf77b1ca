//! Accounting of requests in flight.

use std::sync::Arc;

use parking_lot::Mutex;

use super::concurrency_limiter::ConcurrencyPermit;
use crate::in_flight;
use crate::metrics;

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    metrics: Arc<metrics::Metrics>,
    permits: Vec<ConcurrencyPermit>,
    _in_flight: in_flight::Guard,
}

/// Guards of requests whose responses are complete but may not be flushed to the connection.
///
/// Without them, a process that stops when no request is in flight would cut off the end of a
/// response that waits for a slow caller.
#[derive(Clone, Debug, Default)]
pub struct UnflushedResponses {
    guards: Arc<Mutex<Vec<RequestGuard>>>,
}

impl RequestGuard {
    /// Starts to count a request.
    #[must_use]
    pub fn new(metrics: Arc<metrics::Metrics>, in_flight: &in_flight::InFlight) -> Self {
        metrics.in_flight.inc();
        Self { metrics, permits: Vec::new(), _in_flight: in_flight.enter() }
    }

    /// Keeps a concurrency permit until the guard is dropped.
    pub fn add_permit(&mut self, permit: Option<ConcurrencyPermit>) {
        self.permits.extend(permit);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.metrics.in_flight.dec();
    }
}

impl UnflushedResponses {
    /// Keeps the guard of a request until its connection is flushed or closed.
    pub fn add(&self, guard: RequestGuard) {
        self.guards.lock().push(guard);
    }

    /// Drops the guards, after a flush of the connection.
    pub fn clear(&self) {
        self.guards.lock().clear();
    }
}
