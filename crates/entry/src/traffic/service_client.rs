//! HTTP client for app services.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy;
use hyper_util::rt::{TokioExecutor, TokioIo};
use jasminetack_domain::request;
use tokio::net::TcpStream;
use tokio::time;

use super::caller_error::CallerError;
use super::service_call::ServiceCall;

/// Maximum time to connect; hosts of app services are in the daemon's region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Client for app services; clones share the connection pool.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    pool: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    authorization: Option<HeaderValue>,
}

/// A connection for a single call.
#[derive(Debug)]
pub struct DedicatedConnection {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl ServiceClient {
    /// Creates a client that authenticates with a bearer key, unless the key is empty.
    #[must_use]
    pub fn new(upstream_key: &str) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let pool = legacy::Client::builder(TokioExecutor::new()).build(connector);
        let authorization = HeaderValue::from_str(&format!("Bearer {upstream_key}")).ok();
        Self { pool, authorization: authorization.filter(|_| !upstream_key.is_empty()) }
    }

    /// Sends a call that may be retried, over a pooled connection.
    ///
    /// # Errors
    ///
    /// Fails when the host cannot be reached or does not respond.
    pub async fn send(
        &self,
        host: SocketAddr,
        call: &ServiceCall,
    ) -> Result<Response<Incoming>, CallerError> {
        let request = self.request(host, call, format!("http://{host}{}", call.path))?;
        self.pool.request(request).await.map_err(|error| {
            let outcome = if error.is_connect() {
                request::Outcome::NotRun
            } else {
                request::Outcome::Unknown
            };
            failed(host, outcome, &error.to_string())
        })
    }

    /// Opens a connection for a call that is executed at most once. The service may have closed a
    /// pooled connection, which would leave unknown whether a call written to it was received.
    ///
    /// # Errors
    ///
    /// Fails when the host cannot be reached; nothing has been sent then.
    pub async fn connect(&self, host: SocketAddr) -> Result<DedicatedConnection, CallerError> {
        let connect = async {
            let stream = TcpStream::connect(host).await.map_err(|error| error.to_string())?;
            stream.set_nodelay(true).map_err(|error| error.to_string())?;
            http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())
        };
        let connected = time::timeout(CONNECT_TIMEOUT, connect).await;
        let connected = connected.unwrap_or_else(|_| Err("connect timed out".to_owned()));
        let (sender, connection) =
            connected.map_err(|error| failed(host, request::Outcome::NotRun, &error))?;
        tokio::spawn(async move {
            // The sender of the request receives the error too.
            let _ = connection.await;
        });
        Ok(DedicatedConnection { sender })
    }

    /// Sends a call over a new connection.
    ///
    /// # Errors
    ///
    /// Fails when the service does not respond. The outcome is `Unknown` if a byte may have been
    /// sent.
    pub async fn send_once(
        &self,
        host: SocketAddr,
        mut connection: DedicatedConnection,
        call: &ServiceCall,
    ) -> Result<Response<Incoming>, CallerError> {
        let mut request = self.request(host, call, call.path.clone())?;
        if let Ok(value) = HeaderValue::from_str(&host.to_string()) {
            request.headers_mut().insert(header::HOST, value);
        }
        connection.sender.try_send_request(request).await.map_err(|mut error| {
            // hyper returns the request if it has not started to write it.
            let outcome = match error.take_message() {
                Some(_) => request::Outcome::NotRun,
                None => request::Outcome::Unknown,
            };
            failed(host, outcome, &error.into_error().to_string())
        })
    }

    fn request(
        &self,
        host: SocketAddr,
        call: &ServiceCall,
        uri: String,
    ) -> Result<Request<Full<Bytes>>, CallerError> {
        let request = Request::builder().method(&call.method).uri(uri);
        let mut request = request
            .body(Full::new(call.body.clone()))
            .map_err(|error| failed(host, request::Outcome::NotRun, &error.to_string()))?;
        *request.headers_mut() = call.headers.clone();
        if let Some(authorization) = &self.authorization {
            request.headers_mut().insert(header::AUTHORIZATION, authorization.clone());
        }
        Ok(request)
    }
}

fn failed(host: SocketAddr, outcome: request::Outcome, reason: &str) -> CallerError {
    let message = format!("the service at {host} failed: {reason}");
    let status = StatusCode::BAD_GATEWAY;
    CallerError { outcome, ..CallerError::not_run(status, "service_failed", message) }
}
