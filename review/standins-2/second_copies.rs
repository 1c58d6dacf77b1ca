//! Case 6: a worker rejects a request, and a second copy of that rejection arrives when the daemon has sent the
//! same request to the worker once more.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::app_worker::{self, AppWorker};
use crate::client::Client;
use crate::fleet::Daemon;
use crate::record::Record;
use crate::store::Store;

/// Zones with their regions, one worker in each, as the app service of ramdeen-cues.
const PLACES: [(&str, &str); 3] = [("z-a", "r-a"), ("z-b", "r-b"), ("z-c", "r-c")];
/// Daemons by the index of their place.
const DAEMONS: [usize; 4] = [0, 0, 1, 2];
/// Bounds, contracts and zones; the bounds are those of dyfed-mdu-grown.
const BOUNDS: &str = "Contracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"health\", \
\"pool\", \"fleet\", \"stream\", \"engine\", \"tenants\", \"quota\", \"pressure\", \"platform\"]\n\
[Zones]\nz-a = \"r-a\"\nz-b = \"r-b\"\nz-c = \"r-c\"\n\
[Bounds]\nDrainMs = 4000\nGraceS = 8\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetrySlack = 180\n\
LeaseMs = 3000\nContactMs = 5000\nQuotaWindowS = 8\nQuotaOverage = 0.1\nQuotaSlack = 110000\n\
RevokeStrict = false\n";
const CONFIGURATION: &str = "{\"Version\":7,\"Routes\":[{\"Name\":\"r-order\",\"Host\":\"h.example\",\
\"Prefix\":\"/order/\",\"Type\":\"non_idempotent\",\"TimeoutMs\":2000,\"GoalMs\":400,\"Priority\":0,\
\"Service\":\"gateway\",\"MaxAttempts\":1,\"Public\":false}],\
\"Services\":[{\"Name\":\"gateway\",\"HealthPath\":\"/healthz\",\"MaxConns\":480}],\
\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\
\"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[\"key-of-t1\"]}]}";
/// Callers of each daemon.
const CALLERS: usize = 6;
const PAUSE: Duration = Duration::from_millis(120);
/// A worker that fails part of its requests, and the share of them, in thousandths.
const REJECTED_SHARE: usize = 400;
/// Share of the answers that are sent a second time, in thousandths.
const REPEATED_SHARE: usize = 30;
const RUN: Duration = Duration::from_secs(95);

/// Plays the case.
pub fn play(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let workers: Vec<_> = PLACES
        .iter()
        .enumerate()
        .map(|(index, (zone, _))| {
            let worker = AppWorker::start(&format!("i-{index:04x}"), record);
            store.put("servers", &worker.id, &worker.entry("gateway", zone));
            worker
        })
        .collect();
    let daemons: Vec<_> = DAEMONS
        .iter()
        .enumerate()
        .map(|(index, place)| Daemon::start(folder, index, PLACES[*place], store.address, BOUNDS))
        .collect();
    if !daemons.iter().all(Daemon::wait_until_ready) {
        return Outcome::NotRun("a daemon did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let is_over = AtomicBool::new(false);
    let next_id = AtomicUsize::new(1);
    let answers: Mutex<BTreeMap<String, u16>> = Mutex::default();
    thread::scope(|scope| {
        for daemon in &daemons {
            for _ in 0..CALLERS {
                let (is_over, next_id, answers) = (&is_over, &next_id, &answers);
                scope.spawn(move || {
                    let mut client = Client::new(daemon.callers);
                    while !is_over.load(Ordering::Relaxed) {
                        let id = format!("a{:08x}", next_id.fetch_add(1, Ordering::Relaxed));
                        let request = format!(
                            "POST /order/{id} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\n\
                             Deadline-Ms: 2000\r\nAuthorization: Bearer key-of-t1\r\n\
                             Content-Length: 2\r\n\r\n{{}}"
                        );
                        record.line(&format!("send id={id} to={}", daemon.callers.ip()));
                        let response = client.send(&request, Duration::from_millis(2_600));
                        let status = response.map_or(0, |response| response.status());
                        record.line(&format!("answer id={id} status={status}"));
                        answers.lock().expect("the answers").insert(id, status);
                        thread::sleep(PAUSE);
                    }
                });
            }
        }
        if has_trouble {
            // One of three workers fails part of its requests (share .14, at least one), two of three send
            // second copies (share .6), each for the time that the site file names, again and again.
            let (grey, is_over) = (Arc::clone(&workers[0]), &is_over);
            scope.spawn(move || {
                app_worker::alternate(is_over, 6.5, 1.0, |is_on| {
                    let share = if is_on { REJECTED_SHARE } else { 0 };
                    grey.rejected_share.store(share, Ordering::Relaxed);
                });
            });
            let garbling = [Arc::clone(&workers[0]), Arc::clone(&workers[1])];
            scope.spawn(move || {
                app_worker::alternate(is_over, 5.0, 1.0, |is_on| {
                    for worker in &garbling {
                        let share = if is_on { REPEATED_SHARE } else { 0 };
                        worker.repeated_share.store(share, Ordering::Relaxed);
                    }
                });
            });
        }
        thread::sleep(RUN);
        is_over.store(true, Ordering::Relaxed);
    });
    // The last requests end at their workers.
    thread::sleep(Duration::from_secs(2));
    judge(&workers, &answers.into_inner().expect("the answers"))
}

fn judge(workers: &[Arc<AppWorker>], answers: &BTreeMap<String, u16>) -> Outcome {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for (id, count) in workers.iter().flat_map(|worker| worker.runs()) {
        *runs.entry(id).or_default() += count;
    }
    let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).map(|(id, _)| id).collect();
    let is_promise = |status: &u16| matches!(status, 408 | 421 | 429 | 503);
    let refused: Vec<_> = answers
        .iter()
        .filter(|(id, status)| is_promise(status) && runs.contains_key(*id))
        .map(|(id, _)| id)
        .collect();
    let copies: usize =
        workers.iter().map(|worker| worker.second_copies.load(Ordering::Relaxed)).sum();
    let served = answers.values().filter(|status| **status == 200).count();
    let text = format!(
        "requests={} served={served} second_copies={copies} run_twice={} refused_but_run={} {twice:?} {refused:?}",
        answers.len(),
        twice.len(),
        refused.len()
    );
    if twice.is_empty() { Outcome::Held(text) } else { Outcome::Broken(text) }
}
