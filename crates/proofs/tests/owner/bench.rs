//! A dispatcher with one engine stand-in in the test's process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use jasminetack_domain::{adapter, lease, name, request};
use jasminetack_entry::control;
use jasminetack_entry::traffic::{
    AnswerEvent, Dispatcher, ModelOrder, Refusal, WorkerEvent, WorkerEventKind,
};
use jasminetack_entry::{clock, decision_log, settings};
use jasminetack_proofs::wait;
use jasminetack_standins::{engine, http};
use serde_json::{Value, json};
use tokio::runtime::Runtime;
use tokio::sync::mpsc;

/// Interval of probes; short, so that tests wait little.
const PROBE_MS: u64 = 50;

/// A dispatcher that owns one worker.
pub struct Bench {
    pub dispatcher: Arc<Dispatcher>,
    pub decisions: Arc<decision_log::DecisionLog>,
    pub worker: name::WorkerName,
    events: Receiver<control::Message>,
    _runtime: Runtime,
}

/// Answer of a request as its caller sees it.
#[derive(Debug, Default)]
pub struct Answer {
    pub is_head_seen: bool,
    pub progress_count: usize,
    pub body: String,
    pub refusal: Option<Refusal>,
}

impl Bench {
    /// Grants the worker at an address.
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
            ("--worker-probe-ms", &PROBE_MS.to_string()),
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
        let bench = Self { dispatcher, decisions, worker, events, _runtime: runtime };
        bench.grant(address, fencing, refuses_old_fencing);
        bench
    }

    pub fn grant(&self, address: SocketAddr, fencing: u64, refuses_old_fencing: bool) {
        let fencing = adapter::FencingToken::new(fencing);
        let worker = self.worker.clone();
        self.dispatcher.grant(lease::Grant { worker, fencing, refuses_old_fencing }, address);
    }

    /// Starts a streamed request.
    pub fn ask(&self, id: &str, adapter_name: &str, tokens: u32) -> mpsc::Receiver<AnswerEvent> {
        self.start_order(id, adapter_name, tokens, true, Duration::from_secs(60))
    }

    pub fn start_order(
        &self,
        id: &str,
        adapter_name: &str,
        tokens: u32,
        stream: bool,
        remaining: Duration,
    ) -> mpsc::Receiver<AnswerEvent> {
        let body = json!({
            "model": adapter_name, "prompt": id, "max_tokens": tokens, "stream": stream,
        });
        self.dispatcher.start(ModelOrder {
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

    /// Waits for a report to the control thread.
    pub fn wait_event(&self, kind: WorkerEventKind) -> WorkerEvent {
        let deadline = Instant::now() + wait::LONG;
        loop {
            let message = self.events.recv_deadline(deadline).expect("the report in time");
            if let control::Message::Worker(event) = message
                && event.kind == kind
            {
                return event;
            }
        }
    }
}

/// Starts an engine in the test's process.
pub fn start_engine(config: engine::Config) -> SocketAddr {
    let listener = http::listen("127.0.0.1:0").expect("a port");
    engine::start(listener, config).expect("an engine")
}

/// Settings of a fast engine.
pub fn fast() -> engine::Config {
    engine::Config {
        step_us: 2_000,
        load_ms: 20,
        report_lag_ms: 20,
        slots: 2,
        ..engine::Config::default()
    }
}

pub fn audit(engine: SocketAddr) -> engine::Audit {
    let value = jasminetack_proofs::http::get(&format!("http://{engine}/audit"), "");
    serde_json::from_value(value.expect("an audit")).expect("a valid audit")
}

pub fn switch(engine: SocketAddr, faults: &Value) {
    let url = format!("http://{engine}/switch");
    jasminetack_proofs::http::post(&url, "", faults).expect("the switch");
}

/// Reads an answer to its end and checks the order of the events.
pub fn read(events: mpsc::Receiver<AnswerEvent>) -> Answer {
    read_with(events, |_| {})
}

/// Reads an answer to its end; `on_chunk` is called with the number of each chunk.
pub fn read_with<OnChunk>(mut events: mpsc::Receiver<AnswerEvent>, mut on_chunk: OnChunk) -> Answer
where
    OnChunk: FnMut(usize),
{
    let mut answer = Answer::default();
    let mut chunks = 0;
    while let Some(event) = events.blocking_recv() {
        match event {
            AnswerEvent::Progress { .. } => {
                assert!(!answer.is_head_seen, "progress after the head");
                answer.progress_count += 1;
            }
            AnswerEvent::Head { status, .. } => {
                assert_eq!(status, 200);
                assert!(!answer.is_head_seen, "two heads");
                answer.is_head_seen = true;
            }
            AnswerEvent::Chunk(data) => {
                assert!(answer.is_head_seen, "a chunk before the head");
                answer.body.push_str(&String::from_utf8_lossy(&data));
                chunks += 1;
                on_chunk(chunks);
            }
            AnswerEvent::End => return answer,
            AnswerEvent::Refused(refusal) => {
                answer.refusal = Some(refusal);
                return answer;
            }
        }
    }
    panic!("the events ended without an end");
}

impl Answer {
    /// Returns the text of a streamed answer.
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
