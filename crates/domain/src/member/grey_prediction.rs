//! Failure detector that predicts the next heartbeat interval with the grey model GM(1,1).

use super::Detector;
use super::intervals::Intervals;

/// GM(1,1) is designed for few samples; a longer window makes it follow outdated trends.
const WINDOW: usize = 8;
const MIN_INTERVALS: usize = 4;

/// Suspects a sender when the silence exceeds the predicted next interval by a margin.
///
/// The model is that of "Adaptive Failure Detection Algorithm for Grid Systems" by Tian, Mao and
/// Xie: a first-order equation is fitted to the running sums of the recent intervals, and its next
/// value predicts the next interval.
#[derive(Clone, Debug)]
pub struct GreyPrediction {
    intervals: Intervals,
    margin_ms: u64,
    first_timeout_ms: u64,
}

impl GreyPrediction {
    /// Creates a detector that counts silence from `now_ms`; `first_timeout_ms` applies
    /// until enough intervals are known.
    #[must_use]
    pub fn new(margin_ms: u64, first_timeout_ms: u64, now_ms: u64) -> Self {
        Self { intervals: Intervals::new(WINDOW, now_ms), margin_ms, first_timeout_ms }
    }

    /// Predicts the next interval; returns the mean when the model has no usable solution.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn predicted_ms(&self) -> f64 {
        let intervals: Vec<f64> = self.intervals.iter_ms().collect();
        let mean_ms = self.intervals.mean_ms();
        let Some((development, input)) = fit(&intervals) else {
            return mean_ms;
        };
        let count = intervals.len() as f64;
        let predicted_ms = (1.0 - development.exp())
            * (intervals[0] - input / development)
            * (-development * count).exp();
        // The exponential extrapolation diverges after an outlier.
        if !predicted_ms.is_finite() || predicted_ms < 0.0 {
            return mean_ms;
        }
        predicted_ms.min(2.0 * mean_ms)
    }
}

/// Fits `x(k) + a z(k) = b` by least squares, where `z(k)` is the mean of adjacent running sums, and
/// returns the development coefficient `a` and the grey input `b`.
#[allow(clippy::cast_precision_loss)]
fn fit(intervals: &[f64]) -> Option<(f64, f64)> {
    let mut running = *intervals.first()?;
    let (mut sum_z, mut sum_x, mut sum_zz, mut sum_zx) = (0.0, 0.0, 0.0, 0.0);
    for interval in &intervals[1..] {
        let z = running + interval / 2.0;
        running += interval;
        sum_z += z;
        sum_x += interval;
        sum_zz += z * z;
        sum_zx += z * interval;
    }
    let count = (intervals.len() - 1) as f64;
    let determinant = count * sum_zz - sum_z * sum_z;
    if determinant.abs() < f64::EPSILON {
        return None;
    }
    let development = (sum_z * sum_x - count * sum_zx) / determinant;
    let input = (sum_x * sum_zz - sum_z * sum_zx) / determinant;
    // A constant sequence has a development coefficient of zero, by which the solution divides.
    (development.abs() > 1e-9).then_some((development, input))
}

impl Detector for GreyPrediction {
    fn restarted(&self, now_ms: u64) -> Self {
        Self::new(self.margin_ms, self.first_timeout_ms, now_ms)
    }

    fn record_heartbeat(&mut self, now_ms: u64) {
        self.intervals.record_arrival(now_ms);
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn suspected_from_ms(&self) -> u64 {
        let last_ms = self.intervals.last_ms();
        if self.intervals.len() < MIN_INTERVALS {
            return last_ms + self.first_timeout_ms;
        }
        last_ms + self.predicted_ms() as u64 + self.margin_ms
    }
}
