//! Change of the limit of a worker.

/// Change of the limit that is in force for a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The worker has a limit, or another one than before.
    Limited {
        /// Requests per second that it accepts.
        limit_per_s: f64,
    },
    /// The worker no longer has a limit.
    Lifted,
}
