//! Encoding of response events as peer frames.

use jasminetack_domain::request;
use jasminetack_wire::peer;

use super::response_event::ResponseEvent;

/// Encodes the events of one response.
#[derive(Clone, Debug)]
pub struct ResponseEncoder {
    request_id: String,
    next_sequence: u64,
    outstanding: u32,
}

impl ResponseEncoder {
    /// Creates an encoder for the response to a request.
    #[must_use]
    pub fn new(request_id: String) -> Self {
        Self { request_id, next_sequence: 0, outstanding: 0 }
    }

    /// Encodes the next event.
    pub fn encode(&mut self, event: ResponseEvent) -> peer::Frame {
        let request_id = self.request_id.clone();
        let body = match event {
            ResponseEvent::Progress { outstanding } => {
                self.outstanding = outstanding;
                return self.progress();
            }
            ResponseEvent::Head { status, content_type, outstanding } => {
                self.outstanding = outstanding;
                let status = u32::from(status);
                peer::Body::Head(peer::Head { request_id, status, content_type, outstanding })
            }
            ResponseEvent::Chunk(data) => {
                let sequence = self.next_sequence;
                self.next_sequence += 1;
                peer::Body::Chunk(peer::Chunk { request_id, sequence, data })
            }
            ResponseEvent::End => {
                peer::Body::End(peer::End { request_id, chunk_count: self.next_sequence })
            }
            ResponseEvent::Refused(refusal) => peer::Body::Refused(peer::Refused {
                request_id,
                not_run: refusal.outcome == request::Outcome::NotRun,
                code: refusal.code,
                message: refusal.message,
                status: u32::from(refusal.status),
                retry_after_ms: refusal.retry_after_ms.unwrap_or(0),
            }),
        };
        peer::Frame { body: Some(body) }
    }

    /// Encodes a progress frame that keeps the connection alive until the next event.
    #[must_use]
    pub fn progress(&self) -> peer::Frame {
        let request_id = self.request_id.clone();
        let progress = peer::Progress { request_id, outstanding: self.outstanding };
        peer::Frame { body: Some(peer::Body::Progress(progress)) }
    }
}
