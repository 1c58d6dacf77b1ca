//! A caller of the daemons.

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
pub struct Ask {
    /// Adapter, with or without a version.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// Whether tokens are streamed.
    pub stream: bool,
    /// Class.
    pub class: &'static str,
    /// Deadline.
    pub timeout_ms: u64,
}

impl Default for Ask {
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

/// What a caller received.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// HTTP status; 0 when no head arrived.
    pub status: u16,
    /// `Jasminetack-Outcome`.
    pub outcome: Option<String>,
    /// `Jasminetack-Request-Id`.
    pub request_id: Option<String>,
    /// `Jasminetack-Adapter`.
    pub adapter: Option<String>,
    /// Generated text, or the body of an answer without one.
    pub text: String,
    /// Instance that the engine names in the answer.
    pub model: Option<String>,
    /// Whether the answer says that it is complete and its connection ended properly.
    pub is_complete: bool,
    /// What broke the answer.
    pub error: Option<String>,
    /// Time until the first token.
    pub first_token: Option<Duration>,
    /// Time until the end.
    pub total: Duration,
}

impl Answer {
    /// Tells whether this is the whole answer of an adapter version to a request.
    #[must_use]
    pub fn is_right(&self, adapter: &str, version: u32, ask: &Ask) -> bool {
        let source = format!("{adapter}/{version}");
        let expected = engine::expected_text(&source, &ask.prompt, ask.max_tokens);
        self.status == 200
            && self.is_complete
            && self.text == expected
            && self.adapter.as_deref() == Some(format!("{adapter}@{version}").as_str())
    }

    /// Tells whether the request was refused with the guarantee that it did not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.status != 200 && self.outcome.as_deref() == Some("not-run")
    }
}

/// Sends a completion request; failures of the connection are part of the answer.
#[must_use]
pub fn ask(daemon: SocketAddr, ask: &Ask) -> Answer {
    let body = json!({
        "model": ask.model,
        "prompt": ask.prompt,
        "max_tokens": ask.max_tokens,
        "stream": ask.stream,
    });
    let started = Instant::now();
    let request = http::agent(TIMEOUT)
        .post(format!("http://{daemon}/v1/completions"))
        .header("authorization", format!("Bearer {KEY}"))
        .header(failure::PRIORITY_HEADER, ask.class)
        .header(failure::TIMEOUT_HEADER, ask.timeout_ms.to_string());
    read(request.send_json(body), ask.stream, started)
}

/// Calls an app service, with an idempotency key if one is given.
#[must_use]
pub fn call(daemon: SocketAddr, method: &str, path: &str, key: Option<&str>, body: &str) -> Answer {
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
        Err(error) => Answer { error: Some(error.to_string()), ..Answer::default() },
    }
}

fn read(
    result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    is_stream: bool,
    started: Instant,
) -> Answer {
    let response = match result {
        Ok(response) => response,
        Err(error) => {
            let total = started.elapsed();
            return Answer { error: Some(error.to_string()), total, ..Answer::default() };
        }
    };
    let header = |name: &str| {
        response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let mut answer = Answer {
        status: response.status().as_u16(),
        outcome: header(failure::OUTCOME_HEADER),
        request_id: header(failure::REQUEST_ID_HEADER),
        adapter: header(failure::ADAPTER_HEADER),
        ..Answer::default()
    };
    let reader = BufReader::new(response.into_body().into_reader());
    let result = if is_stream && answer.status == 200 {
        read_stream(reader, &mut answer, started)
    } else {
        read_whole(reader, &mut answer)
    };
    answer.total = started.elapsed();
    answer.error = result.err().map(|error| error.to_string());
    answer.is_complete &= answer.error.is_none();
    answer
}

fn read_stream<Input>(reader: Input, answer: &mut Answer, started: Instant) -> io::Result<()>
where
    Input: BufRead,
{
    for line in reader.lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            answer.is_complete = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).map_err(io::Error::other)?;
        if let Some(error) = event.get("error") {
            return Err(io::Error::other(error.to_string()));
        }
        if let Some(text) = event["choices"][0]["text"].as_str() {
            answer.first_token.get_or_insert_with(|| started.elapsed());
            answer.text.push_str(text);
        }
        if let Some(model) = event["model"].as_str() {
            answer.model = Some(model.to_owned());
        }
    }
    Ok(())
}

fn read_whole<Input>(mut reader: Input, answer: &mut Answer) -> io::Result<()>
where
    Input: BufRead,
{
    let mut body = String::new();
    reader.read_to_string(&mut body)?;
    answer.is_complete = true;
    let parsed: Value = serde_json::from_str(&body).unwrap_or_default();
    answer.model = parsed["model"].as_str().map(str::to_owned);
    answer.text = parsed["choices"][0]["text"].as_str().map_or(body, str::to_owned);
    Ok(())
}
