//! Limit on the bytes that a worker may send before its response head is complete.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that may be read before the head is complete; data of the body that arrives with it counts.
const MAX_HEAD_BYTES: usize = 256 * 1024;
/// Value while no head is awaited.
const UNLIMITED: usize = usize::MAX;

/// Bytes that may still be read from a connection.
///
/// hyper limits the size of a head, but not the number of interim responses, which it parses without
/// returning to the other connections of the thread.
#[derive(Clone, Debug)]
pub struct HeadLimit {
    left_bytes: Arc<AtomicUsize>,
}

impl HeadLimit {
    /// Starts to count: a request is about to be sent.
    pub fn start(&self) {
        self.left_bytes.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Stops counting: the response head has arrived.
    pub fn stop(&self) {
        self.left_bytes.store(UNLIMITED, Ordering::Relaxed);
    }

    fn is_exhausted(&self) -> bool {
        self.left_bytes.load(Ordering::Relaxed) == 0
    }

    fn count(&self, bytes: usize) {
        let left_bytes = self.left_bytes.load(Ordering::Relaxed);
        if left_bytes != UNLIMITED {
            self.left_bytes.store(left_bytes.saturating_sub(bytes), Ordering::Relaxed);
        }
    }
}

/// TCP stream that fails when a response head exceeds the limit.
#[derive(Debug)]
pub struct HeadLimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl HeadLimitedStream {
    /// Wraps a stream; nothing is limited until `HeadLimit::start`.
    pub fn new(stream: TcpStream) -> (Self, HeadLimit) {
        let limit = HeadLimit { left_bytes: Arc::new(AtomicUsize::new(UNLIMITED)) };
        (Self { stream, limit: limit.clone() }, limit)
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_exhausted() {
            let problem = "the response head exceeds the limit";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, problem)));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.limit.count(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
