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

/// Timeout of adapter loads, which read from the weight store; it is slow under many loads.
const LOAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of connecting and of calls that the engine serves from memory.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Error of a call to an engine.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("engine call failed: {message}"))]
pub struct EngineError {
    /// Whether the engine may have executed the call.
    pub outcome: request::Outcome,
    /// HTTP status, if the engine responded.
    pub status: Option<StatusCode>,
    /// Description of the failure.
    pub message: String,
}

/// An engine and the fencing token that is sent with each request to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineTarget {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Fencing token of the ownership.
    pub fencing: adapter::FencingToken,
}

/// Client for the engine API.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    authorization: Option<header::HeaderValue>,
}

impl EngineClient {
    /// Creates a client that sends a bearer key with each request, unless the key is empty.
    pub fn new(key: &str) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONTROL_TIMEOUT));
        // No connection is reused: if the engine closed an idle one, the outcome of the next request
        // on it would be unknown, and a probe must verify that the engine accepts connections.
        let http = legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(0)
            .build(connector);
        let authorization = format!("Bearer {key}").try_into().ok();
        Self { http, authorization: authorization.filter(|_| !key.is_empty()) }
    }

    /// Loads an adapter into an engine under an instance name.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached or refuses.
    pub async fn load(
        &self,
        engine: EngineTarget,
        instance: &adapter::InstanceName,
        adapter: &adapter::AdapterRef,
    ) -> Result<(), EngineError> {
        let body = engine::LoadAdapter {
            lora_name: instance.to_string(),
            lora_path: format!("{}/{}", adapter.name(), adapter.version()),
        };
        let call =
            self.call(engine, Method::POST, "/v1/load_lora_adapter", encode_json(&body), None);
        with_timeout(LOAD_TIMEOUT, read_success_body(call)).await.map(|_| ())
    }

    /// Unloads an instance from an engine.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached or refuses.
    pub async fn unload(
        &self,
        engine: EngineTarget,
        instance: &adapter::InstanceName,
    ) -> Result<(), EngineError> {
        let body = engine::UnloadAdapter { lora_name: instance.to_string() };
        let call =
            self.call(engine, Method::POST, "/v1/unload_lora_adapter", encode_json(&body), None);
        with_timeout(CONTROL_TIMEOUT, read_success_body(call)).await.map(|_| ())
    }

    /// Registers the fencing token with the engine and returns the engine's state.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached or refuses the token.
    pub async fn take_over(
        &self,
        engine: EngineTarget,
    ) -> Result<engine::RoleResponse, EngineError> {
        let body = encode_json(&engine::RoleRequest::default());
        self.call_json(engine, Method::POST, "/role", body).await
    }

    /// Returns the state of an engine.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not respond in time.
    pub async fn role(&self, engine: EngineTarget) -> Result<engine::RoleResponse, EngineError> {
        self.call_json(engine, Method::GET, "/role", Bytes::new()).await
    }

    /// Returns the names of the instances that are loaded in an engine.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not respond in time.
    pub async fn list_instances(&self, engine: EngineTarget) -> Result<Vec<String>, EngineError> {
        let list: engine::ModelList =
            self.call_json(engine, Method::GET, "/v1/models", Bytes::new()).await?;
        Ok(list.data.into_iter().map(|model| model.id).collect())
    }

    /// Returns the load report of an engine.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not respond in time.
    pub async fn load_report(
        &self,
        engine: EngineTarget,
    ) -> Result<engine::LoadReport, EngineError> {
        self.call_json(engine, Method::GET, "/load", Bytes::new()).await
    }

    /// Cancels a request on an engine.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not respond in time or refuses the fencing token.
    pub async fn cancel(
        &self,
        engine: EngineTarget,
        request_id: &name::RequestId,
    ) -> Result<engine::CancelResponse, EngineError> {
        let body = engine::CancelRequest { request_id: request_id.to_string() };
        self.call_json(engine, Method::POST, "/cancel", encode_json(&body)).await
    }

    /// Sends a model request and returns the response once its head has arrived.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached or refuses; the outcome tells whether the request
    /// may be running.
    pub async fn complete(
        &self,
        engine: EngineTarget,
        path: &str,
        body: Bytes,
        request_id: &name::RequestId,
    ) -> Result<Response<Incoming>, EngineError> {
        check_status(self.call(engine, Method::POST, path, body, Some(request_id)).await?).await
    }

    /// Requests the rest of a streamed response, from a token offset on.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached or does not know the request.
    pub async fn resume(
        &self,
        engine: EngineTarget,
        request_id: &name::RequestId,
        offset_tokens: usize,
    ) -> Result<Response<Incoming>, EngineError> {
        let request_id = request_id.to_string();
        let body = encode_json(&engine::ResumeRequest { request_id, offset: offset_tokens });
        let call = self.call(engine, Method::POST, "/resume", body, None);
        with_timeout(CONTROL_TIMEOUT, async { check_status(call.await?).await }).await
    }

    async fn call_json<Reply>(
        &self,
        engine: EngineTarget,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Reply, EngineError>
    where
        Reply: serde::de::DeserializeOwned,
    {
        let call = self.call(engine, method, path, body, None);
        let body = with_timeout(CONTROL_TIMEOUT, read_success_body(call)).await?;
        serde_json::from_slice(&body).map_err(|error| unknown_outcome_error(error.to_string()))
    }

    async fn call(
        &self,
        engine: EngineTarget,
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
            builder = builder.header(engine::ENGINE_REQUEST_ID_HEADER, request_id.as_str());
        }
        let request =
            builder.body(Full::new(body)).map_err(|error| not_run_error(error.to_string()))?;
        self.http.request(request).await.map_err(|error| {
            if error.is_connect() {
                not_run_error(error.to_string())
            } else {
                unknown_outcome_error(error.to_string())
            }
        })
    }
}

fn encode_json<Body>(body: &Body) -> Bytes
where
    Body: serde::Serialize,
{
    serde_json::to_vec(body).unwrap_or_default().into()
}

fn not_run_error(message: String) -> EngineError {
    EngineError { outcome: request::Outcome::NotRun, status: None, message }
}

fn unknown_outcome_error(message: String) -> EngineError {
    EngineError { outcome: request::Outcome::Unknown, status: None, message }
}

/// Returns a response with status 200 and turns any other into an error.
async fn check_status(response: Response<Incoming>) -> Result<Response<Incoming>, EngineError> {
    let status = response.status();
    if status == StatusCode::OK {
        return Ok(response);
    }
    let text = response.into_body().collect().await.map(|body| body.to_bytes());
    let text = text.map_or_else(|_| String::new(), |text| String::from_utf8_lossy(&text).into());
    // The engine executes nothing when it responds with 4xx, and sends 503 before it queues a request.
    let is_refusal = status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE;
    let outcome = if is_refusal { request::Outcome::NotRun } else { request::Outcome::Unknown };
    Err(EngineError { outcome, status: Some(status), message: format!("{status}: {text}") })
}

async fn read_success_body<Call>(call: Call) -> Result<Bytes, EngineError>
where
    Call: Future<Output = Result<Response<Incoming>, EngineError>>,
{
    let response = check_status(call.await?).await?;
    let body = response.into_body().collect().await;
    body.map(|body| body.to_bytes()).map_err(|error| unknown_outcome_error(error.to_string()))
}

async fn with_timeout<Call, Reply>(timeout: Duration, call: Call) -> Result<Reply, EngineError>
where
    Call: Future<Output = Result<Reply, EngineError>>,
{
    match time::timeout(timeout, call).await {
        Ok(result) => result,
        Err(_) => Err(unknown_outcome_error(format!("no response within {timeout:?}"))),
    }
}
