//! Bodies of answers to callers.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body;
use tokio::sync::mpsc;

use super::request_guard::{AnsweredRequests, RequestGuard};

/// Chunks that may wait for a slow caller before the upstream is read no further.
const BUFFER_CHUNKS: usize = 16;

/// Body of an answer: complete, or written while the upstream produces it.
#[derive(Debug)]
pub struct Body {
    content: Content,
    /// Counts the request as in flight until the body is written or the caller is gone.
    guard: Option<(RequestGuard, AnsweredRequests)>,
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
    /// The end is explicit, so that a sender that is dropped early never looks like a clean end.
    End,
}

/// Writes a streamed body; dropping it without `finish` aborts the caller's connection.
#[derive(Debug)]
pub struct BodySender {
    parts: mpsc::Sender<Part>,
}

/// The answer cannot be completed; the connection is aborted so that the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer was not completed")
    }
}

impl std::error::Error for Aborted {}

impl BodySender {
    /// Sends a part of the body; returns whether the caller is still there.
    pub async fn send(&self, data: Bytes) -> bool {
        self.parts.send(Part::Data(data)).await.is_ok()
    }

    /// Sends a part if the caller reads fast enough.
    pub fn try_send(&self, data: Bytes) {
        let _ = self.parts.try_send(Part::Data(data));
    }

    /// Ends a complete body.
    pub async fn finish(self) {
        // The caller may be gone.
        let _ = self.parts.send(Part::End).await;
    }

    /// Waits until the caller is gone.
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

    /// Keeps a guard until the body has left the process or its connection is closed.
    pub fn hold(&mut self, guard: RequestGuard, answered: AnsweredRequests) {
        self.guard = Some((guard, answered));
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        let Some((guard, answered)) = self.guard.take() else { return };
        answered.keep(guard);
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<body::Frame<Bytes>, Aborted>>> {
        let parts = match &mut self.content {
            Content::Full(full) => {
                let frame = Pin::new(full).poll_frame(context);
                return frame.map_err(|never: Infallible| match never {});
            }
            Content::Aborting => return Poll::Ready(Some(Err(Aborted))),
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
                // hyper discards what it has not written when a body fails, so that the parts
                // before the failure must be flushed first; it does so when a body is pending.
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
