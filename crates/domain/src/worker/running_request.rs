//! Requests in flight at an engine.

use super::Job;
use super::service_time::ServiceTime;
use crate::adapter;

/// A request that was sent to the engine and has not ended yet.
#[derive(Clone, Debug)]
pub struct RunningRequest {
    pub job: Job,
    pub instance: adapter::InstanceName,
    pub started_ms: u64,
    pub is_long: bool,
}

impl RunningRequest {
    /// Predicts how much longer the request occupies its batch place.
    pub fn remaining_ms(&self, service_time: &ServiceTime, now_ms: u64) -> f64 {
        let total_ms = service_time.estimate_ms(self.job.cost_tokens as f64);
        (total_ms - now_ms.saturating_sub(self.started_ms) as f64).max(0.0)
    }
}
