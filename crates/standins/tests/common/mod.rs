//! HTTP calls of the tests.

// Each test file uses only some of the calls.
#![allow(dead_code)]

use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Bound of every wait; far above what is needed, so that a busy machine does not change a verdict.
const WAIT: Duration = Duration::from_secs(20);

pub fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    config.timeout_global(Some(WAIT)).build().into()
}

pub fn get(url: &str) -> (u16, Value) {
    read(agent().get(url).call().expect("an answer"))
}

pub fn post(url: &str, body: Value) -> (u16, Value) {
    read(agent().post(url).send_json(body).expect("an answer"))
}

pub fn post_fenced(url: &str, fencing: u64, id: &str, body: Value) -> (u16, Value) {
    let request = agent().post(url).header("fencing-number", fencing.to_string());
    read(request.header("x-request-id", id).send_json(body).expect("an answer"))
}

pub fn until<Check>(what: &str, mut check: Check)
where
    Check: FnMut() -> bool,
{
    let started = Instant::now();
    while !check() {
        assert!(started.elapsed() < WAIT, "not reached in time: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn read(mut response: ureq::http::Response<ureq::Body>) -> (u16, Value) {
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string().expect("a complete body");
    (status, serde_json::from_str(&text).unwrap_or(json!(text)))
}
