//! Predicted times of a request on one worker.

/// Predicted times of a request on one worker in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Time until the adapter can be used.
    pub adapter_wait_ms: f64,
    /// Time that the worker takes for the requests before this one.
    pub queue_ms: f64,
    /// Time to read the prompt of this request.
    pub prefill_ms: f64,
    /// Time from the first to the last part of the answer.
    pub generation_ms: f64,
}

impl Estimate {
    /// Returns the time for which the request waits for others.
    #[must_use]
    pub fn wait_ms(&self) -> f64 {
        self.adapter_wait_ms + self.queue_ms
    }

    /// Returns the time that the request itself takes.
    #[must_use]
    pub fn service_ms(&self) -> f64 {
        self.prefill_ms + self.generation_ms
    }
}
