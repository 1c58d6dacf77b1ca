//! Tests of the engine behaviour that the daemon's tests rely on.

#![allow(clippy::unwrap_used)]

mod common;

use std::thread;
use std::time::Instant;

use common::{agent, get, post, post_fenced, wait_until};
use jasminetack_standins::engine;
use jasminetack_standins::http;
use serde_json::json;

fn start(config: engine::Config) -> String {
    let listener = http::listen("127.0.0.1:0").unwrap();
    format!("http://{}", engine::start(listener, config).unwrap())
}

fn fast_config() -> engine::Config {
    engine::Config { load_ms: 1, step_us: 1_000, report_lag_ms: 0, ..engine::Config::default() }
}

fn load(url: &str, name: &str, fencing: u64) -> u16 {
    let path = name.replace('@', "/");
    let order = json!({ "lora_name": name, "lora_path": path });
    post_fenced(&format!("{url}/v1/load_lora_adapter"), fencing, "", order).0
}

fn completion(model: &str, max_tokens: u32) -> serde_json::Value {
    json!({ "model": model, "prompt": "hello", "max_tokens": max_tokens })
}

/// Guards against responses for adapters that are not loaded, or from the wrong weights.
#[test]
fn answers_only_from_the_loaded_weights() {
    let url = start(fast_config());
    let complete = format!("{url}/v1/completions");
    assert_eq!(post(&complete, completion("a@1", 3)).0, 404);
    assert_eq!(load(&url, "a@1", 0), 200);
    let (status, answer) = post(&complete, completion("a@1", 3));
    assert_eq!(status, 200);
    assert_eq!(answer["model"], "a@1");
    assert_eq!(answer["choices"][0]["text"], engine::expected_text("a/1", "hello", 3));
    assert_eq!(answer["usage"]["completion_tokens"], 3);
}

/// Guards against loads that succeed although every slot is taken.
#[test]
fn refuses_a_load_without_a_free_slot() {
    let url = start(engine::Config { slots: 1, ..fast_config() });
    assert_eq!(load(&url, "a@1", 0), 200);
    assert_eq!(load(&url, "b@1", 0), 409);
    assert_eq!(post(&format!("{url}/v1/unload_lora_adapter"), json!({"lora_name": "a@1"})).0, 200);
    assert_eq!(load(&url, "b@1", 0), 200);
    assert_eq!(get(&format!("{url}/v1/models")).1["data"][0]["id"], "b@1");
}

/// Guards against orders of a former owner that are executed although fencing is enforced.
#[test]
fn refuses_an_old_fencing_number_only_when_set() {
    for (refuses_old_fencing, expected) in [(true, 412), (false, 200)] {
        let url = start(engine::Config { refuses_old_fencing, ..fast_config() });
        assert_eq!(load(&url, "a@1", 7), 200);
        assert_eq!(load(&url, "b@1", 6), expected);
        let (status, _) =
            post_fenced(&format!("{url}/v1/completions"), 6, "r", completion("a@1", 1));
        assert_eq!(status, expected);
    }
}

/// Guards against an unload of an adapter in use that is not recorded as a violation.
#[test]
fn records_an_unload_of_an_instance_in_use() {
    let url = start(fast_config());
    load(&url, "a@1", 0);
    let complete = format!("{url}/v1/completions");
    let caller = thread::spawn(move || post_fenced(&complete, 0, "r1", completion("a@1", 5_000)));
    wait_until("the request runs", || get(&format!("{url}/audit")).1["runs"]["r1"] == 1);
    assert_eq!(post(&format!("{url}/v1/unload_lora_adapter"), json!({"lora_name": "a@1"})).0, 200);
    assert_eq!(caller.join().unwrap().0, 500);
    let violations = get(&format!("{url}/audit")).1["violations"].clone();
    assert_eq!(violations, json!(["unload of a@1 in use by r1"]));
}

/// Guards against a lower-priority request that is admitted before a higher-priority one.
#[test]
fn admits_the_lowest_priority_value_first() {
    let url = start(engine::Config { batch_places: 1, ..fast_config() });
    load(&url, "a@1", 0);
    let complete = format!("{url}/v1/completions");
    let send = |id: &'static str, priority: i32, max_tokens: u32| {
        let url = complete.clone();
        let mut body = completion("a@1", max_tokens);
        body["priority"] = json!(priority);
        thread::spawn(move || {
            assert_eq!(post_fenced(&url, 0, id, body).0, 200);
            Instant::now()
        })
    };
    let waiting = |count: usize| {
        wait_until("requests wait", || get(&format!("{url}/load")).1["waiting"] == count);
    };
    let first = send("first", 0, 300);
    wait_until("the first request runs", || get(&format!("{url}/load")).1["running"] == 1);
    let bulk = send("bulk", 2, 50);
    waiting(1);
    let urgent = send("urgent", 0, 50);
    waiting(2);
    first.join().unwrap();
    assert!(urgent.join().unwrap() < bulk.join().unwrap());
}

/// Guards against a resume that repeats or skips tokens or succeeds for an unknown request.
#[test]
fn resumes_at_the_offset() {
    let url = start(fast_config());
    load(&url, "a@1", 0);
    post_fenced(&format!("{url}/v1/completions"), 0, "r", completion("a@1", 4));
    let resume = format!("{url}/resume");
    let mut answer = agent().post(&resume).send_json(json!({"request_id": "r", "offset": 2}));
    let text = answer.as_mut().unwrap().body_mut().read_to_string().unwrap();
    let events: Vec<_> = text.split("\n\n").collect();
    assert!(events[0].contains("\"text\":\"t2 \""), "{text}");
    assert!(events[1].contains("\"text\":\"t3 \""), "{text}");
    assert!(events[2].contains("\"usage\""), "{text}");
    assert_eq!(events[3], "data: [DONE]");
    assert_eq!(post(&resume, json!({"request_id": "other", "offset": 0})).0, 404);
}

/// Guards against cancelled requests that keep running and injected load failures without effect.
#[test]
fn cancels_requests_and_injects_load_failures() {
    let url = start(fast_config());
    post(&format!("{url}/switch"), json!({"fail_next_loads": 1}));
    assert_eq!(load(&url, "a@1", 0), 500);
    assert_eq!(load(&url, "a@1", 0), 200);
    let complete = format!("{url}/v1/completions");
    let caller = thread::spawn(move || post_fenced(&complete, 0, "r", completion("a@1", 50_000)));
    wait_until("the request runs", || get(&format!("{url}/load")).1["running"] == 1);
    let cancelled = post(&format!("{url}/cancel"), json!({"request_id": "r"})).1;
    assert_eq!(cancelled, json!({"cancelled": true}));
    assert_eq!(caller.join().unwrap().0, 500);
    wait_until("the batch is empty", || get(&format!("{url}/load")).1["running"] == 0);
}

/// Guards against a prefix cache that is unbounded or has no effect.
#[test]
fn caches_prefixes_and_reports_changes_with_gaps() {
    let url = start(engine::Config { cache_blocks: 8, event_lag_ms: 0, ..fast_config() });
    load(&url, "a@1", 0);
    let complete = format!("{url}/v1/completions");
    let body = json!({"model": "a@1", "prompt": "x".repeat(64 * 6), "max_tokens": 1});
    let cached = |answer: &serde_json::Value| {
        answer["usage"]["prompt_tokens_details"]["cached_tokens"].clone()
    };
    assert_eq!(cached(&post(&complete, body.clone()).1), 0);
    assert_eq!(cached(&post(&complete, body.clone()).1), 96);
    let other = json!({"model": "a@1", "prompt": "y".repeat(64 * 8), "max_tokens": 1});
    post(&complete, other);
    assert_eq!(cached(&post(&complete, body).1), 0);
    let events = get(&format!("{url}/cache_events?after=0")).1;
    let sequences: Vec<_> =
        events["events"].as_array().unwrap().iter().map(|event| &event["sequence"]).collect();
    assert!(sequences.contains(&&json!(6)) && sequences.contains(&&json!(8)));
    assert!(!sequences.contains(&&json!(7)));
}
