//! Stand-in for a model worker that carries out orders, checks their preconditions, and may crash.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json;
use crate::record::Record;

/// Adapters that the worker may hold, those in transit included.
pub const MAX_ADAPTERS: usize = 18;
/// Adapters that may be in transit at the same time.
const MAX_IN_TRANSIT: usize = 4;
const ADAPTER_LOAD: Duration = Duration::from_millis(250);
/// Load of the model from the worker's own disk, which a restart preserves.
const MODEL_LOAD: Duration = Duration::from_millis(1_100);
const BORN_MS: u64 = 1_796_580_000_000;

/// What the worker holds; a restart clears all of it.
struct Holdings {
    /// Time at which the model is loaded, if it was ordered.
    model_ready: Option<Instant>,
    /// Adapters with the time at which they are loaded.
    adapters: BTreeMap<String, Instant>,
    sequence: u64,
}

/// Order of which the first copy gets no answer.
struct Order {
    operation: String,
    adapter: String,
    precondition: Option<f64>,
}

/// Stand-in for a model worker.
pub struct EngineWorker {
    /// Name of the worker, which it keeps over restarts.
    pub id: String,
    /// Address of the worker.
    pub address: SocketAddr,
    record: Arc<Record>,
    holdings: Mutex<Holdings>,
    born_ms: AtomicU64,
    is_down: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Preconditions of the loads whose first copy gets no answer, and after what time it is carried out.
    unanswered: Mutex<(Vec<f64>, Duration)>,
    /// Most adapters that the worker was ordered to hold.
    most_held: AtomicU64,
}

impl EngineWorker {
    /// Starts a worker that holds its model and has accepted two orders, as the page's example.
    pub fn start(id: &str, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let holdings =
            Holdings { model_ready: Some(Instant::now()), adapters: BTreeMap::new(), sequence: 2 };
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            record: Arc::clone(record),
            holdings: Mutex::new(holdings),
            born_ms: AtomicU64::new(BORN_MS),
            is_down: AtomicBool::new(false),
            connections: Mutex::default(),
            unanswered: Mutex::default(),
            most_held: AtomicU64::new(0),
        });
        let accepting = Arc::clone(&worker);
        thread::spawn(move || accepting.accept(listener));
        worker
    }

    /// Leaves the first copies of loads with these preconditions unanswered and carries them out later.
    pub fn leave_unanswered(&self, preconditions: Vec<f64>, delay: Duration) {
        *self.unanswered.lock().expect("the orders") = (preconditions, delay);
    }

    /// Crashes the worker, which starts again under its name after a time and holds nothing then.
    pub fn crash(&self, down_for: Duration) {
        self.record.line(&format!("crash worker={}", self.id));
        self.is_down.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().expect("the connections").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        thread::sleep(down_for);
        let mut holdings = self.holdings.lock().expect("the holdings");
        *holdings = Holdings { model_ready: None, adapters: BTreeMap::new(), sequence: 0 };
        self.born_ms.fetch_add(60_000, Ordering::SeqCst);
        self.is_down.store(false, Ordering::SeqCst);
        self.record.line(&format!("start worker={}", self.id));
    }

    /// Returns whether the model is loaded.
    pub fn has_model(&self) -> bool {
        let holdings = self.holdings.lock().expect("the holdings");
        holdings.model_ready.is_some_and(|ready| ready <= Instant::now())
    }

    /// Returns the number of orders that the worker has accepted since its start.
    pub fn sequence(&self) -> u64 {
        self.holdings.lock().expect("the holdings").sequence
    }

    /// Returns the number of adapters that the worker holds or loads.
    pub fn held(&self) -> usize {
        self.holdings.lock().expect("the holdings").adapters.len()
    }

    /// Returns the most adapters that the worker was ordered to hold.
    pub fn most_held(&self) -> u64 {
        self.most_held.load(Ordering::SeqCst)
    }

    /// Returns the entry of the worker in the store.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        let (address, born_ms) = (self.address, self.born_ms.load(Ordering::SeqCst));
        let (models, _) = self.lists();
        let sequence = self.sequence();
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Slots\":128,\"State\":\"ready\",\"ColdLeftMs\":0,\"Phase\":\"colocated\",\"Models\":[{models}],\
             \"Sequence\":{sequence},\"born\":{born_ms}}}"
        )
    }

    /// Returns the held models and the loads in progress as JSON.
    fn lists(&self) -> (String, String) {
        let holdings = self.holdings.lock().expect("the holdings");
        let now = Instant::now();
        if holdings.model_ready.is_none_or(|ready| ready > now) {
            return (String::new(), String::new());
        }
        let adapters = holdings.adapters.iter();
        let (held, loading): (Vec<_>, Vec<_>) = adapters.partition(|(_, ready)| **ready <= now);
        let held: Vec<_> = held.iter().map(|(name, _)| format!("\"{name}@1\"")).collect();
        let loading: Vec<_> =
            loading.iter().map(|(name, _)| format!("\"base/{name}@1\"")).collect();
        let models =
            format!("{{\"Name\":\"base\",\"Version\":1,\"Adapters\":[{}]}}", held.join(","));
        (models, loading.join(","))
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if self.is_down.load(Ordering::SeqCst) {
                listener = None;
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            let open = listener.get_or_insert_with(|| {
                TcpListener::bind(self.address).expect("the port is still free")
            });
            open.set_nonblocking(true).expect("a listener");
            let Ok((stream, _)) = open.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            stream.set_nonblocking(false).expect("a connection");
            if let Ok(clone) = stream.try_clone() {
                self.connections.lock().expect("the connections").push(clone);
            }
            let worker = Arc::clone(&self);
            thread::spawn(move || worker.serve(stream));
        }
    }

    fn serve(self: Arc<Self>, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = http::read(&mut reader).ok()?;
            match request.target().1 {
                "/v1/order" => {
                    let status = self.receive_order(&request)?;
                    writer.write_all(response(status, "", "").as_bytes()).ok()?;
                }
                "/v1/report" => {
                    let (models, pending) = self.lists();
                    let body = format!(
                        "{{\"Phase\":\"colocated\",\"Models\":[{models}],\"Pending\":[{pending}],\
                         \"Busy\":false,\"Sequence\":{},\"Queued\":0,\"Active\":0}}",
                        self.sequence()
                    );
                    writer.write_all(response(200, "", &body).as_bytes()).ok()?;
                }
                _ => self.generate(&request, &mut writer)?,
            }
        }
    }

    /// Receives an order; `None` leaves it unanswered.
    fn receive_order(self: &Arc<Self>, request: &http::Message) -> Option<u16> {
        if request.header("Expected-Instance") != self.id {
            return Some(421);
        }
        let Some(body) = json::parse(&String::from_utf8_lossy(&request.body)) else {
            return Some(400);
        };
        if body.text("Holder").is_empty() || body.number("FencingToken").is_none() {
            return Some(400);
        }
        let order = Order {
            operation: body.text("Operation").to_owned(),
            adapter: body.text("Adapter").to_owned(),
            precondition: body.number("Precondition"),
        };
        let mut unanswered = self.unanswered.lock().expect("the orders");
        let is_load = order.operation == "load" && !order.adapter.is_empty();
        let position = unanswered.0.iter().position(|left| Some(*left) == order.precondition);
        if let Some(position) = position.filter(|_| is_load) {
            unanswered.0.swap_remove(position);
            let (worker, delay) = (Arc::clone(self), unanswered.1);
            self.record.line(&format!("order-unanswered {}", describe(&order)));
            thread::spawn(move || {
                thread::sleep(delay);
                let status = worker.carry_out(&order);
                worker.record.line(&format!("order-late {} status={status}", describe(&order)));
            });
            drop(unanswered);
            // The connection stays open without an answer.
            thread::sleep(Duration::from_secs(5));
            return None;
        }
        drop(unanswered);
        let status = self.carry_out(&order);
        self.record.line(&format!("order {} status={status}", describe(&order)));
        Some(status)
    }

    fn carry_out(&self, order: &Order) -> u16 {
        let mut holdings = self.holdings.lock().expect("the holdings");
        let now = Instant::now();
        let is_met = order.precondition.is_none_or(|expected| expected == holdings.sequence as f64);
        let has_model = holdings.model_ready.is_some_and(|ready| ready <= now);
        if order.adapter.is_empty() {
            if holdings.model_ready.is_some() && !has_model {
                return 202;
            }
            if !is_met {
                return 409;
            }
            if has_model {
                return 200;
            }
            holdings.model_ready = Some(now + MODEL_LOAD);
            holdings.sequence += 1;
            return 202;
        }
        if !has_model {
            return 400;
        }
        let held = holdings.adapters.get(&order.adapter).copied();
        if order.operation == "unload" {
            if held.is_none() {
                return 200;
            }
            if !is_met {
                return 409;
            }
            holdings.adapters.remove(&order.adapter);
            holdings.sequence += 1;
            return 200;
        }
        if held.is_some_and(|ready| ready > now) {
            return 202;
        }
        if !is_met {
            return 409;
        }
        if held.is_some() {
            return 200;
        }
        let in_transit = holdings.adapters.values().filter(|ready| **ready > now).count();
        if in_transit >= MAX_IN_TRANSIT {
            return 409;
        }
        holdings.adapters.insert(order.adapter.clone(), now + ADAPTER_LOAD);
        holdings.sequence += 1;
        let count = holdings.adapters.len();
        self.most_held.fetch_max(count as u64, Ordering::SeqCst);
        self.record.line(&format!("holds adapters={count} of={MAX_ADAPTERS}"));
        202
    }

    /// Answers a request for an adapter with a stream; the path states events and milliseconds between them.
    fn generate(&self, request: &http::Message, writer: &mut TcpStream) -> Option<()> {
        let id = request.header("Attempt-Id");
        let adapter = request.header("Model").split_once('/').map_or("", |(_, adapter)| adapter);
        let holds = self
            .holdings
            .lock()
            .expect("the holdings")
            .adapters
            .get(adapter)
            .is_some_and(|ready| *ready <= Instant::now());
        if request.header("Expected-Instance") != self.id || !holds {
            let headers = format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n");
            return writer.write_all(response(421, &headers, "").as_bytes()).ok();
        }
        let mut numbers =
            request.target().1.rsplit('/').map(|part| part.parse::<u64>().unwrap_or(1));
        let (pause_ms, events) = (numbers.next().unwrap_or(1), numbers.next().unwrap_or(1));
        self.record.line(&format!("run id={id} adapter={adapter}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: s.{id}\r\nKeep-Alive: timeout=5\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes()).ok()?;
        for event in 1..=events {
            let text = format!("id: {event}\ndata: {adapter}\n\n");
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()?;
            thread::sleep(Duration::from_millis(pause_ms));
        }
        writer.write_all(b"0\r\n\r\n").ok()
    }
}

fn describe(order: &Order) -> String {
    let Order { operation, adapter, precondition } = order;
    format!("operation={operation} adapter={adapter} precondition={}", precondition.unwrap_or(-1.0))
}

fn response(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
