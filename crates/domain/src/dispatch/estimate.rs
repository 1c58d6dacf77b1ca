//! Predicted times of a request on one worker.

/// Predicted times of a request on one worker in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Time until the adapter can be used.
    pub adapter_wait_ms: f64,
    /// Time until the first part of the answer, counted from when the adapter can be used.
    pub first_part_ms: f64,
    /// Time from the first to the last part of the answer.
    pub generation_ms: f64,
}

impl Estimate {
    /// Returns the time until the first part of the answer.
    #[must_use]
    pub fn until_first_part_ms(&self) -> f64 {
        self.adapter_wait_ms + self.first_part_ms
    }
}
