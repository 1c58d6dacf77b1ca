//! A model worker: it holds models and adapters, carries out orders and answers in streams.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Record;
use crate::http::{self, Request};
use crate::json::{self, Json};

pub const WEIGHTS_MB: u64 = 35_700;
pub const MAX_ADAPTERS: usize = 18;
pub const ADAPTER_MB: u64 = 40;
const ADAPTER_LOAD: Duration = Duration::from_millis(250);
const EVENTS: usize = 10;
const EVENT_PAUSE: Duration = Duration::from_millis(20);

pub struct Engine {
    id: String,
    /// Models that the worker has held since its start, with the size of their weights.
    models: Vec<(&'static str, u64)>,
    record: Record,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    sequence: u64,
    /// Adapters as MODEL/NAME, with the time from which they can be used and the requests that use them.
    adapters: BTreeMap<String, (Option<Instant>, usize)>,
    /// Adapter whose unloading waits for its requests.
    unloading: Option<String>,
    overfilled: usize,
}

impl Engine {
    pub fn start(
        id: &str,
        models: Vec<(&'static str, u64)>,
        record: &Record,
    ) -> io::Result<(Arc<Self>, SocketAddr)> {
        let (id, record, state) = (id.to_owned(), record.clone(), Mutex::default());
        let engine = Arc::new(Self { id, models, record, state });
        let served = Arc::clone(&engine);
        let address = http::serve(move |request, sink| served.answer(request, sink))?;
        Ok((engine, address))
    }

    /// Returns how many orders exceeded what the worker can hold.
    pub fn overfilled(&self) -> usize {
        self.state.lock().expect("no panic").overfilled
    }

    /// Returns the entry of the worker in the store.
    pub fn entry(&self, address: SocketAddr, zone: &str) -> String {
        format!(
            "{{\"Service\":\"llm\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":128,\
             \"State\":\"ready\",\"ColdLeftMs\":0,\"Phase\":\"colocated\",\"Models\":{},\"Sequence\":0,\"born\":1700000000000}}",
            self.listed(&State::default())
        )
    }

    fn listed(&self, state: &State) -> String {
        let models = self.models.iter().map(|(model, _)| {
            let prefix = format!("{model}/");
            let names = state.adapters.iter().filter(|(_, (ready, _))| ready.is_none());
            let names = names.filter_map(|(name, _)| name.strip_prefix(&prefix));
            let names: Vec<_> = names.map(|name| json::quoted(&format!("{name}@1"))).collect();
            format!("{{\"Name\":\"{model}\",\"Version\":1,\"Adapters\":[{}]}}", names.join(","))
        });
        format!("[{}]", models.collect::<Vec<_>>().join(","))
    }

    fn answer(&self, request: &Request, sink: &mut TcpStream) -> io::Result<()> {
        if request.header("expected-instance").is_some_and(|expected| expected != self.id) {
            return http::write_response(sink, "421 Misdirected Request", &[("Instance-Id", &self.id)], b"");
        }
        match request.path() {
            "/healthz" => http::write_response(sink, "200 OK", &[("Instance-Id", &self.id)], b""),
            "/v1/report" => {
                let body = self.report();
                http::write_response(sink, "200 OK", &[("Content-Type", "application/json")], body.as_bytes())
            }
            "/v1/order" => {
                let status = self.order(&String::from_utf8_lossy(&request.body));
                http::write_response(sink, status, &[], b"")
            }
            _ => self.generate(request, sink),
        }
    }

    /// Ends the loads that are due.
    fn settle(state: &mut State) {
        for (ready, _) in state.adapters.values_mut() {
            if ready.is_some_and(|ready| ready <= Instant::now()) {
                *ready = None;
            }
        }
        if let Some(name) = state.unloading.take() {
            if state.adapters.get(&name).is_some_and(|(_, users)| *users > 0) {
                state.unloading = Some(name);
            } else {
                state.adapters.remove(&name);
            }
        }
    }

    fn report(&self) -> String {
        let mut state = self.state.lock().expect("no panic");
        Self::settle(&mut state);
        let pending = state.adapters.iter().filter(|(_, (ready, _))| ready.is_some());
        let pending: Vec<_> = pending.map(|(name, _)| json::quoted(&format!("{name}@1"))).collect();
        format!(
            "{{\"Phase\":\"colocated\",\"Models\":{},\"Busy\":{},\"Sequence\":{},\"Queued\":0,\"Active\":0,\"KvInUse\":0,\
             \"KvCapacityTotal\":150301,\"Handles\":0,\"Pending\":[{}]}}",
            self.listed(&state),
            state.unloading.is_some(),
            state.sequence,
            pending.join(",")
        )
    }

    fn order(&self, body: &str) -> &'static str {
        let mut state = self.state.lock().expect("no panic");
        Self::settle(&mut state);
        let Some(order) = Json::parse(body) else { return "400 Bad Request" };
        let text = |name: &str| order.get(name).and_then(Json::text).unwrap_or("");
        if text("Holder").is_empty() || order.get("FencingToken").is_none() {
            return "400 Bad Request";
        }
        let expected = order.get("Precondition").and_then(Json::number);
        if expected.is_some_and(|expected| expected as u64 != state.sequence) {
            return "409 Conflict";
        }
        let model = text("Model");
        if !self.models.iter().any(|(name, _)| *name == model) {
            return "400 Bad Request";
        }
        let name = format!("{model}/{}", text("Adapter"));
        let (sequence, id) = (state.sequence, &self.id);
        let status = match (text("Operation"), text("Adapter")) {
            ("load", "") => "200 OK",
            ("load", _) => self.load(&mut state, &name),
            ("unload", "") => "400 Bad Request",
            ("unload", _) => Self::unload(&mut state, &name),
            _ => "400 Bad Request",
        };
        if state.sequence != sequence {
            let held = state.adapters.len();
            let line = format!("worker {id} is ordered to {} {name}: {status}, {held} adapters", text("Operation"));
            self.record.add(&line);
        }
        status
    }

    fn load(&self, state: &mut State, name: &str) -> &'static str {
        if state.unloading.is_some() {
            return "409 Conflict";
        }
        if let Some((ready, _)) = state.adapters.get(name) {
            return if ready.is_some() { "202 Accepted" } else { "200 OK" };
        }
        state.adapters.insert(name.to_owned(), (Some(Instant::now() + ADAPTER_LOAD), 0));
        state.sequence += 1;
        let adapters = state.adapters.len();
        let weights: u64 = self.models.iter().map(|(_, size_mb)| size_mb).sum();
        let used_mb = weights + adapters as u64 * ADAPTER_MB;
        if used_mb > WEIGHTS_MB || adapters > MAX_ADAPTERS {
            state.overfilled += 1;
            self.record.add(&format!(
                "worker {} is ordered to hold {adapters} adapters and {used_mb} MB of {WEIGHTS_MB} MB: LIMIT",
                self.id
            ));
        }
        "202 Accepted"
    }

    fn unload(state: &mut State, name: &str) -> &'static str {
        let Some((_, users)) = state.adapters.get(name) else { return "200 OK" };
        let is_used = *users > 0;
        if state.unloading.as_deref() == Some(name) {
            return "202 Accepted";
        }
        if state.unloading.is_some() {
            return "409 Conflict";
        }
        state.sequence += 1;
        if is_used {
            state.unloading = Some(name.to_owned());
            return "202 Accepted";
        }
        state.adapters.remove(name);
        "200 OK"
    }

    fn generate(&self, request: &Request, sink: &mut TcpStream) -> io::Result<()> {
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        let name = request.header("model").unwrap_or("").to_owned();
        let mut state = self.state.lock().expect("no panic");
        Self::settle(&mut state);
        let is_unloading = state.unloading.as_deref() == Some(name.as_str());
        let held = state.adapters.get_mut(&name).filter(|(ready, _)| ready.is_none() && !is_unloading);
        let Some((_, users)) = held else {
            drop(state);
            let headers = [("Attempt-Id", attempt.as_str()), ("Not-Executed", "1")];
            return http::write_response(sink, "421 Misdirected Request", &headers, b"");
        };
        *users += 1;
        drop(state);
        self.record.add(&format!("worker {} runs {attempt} on {name}", self.id));
        let result = self.stream(&attempt, sink);
        if let Some((_, users)) = self.state.lock().expect("no panic").adapters.get_mut(&name) {
            *users -= 1;
        }
        result
    }

    fn stream(&self, attempt: &str, sink: &mut TcpStream) -> io::Result<()> {
        let id = &self.id;
        write!(
            sink,
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: 3e1b.{id}\r\nWeight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: piece {number} of {attempt}\n\n");
            write!(sink, "{:x}\r\n{event}\r\n", event.len())?;
            thread::sleep(EVENT_PAUSE);
        }
        sink.write_all(b"0\r\n\r\n")
    }
}
