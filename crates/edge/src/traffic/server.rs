//! HTTP server for callers.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

use super::response_body::ResponseBody;
use super::shared_state::SharedState;
use super::{connection, proxy_request};
use crate::dialect;

/// Idle timeout until a configuration is known.
const DEFAULT_IDLE_MS: u64 = 15_000;
/// Limit on the size of a request head until a configuration is known.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;
/// Smallest buffer limit that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for which new connections are accepted during shutdown. The load balancer in front checks
/// readiness once a second and stops sending connections after at most two checks.
const SHUTDOWN_ACCEPT: Duration = Duration::from_millis(2_600);
/// Part of the grace period that is reserved for the exit of the process.
const EXIT_RESERVE_MS: u64 = 900;
/// Length of the queue of connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1_024;

/// HTTP server for callers.
pub struct Server<Dialect> {
    shared: Arc<SharedState<Dialect>>,
}

impl<Dialect> Server<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Creates a server that is not listening yet.
    pub fn new(shared: Arc<SharedState<Dialect>>) -> Self {
        Self { shared }
    }

    /// Serves callers until shutdown, then until all requests have a response or the grace period is
    /// nearly over.
    pub async fn serve(self, listener: TcpListener) {
        let graceful = GracefulShutdown::new();
        let mut revision = self.shared.revision.clone();
        let shutdown_begun = async {
            // An error means that the control thread has ended, and the daemon shuts down as well.
            let _ = revision.wait_for(|_| self.shared.view.load().is_shutting_down).await;
            time::sleep(SHUTDOWN_ACCEPT).await;
        };
        tokio::select! {
            () = self.accept(&listener, &graceful) => {}
            () = shutdown_begun => {}
        }
        drop(listener);
        let grace_ms = self.shared.host.limits.grace_ms;
        let spent_ms = u64::try_from(SHUTDOWN_ACCEPT.as_millis()).unwrap_or(0) + EXIT_RESERVE_MS;
        let limit = Duration::from_millis(grace_ms.saturating_sub(spent_ms));
        let finished = time::timeout(limit, graceful.shutdown()).await.is_ok();
        spdlog::info!("callers-port-closed all_answered={finished}");
    }

    async fn accept(&self, listener: &TcpListener, graceful: &GracefulShutdown) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    spdlog::warn!("accept-failed port=callers error=\"{error}\"");
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            self.spawn_connection(stream, graceful);
        }
    }

    fn spawn_connection(&self, stream: TcpStream, graceful: &GracefulShutdown) {
        if let Err(error) = connection::configure_keepalive(&stream) {
            spdlog::warn!("connection-refused port=callers error=\"{error}\"");
            return;
        }
        let view = self.shared.view.load();
        let limits = view.ingress.as_ref().map(|ingress| ingress.limits());
        let idle_ms = limits.map_or(DEFAULT_IDLE_MS, |limits| limits.idle_timeout_ms);
        let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.max_header_bytes);
        let shared = Arc::clone(&self.shared);
        let service = service_fn(move |request| {
            let shared = Arc::clone(&shared);
            async move {
                let mut response = proxy_request::serve(Arc::clone(&shared), request).await;
                close_if_shutting_down(&shared, &mut response);
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // hyper applies this timeout to the time between two requests as well.
            .header_read_timeout(Duration::from_millis(idle_ms))
            .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                spdlog::debug!("connection-ended port=callers error=\"{error}\"");
            }
        });
    }
}

/// Closes the connection after this response when the daemon shuts down.
fn close_if_shutting_down<Dialect>(
    shared: &SharedState<Dialect>,
    response: &mut Response<ResponseBody>,
) {
    if shared.view.load().is_shutting_down {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Listens with an accept queue that holds the connections that callers open after a restart.
///
/// # Errors
///
/// Fails when the address is not available.
pub fn listen(address: std::net::SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(u32::try_from(ACCEPT_BACKLOG).unwrap_or(u32::MAX))
}
