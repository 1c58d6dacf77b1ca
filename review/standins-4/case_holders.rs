//! A drill of the store, and later freezes of single machines.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client;
use crate::daemon::{self, Daemon};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Order, Worker};

/// `LeaseMs` and `ThawMs` of the settings.
const LEASE_MS: u64 = 3_000;
const THAW_MS: u64 = 300;
/// Age of the copy when the store goes away, and the time for which it is away.
const COPY_AGE: Duration = Duration::from_millis(4_000);
const AWAY: Duration = Duration::from_millis(1_000);
/// Time between the end of the drill and the first freeze.
const CALM: Duration = Duration::from_millis(8_000);
const FREEZE: Duration = Duration::from_millis(5_000);
/// Time that is observed after each freeze.
const AFTER: Duration = Duration::from_millis(6_000);
/// Model workers from the start; two more are added, a share of 0.29.
const WORKERS: usize = 7;
/// Machines; each one that holds no added worker is frozen once, until the rule is broken.
const DAEMONS: usize = 6;
/// Time between two requests to one daemon.
const REQUEST_INTERVAL: Duration = Duration::from_millis(120);
const ADAPTERS: u64 = 400;

/// Runs the case; `trouble` is 0, 1, `drill` or `freeze`, `planned` for the planned end of
/// a holder, or `roll` for a drill and such an end.
pub fn run(record: &Record, trouble: &str) -> Verdict {
    match play(record, trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::Failed(error.to_string()),
    }
}

/// Returns the configuration: one service of model workers.
fn configuration() -> String {
    r#"{"Version":1,"Routes":[{"Name":"draft","Host":"h.example","Prefix":"/draft/","Type":"streaming","TimeoutMs":6000,"GoalMs":1000,"Priority":0,"Service":"llm","MaxAttempts":1,"Sticky":true,"Resumable":false,"GapGoalMs":400}],"Services":[{"Name":"llm","HealthPath":"/healthz","MaxConns":600,"Engine":{"Slots":128,"KvCapacity":150301,"WeightsMb":36000.0,"MaxAdapters":18,"LoadsPerS":3.5,"Models":[{"Name":"m0","WeightsMb":34300.0,"LoadTimeS":2.0,"Adapters":3000,"AdapterSizeMb":40.0}]}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":65536,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#
        .to_owned()
}

fn play(record: &Record, trouble: &str) -> io::Result<Verdict> {
    let (has_drill, has_freeze) = match trouble {
        "0" | "planned" => (false, false),
        "drill" => (true, false),
        "freeze" => (false, true),
        "roll" => (true, false),
        _ => (true, true),
    };
    let folder = std::env::temp_dir().join(format!("jasminetack-case-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let _folder = Folder(folder.clone());
    let net = format!("127.{}.{}", 64 + std::process::id() / 250 % 100, 1 + std::process::id() % 250);
    let (store, store_address) = Store::start(record, &format!("{net}.1"))?;
    store.put("op", "config", &configuration());
    let engine = |id: &str| {
        Worker::start(record, &store, &format!("{net}.2"), id, "llm", "a", true)
    };
    let mut workers = Vec::new();
    for number in 1..=WORKERS {
        workers.push(engine(&format!("i-first-{number}"))?);
    }
    let mut daemons = Vec::new();
    for number in 1..=DAEMONS {
        let (name, ip) = (format!("edge-a-{number}"), format!("{net}.{}", 10 + number));
        daemons.push(Daemon::start(record, &folder, &name, &ip, "a", store_address, &daemon::SPILLESTED)?);
    }
    if !daemon::wait_until_ready(&daemons, Duration::from_secs(15)) {
        return Ok(Verdict::Failed(format!("no daemon is ready: {}", daemons[0].log())));
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = daemons
        .iter()
        .enumerate()
        .map(|(index, daemon)| {
            let (frontend, name) = (daemon.frontend, daemon.name.clone());
            let (is_over, record) = (Arc::clone(&is_over), record.clone());
            thread::spawn(move || request_all_the_time(index, frontend, &name, &is_over, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    store.take_copy();
    let copied = Instant::now();
    thread::sleep(Duration::from_millis(300));
    for id in ["i-second", "i-third"] {
        workers.push(engine(id)?);
    }
    let added = workers[WORKERS..].to_vec();
    let second = Arc::clone(&added[0]);
    let has_orders = || added.iter().all(|worker| !worker.orders().is_empty());
    if !wait_for(Duration::from_secs(8), has_orders) {
        return Ok(Verdict::Failed("an added worker got no order".to_owned()));
    }
    thread::sleep(COPY_AGE.saturating_sub(copied.elapsed()));
    for worker in &workers {
        let row = store.row_version("holders", &worker.id);
        record.line(&format!("holder row worker={} version={row:?}", worker.id));
    }
    if has_drill {
        store.go_away();
        thread::sleep(AWAY);
        store.come_back();
    }
    for worker in &workers {
        let row = store.row_version("holders", &worker.id);
        record.line(&format!("holder row worker={} version={row:?}", worker.id));
    }
    thread::sleep(CALM);
    let mut thaws = Vec::new();
    let mut is_rolled = false;
    if ["planned", "roll"].contains(&trouble) {
        let holder = second.orders().last().map(|order| order.holder.clone()).unwrap_or_default();
        let Some(rolled) = daemons.iter().find(|daemon| holder.starts_with(&daemon.name)) else {
            return Ok(Verdict::Failed(format!("{holder} is no daemon")));
        };
        rolled.signal(record, daemon::SIGTERM);
        is_rolled = true;
        thread::sleep(FREEZE + AFTER);
    }
    // A frozen holder loses its worker to another daemon in the usual way, so the daemons that hold no added
    // worker are frozen.
    let holders: Vec<_> =
        added.iter().filter_map(|worker| Some(worker.orders().last()?.holder.clone())).collect();
    let holds_none =
        |daemon: &&Daemon| !holders.iter().any(|holder| holder.starts_with(&format!("{}/", daemon.name)));
    for frozen in daemons.iter().filter(holds_none).filter(|_| !is_rolled) {
        if has_freeze {
            frozen.signal(record, daemon::SIGSTOP);
        }
        thread::sleep(FREEZE);
        if has_freeze {
            thaws.push((frozen.name.clone(), record.now_ms()));
            frozen.signal(record, daemon::SIGCONT);
        }
        thread::sleep(AFTER);
        if workers.iter().any(|worker| judge(record, worker, &thaws).is_out_of_order) {
            break;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        // A client thread ends with the case.
        let _ = client.join();
    }
    let mut is_broken = false;
    for worker in &workers {
        let judged = judge(record, worker, &thaws);
        // One change of holder counts only where nothing but a planned end stands between.
        is_broken |= judged.is_out_of_order || is_rolled && judged.turns > 0;
    }
    if std::env::var("LOGS").is_ok() {
        for daemon in &daemons {
            eprintln!("== {}\n{}", daemon.name, daemon.log());
        }
    }
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// What the orders to one worker show.
struct Judged {
    /// Whether a lower fencing token came after a higher one, or two holders had the same.
    is_out_of_order: bool,
    /// Orders of another holder than the last one that came within `LeaseMs` of it.
    turns: usize,
}

/// Judges the orders to one worker in the order of their arrival.
fn judge(record: &Record, worker: &Worker, thaws: &[(String, u64)]) -> Judged {
    let (orders, worker) = (worker.orders(), &worker.id);
    let counted: Vec<_> = orders
        .iter()
        .filter(|order| {
            thaws.iter().all(|(holder, at_ms)| {
                !order.holder.starts_with(holder.as_str())
                    || order.at_ms < *at_ms
                    || order.at_ms >= at_ms + THAW_MS
            })
        })
        .collect();
    let mut by_holder: BTreeMap<(&str, u64), (usize, u64, u64)> = BTreeMap::new();
    let (mut lower, mut turns, mut highest) = (0, 0, 0);
    let mut holders_by_token: BTreeMap<u64, &str> = BTreeMap::new();
    let mut shared = 0;
    let mut last: Option<&&Order> = None;
    for order in &counted {
        let entry = by_holder.entry((&order.holder, order.token)).or_insert((0, order.at_ms, 0));
        (entry.0, entry.2) = (entry.0 + 1, order.at_ms);
        lower += usize::from(order.token < highest);
        highest = highest.max(order.token);
        let known = holders_by_token.entry(order.token).or_insert(&order.holder);
        shared += usize::from(*known != order.holder);
        turns += usize::from(last.is_some_and(|last| {
            last.holder != order.holder && order.at_ms - last.at_ms < LEASE_MS
        }));
        last = Some(order);
    }
    for ((holder, token), (count, first_ms, last_ms)) in &by_holder {
        record.line(&format!(
            "orders worker={worker} holder={holder} token={token} count={count} first_ms={first_ms} last_ms={last_ms}"
        ));
    }
    record.line(&format!(
        "judged worker={worker} orders={} lower_token_after_higher={lower} one_token_of_two_holders={shared} changes_of_holder_within_lease={turns}",
        counted.len()
    ));
    Judged { is_out_of_order: lower > 0 || shared > 0, turns }
}

/// Sends requests for rarely used adapters until the case is over.
fn request_all_the_time(
    index: usize,
    frontend: std::net::SocketAddr,
    daemon: &str,
    is_over: &AtomicBool,
    record: &Record,
) {
    let mut number = index as u64 * (ADAPTERS / 2);
    let mut requests = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let adapter = format!("a{}", 1 + number % ADAPTERS);
        let (record, daemon) = (record.clone(), daemon.to_owned());
        requests.push(thread::spawn(move || {
            let attempt = client::new_attempt();
            let answer = client::generate(frontend, &attempt, &adapter, number);
            let status = answer.as_ref().map_or(0, |answer| answer.status());
            let is_complete = answer.is_some_and(|answer| answer.is_complete);
            record.line(&format!(
                "answer daemon={daemon} attempt={attempt} adapter={adapter} status={status} complete={is_complete}"
            ));
        }));
        requests.retain(|request| !request.is_finished());
        thread::sleep(REQUEST_INTERVAL);
    }
    for request in requests {
        // A request ends within its timeout.
        let _ = request.join();
    }
}

/// Waits until a condition holds; returns whether it does in time.
pub fn wait_for<Condition>(limit: Duration, condition: Condition) -> bool
where
    Condition: Fn() -> bool,
{
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}

/// Folder that is removed when dropped.
pub struct Folder(pub PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        // It is a folder for temporary files.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
