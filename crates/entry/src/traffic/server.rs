//! HTTP server for callers.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use jasminetack_domain::request;
use jasminetack_domain::route;
use jasminetack_domain::table;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time;

use super::admission::{self, AdmittedRequest};
use super::body::Body;
use super::caller_error::CallerError;
use super::caller_stream::CallerStream;
use super::concurrency_limiter::ConcurrencyLimiter;
use super::local_owner::LocalOwner;
use super::model_call::ModelCall;
use super::model_context::ModelContext;
use super::request_guard::{RequestGuard, UnflushedResponses};
use super::request_id_generator::RequestIdGenerator;
use super::service_call::{SERVICES_PREFIX, ServiceCall};
use super::service_context::ServiceContext;
use super::service_run;
use crate::snapshot;

/// Minimum that hyper accepts as the limit of its read buffer.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Connections above the limit that are refused with a response at a time; others are closed
/// without one.
const MAX_CONCURRENT_REFUSALS: usize = 64;
/// Maximum time to write a refusal and to discard what the caller sent.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Retry delay that is suggested while the daemon is not ready.
const NOT_READY_RETRY_AFTER_MS: u64 = 1_000;

/// Serves callers with one routing policy.
pub struct Server<RoutePolicy, Local> {
    models: Arc<ModelContext<RoutePolicy, Local>>,
    services: Arc<ServiceContext>,
    limiter: ConcurrencyLimiter,
    connections: Arc<Semaphore>,
    refusals: Arc<Semaphore>,
    request_ids: RequestIdGenerator,
}

impl<RoutePolicy, Local> Server<RoutePolicy, Local>
where
    RoutePolicy: route::Policy + Send + Sync + 'static,
    Local: LocalOwner + Send + Sync + 'static,
{
    /// Creates a server that is not listening yet.
    pub fn new(
        models: Arc<ModelContext<RoutePolicy, Local>>,
        services: Arc<ServiceContext>,
        limiter: ConcurrencyLimiter,
    ) -> Self {
        let connections = Arc::new(Semaphore::new(models.settings.max_connections));
        let refusals = Arc::new(Semaphore::new(MAX_CONCURRENT_REFUSALS));
        let request_ids = RequestIdGenerator::new(&models.settings.host);
        Self { models, services, limiter, connections, refusals, request_ids }
    }

    /// Accepts connections of callers until the process ends.
    pub async fn serve(self, listener: TcpListener) {
        let server = Arc::new(self);
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    let error = error.to_string();
                    spdlog::warn!("accept-failed", kv: { port = "callers", error = error.as_str() });
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let server = Arc::clone(&server);
            let Ok(permit) = Arc::clone(&server.connections).try_acquire_owned() else {
                server.refuse_connection(stream);
                continue;
            };
            tokio::spawn(async move {
                server.serve_connection(stream).await;
                drop(permit);
            });
        }
    }

    fn refuse_connection(&self, stream: TcpStream) {
        spdlog::warn!("connection-refused", kv: { reason = "too many connections" });
        let Ok(permit) = Arc::clone(&self.refusals).try_acquire_owned() else { return };
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let error = CallerError::not_run(status, "too_many_connections", "too many connections");
        let text = error.into_http1(&self.request_ids.next_id());
        tokio::spawn(async move {
            let _ = time::timeout(REFUSAL_TIMEOUT, refuse_and_close(stream, &text)).await;
            drop(permit);
        });
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        // Tokens are small; Nagle's algorithm would delay them.
        let _ = stream.set_nodelay(true);
        let settings = &self.models.settings;
        let header_timeout = Duration::from_millis(settings.header_timeout_ms);
        let unflushed = UnflushedResponses::default();
        let stream = CallerStream::new(stream, self.request_ids.next_id(), unflushed.clone());
        let service = service_fn(|request| {
            let (server, unflushed) = (Arc::clone(&self), unflushed.clone());
            Box::pin(async move { Ok::<_, Infallible>(server.respond(request, unflushed).await) })
        });
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(header_timeout)
            .max_header_size(settings.max_header_bytes)
            .max_buf_size(settings.max_header_bytes.max(MIN_BUFFER_BYTES))
            .writev(false)
            .serve_connection(TokioIo::new(stream), service);
        let result =
            std::future::poll_fn(|context| connection.poll_without_shutdown(context)).await;
        let Err(error) = result else { return };
        let message = error.to_string();
        spdlog::debug!("connection-ended", kv: { error = message.as_str() });
        if !error.is_timeout() {
            return;
        }
        // hyper closes the connection without a response when the header timeout expires.
        let milliseconds = settings.header_timeout_ms;
        let message = format!("the head of the request did not arrive within {milliseconds} ms");
        let error = CallerError::not_run(StatusCode::REQUEST_TIMEOUT, "slow_head", message);
        let text = error.into_http1(&self.request_ids.next_id());
        let stream = connection.into_parts().io.into_inner().into_inner();
        let _ = time::timeout(REFUSAL_TIMEOUT, refuse_and_close(stream, &text)).await;
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        unflushed: UnflushedResponses,
    ) -> Response<Body> {
        let request_id = self.request_ids.next_id();
        let mut guard = RequestGuard::new(Arc::clone(&self.models.metrics), &self.models.in_flight);
        let admitted = {
            let snapshot = self.models.snapshot.load();
            let (table, settings) = (&snapshot.table, &self.models.settings);
            let now_ms = self.models.clock.now_ms();
            AdmittedRequest::new(request_id.clone(), request.headers(), table, settings, now_ms)
        };
        let class = admitted.as_ref().map_or(request::Class::Normal, |admitted| admitted.class);
        let result = match admitted {
            Ok(admitted) => self.serve_request(request, admitted, &mut guard).await,
            Err(error) => Err(error),
        };
        let mut response = result.unwrap_or_else(|error| {
            self.models.metrics.record_request(class, error.outcome.as_str());
            let outcome = error.outcome.as_str();
            let detail = format!("status={} code={} outcome={outcome}", error.status, error.code);
            self.models.note(&request_id, "refuse", &detail);
            error.into_response(&request_id)
        });
        // During shutdown, each connection is closed after its current response.
        if self.models.snapshot.load().readiness == snapshot::Readiness::Leaving {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response.body_mut().set_guard(guard, unflushed);
        response
    }

    async fn serve_request(
        &self,
        request: Request<Incoming>,
        admitted: AdmittedRequest,
        guard: &mut RequestGuard,
    ) -> Result<Response<Body>, CallerError> {
        if !self.models.snapshot.load().readiness.serves() {
            let message = "this daemon has no current table; retry on another daemon";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let mut error = CallerError::not_run(status, "not_ready", message);
            error.retry_after_ms = Some(NOT_READY_RETRY_AFTER_MS);
            return Err(error);
        }
        let path = request.uri().path();
        let is_model = matches!(path, "/v1/completions" | "/v1/chat/completions");
        if !is_model && !path.starts_with(SERVICES_PREFIX) {
            let message = "unknown path; expected /v1/completions, /v1/chat/completions or \
                           /services/NAME/...";
            return Err(CallerError::not_run(StatusCode::NOT_FOUND, "no_such_path", message));
        }
        if is_model && request.method() != Method::POST {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Err(CallerError::not_run(status, "bad_method", "only POST is allowed"));
        }
        let (head, body) = request.into_parts();
        let body = admission::read_body(body, &head.method, &self.models.settings).await?;
        let snapshot = self.models.snapshot.load_full();
        if let Some(team) = snapshot.table.team(&admitted.team) {
            let row = table::RowKey::new(table::RowKind::Team, admitted.team.as_str());
            guard.add_permit(self.limiter.acquire(row, &team.limits).await?);
        }
        if !is_model {
            let call = ServiceCall::new(&snapshot.table, admitted, head, body)?;
            return service_run::run(Arc::clone(&self.services), call).await;
        }
        let path = head.uri.path().to_owned();
        let models = Arc::clone(&self.models);
        let call = ModelCall::new(models, &snapshot.table, admitted, path, body)?;
        if let Some(adapter) = snapshot.table.adapter(call.adapter().name()) {
            let row = table::RowKey::new(table::RowKind::Adapter, call.adapter().name().as_str());
            guard.add_permit(self.limiter.acquire(row, &adapter.limits).await?);
        }
        call.run().await
    }
}

/// Writes a refusal, then discards input until the caller closes the connection. Closing a socket
/// with unread data sends a reset, on which the caller may lose the refusal.
async fn refuse_and_close(mut stream: TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(text.as_bytes()).await?;
    stream.shutdown().await?;
    let mut discarded = [0; 1_024];
    while stream.read(&mut discarded).await? > 0 {}
    Ok(())
}
