//! HTTP client for engines.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy;
use hyper_util::rt::TokioExecutor;
use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_wire::engine;
use tokio::time;

/// A load waits for the weight store, which slows down under many loads.
const LOAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Orders and reports that the engine answers from memory.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call to an engine failed.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("engine call failed: {message}"))]
pub struct EngineError {
    /// Whether the engine may have acted on the call.
    pub outcome: request::Outcome,
    /// HTTP status when the engine answered.
    pub status: Option<StatusCode>,
    /// What happened.
    pub message: String,
}

/// An engine and the fencing number that orders to it carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Fencing number of the ownership.
    pub fencing: adapter::FencingToken,
}

/// Client for the engine API.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    authorization: Option<header::HeaderValue>,
}

impl EngineClient {
    /// Creates a client that presents a bearer key, unless the key is empty.
    pub fn new(key: &str) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(SHORT_TIMEOUT));
        // Every call has its own connection: one that the engine closes while it is idle would leave
        // the outcome of the next request unknown, and a probe must show that the engine accepts.
        let http = legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(0)
            .build(connector);
        let authorization = format!("Bearer {key}").try_into().ok();
        Self { http, authorization: authorization.filter(|_| !key.is_empty()) }
    }

    /// Orders an engine to load an adapter.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached or refuses.
    pub async fn load(
        &self,
        engine: Engine,
        instance: &adapter::InstanceName,
        adapter: &adapter::AdapterRef,
    ) -> Result<(), EngineError> {
        let order = engine::LoadAdapter {
            lora_name: instance.to_string(),
            lora_path: format!("{}/{}", adapter.name(), adapter.version()),
        };
        let call = self.call(engine, Method::POST, "/v1/load_lora_adapter", encode(&order), None);
        limited(LOAD_TIMEOUT, read_success(call)).await.map(|_| ())
    }

    /// Orders an engine to unload an instance.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached or refuses.
    pub async fn unload(
        &self,
        engine: Engine,
        instance: &adapter::InstanceName,
    ) -> Result<(), EngineError> {
        let order = engine::UnloadAdapter { lora_name: instance.to_string() };
        let call = self.call(engine, Method::POST, "/v1/unload_lora_adapter", encode(&order), None);
        limited(SHORT_TIMEOUT, read_success(call)).await.map(|_| ())
    }

    /// Presents the fencing number and returns the state of the engine.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached or refuses the number.
    pub async fn take_over(&self, engine: Engine) -> Result<engine::RoleReport, EngineError> {
        let order = encode(&engine::RoleOrder::default());
        self.json(engine, Method::POST, "/role", order).await
    }

    /// Reads the state of an engine.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer in time.
    pub async fn role(&self, engine: Engine) -> Result<engine::RoleReport, EngineError> {
        self.json(engine, Method::GET, "/role", Bytes::new()).await
    }

    /// Lists the instances that an engine holds.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer in time.
    pub async fn instances(&self, engine: Engine) -> Result<Vec<String>, EngineError> {
        let list: engine::ModelList =
            self.json(engine, Method::GET, "/v1/models", Bytes::new()).await?;
        Ok(list.data.into_iter().map(|model| model.id).collect())
    }

    /// Reads the load report of an engine.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer in time.
    pub async fn report(&self, engine: Engine) -> Result<engine::LoadReport, EngineError> {
        self.json(engine, Method::GET, "/load", Bytes::new()).await
    }

    /// Ends a request early.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer in time or refuses the fencing number.
    pub async fn cancel(
        &self,
        engine: Engine,
        request_id: &name::RequestId,
    ) -> Result<engine::Cancelled, EngineError> {
        let order = engine::CancelOrder { request_id: request_id.to_string() };
        self.json(engine, Method::POST, "/cancel", encode(&order)).await
    }

    /// Sends a model request and returns the engine's answer as it begins.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached or refuses; the outcome tells whether the request
    /// may run.
    pub async fn complete(
        &self,
        engine: Engine,
        path: &str,
        body: Bytes,
        request_id: &name::RequestId,
    ) -> Result<Response<Incoming>, EngineError> {
        succeeded(self.call(engine, Method::POST, path, body, Some(request_id)).await?).await
    }

    /// Asks for the rest of an answer after a number of tokens.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached or does not know the request.
    pub async fn resume(
        &self,
        engine: Engine,
        request_id: &name::RequestId,
        offset_tokens: usize,
    ) -> Result<Response<Incoming>, EngineError> {
        let request_id = request_id.to_string();
        let order = encode(&engine::ResumeOrder { request_id, offset: offset_tokens });
        let call = self.call(engine, Method::POST, "/resume", order, None);
        limited(SHORT_TIMEOUT, async { succeeded(call.await?).await }).await
    }

    async fn json<Answer>(
        &self,
        engine: Engine,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, EngineError>
    where
        Answer: serde::de::DeserializeOwned,
    {
        let call = self.call(engine, method, path, body, None);
        let body = limited(SHORT_TIMEOUT, read_success(call)).await?;
        serde_json::from_slice(&body).map_err(|error| unknown(error.to_string()))
    }

    async fn call(
        &self,
        engine: Engine,
        method: Method,
        path: &str,
        body: Bytes,
        request_id: Option<&name::RequestId>,
    ) -> Result<Response<Incoming>, EngineError> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", engine.address))
            .header(header::CONTENT_TYPE, "application/json")
            .header(engine::FENCING_HEADER, engine.fencing.value());
        if let Some(authorization) = &self.authorization {
            builder = builder.header(header::AUTHORIZATION, authorization);
        }
        if let Some(request_id) = request_id {
            builder = builder.header(engine::ENGINE_REQUEST_HEADER, request_id.as_str());
        }
        let request = builder.body(Full::new(body)).map_err(|error| not_run(error.to_string()))?;
        self.http.request(request).await.map_err(|error| {
            if error.is_connect() { not_run(error.to_string()) } else { unknown(error.to_string()) }
        })
    }
}

fn encode<Order>(order: &Order) -> Bytes
where
    Order: serde::Serialize,
{
    serde_json::to_vec(order).unwrap_or_default().into()
}

fn not_run(message: String) -> EngineError {
    EngineError { outcome: request::Outcome::NotRun, status: None, message }
}

fn unknown(message: String) -> EngineError {
    EngineError { outcome: request::Outcome::Unknown, status: None, message }
}

/// Passes a successful answer on and turns any other into an error.
async fn succeeded(response: Response<Incoming>) -> Result<Response<Incoming>, EngineError> {
    let status = response.status();
    if status == StatusCode::OK {
        return Ok(response);
    }
    let text = response.into_body().collect().await.map(|body| body.to_bytes());
    let text = text.map_or_else(|_| String::new(), |text| String::from_utf8_lossy(&text).into());
    // A client error means that the engine did not act; 503 is answered before a request is queued.
    let is_refusal = status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE;
    let outcome = if is_refusal { request::Outcome::NotRun } else { request::Outcome::Unknown };
    Err(EngineError { outcome, status: Some(status), message: format!("{status}: {text}") })
}

async fn read_success<Call>(call: Call) -> Result<Bytes, EngineError>
where
    Call: Future<Output = Result<Response<Incoming>, EngineError>>,
{
    let response = succeeded(call.await?).await?;
    let body = response.into_body().collect().await;
    body.map(|body| body.to_bytes()).map_err(|error| unknown(error.to_string()))
}

async fn limited<Call, Answer>(limit: Duration, call: Call) -> Result<Answer, EngineError>
where
    Call: Future<Output = Result<Answer, EngineError>>,
{
    match time::timeout(limit, call).await {
        Ok(answer) => answer,
        Err(_) => Err(unknown(format!("no answer within {limit:?}"))),
    }
}
