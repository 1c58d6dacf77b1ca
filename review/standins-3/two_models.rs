//! Rare adapters are asked for at once while one worker holds two models.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{ADAPTER_MB, Engine, MAX_ADAPTERS, WEIGHTS_MB};
use crate::fleet::{self, Daemon, Record};
use crate::http;
use crate::store::Store;

/// Sizes of the models in MB; both fit on a worker with room for ten adapters.
const MODELS: [(&str, u64); 2] = [("base", 20_000), ("extra", 15_300)];
const DEADLINE_MS: u64 = 10_000;
const CLIENTS: usize = 12;
const TRAFFIC: Duration = Duration::from_secs(30);
/// Adapters of each model that are asked for usually, and in the burst.
const USUAL_ADAPTERS: usize = 2;
const BURST_ADAPTERS: usize = 60;

pub fn run(record: &Path, directory: &PathBuf, has_trouble: bool) -> io::Result<bool> {
    let record = Record::create(record)?;
    let (store, address) = Store::start()?;
    let mut engines = Vec::new();
    for (index, zone) in ["cph-a", "aar-a", "ode-a"].iter().enumerate() {
        let models = if index == 0 { MODELS.to_vec() } else { MODELS[..1].to_vec() };
        let id = format!("i-{index}");
        let (engine, address) = Engine::start(&id, models, &record)?;
        store.put("servers", &id, &engine.entry(address, zone));
        engines.push(engine);
    }
    store.put("op", "config", &configuration());
    let mut daemons = Vec::new();
    for index in 0..3 {
        daemons.push(Daemon::start(directory, index, address)?);
    }
    fleet::wait_until_ready(&daemons, &record)?;
    let adapters = if has_trouble { BURST_ADAPTERS } else { USUAL_ADAPTERS };
    record.add(&format!("{CLIENTS} clients ask for {adapters} adapters of each model"));
    let (answered, failed) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let begun = Instant::now();
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (daemons, record, answered, failed) = (&daemons, &record, &answered, &failed);
            scope.spawn(move || {
                let mut number = 0;
                while begun.elapsed() < TRAFFIC {
                    let (model, _) = MODELS[usize::from((client + number) % 4 == 0)];
                    let adapter = (client * 7 + number * 13) % adapters;
                    let id = format!("draft-{client}-{number}");
                    let target = daemons[(client + number) % daemons.len()].callers;
                    let result = call(&target, &id, &format!("{model}/a{adapter}"));
                    let counter = if result.as_ref().is_ok_and(|first| first.contains(" 200 ")) { answered } else { failed };
                    counter.fetch_add(1, Ordering::Relaxed);
                    record.add(&format!("{id}: {}", result.unwrap_or_else(|error| error.to_string())));
                    number += 1;
                    thread::sleep(Duration::from_millis(50));
                }
            });
        }
    });
    let overfilled: usize = engines.iter().map(|engine| engine.overfilled()).sum();
    let (answered, failed) = (answered.into_inner(), failed.into_inner());
    record.add(&format!("{answered} requests answered, {failed} not; {overfilled} orders beyond what a worker holds"));
    record.add(if overfilled > 0 { "LIMIT is broken" } else { "LIMIT holds" });
    Ok(overfilled > 0)
}

fn configuration() -> String {
    let models = MODELS.map(|(name, size_mb)| {
        format!(
            "{{\"Name\":\"{name}\",\"WeightsMb\":{size_mb}.0,\"LoadTimeS\":2.0,\"Adapters\":3000,\"AdapterSizeMb\":{ADAPTER_MB}.0}}"
        )
    });
    format!(
        "{{\"Version\":1,\"Routes\":[{{\"Name\":\"draft\",\"Host\":\"h.example\",\"Prefix\":\"/draft/\",\"Type\":\"streaming\",\
         \"TimeoutMs\":10000,\"GoalMs\":1000,\"Priority\":0,\"Service\":\"llm\",\"MaxAttempts\":1,\"Sticky\":true,\
         \"Resumable\":false,\"GapGoalMs\":400}}],\"Services\":[{{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\"MaxConns\":630,\
         \"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":128,\"KvCapacity\":150301,\"Models\":[{}],\
         \"WeightsMb\":{WEIGHTS_MB}.0,\"MaxAdapters\":{MAX_ADAPTERS},\"LoadsPerS\":3.5}}}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        models.join(",")
    )
}

fn call(daemon: &SocketAddrV4, id: &str, model: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(*daemon)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    write!(
        stream,
        "POST /draft/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nModel: {model}\r\nToken-Count: 491,20\r\n\
         Prompt-Prefix: 5c1e07a2:155\r\nDeadline-Ms: {DEADLINE_MS}\r\nConnection: close\r\nContent-Length: 4\r\n\r\nabcd"
    )?;
    let mut source = BufReader::new(stream);
    let head = http::read_head(&mut source)?;
    let mut rest = Vec::new();
    source.read_to_end(&mut rest)?;
    head.map(|(first, _)| first).ok_or(io::Error::other("closed without an answer"))
}
