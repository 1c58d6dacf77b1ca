//! HTTP client for the callers' API of a daemon.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jasminetack_standins::engine;
use jasminetack_wire::failure;
use serde_json::{Value, json};

use crate::http;

/// Bearer key of the callers' team.
pub const KEY: &str = "caller-key";

const TIMEOUT: Duration = Duration::from_secs(60);

/// A completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Adapter name, optionally followed by `@` and a version.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Priority class.
    pub class: &'static str,
    /// Time allowed for the whole request.
    pub timeout_ms: u64,
}

impl Default for CompletionRequest {
    fn default() -> Self {
        Self {
            model: "offers".to_owned(),
            prompt: "which dates are open in June".to_owned(),
            max_tokens: 8,
            stream: false,
            class: "normal",
            timeout_ms: 30_000,
        }
    }
}

/// Response as a caller received it, including failures of the connection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// HTTP status; 0 if no response head arrived.
    pub status: u16,
    /// Value of `Jasminetack-Outcome`.
    pub outcome: Option<String>,
    /// Value of `Jasminetack-Request-Id`.
    pub request_id: Option<String>,
    /// Value of `Jasminetack-Adapter`.
    pub adapter: Option<String>,
    /// Generated text, or the whole body if it contains none.
    pub text: String,
    /// Value of `model` in the body: the adapter instance that the engine reports.
    pub model: Option<String>,
    /// Whether the body was read to its end without error; a stream must also contain `[DONE]`.
    pub is_complete: bool,
    /// Error of the connection, or the error event of a stream.
    pub error: Option<String>,
    /// Time from sending the request to the first token of a stream.
    pub first_token: Option<Duration>,
    /// Time from sending the request to the end of the response.
    pub total: Duration,
}

impl Response {
    /// Returns whether this is the complete, correct response of an adapter version to a request.
    #[must_use]
    pub fn is_expected_completion(
        &self,
        adapter: &str,
        version: u32,
        request: &CompletionRequest,
    ) -> bool {
        let source = format!("{adapter}/{version}");
        let expected = engine::expected_text(&source, &request.prompt, request.max_tokens);
        self.status == 200
            && self.is_complete
            && self.text == expected
            && self.adapter.as_deref() == Some(format!("{adapter}@{version}").as_str())
    }

    /// Returns whether the request was refused with the outcome `not-run`.
    #[must_use]
    pub fn is_refused_as_not_run(&self) -> bool {
        self.status != 200 && self.outcome.as_deref() == Some("not-run")
    }
}

/// Sends a completion request; connection failures are reported in the response.
#[must_use]
pub fn complete(daemon: SocketAddr, completion: &CompletionRequest) -> Response {
    let body = json!({
        "model": completion.model,
        "prompt": completion.prompt,
        "max_tokens": completion.max_tokens,
        "stream": completion.stream,
    });
    let started = Instant::now();
    let request = http::agent(TIMEOUT)
        .post(format!("http://{daemon}/v1/completions"))
        .header("authorization", format!("Bearer {KEY}"))
        .header(failure::PRIORITY_HEADER, completion.class)
        .header(failure::TIMEOUT_HEADER, completion.timeout_ms.to_string());
    read(request.send_json(body), completion.stream, started)
}

/// Calls an app service, optionally with an idempotency key.
#[must_use]
pub fn call_service(
    daemon: SocketAddr,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Response {
    let started = Instant::now();
    let mut request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{daemon}/services/{path}"))
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json");
    if let Some(key) = key {
        request = request.header(failure::IDEMPOTENCY_KEY_HEADER, key);
    }
    match request.body(body.to_owned()) {
        Ok(request) => read(http::agent(TIMEOUT).run(request), false, started),
        Err(error) => Response { error: Some(error.to_string()), ..Response::default() },
    }
}

fn read(
    result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    is_stream: bool,
    started: Instant,
) -> Response {
    let http_response = match result {
        Ok(http_response) => http_response,
        Err(error) => {
            let total = started.elapsed();
            return Response { error: Some(error.to_string()), total, ..Response::default() };
        }
    };
    let header = |name: &str| {
        http_response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let mut response = Response {
        status: http_response.status().as_u16(),
        outcome: header(failure::OUTCOME_HEADER),
        request_id: header(failure::REQUEST_ID_HEADER),
        adapter: header(failure::ADAPTER_HEADER),
        ..Response::default()
    };
    let reader = BufReader::new(http_response.into_body().into_reader());
    let result = if is_stream && response.status == 200 {
        read_stream(reader, &mut response, started)
    } else {
        read_whole(reader, &mut response)
    };
    response.total = started.elapsed();
    response.error = result.err().map(|error| error.to_string());
    response.is_complete &= response.error.is_none();
    response
}

fn read_stream<Input>(reader: Input, response: &mut Response, started: Instant) -> io::Result<()>
where
    Input: BufRead,
{
    for line in reader.lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            response.is_complete = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).map_err(io::Error::other)?;
        if let Some(error) = event.get("error") {
            return Err(io::Error::other(error.to_string()));
        }
        if let Some(text) = event["choices"][0]["text"].as_str() {
            response.first_token.get_or_insert_with(|| started.elapsed());
            response.text.push_str(text);
        }
        if let Some(model) = event["model"].as_str() {
            response.model = Some(model.to_owned());
        }
    }
    Ok(())
}

fn read_whole<Input>(mut reader: Input, response: &mut Response) -> io::Result<()>
where
    Input: BufRead,
{
    let mut body = String::new();
    reader.read_to_string(&mut body)?;
    response.is_complete = true;
    let parsed: Value = serde_json::from_str(&body).unwrap_or_default();
    response.model = parsed["model"].as_str().map(str::to_owned);
    response.text = parsed["choices"][0]["text"].as_str().map_or(body, str::to_owned);
    Ok(())
}
