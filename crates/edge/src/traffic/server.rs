//! Callers' port.

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

use super::answer_body::AnswerBody;
use super::shared::Traffic;
use super::{call, connection};
use crate::dialect;

/// Idle timeout and header size until a configuration is known.
const DEFAULT_IDLE_MS: u64 = 15_000;
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;
/// hyper's smallest limit on its buffer.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time for which a daemon that shuts down takes new connections; the balancer notices within two
/// of its checks, which come once a second.
const LEAVING_ACCEPT: Duration = Duration::from_millis(2_600);
/// Part of the grace period that is kept for the end of the process.
const GRACE_RESERVE_MS: u64 = 900;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Serves callers.
pub struct Server<Dialect> {
    traffic: Arc<Traffic<Dialect>>,
}

impl<Dialect> Server<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Creates a server that is not listening yet.
    pub fn new(traffic: Arc<Traffic<Dialect>>) -> Self {
        Self { traffic }
    }

    /// Serves callers until the daemon has shut down and every request has its answer.
    pub async fn serve(self, listener: TcpListener) {
        let graceful = GracefulShutdown::new();
        let mut revision = self.traffic.revision.clone();
        let leaving = async {
            // An error means that the control thread is gone, which ends the daemon, too.
            let _ = revision.wait_for(|_| self.traffic.view.load().is_shutting_down).await;
            time::sleep(LEAVING_ACCEPT).await;
        };
        tokio::select! {
            () = self.accept(&listener, &graceful) => {}
            () = leaving => {}
        }
        drop(listener);
        let grace_ms = self.traffic.host.limits.grace_ms;
        let spent_ms = u64::try_from(LEAVING_ACCEPT.as_millis()).unwrap_or(0) + GRACE_RESERVE_MS;
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
                    time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            self.spawn_connection(stream, graceful);
        }
    }

    fn spawn_connection(&self, stream: TcpStream, graceful: &GracefulShutdown) {
        if let Err(error) = connection::watch_peer(&stream) {
            spdlog::warn!("connection-refused port=callers error=\"{error}\"");
            return;
        }
        let view = self.traffic.view.load();
        let limits = view.ingress.as_ref().map(|ingress| ingress.limits());
        let idle_ms = limits.map_or(DEFAULT_IDLE_MS, |limits| limits.idle_timeout_ms);
        let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.max_header_bytes);
        let traffic = Arc::clone(&self.traffic);
        let service = service_fn(move |request| {
            let traffic = Arc::clone(&traffic);
            async move {
                let mut response = call::serve(Arc::clone(&traffic), request).await;
                close_when_leaving(&traffic, &mut response);
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // hyper applies it to the time between two requests, too.
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

/// Ends a connection with its present answer when the daemon shuts down.
fn close_when_leaving<Dialect>(traffic: &Traffic<Dialect>, response: &mut Response<AnswerBody>) {
    if traffic.view.load().is_shutting_down {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Listens with a queue that holds the connections of a restart.
///
/// # Errors
///
/// Fails when the port is not available.
pub fn listen(address: std::net::SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(u32::try_from(BACKLOG).unwrap_or(u32::MAX))
}
