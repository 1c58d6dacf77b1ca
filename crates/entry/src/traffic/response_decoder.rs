//! Decoding of an answer's progress from peer frames.

use jasminetack_domain::request;
use jasminetack_wire::peer;
use snafu::{OptionExt, ensure};

use super::response_event::{Refusal, ResponseEvent};

/// Decodes the frames of one request and checks their order.
#[derive(Clone, Debug)]
pub struct ResponseDecoder {
    request_id: String,
    next_sequence: u64,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Queued,
    Streaming,
    Ended,
}

/// Why a frame cannot belong to the answer; the connection must be closed.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum FrameError {
    /// The frame has no content that this version knows.
    #[snafu(display("frame without known content"))]
    Empty,
    /// The frame is no part of an answer.
    #[snafu(display("frame of a kind that does not occur in answers"))]
    Kind,
    /// The frame belongs to another request.
    #[snafu(display("frame of request {found}, expected {expected}"))]
    OtherRequest {
        /// Request id that was expected.
        expected: String,
        /// Request id of the frame.
        found: String,
    },
    /// The frame does not follow the frames before it.
    #[snafu(display("{what} out of order"))]
    Order {
        /// Kind of the frame.
        what: &'static str,
    },
    /// A chunk is missing or repeated.
    #[snafu(display("chunk {found}, expected {expected}"))]
    Sequence {
        /// Position that was expected.
        expected: u64,
        /// Position of the frame.
        found: u64,
    },
    /// A status is not an HTTP status.
    #[snafu(display("status {status} is not an HTTP status"))]
    Status {
        /// Value of the frame.
        status: u32,
    },
}

impl ResponseDecoder {
    /// Creates a decoder for the answer to a request.
    #[must_use]
    pub fn new(request_id: String) -> Self {
        Self { request_id, next_sequence: 0, stage: Stage::Queued }
    }

    /// Tells whether the head of the answer has arrived.
    #[must_use]
    pub fn is_streaming(&self) -> bool {
        self.stage == Stage::Streaming
    }

    /// Decodes a frame; `None` for a sign of life within the answer.
    ///
    /// # Errors
    ///
    /// Fails when the frame belongs to another request or does not follow the frames before it.
    pub fn decode(&mut self, frame: peer::Frame) -> Result<Option<ResponseEvent>, FrameError> {
        match frame.body.context(EmptySnafu)? {
            peer::Body::Progress(progress) => {
                self.check(&progress.request_id, self.stage != Stage::Ended, "progress")?;
                if self.stage == Stage::Streaming {
                    return Ok(None);
                }
                Ok(Some(ResponseEvent::Progress { outstanding: progress.outstanding }))
            }
            peer::Body::Head(head) => {
                self.check(&head.request_id, self.stage == Stage::Queued, "head")?;
                let status = http_status(head.status)?;
                self.stage = Stage::Streaming;
                let (content_type, outstanding) = (head.content_type, head.outstanding);
                Ok(Some(ResponseEvent::Head { status, content_type, outstanding }))
            }
            peer::Body::Chunk(chunk) => {
                self.check(&chunk.request_id, self.stage == Stage::Streaming, "chunk")?;
                self.check_sequence(chunk.sequence)?;
                self.next_sequence += 1;
                Ok(Some(ResponseEvent::Chunk(chunk.data)))
            }
            peer::Body::End(end) => {
                self.check(&end.request_id, self.stage == Stage::Streaming, "end")?;
                self.check_sequence(end.chunk_count)?;
                self.stage = Stage::Ended;
                Ok(Some(ResponseEvent::End))
            }
            peer::Body::Refused(refused) => self.decode_refused(refused).map(Some),
            _ => KindSnafu.fail(),
        }
    }

    fn decode_refused(&mut self, refused: peer::Refused) -> Result<ResponseEvent, FrameError> {
        // An owner that refuses a connection answers before it reads any request id.
        if !refused.request_id.is_empty() {
            self.check(&refused.request_id, self.stage != Stage::Ended, "refusal")?;
        }
        let status = http_status(refused.status)?;
        let not_run = refused.not_run && self.stage == Stage::Queued;
        self.stage = Stage::Ended;
        let outcome = if not_run { request::Outcome::NotRun } else { request::Outcome::Unknown };
        Ok(ResponseEvent::Refused(Refusal {
            outcome,
            code: refused.code,
            message: refused.message,
            status,
            retry_after_ms: (refused.retry_after_ms > 0).then_some(refused.retry_after_ms),
        }))
    }

    fn check(&self, found: &str, in_order: bool, what: &'static str) -> Result<(), FrameError> {
        let expected = self.request_id.as_str();
        ensure!(expected == found, OtherRequestSnafu { expected, found });
        ensure!(in_order, OrderSnafu { what });
        Ok(())
    }

    fn check_sequence(&self, found: u64) -> Result<(), FrameError> {
        let expected = self.next_sequence;
        ensure!(expected == found, SequenceSnafu { expected, found });
        Ok(())
    }
}

fn http_status(status: u32) -> Result<u16, FrameError> {
    let valid = u16::try_from(status).ok().filter(|status| (200..=599).contains(status));
    valid.context(StatusSnafu { status })
}
