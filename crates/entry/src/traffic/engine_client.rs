//! HTTP client for engines.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy;
use hyper_util::rt::TokioExecutor;
use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_wire::engine;

/// Why a call to an engine failed.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("engine call failed: {message}"))]
pub struct EngineError {
    /// Whether the engine may have acted on the call.
    pub outcome: request::Outcome,
    /// What happened.
    pub message: String,
}

/// Client for the engine API; clones share the connection pool.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
}

impl Default for EngineClient {
    fn default() -> Self {
        Self::new()
    }
}

impl EngineClient {
    /// Creates a client.
    pub fn new() -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        let http = legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { http }
    }

    /// Orders an engine to load an adapter.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached or refuses.
    pub async fn load(
        &self,
        engine: SocketAddr,
        instance: &adapter::InstanceName,
        adapter: &adapter::AdapterRef,
        fencing: adapter::FencingNumber,
    ) -> Result<(), EngineError> {
        let order = engine::LoadAdapter {
            lora_name: instance.to_string(),
            lora_path: format!("{}/{}", adapter.name(), adapter.version()),
        };
        let body = serde_json::to_vec(&order).unwrap_or_default();
        let response =
            self.post(engine, "/v1/load_lora_adapter", body.into(), fencing, None).await?;
        if response.status() == StatusCode::OK {
            return Ok(());
        }
        let status = response.status();
        let text = response.into_body().collect().await.map(|body| body.to_bytes());
        let text =
            text.map_or_else(|_| String::new(), |text| String::from_utf8_lossy(&text).into());
        Err(EngineError {
            outcome: request::Outcome::NotRun,
            message: format!("load refused with status {status}: {text}"),
        })
    }

    /// Sends a model request and returns the engine's answer as it begins.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached; the outcome tells whether a byte may have reached it.
    pub async fn complete(
        &self,
        engine: SocketAddr,
        path: &str,
        body: Bytes,
        fencing: adapter::FencingNumber,
        request_id: &name::RequestId,
    ) -> Result<Response<Incoming>, EngineError> {
        self.post(engine, path, body, fencing, Some(request_id)).await
    }

    async fn post(
        &self,
        engine: SocketAddr,
        path: &str,
        body: Bytes,
        fencing: adapter::FencingNumber,
        request_id: Option<&name::RequestId>,
    ) -> Result<Response<Incoming>, EngineError> {
        let mut builder = Request::post(format!("http://{engine}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .header(engine::FENCING_HEADER, fencing.value());
        if let Some(request_id) = request_id {
            builder = builder.header(engine::ENGINE_REQUEST_HEADER, request_id.as_str());
        }
        let request = builder.body(Full::new(body)).map_err(|error| EngineError {
            outcome: request::Outcome::NotRun,
            message: error.to_string(),
        })?;
        self.http.request(request).await.map_err(|error| EngineError {
            outcome: if error.is_connect() {
                request::Outcome::NotRun
            } else {
                request::Outcome::Unknown
            },
            message: error.to_string(),
        })
    }
}
