//! Decoding of response events from peer frames.

use jasminetack_domain::request;
use jasminetack_wire::peer;
use snafu::{OptionExt, ensure};

use super::response_event::{Refusal, ResponseEvent};

/// Decodes the frames of one response and checks their order.
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

/// A frame that violates the protocol of a response; the connection must be closed.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum FrameError {
    /// The frame has no content or an unknown type.
    #[snafu(display("the frame has no content or an unknown type"))]
    Empty,
    /// The type of the frame does not occur in responses.
    #[snafu(display("unexpected frame type in a response"))]
    UnexpectedType,
    /// The frame belongs to another request.
    #[snafu(display("frame has request id {found}, expected {expected}"))]
    OtherRequest {
        /// Request id of the response.
        expected: String,
        /// Request id of the frame.
        found: String,
    },
    /// The frame type is not valid after the previous frames.
    #[snafu(display("{frame_type} frame out of order"))]
    OutOfOrder {
        /// Type of the frame.
        frame_type: &'static str,
    },
    /// A chunk is missing or duplicated.
    #[snafu(display("chunk sequence number {found}, expected {expected}"))]
    WrongSequence {
        /// Expected sequence number.
        expected: u64,
        /// Sequence number, or chunk count, of the frame.
        found: u64,
    },
    /// The status is not an HTTP status of a final response.
    #[snafu(display("{status} is not a valid HTTP status"))]
    Status {
        /// Status of the frame.
        status: u32,
    },
}

impl ResponseDecoder {
    /// Creates a decoder for the response to a request.
    #[must_use]
    pub fn new(request_id: String) -> Self {
        Self { request_id, next_sequence: 0, stage: Stage::Queued }
    }

    /// Returns whether the response has begun and has not ended.
    #[must_use]
    pub fn is_streaming(&self) -> bool {
        self.stage == Stage::Streaming
    }

    /// Decodes a frame; returns `None` for a progress frame after the head, which only keeps the
    /// connection alive.
    ///
    /// # Errors
    ///
    /// Fails when the frame is invalid, belongs to another request or is out of order.
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
            _ => UnexpectedTypeSnafu.fail(),
        }
    }

    fn decode_refused(&mut self, refused: peer::Refused) -> Result<ResponseEvent, FrameError> {
        // An owner that refuses the connection does so before it receives a request id.
        if !refused.request_id.is_empty() {
            self.check(&refused.request_id, self.stage != Stage::Ended, "refusal")?;
        }
        let status = http_status(refused.status)?;
        // After the head, the engine has begun the request, so `not_run` cannot be true.
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

    fn check(
        &self,
        found: &str,
        in_order: bool,
        frame_type: &'static str,
    ) -> Result<(), FrameError> {
        let expected = self.request_id.as_str();
        ensure!(expected == found, OtherRequestSnafu { expected, found });
        ensure!(in_order, OutOfOrderSnafu { frame_type });
        Ok(())
    }

    fn check_sequence(&self, found: u64) -> Result<(), FrameError> {
        let expected = self.next_sequence;
        ensure!(expected == found, WrongSequenceSnafu { expected, found });
        Ok(())
    }
}

fn http_status(status: u32) -> Result<u16, FrameError> {
    let valid = u16::try_from(status).ok().filter(|status| (200..=599).contains(status));
    valid.context(StatusSnafu { status })
}
