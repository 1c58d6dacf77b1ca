//! Requests in flight.

use std::sync::Arc;

use super::ceilings::CeilingGuard;
use crate::metrics;

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    metrics: Arc<metrics::Metrics>,
    ceilings: Vec<CeilingGuard>,
}

impl RequestGuard {
    /// Counts a request.
    #[must_use]
    pub fn new(metrics: Arc<metrics::Metrics>) -> Self {
        metrics.in_flight.inc();
        Self { metrics, ceilings: Vec::new() }
    }

    /// Counts the request towards a ceiling for the same time.
    pub fn hold(&mut self, ceiling: Option<CeilingGuard>) {
        self.ceilings.extend(ceiling);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.metrics.in_flight.dec();
    }
}
