//! Requests for drafts, some of them with a part that crashes workers, and what became of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::fleet::{Fleet, Record, WorkerPlan};
use crate::http::Connection;

pub const CONTACT_MS: u64 = 4_000;
/// Crash after which `ContactMs` begins.
const COUNTED_CRASH: usize = 5;
/// Requests with the part that may reach workers after that.
pub const ALLOWED: usize = 3;
pub const MODEL: &str = "daka510000";
pub const DEADLY_PART: &str = "5ead01";
const PAUSE: Duration = Duration::from_millis(100);

pub const CONFIGURATION: &str = r#"{"Version":7,"Routes":[{"Name":"r-draft","Host":"ficu95.example","Prefix":"/lohu930/","Type":"streaming","TimeoutMs":10000,"GoalMs":1000,"Priority":0,"Service":"llm","MaxAttempts":1,"Sticky":true,"Resumable":false,"GapGoalMs":400}],"Services":[{"Name":"llm","HealthPath":"/healthz","MaxConns":620,"Protocol":"h1","Tls":false,"Engine":{"Slots":128,"KvCapacity":151716,"KvTokenBytes":131072,"LinkMbps":550000.0,"Moves":true,"Backups":true,"Stride":2,"Upper":12,"HostMemMb":58000.0,"DiskMb":170000.0,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"daka510000","WeightsMb":34300.0,"LoadTimeS":2.7,"Adapters":3000,"AdapterSizeMb":40.0,"WarmS":0.78,"DiskLoadS":1.1}],"WeightsMb":35700.0,"MaxAdapters":18,"LoadsPerS":3.0}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

pub fn plan(index: usize) -> WorkerPlan {
    WorkerPlan {
        name: format!("llm-{index}"),
        service: "llm".to_owned(),
        model: MODEL.to_owned(),
        work_ms: 0,
        extra_every: 0,
        deadly_part: DEADLY_PART.to_owned(),
    }
}

/// Starts clients that send sound requests one after the other until the flag is set.
pub fn start_clients(fleet: &Fleet, count: u64, is_over: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    let mut clients = Vec::new();
    for client in 0..count {
        let (record, is_over) = (Arc::clone(&fleet.record), Arc::clone(is_over));
        let address = fleet.daemons[client as usize % fleet.daemons.len()].callers;
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let topic = format!("b{:x}", number % 40);
                request(&record, address, "sound", client, number, MODEL, &topic);
                thread::sleep(PAUSE);
            }
        }));
    }
    clients
}

/// Sends a request with the part that crashes workers, without waiting for its answer.
pub fn send_deadly(fleet: &Fleet, daemon: usize, number: u64) {
    let (record, address) = (Arc::clone(&fleet.record), fleet.daemons[daemon].callers);
    thread::spawn(move || request(&record, address, "deadly", 99, number, MODEL, DEADLY_PART));
}

/// Returns the number of requests that the rule counts; `None` if the case could not run.
///
/// `since_ms` is the time from which the daemons are in touch.
pub fn count(record: &Record, since_ms: u64) -> Option<usize> {
    let lines = record.lines();
    let crashes: Vec<u64> =
        lines.iter().filter(|(_, line)| line.contains(" crash id=")).map(|(at, _)| *at).collect();
    let fifth_ms = crashes.get(COUNTED_CRASH - 1).copied();
    let reached = lines.iter().filter(|(_, line)| line.contains(" reached id=deadly"));
    let counted = reached.filter(|(at, _)| {
        *at > since_ms && fifth_ms.is_some_and(|fifth_ms| *at > fifth_ms + CONTACT_MS)
    });
    let counted: Vec<u64> = counted.map(|(at, _)| *at).collect();
    let is_served =
        |line: &str| line.contains("id=sound") && line.contains("status=200 whole=true");
    let served = lines.iter().filter(|(_, line)| is_served(line)).count();
    record.add(format!(
        "result crashes={} fifth_crash_ms={fifth_ms:?} in_touch_since_ms={since_ms} counted_requests={} at_ms={counted:?} sound_served={served}",
        crashes.len(),
        counted.len()
    ));
    (served > 100).then_some(counted.len())
}

pub fn request(
    record: &Record,
    address: SocketAddr,
    kind: &str,
    client: u64,
    number: u64,
    model: &str,
    topic: &str,
) {
    let id = format!("{kind}{client:02x}{number:08x}");
    let body = "a prompt";
    let request = format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {id}\r\nModel: {model}\r\nToken-Count: 400,24\r\nPrompt-Prefix: a1:93,{topic}:62,{client:x}c{number:x}:245\r\nDeadline-Ms: 10000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    record.add(format!("client sent id={id}"));
    let answer = Connection::open(address).and_then(|mut connection| {
        connection.exchange(request.as_bytes(), Duration::from_secs(10))
    });
    match answer {
        Ok(Some(answer)) => {
            let (status, is_complete) = (answer.status(), answer.is_complete);
            record.add(format!("client answered id={id} status={status} whole={is_complete}"));
        }
        _ => record.add(format!("client answered id={id} status=none")),
    }
}
