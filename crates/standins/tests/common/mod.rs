//! HTTP client helpers for tests.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Timeout for requests and polling; generous, so that a loaded machine does not fail tests.
const TIMEOUT: Duration = Duration::from_secs(20);

pub fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    config.timeout_global(Some(TIMEOUT)).build().into()
}

pub fn get(url: &str) -> (u16, Value) {
    read(agent().get(url).call().expect("response"))
}

pub fn post(url: &str, body: Value) -> (u16, Value) {
    read(agent().post(url).send_json(body).expect("response"))
}

pub fn post_fenced(url: &str, fencing: u64, id: &str, body: Value) -> (u16, Value) {
    let request = agent().post(url).header("fencing-number", fencing.to_string());
    read(request.header("x-request-id", id).send_json(body).expect("response"))
}

pub fn wait_until<Check>(what: &str, mut check: Check)
where
    Check: FnMut() -> bool,
{
    let started = Instant::now();
    while !check() {
        assert!(started.elapsed() < TIMEOUT, "timed out after {TIMEOUT:?}: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn read(mut response: ureq::http::Response<ureq::Body>) -> (u16, Value) {
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string().expect("complete response body");
    (status, serde_json::from_str(&text).unwrap_or(json!(text)))
}
