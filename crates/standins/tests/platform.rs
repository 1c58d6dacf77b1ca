//! Tests of the platform stand-in and its injected faults.

#![allow(clippy::unwrap_used)]

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::{agent, get, post, wait_until};
use jasminetack_standins::http;
use jasminetack_standins::platform;
use serde_json::{Value, json};

fn start() -> String {
    let listener = http::listen("127.0.0.1:0").unwrap();
    format!("http://{}", platform::start(listener, platform::Config::default()).unwrap())
}

fn write(url: &str, key: &str, version: Option<u64>, value: Value) -> Value {
    let transaction = json!({
        "conditions": [{ "key": key, "version": version }],
        "writes": [{ "key": key, "value": value }],
    });
    post(&format!("{url}/v1/txn"), transaction).1
}

/// Guards against lost updates: the second write with the same expected version must conflict.
#[test]
fn conflicting_write_gets_the_current_row() {
    let url = start();
    assert_eq!(write(&url, "row/a", None, json!(1)), json!({"result": "committed", "version": 1}));
    let conflict = write(&url, "row/a", None, json!(2));
    assert_eq!(conflict["result"], "conflict");
    assert_eq!(conflict["rows"], json!([{"key": "row/a", "version": 1, "value": 1}]));
    assert_eq!(write(&url, "row/a", Some(1), Value::Null)["version"], 2);
    assert_eq!(write(&url, "row/a", None, json!(3))["version"], 3);
}

/// Guards against changes that are missing from a paginated read.
#[test]
fn pages_are_complete_up_to_their_head_version() {
    let url = start();
    for number in 0..5 {
        write(&url, &format!("row/{number}"), None, json!(number));
        write(&url, &format!("other/{number}"), None, json!(number));
    }
    let (mut after, mut keys) = (0, Vec::new());
    loop {
        let page = get(&format!("{url}/v1/rows?prefix=row/&after={after}&limit=2")).1;
        for row in page["rows"].as_array().unwrap() {
            keys.push(row["key"].as_str().unwrap().to_owned());
        }
        let head = page["head_version"].as_u64().unwrap();
        if head == after {
            break;
        }
        after = head;
    }
    assert_eq!(keys, ["row/0", "row/1", "row/2", "row/3", "row/4"]);
    assert_eq!(after, 10);
}

/// Guards against responses during an outage, and dropped responses whose write was not applied.
#[test]
fn outages_and_lost_replies_close_the_connection() {
    let url = start();
    post(&format!("{url}/switch"), json!({"lose_replies": 1, "lose_prefix": "claim/"}));
    assert_eq!(write(&url, "row/a", None, json!(1))["version"], 1);
    let body = json!({"conditions": [], "writes": [{"key": "claim/a", "value": 7}]});
    assert!(agent().post(format!("{url}/v1/txn")).send_json(body).is_err());
    let page = post(&format!("{url}/v1/read"), json!({"keys": ["claim/a", "claim/b"]})).1;
    assert_eq!(page["rows"][0], json!({"key": "claim/a", "version": 2, "value": 7}));
    assert_eq!(page["rows"][1], json!({"key": "claim/b", "version": 0, "value": null}));
    post(&format!("{url}/switch"), json!({"outage": true}));
    assert!(agent().get(format!("{url}/v1/hosts")).call().is_err());
    post(&format!("{url}/switch"), json!({"outage": false}));
    assert_eq!(get(&format!("{url}/v1/hosts")).0, 200);
    assert_eq!(get(&format!("{url}/audit")).1["lost_replies"], 1);
}

/// Guards against host list changes that become visible before the configured lag, or never.
#[test]
fn the_host_list_lags() {
    let url = start();
    let hosts = format!("{url}/v1/hosts");
    let count = || get(&hosts).1["hosts"].as_array().unwrap().len();
    post(&format!("{url}/switch"), json!({"host_list_lag_ms": 300_000}));
    let host = json!({
        "name": "e1", "role": {"kind": "entry"}, "address": "127.0.0.1:1",
        "region": "north", "failure_domain": "a",
    });
    post(&hosts, host);
    assert_eq!(count(), 0);
    post(&format!("{url}/switch"), json!({"host_list_lag_ms": 50}));
    wait_until("the host is listed", || count() == 1);
    agent().delete(format!("{hosts}/e1")).call().unwrap();
    wait_until("the host is no longer listed", || count() == 0);
}

/// Guards against weight loads that exceed the rate and bandwidth limits.
#[test]
fn weight_store_limits_rate_and_bandwidth() {
    let mut limiter = platform::WeightLoadLimiter::default();
    let mut times = Vec::new();
    for _ in 0..9 {
        times.push(limiter.start(1_000));
    }
    assert_eq!(times[..8], [250; 8]);
    // The ninth load waits 333 ms for the token bucket and shares the bandwidth with the other 8.
    assert_eq!(times[8], 333 + 281);
}

/// Guards against `tiny_http` leaving connections unserved when many are opened simultaneously and
/// kept alive.
#[test]
fn simultaneous_keep_alive_connections_are_all_served() {
    let url = start();
    let address = url.trim_start_matches("http://").to_owned();
    let mut streams = Vec::new();
    for _ in 0..100 {
        let mut stream = TcpStream::connect(&address).unwrap();
        stream.write_all(b"GET /audit HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        streams.push(stream);
    }
    for stream in &mut streams {
        stream.read_exact(&mut [0]).unwrap();
    }
}

/// Guards against objects that are altered by a write and read.
#[test]
fn objects_are_returned_as_written() {
    let url = start();
    let object = format!("{url}/v1/objects/history/1");
    assert_eq!(get(&object).0, 404);
    agent().put(&object).send("text").unwrap();
    assert_eq!(get(&object), (200, json!("text")));
}
