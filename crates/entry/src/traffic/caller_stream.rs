//! Connections of callers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::StatusCode;
use jasminetack_domain::name;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::caller_error::CallerError;
use super::request_guard::AnsweredRequests;

/// A caller's connection, on which hyper's own answers to bad heads carry an outcome.
///
/// hyper answers a head that is too long or malformed by itself, before any of our code sees the
/// request, with an empty body. Such an answer is one write, and is replaced here.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    request_id: name::RequestId,
    answered: AnsweredRequests,
    /// Rest of a replaced answer that is not written yet, and what hyper was promised to have
    /// written.
    replacement: Option<Replacement>,
}

#[derive(Debug)]
struct Replacement {
    text: Vec<u8>,
    written: usize,
    replaced: usize,
}

impl CallerStream {
    /// Wraps a connection; the id stands for requests whose heads cannot be read.
    #[must_use]
    pub fn new(stream: TcpStream, request_id: name::RequestId, answered: AnsweredRequests) -> Self {
        Self { stream, request_id, answered, replacement: None }
    }

    /// Returns the connection without the replacement of answers.
    #[must_use]
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn replacement(&self, answer: &[u8]) -> Option<Replacement> {
        let error = automatic_error(answer)?;
        let text = error.into_text(&self.request_id).into_bytes();
        Some(Replacement { text, written: 0, replaced: answer.len() })
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if this.replacement.is_none() {
            this.replacement = this.replacement(data);
        }
        let Some(replacement) = &mut this.replacement else {
            return Pin::new(&mut this.stream).poll_write(context, data);
        };
        while replacement.written < replacement.text.len() {
            let rest = &replacement.text[replacement.written..];
            match Pin::new(&mut this.stream).poll_write(context, rest) {
                Poll::Ready(Ok(0)) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Poll::Ready(Ok(count)) => replacement.written += count,
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => return Poll::Pending,
            }
        }
        let replaced = replacement.replaced;
        this.replacement = None;
        Poll::Ready(Ok(replaced))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = std::task::ready!(Pin::new(&mut self.stream).poll_flush(context));
        self.answered.flushed();
        Poll::Ready(result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Recognizes an answer that hyper made itself: a status of the class 4xx, no body, and none of the
/// headers that our answers carry.
fn automatic_error(answer: &[u8]) -> Option<CallerError> {
    const LONGEST_BYTES: usize = 256;
    if answer.len() > LONGEST_BYTES || !answer.starts_with(b"HTTP/1.1 4") {
        return None;
    }
    let head = std::str::from_utf8(answer).ok()?.strip_suffix("\r\n\r\n")?;
    let is_own = head.contains("jasminetack-request-id");
    if is_own || head.contains("\r\n\r\n") || !head.contains("content-length: 0") {
        return None;
    }
    let (code, message) = match head.get(9..12)? {
        "431" => ("head_too_large", "the head of the request is too large"),
        "414" => ("head_too_large", "the path of the request is too long"),
        _ => ("bad_head", "the head of the request is malformed"),
    };
    let status = head.get(9..12)?.parse().ok().and_then(|code| StatusCode::from_u16(code).ok())?;
    Some(CallerError::not_run(status, code, message))
}
