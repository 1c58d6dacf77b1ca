//! Case 8: three loads get no answer, the worker restarts under its name, and the loads are carried out when it has
//! accepted as many orders as before.

use std::path::Path;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::Client;
use crate::engine_worker::{EngineWorker, MAX_ADAPTERS};
use crate::fleet::Daemon;
use crate::record::Record;
use crate::store::Store;

/// Settings as those of ramdeen-cues.
const BOUNDS: &str = "Contracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"fleet\", \
\"stream\", \"engine\", \"platform\"]\n[Zones]\nz-a = \"r-a\"\n\
[Bounds]\nDrainMs = 2500\nGraceS = 8\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetrySlack = 56\n\
LeaseMs = 3000\nContactMs = 4000\n";
const CONFIGURATION: &str = "{\"Version\":3,\"Routes\":[{\"Name\":\"r-draft\",\"Host\":\"h.example\",\
\"Prefix\":\"/draft/\",\"Type\":\"streaming\",\"TimeoutMs\":10000,\"GoalMs\":1000,\"Priority\":0,\
\"Service\":\"llm\",\"MaxAttempts\":1,\"Sticky\":true,\"Resumable\":false,\"GapGoalMs\":400}],\
\"Services\":[{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\"MaxConns\":620,\"Engine\":{\"Slots\":128,\
\"KvCapacity\":151716,\"WeightsMb\":36000.0,\"MaxAdapters\":18,\"LoadsPerS\":3.0,\"Models\":[{\"Name\":\"base\",\
\"WeightsMb\":34300.0,\"LoadTimeS\":2.7,\"Adapters\":3000,\"AdapterSizeMb\":40.0,\"WarmS\":0.78,\
\"DiskLoadS\":1.1}]}}],\
\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
const DAEMONS: usize = 2;
/// Loads whose first copy gets no answer: the last three of the 18 of the first process, which begins with two
/// accepted orders.
const UNANSWERED: [f64; 3] = [17.0, 18.0, 19.0];
/// Time after which they are carried out; the page names 2 to 12 s.
const DELAY: Duration = Duration::from_millis(10_500);
/// Time for which the worker is down.
const DOWN: Duration = Duration::from_millis(2_000);
/// Adapters that the requests after the restart need, each for a long answer.
const LONG_ANSWERS: usize = 16;
const ROUNDS: usize = 3;

/// Plays the case.
pub fn play(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let mut text = String::new();
    for round in 0..ROUNDS {
        let worker = EngineWorker::start(&format!("i-{round:04x}"), record);
        store.put("servers", &worker.id, &worker.entry("llm", "z-a"));
        let daemons: Vec<_> = (0..DAEMONS)
            .map(|index| {
                Daemon::start(
                    folder,
                    round * DAEMONS + index,
                    ("z-a", "r-a"),
                    store.address,
                    BOUNDS,
                )
            })
            .collect();
        if !daemons.iter().all(Daemon::wait_until_ready) {
            return Outcome::NotRun("a daemon did not become ready".to_owned());
        }
        thread::sleep(Duration::from_secs(4));
        play_round(&store, &worker, &daemons, round, record, has_trouble);
        let most = worker.most_held();
        text.push_str(&format!("round={round} most_held={most} of={MAX_ADAPTERS} "));
        if most > MAX_ADAPTERS as u64 {
            return Outcome::Broken(text);
        }
        store.remove("servers", &worker.id);
    }
    Outcome::Held(text)
}

fn play_round(
    store: &Store,
    worker: &Arc<EngineWorker>,
    daemons: &[Daemon],
    round: usize,
    record: &Arc<Record>,
    has_trouble: bool,
) {
    let send = |index: usize, adapter: String, events: u64, pause_ms: u64| -> JoinHandle<()> {
        let (daemon, record) = (daemons[index % daemons.len()].callers, Arc::clone(record));
        thread::spawn(move || {
            let id = format!("r{round}{adapter}");
            let request = format!(
                "POST /draft/{events}/{pause_ms} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\n\
                 Deadline-Ms: 10000\r\nModel: base/{adapter}\r\nToken-Count: 600,70\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            record.line(&format!("send id={id} adapter={adapter}"));
            let response = Client::new(daemon).send(&request, Duration::from_secs(12));
            let status = response.map_or(0, |response| response.status());
            record.line(&format!("answer id={id} status={status}"));
        })
    };
    if has_trouble {
        worker.leave_unanswered(UNANSWERED.to_vec(), DELAY);
    }
    let mut requests = Vec::new();
    for index in 0..MAX_ADAPTERS {
        requests.push(send(index, format!("a{}", index + 1), 3, 20));
        thread::sleep(Duration::from_millis(110));
    }
    for request in requests.drain(..) {
        let _ = request.join();
    }
    record.line(&format!("first sequence={} held={}", worker.sequence(), worker.held()));
    if has_trouble {
        worker.crash(DOWN);
        store.put("servers", &worker.id, &worker.entry("llm", "z-a"));
    }
    let end = Instant::now() + Duration::from_secs(6);
    while !worker.has_model() && Instant::now() < end {
        thread::sleep(Duration::from_millis(20));
    }
    store.put("servers", &worker.id, &worker.entry("llm", "z-a"));
    thread::sleep(Duration::from_millis(300));
    for index in 0..LONG_ANSWERS {
        requests.push(send(index, format!("c{}", index + 1), 130, 60));
        thread::sleep(Duration::from_millis(60));
    }
    thread::sleep(Duration::from_secs(2));
    record.line(&format!("second sequence={} held={}", worker.sequence(), worker.held()));
    for request in requests {
        let _ = request.join();
    }
}
