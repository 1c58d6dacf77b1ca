//! Moment of crashes with the requests around it.

use super::moment::Moment;

/// Moment of crashes with what became of the requests around it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedMoment {
    pub moment: Moment,
    /// Answers to comparable requests without the segment.
    pub answers: f64,
    /// Share of the requests that were on a worker when it crashed.
    pub hit_share: f64,
}
