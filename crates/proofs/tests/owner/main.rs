//! Tests of the owner side against the engine stand-in.

mod bench;

use std::time::Duration;

use bench::{Bench, audit, fast, read, read_with, start_engine, switch};
use jasminetack_domain::{adapter, name, request};
use jasminetack_entry::traffic::WorkerEventKind;
use jasminetack_proofs::{upstream, wait};
use jasminetack_standins::{engine, http, relay};
use jasminetack_wire::platform as wire;
use serde_json::json;

fn expected(adapter_name: &str, prompt: &str, tokens: u32) -> String {
    engine::expected_text(&format!("{adapter_name}/1"), prompt, tokens)
}

/// Guards against an answer that is cut, repeated or given without its adapter being loaded.
#[test]
fn request_waits_for_its_load_and_gets_its_whole_answer() {
    let engine = start_engine(engine::Config { load_ms: 700, ..fast() });
    let bench = Bench::start(engine, 1, true);
    let answer = read(bench.ask("r1", "a", 20));
    assert_eq!(answer.text(), expected("a", "r1", 20));
    assert!(answer.body.ends_with("data: [DONE]\n\n"));
    assert!(answer.progress_count >= 1, "no progress while the adapter was loaded");
    let whole = bench.start_order("r2", "a", 5, false, Duration::from_secs(60));
    let whole: serde_json::Value = serde_json::from_str(&read(whole).body).unwrap();
    assert_eq!(whole["choices"][0]["text"], expected("a", "r2", 5));
    assert_eq!(audit(engine).loads, 1);
    let id = name::RequestId::from("r1");
    let entries = bench.decisions.entries(&id).into_iter();
    let text = entries.map(|entry| entry.text).collect::<Vec<_>>().join("\n");
    assert!(text.contains("load worker=worker-1 instance=a@1"), "{text}");
}

/// Guards against the unload of adapters in use, wrong answers and lost requests under more
/// adapters than slots.
#[test]
fn many_adapters_share_few_slots_without_violations() {
    let engine = start_engine(fast());
    let bench = Bench::start(engine, 1, true);
    let mut answers = Vec::new();
    for index in 0..60 {
        let adapter_name = format!("a{}", index % 5);
        let id = format!("r{index}");
        let events = bench.ask(&id, &adapter_name, 10);
        answers.push((id, adapter_name, std::thread::spawn(move || read(events))));
    }
    for (id, adapter_name, answer) in answers {
        let answer = answer.join().unwrap();
        assert_eq!(answer.refusal, None, "{id}");
        assert_eq!(answer.text(), expected(&adapter_name, &id, 10));
    }
    let audit = audit(engine);
    assert_eq!(audit.violations, Vec::<String>::new());
    assert!(audit.runs.values().all(|runs| *runs == 1), "a request ran twice: {:?}", audit.runs);
    assert_eq!(audit.loads_without_slot, 0);
}

/// Guards against an answer with a gap, a repeated part or a new run after a broken connection.
#[test]
fn broken_stream_is_resumed_at_its_offset() {
    let engine = start_engine(engine::Config { step_us: 10_000, ..fast() });
    let listener = http::listen("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let link = relay::Relay::start(listener, engine).unwrap();
    let bench = Bench::start(address, 1, true);
    let answer = read_with(bench.ask("r1", "a", 60), |chunk| {
        if chunk % 15 == 0 && chunk <= 45 {
            link.set_faults(relay::Faults { cut: true, ..relay::Faults::default() });
            link.set_faults(relay::Faults::default());
        }
    });
    assert_eq!(answer.refusal, None);
    assert_eq!(answer.text(), expected("a", "r1", 60));
    assert_eq!(answer.body.matches("\"usage\"").count(), 1);
    let audit = audit(engine);
    assert!(audit.resumed >= 1, "the stream was not broken");
    assert_eq!(audit.runs["r1"], 1);
}

/// Guards against a stream that cannot be completed but looks complete.
#[test]
fn stream_that_cannot_be_resumed_ends_with_an_error() {
    let engine = start_engine(engine::Config { step_us: 10_000, ..fast() });
    let listener = http::listen("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let link = relay::Relay::start(listener, engine).unwrap();
    let bench = Bench::start(address, 1, true);
    let answer = read_with(bench.ask("r1", "a", 200), |chunk| {
        if chunk == 5 {
            link.set_faults(relay::Faults { cut: true, ..relay::Faults::default() });
        }
    });
    let refusal = answer.refusal.unwrap();
    assert_eq!(refusal.outcome, request::Outcome::Unknown);
    assert!(answer.body.contains("event: error\n"), "{}", answer.body);
    assert!(!answer.body.contains("[DONE]"));
}

/// Guards against an engine that goes on with work that nobody reads, and against its slot staying
/// pinned.
#[test]
fn dropped_receiver_cancels_at_the_engine() {
    let engine = start_engine(engine::Config { slots: 1, step_us: 10_000, ..fast() });
    let bench = Bench::start(engine, 1, true);
    let mut events = bench.ask("r1", "a", 100_000);
    while !matches!(events.blocking_recv(), Some(jasminetack_entry::traffic::AnswerEvent::Chunk(_)))
    {
    }
    drop(events);
    wait::until("the cancellation", wait::LONG, || audit(engine).cancelled == 1).unwrap();
    let answer = read(bench.ask("r2", "b", 3));
    assert_eq!(answer.text(), expected("b", "r2", 3));
    assert_eq!(audit(engine).violations, Vec::<String>::new());
}

/// Guards against the answer of another adapter reaching a caller.
#[test]
fn answer_of_another_instance_is_not_relayed() {
    let engine = start_engine(fast());
    let bench = Bench::start(engine, 1, true);
    read(bench.ask("warm", "a", 1));
    switch(engine, &json!({ "wrong_model": true }));
    let answer = read(bench.ask("r1", "a", 5));
    assert_eq!(answer.code(), "wrong_instance");
    assert!(!answer.is_head_seen);
    let whole = bench.start_order("r2", "a", 5, false, Duration::from_secs(60));
    assert_eq!(read(whole).code(), "wrong_instance");
}

/// Guards against a handover that cuts running requests off or loses queued ones.
#[test]
fn revoked_worker_hands_queued_requests_back_and_finishes_the_rest() {
    let config = engine::Config { batch_places: 1, step_us: 10_000, ..fast() };
    let engine = start_engine(config);
    let bench = Bench::start(engine, 1, true);
    read(bench.ask("warm", "a", 1));
    let running = bench.ask("running", "a", 50);
    wait::until("the start", wait::LONG, || audit(engine).runs.contains_key("running")).unwrap();
    let queued = bench.ask("queued", "a", 5);
    wait::until("the queue", wait::LONG, || bench.dispatcher.summaries()[0].outstanding == 2)
        .unwrap();
    bench.dispatcher.revoke(&bench.worker);
    let queued = read(queued).refusal.unwrap();
    assert_eq!((queued.code.as_str(), queued.outcome), ("not_owner", request::Outcome::NotRun));
    assert_eq!(read(running).text(), expected("a", "running", 50));
    assert_eq!(bench.wait_event(WorkerEventKind::Drained).fencing.value(), 1);
    assert!(!audit(engine).runs.contains_key("queued"));
    assert_eq!(read(bench.ask("late", "a", 1)).code(), "not_owner");
}

/// Guards against two owners that both send work to an engine that refuses old fencing numbers.
#[test]
fn former_owner_stops_when_the_engine_refuses_its_number() {
    let engine = start_engine(fast());
    let former = Bench::start(engine, 1, true);
    read(former.ask("r1", "a", 3));
    let present = Bench::start(engine, 2, true);
    assert_eq!(read(present.ask("r2", "a", 3)).text(), expected("a", "r2", 3));
    assert_eq!(audit(engine).loads, 1, "the loaded adapter was not adopted");
    let refusal = read(former.ask("r3", "a", 3)).refusal.unwrap();
    assert_eq!((refusal.code.as_str(), refusal.outcome), ("not_owner", request::Outcome::NotRun));
    former.wait_event(WorkerEventKind::Superseded);
    assert!(!audit(engine).runs.contains_key("r3"));
}

/// Guards against the use or early unload of a former owner's instance on an engine that ignores
/// fencing numbers.
#[test]
fn instances_of_a_former_owner_are_left_alone_until_it_is_gone() {
    let config = engine::Config { refuses_old_fencing: false, slots: 1, ..fast() };
    let engine = start_engine(config);
    let former = Bench::start(engine, 1, false);
    assert_eq!(read(former.ask("r1", "a", 3)).text(), expected("a", "r1", 3));
    let present = Bench::start(engine, 2, false);
    let soon = Duration::from_millis(600);
    let refused = read(present.start_order("r2", "a", 3, true, soon)).refusal.unwrap();
    assert_eq!(refused.outcome, request::Outcome::NotRun);
    assert_eq!(audit(engine).unloads, 0);
    present.dispatcher.former_owner_gone(&present.worker, adapter::FencingToken::new(1));
    let answer = read(present.ask("r3", "a", 3));
    assert_eq!(answer.text(), expected("a", "r3", 3));
    assert!(answer.body.contains("\"a@1\""), "the caller sees the fencing suffix");
    assert_eq!(audit(engine).ran_on["r3"], "a@1.f2");
}

/// Guards against requests that fail because an engine restarted empty, and against work for an
/// engine that does not answer.
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
    let bench = Bench::start(engine.host.address.parse().unwrap(), 1, true);
    read(bench.ask("r1", "a", 2));
    engine.program.kill().unwrap();
    engine.restart(logs.path()).unwrap();
    let answer = read(bench.ask("r2", "a", 2));
    assert_eq!(answer.text(), expected("a", "r2", 2), "{:?}", answer.refusal);
    engine.program.kill().unwrap();
    bench.wait_event(WorkerEventKind::Unavailable);
    let refusal = read(bench.ask("r3", "a", 2)).refusal.unwrap();
    assert_eq!(refusal.outcome, request::Outcome::NotRun);
    engine.restart(logs.path()).unwrap();
    bench.wait_event(WorkerEventKind::Available);
    assert_eq!(read(bench.ask("r4", "a", 2)).text(), expected("a", "r4", 2));
}

/// Guards against a failed load that fails requests for longer than its back-off.
#[test]
fn failed_load_is_reported_as_not_run_and_tried_again() {
    let engine = start_engine(fast());
    switch(engine, &json!({ "fail_next_loads": 1 }));
    let bench = Bench::start(engine, 1, true);
    let refusal = read(bench.ask("r1", "a", 2)).refusal.unwrap();
    assert_eq!((refusal.code.as_str(), refusal.outcome), ("load_failed", request::Outcome::NotRun));
    assert!(refusal.retry_after_ms.is_some_and(|pause_ms| pause_ms <= 500));
    let mut attempt = 1;
    wait::until("the next load", wait::LONG, || {
        attempt += 1;
        let id = format!("r{attempt}");
        read(bench.ask(&id, "a", 2)).text() == expected("a", &id, 2)
    })
    .unwrap();
}
