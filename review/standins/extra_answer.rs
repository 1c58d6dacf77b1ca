//! A worker sends a second answer to an earlier request where the answer to the next one is due.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, WorkerPlan};
use crate::http::Connection;

const LENGTH: Duration = Duration::from_secs(30);
const CLIENTS: u64 = 4;
const PAUSE: Duration = Duration::from_millis(40);
/// One in so many answers of the faulty worker: 2.9 %.
const EXTRA_EVERY: u32 = 34;
const EXTRA_FOR: Duration = Duration::from_secs(5);
const EXTRA_AT_S: [u64; 3] = [2, 12, 22];

const CONFIGURATION: &str = r#"{"Version":7,"Routes":[{"Name":"r-confirm","Host":"ficu95.example","Prefix":"/puxa403/","Type":"non_idempotent","TimeoutMs":3000,"GoalMs":400,"Priority":2,"Service":"app","MaxAttempts":1}],"Services":[{"Name":"app","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

pub fn run(record: &str, has_trouble: bool) -> Option<bool> {
    let mut fleet = Fleet::new(record);
    fleet.store.put("op", "config", CONFIGURATION);
    let plan = |index: usize| WorkerPlan {
        name: format!("app-{index}"),
        service: "app".to_owned(),
        model: String::new(),
        work_ms: 60,
        extra_every: if has_trouble && index == 1 { EXTRA_EVERY } else { 0 },
        deadly_part: String::new(),
    };
    fleet.start_workers((1..=3).map(plan).collect());
    fleet.start_daemons(2);
    if !fleet.wait_until_ready(0) {
        fleet.end();
        return None;
    }
    thread::sleep(Duration::from_secs(5));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let record = std::sync::Arc::clone(&fleet.record);
        let address = fleet.daemons[client as usize % 2].callers;
        clients.push(thread::spawn(move || {
            let started = Instant::now();
            let (mut connection, mut number) = (None, 0);
            while started.elapsed() < LENGTH {
                number += 1;
                let id = format!("{client:02x}{number:014x}");
                let body = "slot=1 stage=2";
                let request = format!(
                    "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 6000\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if connection.is_none() {
                    connection = Connection::open(address).ok();
                }
                let Some(open) = &mut connection else { continue };
                record.add(format!("client sent id={id}"));
                match open.exchange(request.as_bytes(), Duration::from_secs(6)) {
                    Ok(Some(answer)) => {
                        let by = String::from_utf8_lossy(&answer.body).trim().to_owned();
                        let status = answer.status();
                        record.add(format!("client answered id={id} status={status} {by}"));
                        if answer.header("connection").is_some_and(|value| value == "close") {
                            connection = None;
                        }
                    }
                    _ => {
                        record.add(format!("client answered id={id} status=none"));
                        connection = None;
                    }
                }
                thread::sleep(PAUSE);
            }
        }));
    }
    let started = Instant::now();
    for at_s in EXTRA_AT_S {
        thread::sleep(Duration::from_secs(at_s).saturating_sub(started.elapsed()));
        if has_trouble {
            fleet.send_second_answers(EXTRA_FOR);
        }
    }
    for client in clients {
        let _ = client.join();
    }
    fleet.end();
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut refused = Vec::new();
    for (_, line) in fleet.record.lines() {
        let Some((before, id)) = line.split_once(" id=") else { continue };
        let id = id.split(' ').next().unwrap_or("").to_owned();
        if let Some(worker) = before.strip_suffix(" run") {
            runs.entry(id).or_default().push(worker.to_owned());
        } else if before == "client answered"
            && ["status=503", "status=429", "status=408", "status=421"]
                .iter()
                .any(|status| line.contains(status))
        {
            refused.push(id);
        }
    }
    let twice: Vec<_> = runs.iter().filter(|(_, workers)| workers.len() > 1).collect();
    let refused: Vec<_> = refused.into_iter().filter(|id| runs.contains_key(id)).collect();
    for (id, workers) in &twice {
        fleet.record.add(format!("TWICE id={id} runs={workers:?}"));
    }
    for id in &refused {
        fleet.record.add(format!("REFUSED id={id} had run"));
    }
    fleet.record.add(format!(
        "result requests={} run_twice={} refused_though_run={}",
        runs.len(),
        twice.len(),
        refused.len()
    ));
    (runs.len() > 100).then_some(!twice.is_empty() || !refused.is_empty())
}
