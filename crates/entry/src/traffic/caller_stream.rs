//! Caller connections whose automatic error responses are replaced.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::StatusCode;
use jasminetack_domain::name;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::caller_error::CallerError;
use super::request_guard::UnflushedResponses;

/// Caller's connection that gives an outcome to the error responses that hyper itself generates.
///
/// hyper rejects an oversized or malformed head with an empty body before it calls the service. It
/// writes such a response in a single call, which is replaced here by a response with an error
/// code, an outcome and a request id.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    request_id: name::RequestId,
    unflushed: UnflushedResponses,
    /// Replacement response that is not completely written.
    replacement: Option<Replacement>,
}

#[derive(Debug)]
struct Replacement {
    bytes: Vec<u8>,
    written_bytes: usize,
    /// Length of the replaced response, which is reported to hyper as written.
    replaced_bytes: usize,
}

impl CallerStream {
    /// Wraps a connection; the id is used in responses to requests whose heads are rejected.
    #[must_use]
    pub fn new(
        stream: TcpStream,
        request_id: name::RequestId,
        unflushed: UnflushedResponses,
    ) -> Self {
        Self { stream, request_id, unflushed, replacement: None }
    }

    /// Returns the underlying connection.
    #[must_use]
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn replacement_for(&self, response: &[u8]) -> Option<Replacement> {
        let error = parse_automatic_error(response)?;
        let bytes = error.into_http1(&self.request_id).into_bytes();
        Some(Replacement { bytes, written_bytes: 0, replaced_bytes: response.len() })
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
            this.replacement = this.replacement_for(data);
        }
        let Some(replacement) = &mut this.replacement else {
            return Pin::new(&mut this.stream).poll_write(context, data);
        };
        while replacement.written_bytes < replacement.bytes.len() {
            let rest = &replacement.bytes[replacement.written_bytes..];
            match Pin::new(&mut this.stream).poll_write(context, rest) {
                Poll::Ready(Ok(0)) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Poll::Ready(Ok(count)) => replacement.written_bytes += count,
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => return Poll::Pending,
            }
        }
        let replaced_bytes = replacement.replaced_bytes;
        this.replacement = None;
        Poll::Ready(Ok(replaced_bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = std::task::ready!(Pin::new(&mut self.stream).poll_flush(context));
        self.unflushed.clear();
        Poll::Ready(result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Parses an error response that hyper generated: a 4xx status, no body, and no request id header,
/// which all responses of this daemon have.
fn parse_automatic_error(response: &[u8]) -> Option<CallerError> {
    const MAX_BYTES: usize = 256;
    if response.len() > MAX_BYTES || !response.starts_with(b"HTTP/1.1 4") {
        return None;
    }
    let head = std::str::from_utf8(response).ok()?.strip_suffix("\r\n\r\n")?;
    let has_request_id = head.contains("jasminetack-request-id");
    if has_request_id || head.contains("\r\n\r\n") || !head.contains("content-length: 0") {
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
