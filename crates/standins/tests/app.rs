//! Tests of the app service stand-in.

#![allow(clippy::unwrap_used)]

mod common;

use std::thread;

use common::{agent, get, post, wait_until};
use jasminetack_standins::app;
use jasminetack_standins::http;
use serde_json::json;

fn start() -> String {
    let listener = http::listen("127.0.0.1:0").unwrap();
    let behaviour = app::Behaviour::default();
    format!("http://{}", app::start(listener, String::new(), behaviour).unwrap())
}

/// Guards against an audit that misses a second execution with the same idempotency key.
#[test]
fn counts_executions_by_key() {
    let url = start();
    for _ in 0..2 {
        let request = agent().post(format!("{url}/slots/7/confirm")).header("idempotency-key", "k");
        assert_eq!(request.send("{}").unwrap().status(), 200);
    }
    let audit = get(&format!("{url}/audit")).1;
    assert_eq!(audit["by_idempotency_key"], json!({"k": 2}));
    assert_eq!(audit["executions"][1]["path"], "/slots/7/confirm");
    assert_eq!(audit["executions"][1]["answered"], true);
}

/// Guards against close faults that do not distinguish executed from unexecuted calls.
#[test]
fn closes_before_or_after_the_execution() {
    let url = start();
    for (close, executions) in [("before", 0), ("after", 1)] {
        post(&format!("{url}/switch"), json!({"close": close, "close_next": 1}));
        assert!(agent().post(format!("{url}/x")).send("{}").is_err(), "{close}");
        let audit = get(&format!("{url}/audit")).1;
        assert_eq!(audit["executions"].as_array().unwrap().len(), executions, "{close}");
    }
    assert_eq!(agent().post(format!("{url}/x")).send("{}").unwrap().status(), 200);
}

/// Guards against hanging calls that are not executed or never released.
#[test]
fn hanging_call_is_executed_and_later_released() {
    let url = start();
    post(&format!("{url}/switch"), json!({"hang": true}));
    let call = format!("{url}/x");
    let caller = thread::spawn(move || post(&call, json!({})).0);
    let audit = || get(&format!("{url}/audit")).1;
    wait_until("the call is executed", || audit()["executions"].as_array().unwrap().len() == 1);
    assert_eq!(audit()["executions"][0]["answered"], false);
    post(&format!("{url}/switch"), json!({}));
    assert_eq!(caller.join().unwrap(), 200);
}
