//! Bodies of responses to callers.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body;
use tokio::sync::mpsc;

use super::request_guard::{RequestGuard, UnflushedResponses};

/// Chunks that are buffered for a slow caller before reading from the upstream pauses.
const BUFFER_CHUNKS: usize = 16;

/// Body of a response: complete, or streamed while the upstream produces it.
#[derive(Debug)]
pub struct Body {
    content: Content,
    /// Counts the request as in flight until the body is flushed or the connection is closed.
    guard: Option<(RequestGuard, UnflushedResponses)>,
}

#[derive(Debug)]
enum Content {
    Full(Full<Bytes>),
    Stream(mpsc::Receiver<Part>),
    Aborting,
    Ended,
}

#[derive(Debug)]
enum Part {
    Data(Bytes),
    /// Marks a complete body. A sender that is dropped without it leaves the body incomplete.
    End,
}

/// Writes a streamed body; dropping it without `finish` aborts the caller's connection.
#[derive(Debug)]
pub struct BodySender {
    parts: mpsc::Sender<Part>,
}

/// Error of an incomplete body; the connection is aborted so that the caller can detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteBody;

impl fmt::Display for IncompleteBody {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the response body is incomplete")
    }
}

impl std::error::Error for IncompleteBody {}

impl BodySender {
    /// Sends a part of the body; returns whether the caller is still connected.
    pub async fn send(&self, data: Bytes) -> bool {
        self.parts.send(Part::Data(data)).await.is_ok()
    }

    /// Sends a part of the body, or drops it when the buffer is full.
    pub fn try_send(&self, data: Bytes) {
        let _ = self.parts.try_send(Part::Data(data));
    }

    /// Ends a complete body.
    pub async fn finish(self) {
        // The caller may have disconnected.
        let _ = self.parts.send(Part::End).await;
    }

    /// Waits until the caller disconnects.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }
}

impl Body {
    /// Creates a complete body.
    pub fn full<Data>(data: Data) -> Self
    where
        Data: Into<Bytes>,
    {
        Self { content: Content::Full(Full::new(data.into())), guard: None }
    }

    /// Creates a streamed body.
    #[must_use]
    pub fn stream() -> (BodySender, Self) {
        let (parts, receiver) = mpsc::channel(BUFFER_CHUNKS);
        (BodySender { parts }, Self { content: Content::Stream(receiver), guard: None })
    }

    /// Keeps a guard until the body is flushed or the connection is closed.
    pub fn set_guard(&mut self, guard: RequestGuard, unflushed: UnflushedResponses) {
        self.guard = Some((guard, unflushed));
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        let Some((guard, unflushed)) = self.guard.take() else { return };
        unflushed.add(guard);
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<body::Frame<Bytes>, IncompleteBody>>> {
        let parts = match &mut self.content {
            Content::Full(full) => {
                let frame = Pin::new(full).poll_frame(context);
                return frame.map_err(|never: Infallible| match never {});
            }
            Content::Aborting => return Poll::Ready(Some(Err(IncompleteBody))),
            Content::Ended => return Poll::Ready(None),
            Content::Stream(parts) => parts,
        };
        let part = std::task::ready!(parts.poll_recv(context));
        Poll::Ready(match part {
            Some(Part::Data(data)) => Some(Ok(body::Frame::data(data))),
            Some(Part::End) => {
                self.content = Content::Ended;
                None
            }
            None => {
                // When a body fails, hyper discards data that it has not written. It flushes when a
                // body is pending, so one pending poll before the error delivers the earlier parts.
                self.content = Content::Aborting;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Full(full) => full.is_end_stream(),
            Content::Stream(_) | Content::Aborting => false,
            Content::Ended => true,
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match &self.content {
            Content::Full(full) => full.size_hint(),
            Content::Stream(_) | Content::Aborting | Content::Ended => body::SizeHint::default(),
        }
    }
}
