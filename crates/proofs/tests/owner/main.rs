//! Tests of the dispatcher, the owner of workers, against engine stand-ins.

mod harness;

use std::time::Duration;

use harness::{
    Harness, collect_response, collect_response_with, engine_audit, fast_engine_config,
    set_engine_faults, start_engine,
};
use jasminetack_domain::{adapter, name, request};
use jasminetack_entry::traffic::WorkerEventKind;
use jasminetack_proofs::{upstream, wait};
use jasminetack_standins::{engine, http, relay};
use jasminetack_wire::platform as wire;
use serde_json::json;

fn expected(adapter_name: &str, prompt: &str, tokens: u32) -> String {
    engine::expected_text(&format!("{adapter_name}/1"), prompt, tokens)
}

/// Guards against a response that is truncated, repeated or given while its adapter is not loaded.
#[test]
fn request_waits_for_its_load_and_gets_its_whole_response() {
    let engine = start_engine(engine::Config { load_ms: 700, ..fast_engine_config() });
    let harness = Harness::start(engine, 1, true);
    let response = collect_response(harness.start_stream("r1", "a", 20));
    assert_eq!(response.text(), expected("a", "r1", 20));
    assert!(response.body.ends_with("data: [DONE]\n\n"));
    assert!(response.progress_count >= 1, "no progress while the adapter was loaded");
    let unstreamed = harness.start_request("r2", "a", 5, false, Duration::from_secs(60));
    let whole: serde_json::Value =
        serde_json::from_str(&collect_response(unstreamed).body).unwrap();
    assert_eq!(whole["choices"][0]["text"], expected("a", "r2", 5));
    assert_eq!(engine_audit(engine).loads, 1);
    let id = name::RequestId::from("r1");
    let entries = harness.decisions.entries(&id).into_iter();
    let text = entries.map(|entry| entry.text).collect::<Vec<_>>().join("\n");
    assert!(text.contains("load worker=worker-1 instance=a@1"), "{text}");
}

/// Guards against unloads of adapters in use, wrong responses and lost requests when there are more
/// adapters than slots.
#[test]
fn many_adapters_share_few_slots_without_violations() {
    let engine = start_engine(fast_engine_config());
    let harness = Harness::start(engine, 1, true);
    let mut responses = Vec::new();
    for index in 0..60 {
        let adapter_name = format!("a{}", index % 5);
        let id = format!("r{index}");
        let events = harness.start_stream(&id, &adapter_name, 10);
        responses.push((id, adapter_name, std::thread::spawn(move || collect_response(events))));
    }
    for (id, adapter_name, response) in responses {
        let response = response.join().unwrap();
        assert_eq!(response.refusal, None, "{id}");
        assert_eq!(response.text(), expected(&adapter_name, &id, 10));
    }
    let audit = engine_audit(engine);
    assert_eq!(audit.violations, Vec::<String>::new());
    assert!(audit.runs.values().all(|runs| *runs == 1), "a request ran twice: {:?}", audit.runs);
    assert_eq!(audit.loads_without_slot, 0);
}

/// Guards against a response with a gap or a repeated part, and against a second execution, after the
/// connection to the engine breaks.
#[test]
fn broken_stream_is_resumed_at_its_offset() {
    let engine = start_engine(engine::Config { step_us: 10_000, ..fast_engine_config() });
    let listener = http::listen("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let engine_relay = relay::Relay::start(listener, engine).unwrap();
    let harness = Harness::start(address, 1, true);
    let response = collect_response_with(harness.start_stream("r1", "a", 60), |chunk| {
        if chunk % 15 == 0 && chunk <= 45 {
            engine_relay.set_faults(relay::Faults { cut: true, ..relay::Faults::default() });
            engine_relay.set_faults(relay::Faults::default());
        }
    });
    assert_eq!(response.refusal, None);
    assert_eq!(response.text(), expected("a", "r1", 60));
    assert_eq!(response.body.matches("\"usage\"").count(), 1);
    let audit = engine_audit(engine);
    assert!(audit.resumed >= 1, "the stream was not broken");
    assert_eq!(audit.runs["r1"], 1);
}

/// Guards against an incomplete stream that appears complete to the caller.
#[test]
fn stream_that_cannot_be_resumed_ends_with_an_error() {
    let engine = start_engine(engine::Config { step_us: 10_000, ..fast_engine_config() });
    let listener = http::listen("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let engine_relay = relay::Relay::start(listener, engine).unwrap();
    let harness = Harness::start(address, 1, true);
    let response = collect_response_with(harness.start_stream("r1", "a", 200), |chunk| {
        if chunk == 5 {
            engine_relay.set_faults(relay::Faults { cut: true, ..relay::Faults::default() });
        }
    });
    let refusal = response.refusal.unwrap();
    assert_eq!(refusal.outcome, request::Outcome::Unknown);
    assert!(response.body.contains("event: error\n"), "{}", response.body);
    assert!(!response.body.contains("[DONE]"));
}

/// Guards against a cancelled request that keeps running on the engine or keeps its slot pinned.
#[test]
fn dropped_receiver_cancels_at_the_engine() {
    let engine = start_engine(engine::Config { slots: 1, step_us: 10_000, ..fast_engine_config() });
    let harness = Harness::start(engine, 1, true);
    let mut events = harness.start_stream("r1", "a", 100_000);
    while !matches!(
        events.blocking_recv(),
        Some(jasminetack_entry::traffic::ResponseEvent::Chunk(_))
    ) {}
    drop(events);
    wait::until("the cancellation", wait::DEFAULT_TIMEOUT, || engine_audit(engine).cancelled == 1)
        .unwrap();
    let response = collect_response(harness.start_stream("r2", "b", 3));
    assert_eq!(response.text(), expected("b", "r2", 3));
    assert_eq!(engine_audit(engine).violations, Vec::<String>::new());
}

/// Guards against relaying the response of another adapter to a caller.
#[test]
fn response_of_another_instance_is_not_relayed() {
    let engine = start_engine(fast_engine_config());
    let harness = Harness::start(engine, 1, true);
    collect_response(harness.start_stream("warm", "a", 1));
    set_engine_faults(engine, &json!({ "wrong_model": true }));
    let response = collect_response(harness.start_stream("r1", "a", 5));
    assert_eq!(response.code(), "wrong_instance");
    assert!(!response.is_head_seen);
    let unstreamed = harness.start_request("r2", "a", 5, false, Duration::from_secs(60));
    assert_eq!(collect_response(unstreamed).code(), "wrong_instance");
}

/// Guards against a handover that aborts running requests or loses queued ones.
#[test]
fn revoked_worker_refuses_queued_requests_and_finishes_running_ones() {
    let config = engine::Config { batch_places: 1, step_us: 10_000, ..fast_engine_config() };
    let engine = start_engine(config);
    let harness = Harness::start(engine, 1, true);
    collect_response(harness.start_stream("warm", "a", 1));
    let running = harness.start_stream("running", "a", 50);
    wait::until("the start", wait::DEFAULT_TIMEOUT, || {
        engine_audit(engine).runs.contains_key("running")
    })
    .unwrap();
    let queued = harness.start_stream("queued", "a", 5);
    wait::until("the queue", wait::DEFAULT_TIMEOUT, || {
        harness.dispatcher.summaries()[0].outstanding == 2
    })
    .unwrap();
    harness.dispatcher.revoke(&harness.worker);
    let queued = collect_response(queued).refusal.unwrap();
    assert_eq!((queued.code.as_str(), queued.outcome), ("not_owner", request::Outcome::NotRun));
    assert_eq!(collect_response(running).text(), expected("a", "running", 50));
    assert_eq!(harness.wait_event(WorkerEventKind::Drained).fencing.value(), 1);
    assert!(!engine_audit(engine).runs.contains_key("queued"));
    assert_eq!(collect_response(harness.start_stream("late", "a", 1)).code(), "not_owner");
}

/// Guards against a former owner that keeps sending requests to an engine that refuses old fencing
/// tokens.
#[test]
fn former_owner_stops_when_the_engine_refuses_its_fencing_token() {
    let engine = start_engine(fast_engine_config());
    let former = Harness::start(engine, 1, true);
    collect_response(former.start_stream("r1", "a", 3));
    let current = Harness::start(engine, 2, true);
    assert_eq!(collect_response(current.start_stream("r2", "a", 3)).text(), expected("a", "r2", 3));
    assert_eq!(engine_audit(engine).loads, 1, "the loaded adapter was not adopted");
    let refusal = collect_response(former.start_stream("r3", "a", 3)).refusal.unwrap();
    assert_eq!((refusal.code.as_str(), refusal.outcome), ("not_owner", request::Outcome::NotRun));
    former.wait_event(WorkerEventKind::Superseded);
    assert!(!engine_audit(engine).runs.contains_key("r3"));
}

/// Guards against using or unloading a former owner's instance before that owner has ended, on an
/// engine that ignores fencing tokens.
#[test]
fn instances_of_a_former_owner_are_not_used_or_unloaded_until_it_has_ended() {
    let config = engine::Config { refuses_old_fencing: false, slots: 1, ..fast_engine_config() };
    let engine = start_engine(config);
    let former = Harness::start(engine, 1, false);
    assert_eq!(collect_response(former.start_stream("r1", "a", 3)).text(), expected("a", "r1", 3));
    let current = Harness::start(engine, 2, false);
    let short_timeout = Duration::from_millis(600);
    let refusal =
        collect_response(current.start_request("r2", "a", 3, true, short_timeout)).refusal.unwrap();
    assert_eq!(refusal.outcome, request::Outcome::NotRun);
    assert_eq!(engine_audit(engine).unloads, 0);
    current.dispatcher.former_owner_ended(&current.worker, adapter::FencingToken::new(1));
    let response = collect_response(current.start_stream("r3", "a", 3));
    assert_eq!(response.text(), expected("a", "r3", 3));
    assert!(response.body.contains("\"a@1\""), "the caller sees the fencing suffix");
    assert_eq!(engine_audit(engine).ran_on["r3"], "a@1.f2");
}

/// Guards against requests that fail because an engine restarted without its adapters, and against
/// requests sent to an engine that does not respond.
#[test]
fn restarted_engine_is_loaded_again() {
    let logs = tempfile::tempdir().unwrap();
    let role = wire::HostRole::Engine { base_model: "base".to_owned(), refuses_old_fencing: true };
    let host = wire::Host {
        name: "worker-1".to_owned(),
        role,
        address: String::new(),
        region: "r1".to_owned(),
        failure_domain: "a".to_owned(),
        leaving: false,
        incarnation: 1,
    };
    let arguments = ["--load-ms", "20"].map(str::to_owned).to_vec();
    let mut engine = upstream::Upstream::start(host, arguments, logs.path()).unwrap();
    let harness = Harness::start(engine.host.address.parse().unwrap(), 1, true);
    collect_response(harness.start_stream("r1", "a", 2));
    engine.program.kill().unwrap();
    engine.restart(logs.path()).unwrap();
    let response = collect_response(harness.start_stream("r2", "a", 2));
    assert_eq!(response.text(), expected("a", "r2", 2), "{:?}", response.refusal);
    engine.program.kill().unwrap();
    harness.wait_event(WorkerEventKind::Unavailable);
    let refusal = collect_response(harness.start_stream("r3", "a", 2)).refusal.unwrap();
    assert_eq!(refusal.outcome, request::Outcome::NotRun);
    engine.restart(logs.path()).unwrap();
    harness.wait_event(WorkerEventKind::Available);
    assert_eq!(collect_response(harness.start_stream("r4", "a", 2)).text(), expected("a", "r4", 2));
}

/// Guards against a failed load that refuses requests for longer than its back-off time.
#[test]
fn failed_load_is_reported_as_not_run_and_retried() {
    let engine = start_engine(fast_engine_config());
    set_engine_faults(engine, &json!({ "fail_next_loads": 1 }));
    let harness = Harness::start(engine, 1, true);
    let refusal = collect_response(harness.start_stream("r1", "a", 2)).refusal.unwrap();
    assert_eq!((refusal.code.as_str(), refusal.outcome), ("load_failed", request::Outcome::NotRun));
    assert!(refusal.retry_after_ms.is_some_and(|pause_ms| pause_ms <= 500));
    let mut attempt = 1;
    wait::until("the next load", wait::DEFAULT_TIMEOUT, || {
        attempt += 1;
        let id = format!("r{attempt}");
        collect_response(harness.start_stream(&id, "a", 2)).text() == expected("a", &id, 2)
    })
    .unwrap();
}
