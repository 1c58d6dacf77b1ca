//! Bodies of responses to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body;
use tokio::sync::mpsc;

use super::relay::Relay;

/// Response body: complete, or streamed while the worker produces it.
pub struct ResponseBody {
    content: Content,
}

enum Content {
    Full(Full<Bytes>),
    Relay(Box<Relay>),
    Events(mpsc::Receiver<Result<Bytes, IncompleteResponse>>),
    /// An error that is returned once hyper has written the preceding data.
    Failing(IncompleteResponse),
    Ended,
}

/// The response cannot be completed. hyper then aborts the caller's connection, by which the caller
/// recognizes the truncation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("the answer was not completed: {reason}"))]
pub struct IncompleteResponse {
    /// Outcome of the request.
    pub reason: &'static str,
}

impl ResponseBody {
    /// Creates a complete body.
    pub fn full(data: Bytes) -> Self {
        Self { content: Content::Full(Full::new(data)) }
    }

    /// Creates a body that streams one worker's response.
    pub fn relay(relay: Relay) -> Self {
        Self { content: Content::Relay(Box::new(relay)) }
    }

    /// Creates a body of events that may come from several workers.
    ///
    /// The channel must end with an empty chunk, which marks a complete response, or with an error.
    pub fn events(events: mpsc::Receiver<Result<Bytes, IncompleteResponse>>) -> Self {
        Self { content: Content::Events(events) }
    }

    fn poll_data(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, IncompleteResponse>>> {
        match &mut self.content {
            Content::Full(full) => {
                let frame = ready!(body::Body::poll_frame(Pin::new(full), context));
                let data = frame.and_then(|frame| match frame {
                    Ok(frame) => frame.into_data().ok(),
                    Err(never) => match never as Infallible {},
                });
                Poll::Ready(data.map(Ok))
            }
            Content::Relay(relay) => relay.poll_data(context),
            Content::Events(events) => Poll::Ready(match ready!(events.poll_recv(context)) {
                Some(Ok(data)) if data.is_empty() => None,
                Some(chunk) => Some(chunk),
                None => Some(Err(IncompleteResponse { reason: "the events ended early" })),
            }),
            Content::Failing(error) => Poll::Ready(Some(Err(*error))),
            Content::Ended => Poll::Ready(None),
        }
    }
}

impl body::Body for ResponseBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<body::Frame<Bytes>, IncompleteResponse>>> {
        let was_failing = matches!(self.content, Content::Failing(_));
        match ready!(self.poll_data(context)) {
            Some(Ok(data)) => Poll::Ready(Some(Ok(body::Frame::data(data)))),
            Some(Err(error)) if was_failing => {
                self.content = Content::Ended;
                Poll::Ready(Some(Err(error)))
            }
            Some(Err(error)) => {
                // When a body fails, hyper discards the data that it has not written yet; when a body
                // is pending, hyper flushes that data. So the error is returned at the next poll.
                self.content = Content::Failing(error);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            None => {
                self.content = Content::Ended;
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Full(full) => full.is_end_stream(),
            Content::Ended => true,
            Content::Relay(relay) => relay.is_complete(),
            Content::Events(_) | Content::Failing(_) => false,
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match &self.content {
            Content::Full(full) => full.size_hint(),
            Content::Relay(relay) => relay.size_hint(),
            _ => body::SizeHint::default(),
        }
    }
}
