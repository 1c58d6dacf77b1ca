//! Requests in flight.

use std::sync::Arc;

use super::ceilings::CeilingGuard;
use crate::in_flight;
use crate::metrics;

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    metrics: Arc<metrics::Metrics>,
    ceilings: Vec<CeilingGuard>,
    _in_flight: in_flight::Guard,
}

impl RequestGuard {
    /// Counts a request.
    #[must_use]
    pub fn new(metrics: Arc<metrics::Metrics>, in_flight: &in_flight::InFlight) -> Self {
        metrics.in_flight.inc();
        Self { metrics, ceilings: Vec::new(), _in_flight: in_flight.enter() }
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
