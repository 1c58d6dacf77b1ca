//! Failure detector based on the mean and standard deviation of heartbeat intervals.

use super::Detector;
use super::intervals::Intervals;

/// Intervals kept for the estimate.
const WINDOW: usize = 50;
/// The standard deviation of fewer intervals is not meaningful.
const MIN_INTERVALS: usize = 5;

/// Suspects a sender when the silence exceeds the mean interval by a margin and a multiple of the
/// standard deviation.
#[derive(Clone, Debug)]
pub struct MeanDeviation {
    intervals: Intervals,
    deviations: f64,
    margin_ms: u64,
    first_timeout_ms: u64,
}

impl MeanDeviation {
    /// Creates a detector that counts silence from `now_ms`; `first_timeout_ms` applies
    /// until enough intervals are known.
    #[must_use]
    pub fn new(deviations: f64, margin_ms: u64, first_timeout_ms: u64, now_ms: u64) -> Self {
        let intervals = Intervals::new(WINDOW, now_ms);
        Self { intervals, deviations, margin_ms, first_timeout_ms }
    }
}

impl Detector for MeanDeviation {
    fn restarted(&self, now_ms: u64) -> Self {
        Self::new(self.deviations, self.margin_ms, self.first_timeout_ms, now_ms)
    }

    fn record_heartbeat(&mut self, now_ms: u64) {
        self.intervals.record_arrival(now_ms);
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
    fn suspected_from_ms(&self) -> u64 {
        let last_ms = self.intervals.last_ms();
        if self.intervals.len() < MIN_INTERVALS {
            return last_ms + self.first_timeout_ms;
        }
        let mean_ms = self.intervals.mean_ms();
        let squares = self.intervals.iter_ms().map(|interval_ms| (interval_ms - mean_ms).powi(2));
        let deviation_ms = (squares.sum::<f64>() / self.intervals.len() as f64).sqrt();
        last_ms + (mean_ms + self.deviations * deviation_ms) as u64 + self.margin_ms
    }
}
