//! Stand-ins of model workers and of workers of an app service.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Handler, Message};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// The model that every model worker holds.
pub const MODEL: &str = "m0";
/// Places for adapters.
pub const MAX_ADAPTERS: usize = 18;
/// Interval at which a worker writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time after which a worker writes its entry again if the store has not taken it.
const HEARTBEAT_RETRY: Duration = Duration::from_millis(100);
/// Time of a load of an adapter.
const LOAD_TIME: Duration = Duration::from_millis(250);
/// Events of a stream, and the time between two.
const EVENTS: usize = 5;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time of a call to an app service.
const CALL_TIME: Duration = Duration::from_millis(5);

/// An order that a worker received.
#[derive(Clone, Debug)]
pub struct Order {
    /// Machine that sent it.
    pub holder: String,
    /// Its fencing token.
    pub token: u64,
    /// Time of the record at which it arrived.
    pub at_ms: u64,
}

/// A request that a worker ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Identifier of the client's attempt.
    pub attempt: String,
}

#[derive(Default)]
struct State {
    /// Adapters with the time at which each is loaded.
    adapters: BTreeMap<String, Instant>,
    running: BTreeMap<String, usize>,
    sequence: u64,
    orders: Vec<Order>,
    runs: Vec<Run>,
    is_stopped: bool,
}

/// Stand-in of a worker.
pub struct Worker {
    /// Its id.
    pub id: String,
    service: String,
    zone: String,
    is_engine: bool,
    born: u128,
    state: Mutex<State>,
    record: Record,
}

impl Worker {
    /// Starts a worker, which writes its entry into the store from now on.
    pub fn start(
        record: &Record,
        store: &Arc<Store>,
        ip: &str,
        id: &str,
        service: &str,
        zone: &str,
        is_engine: bool,
    ) -> io::Result<Arc<Self>> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
        let worker = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            is_engine,
            born,
            state: Mutex::default(),
            record: record.clone(),
        });
        let address = http::serve(Arc::clone(&worker), ip)?;
        record.line(&format!("worker {id} of {service} starts at {address}"));
        let (writing, store) = (Arc::clone(&worker), Arc::clone(store));
        thread::spawn(move || {
            while !writing.lock().is_stopped {
                let is_written = store.put("servers", &writing.id, &writing.entry(address)).is_some();
                thread::sleep(if is_written { HEARTBEAT } else { HEARTBEAT_RETRY });
            }
        });
        Ok(worker)
    }

    /// Returns the orders so far.
    pub fn orders(&self) -> Vec<Order> {
        self.lock().orders.clone()
    }

    /// Returns the requests that were run.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn entry(&self, address: SocketAddr) -> String {
        let state = self.lock();
        let (service, zone, born) = (&self.service, &self.zone, self.born);
        let (models, sequence) = (self.models(&state), state.sequence);
        format!(
            r#"{{"Service":"{service}","Address":"{address}","Zone":"{zone}","Version":"1","Slots":16,"State":"ready","ColdLeftMs":0,"Sequence":{sequence},"born":{born},"Models":{models}}}"#
        )
    }

    fn models(&self, state: &State) -> String {
        if !self.is_engine {
            return "[]".to_owned();
        }
        let names = listed(state, true, "");
        format!(r#"[{{"Name":"{MODEL}","Version":1,"Adapters":[{names}]}}]"#)
    }

    fn report(&self) -> Answer {
        let state = self.lock();
        let (models, sequence) = (self.models(&state), state.sequence);
        let pending = listed(&state, false, &format!("{MODEL}/"));
        let active: usize = state.running.values().sum();
        Answer::new(
            200,
            &format!(
                r#"{{"Phase":"colocated","Models":{models},"Busy":false,"Sequence":{sequence},"Queued":0,"Active":{active},"KvInUse":0,"KvCapacityTotal":150301,"Handles":0,"Pending":[{pending}]}}"#
            ),
        )
    }

    fn order(&self, request: &Message) -> Answer {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let Some(order) = Json::parse(&body) else { return Answer::new(400, "") };
        let (holder, adapter) = (order.text("Holder"), order.text("Adapter"));
        let Some(token) = order.number("FencingToken").filter(|_| !holder.is_empty()) else {
            return Answer::new(400, "");
        };
        let at_ms = self.record.now_ms();
        let mut state = self.lock();
        state.orders.push(Order { holder: holder.clone(), token, at_ms });
        let status = execute(&mut state, &order, &adapter);
        let operation = order.text("Operation");
        self.record.line(&format!(
            "order worker={} holder={holder} token={token} {operation} {adapter} status={status}",
            self.id
        ));
        Answer::new(status, "")
    }

    fn run(&self, request: &Message) -> Answer {
        let attempt = request.header("attempt-id").to_owned();
        let model = request.header("model");
        let adapter = model.split_once('/').map_or("", |(_, adapter)| adapter).to_owned();
        let mut state = self.lock();
        let is_loaded = adapter.is_empty()
            || state.adapters.get(&adapter).is_some_and(|ready| *ready <= Instant::now());
        if !is_loaded {
            return Answer::new(421, "")
                .with("Attempt-Id", &attempt)
                .with("Instance-Id", &self.id)
                .with("Not-Executed", "1");
        }
        *state.running.entry(adapter.clone()).or_default() += 1;
        state.runs.push(Run { attempt: attempt.clone() });
        drop(state);
        self.record.line(&format!(
            "run worker={} service={} attempt={attempt} model={model}",
            self.id, self.service
        ));
        let identity = |answer: Answer| {
            answer.with("Attempt-Id", &attempt).with("Server-Signature", "s1.g2")
        };
        if !self.is_engine {
            thread::sleep(CALL_TIME);
            return identity(Answer::new(200, &format!("from {}\n", self.service)));
        }
        let parts = (1..=EVENTS).map(|id| (EVENT_INTERVAL, format!("id: {id}\ndata: x\n\n")));
        let answer = Answer {
            status: 200,
            headers: Vec::new(),
            parts: parts.collect(),
            is_chunked: true,
        };
        identity(answer.with("Content-Type", "text/event-stream").with("Weight-Versions", "1"))
    }
}

impl Handler for Worker {
    fn handle(&self, request: &Message) -> Option<Answer> {
        let expected = request.header("expected-instance");
        if !expected.is_empty() && expected != self.id {
            return Some(Answer::new(421, "").with("Instance-Id", &self.id));
        }
        Some(match (request.method(), request.path()) {
            ("GET", "/healthz") => Answer::new(200, "").with("Instance-Id", &self.id),
            ("GET", "/v1/report") => self.report(),
            ("POST", "/v1/order") => self.order(request),
            _ => self.run(request),
        })
    }

    fn finish(&self, request: &Message, _is_sent: bool) {
        let model = request.header("model");
        let Some((_, adapter)) = model.split_once('/') else { return };
        if let Some(running) = self.lock().running.get_mut(adapter) {
            *running = running.saturating_sub(1);
        }
    }
}

/// Lists the adapters that are loaded, or those that are being loaded.
fn listed(state: &State, is_ready: bool, prefix: &str) -> String {
    let now = Instant::now();
    let chosen = state.adapters.iter().filter(|(_, ready)| (**ready <= now) == is_ready);
    let names: Vec<_> = chosen.map(|(name, _)| format!(r#""{prefix}{name}@1""#)).collect();
    names.join(",")
}

/// Executes an order and returns the status of the response.
fn execute(state: &mut State, order: &Json, adapter: &str) -> u16 {
    let now = Instant::now();
    let holds = order.number("Precondition").is_none_or(|expected| expected == state.sequence);
    let ready = state.adapters.get(adapter).copied();
    match (order.text("Operation").as_str(), adapter.is_empty(), ready) {
        ("load", true, _) => if holds { 200 } else { 409 },
        // A load in progress is acknowledged whatever its precondition.
        ("load", false, Some(ready)) if ready > now => 202,
        ("load", false, Some(_)) => if holds { 200 } else { 409 },
        ("load", false, None) if holds && state.adapters.len() < MAX_ADAPTERS => {
            state.adapters.insert(adapter.to_owned(), now + LOAD_TIME);
            state.sequence += 1;
            202
        }
        ("load", false, None) => 409,
        ("unload", false, None) => 200,
        ("unload", false, Some(_)) => {
            let is_used = state.running.get(adapter).is_some_and(|running| *running > 0);
            if !holds || is_used {
                return 409;
            }
            state.adapters.remove(adapter);
            state.sequence += 1;
            200
        }
        _ => 400,
    }
}
