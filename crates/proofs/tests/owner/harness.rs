//! Test harness: a dispatcher that owns one worker, and in-process engine stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use jasminetack_domain::{adapter, lease, name, request};
use jasminetack_entry::control;
use jasminetack_entry::traffic::{
    Dispatcher, ModelRequest, Refusal, ResponseEvent, WorkerEvent, WorkerEventKind,
};
use jasminetack_entry::{clock, decision_log, settings};
use jasminetack_proofs::wait;
use jasminetack_standins::{engine, http};
use serde_json::{Value, json};
use tokio::runtime::Runtime;
use tokio::sync::mpsc;

/// Probe interval; short, to keep the tests fast.
const PROBE_INTERVAL_MS: u64 = 50;

/// A dispatcher that owns one worker.
pub struct Harness {
    pub dispatcher: Arc<Dispatcher>,
    pub decisions: Arc<decision_log::DecisionLog>,
    pub worker: name::WorkerName,
    events: Receiver<control::Message>,
    _runtime: Runtime,
}

/// Response to a request, collected from its events.
#[derive(Debug, Default)]
pub struct Response {
    pub is_head_seen: bool,
    pub progress_count: usize,
    pub body: String,
    pub refusal: Option<Refusal>,
}

impl Harness {
    /// Starts a dispatcher and grants it the worker at an address.
    pub fn start(address: SocketAddr, fencing: u64, refuses_old_fencing: bool) -> Self {
        let mut arguments: Vec<std::ffi::OsString> = Vec::new();
        for (flag, value) in [
            ("--host", "e1"),
            ("--region", "r1"),
            ("--failure-domain", "a"),
            ("--callers-address", "127.0.0.1:0"),
            ("--peers-address", "127.0.0.1:0"),
            ("--ops-address", "127.0.0.1:0"),
            ("--platform-url", "http://127.0.0.1:9"),
            ("--platform-key", "platform-key-of-the-test"),
            ("--peer-secret", "peer-secret-of-the-test"),
            ("--worker-probe-ms", &PROBE_INTERVAL_MS.to_string()),
        ] {
            arguments.extend([flag.into(), value.into()]);
        }
        let settings = settings::Settings::from_arguments(arguments).expect("valid settings");
        let runtime = Runtime::new().expect("a runtime");
        let decisions = Arc::new(decision_log::DecisionLog::new(1_024));
        let (sender, events) = crossbeam_channel::unbounded();
        let dispatcher = Arc::new(Dispatcher::new(
            &settings,
            clock::Clock::start(),
            Arc::clone(&decisions),
            sender,
            runtime.handle().clone(),
        ));
        let worker = name::WorkerName::from("worker-1");
        dispatcher.set_load_limit(8);
        let harness = Self { dispatcher, decisions, worker, events, _runtime: runtime };
        harness.grant(address, fencing, refuses_old_fencing);
        harness
    }

    pub fn grant(&self, address: SocketAddr, fencing: u64, refuses_old_fencing: bool) {
        let fencing = adapter::FencingToken::new(fencing);
        let worker = self.worker.clone();
        self.dispatcher.grant(lease::Grant { worker, fencing, refuses_old_fencing }, address);
    }

    /// Starts a streamed request with the default timeout.
    pub fn start_stream(
        &self,
        id: &str,
        adapter_name: &str,
        tokens: u32,
    ) -> mpsc::Receiver<ResponseEvent> {
        self.start_request(id, adapter_name, tokens, true, Duration::from_secs(60))
    }

    pub fn start_request(
        &self,
        id: &str,
        adapter_name: &str,
        tokens: u32,
        stream: bool,
        remaining: Duration,
    ) -> mpsc::Receiver<ResponseEvent> {
        let body = json!({
            "model": adapter_name, "prompt": id, "max_tokens": tokens, "stream": stream,
        });
        self.dispatcher.start(ModelRequest {
            request_id: name::RequestId::from(id),
            worker: self.worker.clone(),
            adapter: adapter::AdapterRef::new(name::AdapterName::from(adapter_name), 1),
            team: name::TeamName::from("desk"),
            weight: 1,
            share: 1,
            class: request::Class::Normal,
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            path: "/v1/completions".to_owned(),
            body: body.to_string().into(),
        })
    }

    /// Waits for an event that is sent to the control thread.
    pub fn wait_event(&self, kind: WorkerEventKind) -> WorkerEvent {
        let deadline = Instant::now() + wait::DEFAULT_TIMEOUT;
        loop {
            let message = self.events.recv_deadline(deadline).expect("the event in time");
            if let control::Message::Worker(event) = message
                && event.kind == kind
            {
                return event;
            }
        }
    }
}

/// Starts an engine stand-in in the test process.
pub fn start_engine(config: engine::Config) -> SocketAddr {
    let listener = http::listen("127.0.0.1:0").expect("a port");
    engine::start(listener, config).expect("an engine")
}

/// Returns the configuration of an engine with short delays.
pub fn fast_engine_config() -> engine::Config {
    engine::Config {
        step_us: 2_000,
        load_ms: 20,
        report_lag_ms: 20,
        slots: 2,
        ..engine::Config::default()
    }
}

pub fn engine_audit(engine: SocketAddr) -> engine::Audit {
    let value = jasminetack_proofs::http::get(&format!("http://{engine}/audit"), "");
    serde_json::from_value(value.expect("an audit")).expect("a valid audit")
}

pub fn set_engine_faults(engine: SocketAddr, faults: &Value) {
    let url = format!("http://{engine}/switch");
    jasminetack_proofs::http::post(&url, "", faults).expect("the switch");
}

/// Collects a response to its end and checks the order of the events.
pub fn collect_response(events: mpsc::Receiver<ResponseEvent>) -> Response {
    collect_response_with(events, |_| {})
}

/// Collects a response to its end; `on_chunk` is called with the number of each chunk.
pub fn collect_response_with<OnChunk>(
    mut events: mpsc::Receiver<ResponseEvent>,
    mut on_chunk: OnChunk,
) -> Response
where
    OnChunk: FnMut(usize),
{
    let mut response = Response::default();
    let mut chunks = 0;
    while let Some(event) = events.blocking_recv() {
        match event {
            ResponseEvent::Progress { .. } => {
                assert!(!response.is_head_seen, "progress after the head");
                response.progress_count += 1;
            }
            ResponseEvent::Head { status, .. } => {
                assert_eq!(status, 200);
                assert!(!response.is_head_seen, "two heads");
                response.is_head_seen = true;
            }
            ResponseEvent::Chunk(data) => {
                assert!(response.is_head_seen, "a chunk before the head");
                response.body.push_str(&String::from_utf8_lossy(&data));
                chunks += 1;
                on_chunk(chunks);
            }
            ResponseEvent::End => return response,
            ResponseEvent::Refused(refusal) => {
                response.refusal = Some(refusal);
                return response;
            }
        }
    }
    panic!("the events ended without `End` or `Refused`");
}

impl Response {
    /// Returns the text of a streamed response.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for line in self.body.lines() {
            let Some(data) = line.strip_prefix("data: ") else { continue };
            let Ok(event) = serde_json::from_str::<Value>(data) else { continue };
            text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
        }
        text
    }

    pub fn code(&self) -> &str {
        self.refusal.as_ref().map_or("", |refusal| &refusal.code)
    }
}
