//! HTTP server of the operations port: health, readiness, metrics and decisions about a request.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use arc_swap::ArcSwap;
use jasminetack_domain::name;
use jasminetack_wire::operations;

use crate::clock;
use crate::decision_log;
use crate::metrics;
use crate::snapshot;

const PLAIN_TEXT: &str = "text/plain; charset=utf-8";
const JSON: &str = "application/json";
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// HTTP server of the operations port; it runs on its own thread.
#[derive(Debug)]
pub struct OpsServer {
    /// Name of this host.
    pub host: name::HostName,
    /// Clock of the times in the decision log.
    pub clock: clock::Clock,
    /// Published snapshot of the fleet.
    pub snapshot: Arc<ArcSwap<snapshot::Snapshot>>,
    /// Metrics of the daemon.
    pub metrics: Arc<metrics::Metrics>,
    /// Recent decisions by request.
    pub decisions: Arc<decision_log::DecisionLog>,
}

struct Response {
    status: u16,
    content_type: &'static str,
    text: String,
}

impl OpsServer {
    /// Binds the port and starts the server thread.
    ///
    /// # Errors
    ///
    /// Fails when the port is not available or the thread cannot be started.
    pub fn start(self, address: SocketAddr) -> io::Result<()> {
        let server = tiny_http::Server::http(address).map_err(io::Error::other)?;
        let address = server.server_addr().to_string();
        spdlog::info!("listening", kv: { port = "operations", address = address.as_str() });
        thread::Builder::new().name("operations".to_owned()).spawn(move || self.run(&server))?;
        Ok(())
    }

    fn run(&self, server: &tiny_http::Server) {
        for request in server.incoming_requests() {
            let response = self.respond(request.method(), request.url());
            let mut http_response =
                tiny_http::Response::from_string(response.text).with_status_code(response.status);
            if let Ok(header) = tiny_http::Header::from_bytes("content-type", response.content_type)
            {
                http_response.add_header(header);
            }
            // A write fails only when the client has disconnected.
            let _ = request.respond(http_response);
        }
    }

    fn respond(&self, method: &tiny_http::Method, path: &str) -> Response {
        if *method != tiny_http::Method::Get {
            return Response::text(405, "only GET is allowed\n");
        }
        if let Some(request_id) = path.strip_prefix(operations::EXPLAIN_PREFIX) {
            return self.explain(&name::RequestId::from(request_id));
        }
        match path {
            "/healthz" => Response::text(200, "ok\n"),
            "/readyz" => self.readiness(),
            "/metrics" => self.metrics(),
            _ => Response::text(404, "paths: /healthz /readyz /metrics /explain/REQUEST-ID\n"),
        }
    }

    fn readiness(&self) -> Response {
        let snapshot = self.snapshot.load();
        let reason = snapshot.readiness.explanation();
        if snapshot.readiness.is_ready() {
            return Response::text(200, &format!("ready: {reason}\n"));
        }
        Response::text(503, &format!("not ready: {reason}\n"))
    }

    fn metrics(&self) -> Response {
        let snapshot = self.snapshot.load();
        let version = i64::try_from(snapshot.table.head_version()).unwrap_or(i64::MAX);
        let owned_workers =
            snapshot.fleet.iter().filter(|view| view.owner.as_ref() == Some(&self.host));
        let owned_workers = i64::try_from(owned_workers.count()).unwrap_or(i64::MAX);
        self.metrics.table_version.set(version);
        self.metrics.owned_workers.set(owned_workers);
        self.metrics.ready.set(i64::from(snapshot.readiness.is_ready()));
        Response { status: 200, content_type: OPEN_METRICS, text: self.metrics.encode() }
    }

    fn explain(&self, request_id: &name::RequestId) -> Response {
        let entries = self.decisions.entries(request_id);
        let status = if entries.is_empty() { 404 } else { 200 };
        let now_ms = self.clock.now_ms();
        let mut decisions = Vec::with_capacity(entries.len());
        for entry in entries {
            let age_ms = now_ms.saturating_sub(entry.at_ms);
            decisions.push(operations::ExplainedDecision { age_ms, text: entry.text });
        }
        let explanation = operations::Explanation {
            host: self.host.to_string(),
            request_id: request_id.to_string(),
            decisions,
        };
        let text = serde_json::to_string(&explanation).unwrap_or_default();
        Response { status, content_type: JSON, text }
    }
}

impl Response {
    fn text(status: u16, text: &str) -> Self {
        Self { status, content_type: PLAIN_TEXT, text: text.to_owned() }
    }
}
