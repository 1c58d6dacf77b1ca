//! Injected faults of a worker.

use std::time::Duration;

/// Framing of responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseFraming {
    /// With `Content-Length`.
    #[default]
    Length,
    /// In chunks.
    Chunked,
    /// With a `Content-Length` of zero.
    Empty,
    /// The connection is closed before the number of bytes in `Content-Length` was sent.
    Truncated,
    /// With neither a length nor chunks; the response ends with its connection.
    UntilClose,
}

/// Injected faults of a worker; all are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerFaults {
    /// Requests are rejected with status 503 and `Not-Executed`.
    pub rejects_requests: bool,
    /// Seconds for which rejections ask for no further requests.
    pub rejection_retry_after: Option<&'static str>,
    /// Number of running requests beyond which requests are rejected with status 503 and `Not-Executed`.
    pub max_runs: Option<usize>,
    /// Requests are executed, but the connection is closed before the response.
    pub drops_responses: bool,
    /// Number of events after which streams are aborted in the middle of an event.
    pub abort_stream_after: Option<u32>,
    /// Calls get no response.
    pub is_unresponsive: bool,
    /// Responses carry the attempt ID of another request.
    pub mismatches_attempt_ids: bool,
    /// Orders are executed, but get no response.
    pub withholds_order_responses: bool,
    /// Orders get no response and are executed after this time.
    pub order_delay: Option<Duration>,
    /// Orders are executed whatever their preconditions.
    pub ignores_preconditions: bool,
    /// Requests to a plain service are executed and return status 500.
    pub returns_errors: bool,
    /// Segment of a prompt on which the worker crashes when it starts to answer: before the head, or after the
    /// first event if its streams end with their connection.
    pub crashes_on_segment: Option<u64>,
    /// Requests per second that responses state as the worker's limit.
    pub stated_limit: Option<&'static str>,
    /// Responses state that the worker is leaving.
    pub states_leaving: bool,
    /// How the responses of a plain service are framed; streams know `UntilClose` only, and have chunks
    /// otherwise.
    pub framing: ResponseFraming,
}
