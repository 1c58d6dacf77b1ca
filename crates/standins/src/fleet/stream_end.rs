//! How a stream ends before its last event.

/// Numbers of events after which a stream ends early; `None` for a stream that does not.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamEnd {
    /// The stream is aborted in the middle of the next event.
    pub abort_after: Option<u32>,
    /// The worker crashes.
    pub crash_after: Option<u32>,
}
