//! HTTP server for the readiness check and metrics.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;

use super::server;
use super::shared_state::SharedState;
use crate::dialect;

/// Path of the metrics endpoint.
pub const METRICS_PATH: &str = "/metrics";
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Responds to readiness checks and metrics scrapes.
///
/// It runs on the thread that serves callers, so that a response shows that this thread is running.
pub struct HealthServer<Dialect> {
    shared: Arc<SharedState<Dialect>>,
}

impl<Dialect> HealthServer<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Creates a server that is not listening yet.
    pub fn new(shared: Arc<SharedState<Dialect>>) -> Self {
        Self { shared }
    }

    /// Starts listening.
    ///
    /// # Errors
    ///
    /// Fails when the address is not available.
    pub fn start(self, address: SocketAddr) -> io::Result<()> {
        let listener = server::listen(address)?;
        let server = Arc::new(self);
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let server = Arc::clone(&server);
                let service = service_fn(move |request| {
                    let response = server.respond(&request);
                    async move { Ok::<_, Infallible>(response) }
                });
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(async move {
                    if let Err(error) = connection.await {
                        spdlog::debug!("connection-ended port=health error=\"{error}\"");
                    }
                });
            }
        });
        Ok(())
    }

    fn respond(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path();
        if path == METRICS_PATH {
            let mut response = text_response(StatusCode::OK, self.shared.metrics.encode());
            let content_type = HeaderValue::from_static(METRICS_CONTENT_TYPE);
            response.headers_mut().insert(header::CONTENT_TYPE, content_type);
            return response;
        }
        if path != self.shared.dialect.readiness_path() {
            return text_response(StatusCode::NOT_FOUND, "no such path\n".to_owned());
        }
        let view = self.shared.view.load();
        let (status, reason) = if view.is_shutting_down {
            (StatusCode::SERVICE_UNAVAILABLE, "the daemon shuts down\n")
        } else if view.ingress.is_none() {
            (StatusCode::SERVICE_UNAVAILABLE, "there is no configuration yet\n")
        } else if view.services.is_empty() {
            (StatusCode::SERVICE_UNAVAILABLE, "no worker is known yet\n")
        } else {
            (StatusCode::OK, "ready\n")
        };
        text_response(status, reason.to_owned())
    }
}

fn text_response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
