//! How a call with a credit ended.

/// How a call ended, as far as it concerns the slots of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The worker responded.
    Done {
        /// Time from sending the call to the end of the response.
        took_ms: u64,
    },
    /// The worker rejected the call without executing it: all of its slots were in use.
    Full,
    /// The worker could not be reached or broke off the call.
    Failed,
    /// The call was not sent, or its caller left: it teaches nothing of the worker.
    Unused,
}
