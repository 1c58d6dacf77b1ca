//! Requests that an engine runs.

use super::Job;
use super::pace::Pace;
use crate::adapter;

/// A request that was sent to the engine and has not ended.
#[derive(Clone, Debug)]
pub struct Running {
    pub job: Job,
    pub instance: adapter::InstanceName,
    pub started_ms: u64,
    pub is_long: bool,
}

impl Running {
    /// Predicts how long the request still holds its batch place.
    pub fn left_ms(&self, pace: &Pace, now_ms: u64) -> f64 {
        let whole_ms = pace.time_ms(self.job.cost_tokens as f64);
        (whole_ms - now_ms.saturating_sub(self.started_ms) as f64).max(0.0)
    }
}
