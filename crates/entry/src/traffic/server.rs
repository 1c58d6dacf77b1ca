//! Callers' port.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_domain::route;
use jasminetack_domain::table;
use sha2::Digest;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use super::body;
use super::caller_error::CallerError;
use super::model_call::ModelCall;
use super::owners::Owners;
use super::router::Router;
use super::start_order::StartOrder;
use crate::clock;
use crate::journal;
use crate::metrics;
use crate::settings;
use crate::snapshot;

/// Serves callers with one routing policy.
pub struct Server<RoutePolicy, Local> {
    settings: Arc<settings::Settings>,
    snapshot: Arc<ArcSwap<snapshot::Snapshot>>,
    clock: clock::Clock,
    owners: Owners<Local>,
    metrics: Arc<metrics::Metrics>,
    journal: Arc<journal::Journal>,
    router: Router<RoutePolicy>,
    connections: Arc<Semaphore>,
    next_request: AtomicU64,
}

impl<RoutePolicy, Local> Server<RoutePolicy, Local>
where
    RoutePolicy: route::Policy + Send + Sync + 'static,
    Local: StartOrder + Send + Sync + 'static,
{
    /// Creates a server that is not listening yet.
    pub fn new(
        settings: Arc<settings::Settings>,
        snapshot: Arc<ArcSwap<snapshot::Snapshot>>,
        clock: clock::Clock,
        owners: Owners<Local>,
        router: Router<RoutePolicy>,
        metrics: Arc<metrics::Metrics>,
        journal: Arc<journal::Journal>,
    ) -> Self {
        let connections = Arc::new(Semaphore::new(settings.max_connections));
        let next_request = AtomicU64::new(1);
        Self {
            settings,
            snapshot,
            clock,
            owners,
            router,
            metrics,
            journal,
            connections,
            next_request,
        }
    }

    /// Serves callers until the listener fails.
    ///
    /// # Errors
    ///
    /// Fails when the port is not available.
    pub async fn serve(self) -> io::Result<()> {
        let listener = TcpListener::bind(self.settings.callers_address).await?;
        let address = listener.local_addr()?.to_string();
        spdlog::info!("listening", kv: { port = "callers", address = address.as_str() });
        let server = Arc::new(self);
        loop {
            let (stream, _) = listener.accept().await?;
            let Ok(permit) = Arc::clone(&server.connections).try_acquire_owned() else {
                spdlog::warn!("connection-refused", kv: { reason = "too many connections" });
                continue;
            };
            let server = Arc::clone(&server);
            tokio::spawn(async move {
                server.serve_connection(stream).await;
                drop(permit);
            });
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        // Tokens are small and must leave at once.
        let _ = stream.set_nodelay(true);
        let header_timeout = Duration::from_millis(self.settings.header_timeout_ms);
        let service = service_fn(|request| {
            let server = Arc::clone(&self);
            async move { Ok::<_, Infallible>(server.answer(request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(header_timeout)
            .serve_connection(TokioIo::new(stream), service);
        if let Err(error) = connection.await {
            let error = error.to_string();
            spdlog::debug!("connection-ended", kv: { error = error.as_str() });
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<body::Body> {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let request_id = name::RequestId::from(format!("{}-{number}", self.settings.host));
        self.metrics.in_flight.inc();
        let result = self.route_path(request, &request_id).await;
        self.metrics.in_flight.dec();
        let label = result.as_ref().map_or_else(|error| error.outcome.as_str(), |_| "answered");
        self.metrics.finish_request(request::Class::Normal, label);
        result.unwrap_or_else(|error| error.into_response(&request_id))
    }

    async fn route_path(
        &self,
        request: Request<Incoming>,
        request_id: &name::RequestId,
    ) -> Result<Response<body::Body>, CallerError> {
        let path = request.uri().path().to_owned();
        let is_model = matches!(path.as_str(), "/v1/completions" | "/v1/chat/completions");
        if !is_model || request.method() != Method::POST {
            return Err(CallerError::not_run(
                StatusCode::NOT_FOUND,
                "no_such_path",
                "no such path",
            ));
        }
        let snapshot = self.snapshot.load_full();
        let team = authenticate(&snapshot.table, &request)?;
        let limit = self.settings.max_body_bytes;
        let body = Limited::new(request.into_body(), limit).collect().await.map_err(|error| {
            CallerError::not_run(StatusCode::PAYLOAD_TOO_LARGE, "bad_body", error.to_string())
        })?;
        let call = ModelCall {
            settings: &self.settings,
            snapshot: &snapshot,
            owners: &self.owners,
            journal: &self.journal,
            router: &self.router,
            request_id,
            team,
        };
        call.run(path, body.to_bytes(), self.clock.now_ms()).await
    }
}

fn authenticate(
    table: &table::Table,
    request: &Request<Incoming>,
) -> Result<name::TeamName, CallerError> {
    let key = request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    let hash = key.map(|key| table::KeyHash::new(sha2::Sha256::digest(key.as_bytes()).into()));
    hash.and_then(|hash| table.team_by_key(&hash)).cloned().ok_or_else(|| {
        CallerError::not_run(StatusCode::UNAUTHORIZED, "bad_key", "the bearer key is not valid")
    })
}
