//! HTTP connections to workers.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::{TrySendError, http1};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time;

use super::head_limit::{HeadLimit, HeadLimitedStream};
use crate::clock;

/// Timeout for opening a connection; a round trip between regions takes 40 ms.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// `TCP_USER_TIMEOUT`: time after which unacknowledged data closes a connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Buffer for data of a worker; also the longest response head.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// An HTTP/1.1 connection to a worker; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    /// Request sender of hyper.
    pub sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    head_limit: HeadLimit,
    /// Time at which the connection was opened.
    pub opened_ms: u64,
    /// Whether an earlier exchange was completed on this connection.
    pub is_reused: bool,
    /// Idle timeout that the worker stated last; `None` if it has not stated one.
    pub keep_alive_ms: Option<u64>,
}

impl Connection {
    /// Opens a connection to a worker.
    ///
    /// # Errors
    ///
    /// Fails when the worker does not accept the connection within `CONNECT_TIMEOUT`.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        configure_keepalive(&stream)?;
        let (stream, head_limit) = HeadLimitedStream::new(stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                spdlog::debug!("connection-ended error=\"{error}\"");
            }
        });
        let opened_ms = clock::now_ms();
        let task = task.abort_handle();
        let (is_reused, keep_alive_ms) = (false, None);
        Ok(Self { sender, task, head_limit, opened_ms, is_reused, keep_alive_ms })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks; the error holds the request if none of it was sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.head_limit.start();
        let response = self.sender.try_send_request(request).await?;
        self.head_limit.stop();
        self.keep_alive_ms = stated_keep_alive_ms(response.headers()).or(self.keep_alive_ms);
        Ok(response)
    }
}

fn stated_keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse::<u64>().ok()?.checked_mul(1_000)
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closing the connection cancels a request that the worker is still executing.
        self.task.abort();
    }
}

/// Sets TCP options so that an unresponsive peer is detected.
///
/// # Errors
///
/// Fails when the operating system rejects an option.
pub fn configure_keepalive(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_RETRIES))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
