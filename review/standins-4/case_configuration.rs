//! A drill of the store, and the removal of a key right after it.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::case_holders::Folder;
use crate::client;
use crate::daemon::{self, Daemon};
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

/// `ContactMs` and `ConfigApplyMs` of the settings.
const CONTACT_MS: u64 = 5_000;
const CONFIG_APPLY_MS: u64 = 4_000;
/// Age of the copy when the store goes away, and the time for which it is away.
const COPY_AGE: Duration = Duration::from_millis(9_000);
const AWAY: Duration = Duration::from_millis(1_000);
/// Interval at which the operator sends a change again that the store did not take.
const OPERATOR_RETRY: Duration = Duration::from_millis(50);
/// Time that is observed after the drill.
const AFTER: Duration = Duration::from_millis(20_000);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Daemons and workers in each zone.
const DAEMONS: usize = 4;
const WORKERS: usize = 4;
/// Key that the second version of the configuration no longer has.
const REMOVED_KEY: &str = "asnmgkcuyj8pjbvk9m68";
const KEPT_KEY: &str = "k7b2ex5wa5xwyhks8nbk";

/// Runs the case; `trouble` is 0 or 1.
pub fn run(record: &Record, trouble: &str) -> Verdict {
    match play(record, trouble != "0") {
        Ok(verdict) => verdict,
        Err(error) => Verdict::Failed(error.to_string()),
    }
}

/// Returns a version of the configuration with the keys of its tenant.
fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"look","Host":"h.example","Prefix":"/look/","Type":"idempotent","TimeoutMs":3000,"GoalMs":1000,"Priority":0,"Service":"app","MaxAttempts":2,"Public":false,"Sticky":false,"Resumable":false}}],"Services":[{{"Name":"app","HealthPath":"/healthz","MaxConns":110}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":65536,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"hule930","ApiKeys":[{keys}],"Priority":1,"Unit":"token_stream","RawTokens":200,"RatePerS":385492,"Burst":385492}}]}}"#
    )
}

/// A request with the removed key and the time at which it was sent.
#[derive(Clone, Debug)]
struct Sent {
    daemon: String,
    attempt: String,
    at_ms: u64,
}

fn play(record: &Record, has_drill: bool) -> io::Result<Verdict> {
    let folder = std::env::temp_dir().join(format!("jasminetack-case-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let _folder = Folder(folder.clone());
    let net = format!("127.{}.{}", 64 + std::process::id() / 250 % 100, 1 + std::process::id() % 250);
    let (store, store_address) = Store::start(record, &format!("{net}.1"))?;
    store.put("op", "config", &configuration(1, &[REMOVED_KEY, KEPT_KEY]));
    let mut workers = Vec::new();
    for zone in ZONES {
        for number in 1..=WORKERS {
            let (id, ip) = (format!("i-{zone}-{number}"), format!("{net}.2"));
            workers.push(Worker::start(record, &store, &ip, &id, "app", zone, false)?);
            // The heartbeats of workers are spread over time.
            thread::sleep(Duration::from_millis(97));
        }
    }
    let mut daemons = Vec::new();
    for number in 1..=DAEMONS {
        for zone in ZONES {
            let (name, ip) = (format!("edge-{zone}-{number}"), format!("{net}.{}", 10 + daemons.len()));
            let terms = &daemon::DYFED;
            daemons.push(Daemon::start(record, &folder, &name, &ip, zone, store_address, terms)?);
        }
    }
    if !daemon::wait_until_ready(&daemons, Duration::from_secs(15)) {
        return Ok(Verdict::Failed(format!("no daemon is ready: {}", daemons[0].log())));
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<_> = daemons
        .iter()
        .map(|daemon| {
            let (frontend, name) = (daemon.frontend, daemon.name.clone());
            let (is_over, record, sent) = (Arc::clone(&is_over), record.clone(), Arc::clone(&sent));
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let (attempt, at_ms) = (client::new_attempt(), record.now_ms());
                    let request = Sent { daemon: name.clone(), attempt: attempt.clone(), at_ms };
                    lock(&sent).push(request);
                    let answer = client::get(frontend, &attempt, "/look/1", REMOVED_KEY);
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(&format!(
                        "answer daemon={name} attempt={attempt} sent_ms={at_ms} status={status}"
                    ));
                    thread::sleep(REQUEST_INTERVAL);
                }
            })
        })
        .collect();
    // All leases are renewed several times.
    thread::sleep(Duration::from_secs(8));
    store.take_copy();
    thread::sleep(COPY_AGE);
    if has_drill {
        store.go_away();
    }
    let operator = {
        let (store, record) = (Arc::clone(&store), record.clone());
        thread::spawn(move || {
            thread::sleep(AWAY / 2);
            loop {
                if let Some(row) = store.put("op", "config", &configuration(2, &[KEPT_KEY])) {
                    let acknowledged_ms = record.now_ms();
                    record.line(&format!("operator version=2 acknowledged row_version={row}"));
                    return acknowledged_ms;
                }
                thread::sleep(OPERATOR_RETRY);
            }
        })
    };
    thread::sleep(AWAY);
    if has_drill {
        store.come_back();
    }
    let back_ms = record.now_ms();
    let end = Instant::now() + AFTER;
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(500));
        record.line(&format!("store version={}", store.version()));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        // A client thread ends with the case.
        let _ = client.join();
    }
    let Ok(acknowledged_ms) = operator.join() else {
        return Ok(Verdict::Failed("the operator's change was not accepted".to_owned()));
    };
    if std::env::var("LOGS").is_ok() {
        for daemon in &daemons {
            eprintln!("== {}\n{}", daemon.name, daemon.log());
        }
    }
    // Machines are in touch `ContactMs` after the end of the drill.
    let from_ms = (acknowledged_ms + CONFIG_APPLY_MS).max(back_ms + CONTACT_MS);
    Ok(judge(record, &lock(&sent), &workers, from_ms))
}

/// Counts the requests with the removed key, sent from a time on, that a worker ran.
fn judge(record: &Record, sent: &[Sent], workers: &[Arc<Worker>], from_ms: u64) -> Verdict {
    let runs = workers.iter().flat_map(|worker| worker.runs());
    let run: BTreeSet<_> = runs.map(|run| run.attempt).collect();
    let mut by_daemon: BTreeMap<&str, (usize, usize, u64)> = BTreeMap::new();
    for request in sent.iter().filter(|request| request.at_ms > from_ms) {
        let counts = by_daemon.entry(&request.daemon).or_default();
        counts.0 += 1;
        if run.contains(&request.attempt) {
            counts.1 += 1;
            counts.2 = request.at_ms - from_ms;
        }
    }
    let mut is_broken = false;
    for (daemon, (requests, stale, last_ms)) in &by_daemon {
        record.line(&format!(
            "judged daemon={daemon} from_ms={from_ms} requests={requests} run_with_the_removed_key={stale} last_of_them_after_ms={last_ms}"
        ));
        is_broken |= *stale > 0;
    }
    match (by_daemon.is_empty(), is_broken) {
        (true, _) => Verdict::Failed("no requests were sent late enough".to_owned()),
        (false, true) => Verdict::Broken,
        (false, false) => Verdict::Held,
    }
}

fn lock(sent: &Mutex<Vec<Sent>>) -> MutexGuard<'_, Vec<Sent>> {
    sent.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
