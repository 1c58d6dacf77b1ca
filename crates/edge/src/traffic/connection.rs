//! Connections to workers.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time;

use crate::clock;

/// Longest time to open a connection; a round trip between regions takes 40 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which bytes that the other side has not acknowledged break a connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Silence after which the other side is asked whether it is still there, and the interval of
/// asking.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered questions after which a connection is broken.
const KEEPALIVE_RETRIES: u32 = 2;

/// A connection to a worker.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests.
    pub sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// When the connection was opened.
    pub opened_ms: u64,
    /// Whether a request was answered on it before.
    pub is_reused: bool,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when the worker does not accept in time.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        configure_keepalive(&stream)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                spdlog::debug!("connection-ended error=\"{error}\"");
            }
        });
        let opened_ms = clock::now_ms();
        Ok(Self { sender, task: task.abort_handle(), opened_ms, is_reused: false })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // A request that is still running at the worker ends with its connection.
        self.task.abort();
    }
}

/// Sets a connection up so that a peer that falls silent is noticed.
///
/// # Errors
///
/// Fails when the system refuses an option.
pub fn configure_keepalive(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_RETRIES))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
