//! Response bodies of the stand-in worker that are produced over time.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Response, StatusCode, Version, header};
use tokio::sync::mpsc;
use tokio::time;

use super::http_server::{self, Body};
use super::worker_faults::ResponseFraming;

/// Time between the data of a truncated response and the end of its connection.
const TRUNCATION_DELAY: Duration = Duration::from_millis(50);

/// Body that ends with its channel.
#[derive(Debug)]
pub struct ResponseStream {
    /// Data, or the error that aborts the connection.
    pub receiver: mpsc::Receiver<Result<Frame<Bytes>, io::Error>>,
}

impl futures_util::Stream for ResponseStream {
    type Item = Result<Frame<Bytes>, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.receiver.poll_recv(context)
    }
}

/// Creates the response of a plain service with the injected framing.
pub fn framed_response(
    status: StatusCode,
    text: String,
    framing: ResponseFraming,
) -> Response<Body> {
    let length = text.len();
    let is_truncated = match framing {
        ResponseFraming::Length => return http_server::response(status, text),
        ResponseFraming::Empty => return http_server::response(status, ""),
        ResponseFraming::Chunked | ResponseFraming::UntilClose => false,
        ResponseFraming::Truncated => true,
    };
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        let end = if is_truncated { length / 2 } else { length };
        let data = Bytes::from(text).slice(..end);
        // The receiver is gone if the client has disconnected.
        let _ = sender.send(Ok(Frame::data(data))).await;
        if is_truncated {
            // An error of the body makes hyper discard what it has not written yet.
            time::sleep(TRUNCATION_DELAY).await;
            let _ = sender.send(Err(io::Error::other("injected truncation"))).await;
        }
    });
    let mut response = Response::new(StreamBody::new(ResponseStream { receiver }).boxed());
    *response.status_mut() = status;
    if framing == ResponseFraming::UntilClose {
        end_with_connection(&mut response);
    }
    if is_truncated {
        response.headers_mut().insert(header::CONTENT_LENGTH, length.into());
    }
    response
}

/// Makes a response end with its connection: hyper sends no chunks in HTTP/1.0.
pub fn end_with_connection(response: &mut Response<Body>) {
    *response.version_mut() = Version::HTTP_10;
}
