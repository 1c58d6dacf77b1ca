//! Stand-in for a worker: an application server, or a model engine. One process each.
//!
//! It prints a line for each event, which the harness records.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::Json;

/// Line that says that the worker has its model.
pub const MODEL_LOADED: &str = "has its model";
/// Time in which a model comes from the worker's own disk or memory.
const MODEL_LOAD: Duration = Duration::from_millis(800);
const ADAPTER_LOAD: Duration = Duration::from_millis(250);
const FIRST_EVENT: Duration = Duration::from_millis(80);
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
const EVENTS: u32 = 12;
/// `MaxAdapters` of the service.
const MAX_ADAPTERS: usize = 18;
/// Share of the orders that get no answer while they are to be carried out late, in percent.
const LATE_PERCENT: u64 = 35;
/// An order without an answer is carried out after 2 to 12 seconds.
const LATE_FROM_MS: u64 = 2_000;
const LATE_RANGE_MS: u64 = 10_000;
const EVENT_TEXT: &str = "................................";

pub struct Settings {
    pub address: String,
    pub id: String,
    /// Name of the model of an engine; empty for an application server.
    pub model: String,
    pub has_model: bool,
    pub work: Duration,
    /// One in so many answers gets an additional one; 0 for none.
    pub extra_every: u32,
    /// Part of a prompt on which the worker crashes as it begins its answer.
    pub deadly_part: String,
}

struct State {
    settings: Settings,
    model_ready: Mutex<Option<Instant>>,
    adapters: Mutex<BTreeMap<String, Instant>>,
    answers: Mutex<u32>,
    sequence: Mutex<u64>,
    /// Time until which a share of the orders gets no answer.
    late_until: Mutex<Option<Instant>>,
    /// Time until which second answers are sent.
    extra_until: Mutex<Option<Instant>>,
    random: Mutex<u64>,
}

impl State {
    /// Returns a number below `range`; the sequence depends on the worker's name only.
    fn random(&self, range: u64) -> u64 {
        let mut state = self.random.lock().unwrap();
        *state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (*state >> 33) % range
    }
}

pub fn run(settings: Settings) {
    let listener = TcpListener::bind(&settings.address).expect("a free port");
    say(&format!("listening {}", listener.local_addr().expect("an address")));
    let ready = settings.has_model.then(Instant::now);
    let seed = settings.id.bytes().fold(1, |seed: u64, byte| seed * 31 + u64::from(byte));
    let state = Arc::new(State {
        settings,
        model_ready: Mutex::new(ready),
        adapters: Mutex::default(),
        answers: Mutex::new(0),
        sequence: Mutex::new(0),
        late_until: Mutex::new(None),
        extra_until: Mutex::new(None),
        random: Mutex::new(seed),
    });
    let shared = Arc::clone(&state);
    thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            let Some((kind, for_ms)) = line.split_once(' ') else { continue };
            let until = Instant::now() + Duration::from_millis(for_ms.parse().unwrap_or(0));
            let limit = if kind == "late" { &shared.late_until } else { &shared.extra_until };
            *limit.lock().unwrap() = Some(until);
        }
    });
    for stream in listener.incoming().flatten() {
        let state = Arc::clone(&state);
        thread::spawn(move || serve(&state, Connection::new(stream)));
    }
}

fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

fn serve(state: &Arc<State>, mut connection: Connection) {
    // Request whose second answer is still to come on this connection.
    let mut doubled: Option<String> = None;
    while let Ok(Some(request)) = connection.read(false) {
        let (method, path, _) = request.target();
        let (method, path) = (method.to_owned(), path.to_owned());
        let expected = request.header("Expected-Instance");
        if expected.is_some_and(|id| id != state.settings.id) {
            let id = &state.settings.id;
            let answer =
                format!("HTTP/1.1 421 X\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            if connection.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let is_open = match (method.as_str(), path.as_str()) {
            ("GET", "/v1/report") => write(&mut connection, 200, "", &report(state)),
            ("POST", "/v1/order") => order(state, &mut connection, &request),
            ("GET", "/healthz") => {
                let id = format!("Instance-Id: {}\r\n", state.settings.id);
                write(&mut connection, 200, &id, "")
            }
            _ => client_request(state, &mut connection, &request, &mut doubled),
        };
        if !is_open {
            return;
        }
    }
}

fn write(connection: &mut Connection, status: u16, headers: &str, body: &str) -> bool {
    let length = body.len();
    let answer = format!(
        "HTTP/1.1 {status} X\r\n{headers}Keep-Alive: timeout=5\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    connection.stream.write_all(answer.as_bytes()).is_ok()
}

fn is_model_ready(state: &State) -> bool {
    state.model_ready.lock().unwrap().is_some_and(|ready| ready <= Instant::now())
}

fn report(state: &State) -> String {
    let now = Instant::now();
    let adapters = state.adapters.lock().unwrap();
    let list = |is_ready: bool, prefix: &str| {
        let chosen = adapters.iter().filter(|(_, ready)| (**ready <= now) == is_ready);
        let names: Vec<_> = chosen.map(|(name, _)| format!("\"{prefix}{name}@1\"")).collect();
        names.join(",")
    };
    let model = &state.settings.model;
    let models = match is_model_ready(state) {
        true => format!("{{\"Name\":\"{model}\",\"Version\":1,\"Adapters\":[{}]}}", list(true, "")),
        false => String::new(),
    };
    format!(
        "{{\"Phase\":\"colocated\",\"Models\":[{models}],\"Pending\":[{}],\"Busy\":false,\"Sequence\":{},\"Queued\":0,\"Active\":0,\"KvInUse\":0,\"KvCapacityTotal\":150000,\"Handles\":0}}",
        list(false, &format!("{model}/")),
        state.sequence.lock().unwrap()
    )
}

fn order(state: &Arc<State>, connection: &mut Connection, request: &Message) -> bool {
    let order = Json::parse(&request.body).unwrap_or(Json::Null);
    let text = |field: &str| order.get(field).text().to_owned();
    let (operation, adapter, holder) = (text("Operation"), text("Adapter"), text("Holder"));
    let token = order.get("FencingToken").number().unwrap_or(0.0);
    say(&format!("order {operation} {adapter} holder={holder} token={token}"));
    let late_until = *state.late_until.lock().unwrap();
    let is_late = late_until.is_some_and(|until| Instant::now() < until)
        && !adapter.is_empty()
        && state.random(100) < LATE_PERCENT;
    if is_late {
        let delay_ms = LATE_FROM_MS + state.random(LATE_RANGE_MS);
        say(&format!(
            "leaves unanswered {operation} {adapter} holder={holder} delay_ms={delay_ms}"
        ));
        let state = Arc::clone(state);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(delay_ms));
            say(&format!("carries out late {operation} {adapter} holder={holder}"));
            carry_out(&state, &operation, &adapter);
        });
        return true;
    }
    let status = carry_out(state, &operation, &adapter);
    write(connection, status, "", "")
}

/// Carries out an order and returns its status.
fn carry_out(state: &State, operation: &str, adapter: &str) -> u16 {
    *state.sequence.lock().unwrap() += 1;
    let now = Instant::now();
    if operation == "unload" {
        state.adapters.lock().unwrap().remove(adapter);
        return 200;
    }
    if adapter.is_empty() {
        let mut ready = state.model_ready.lock().unwrap();
        let ready = ready.get_or_insert_with(|| {
            thread::spawn(|| {
                thread::sleep(MODEL_LOAD);
                say(MODEL_LOADED);
            });
            now + MODEL_LOAD
        });
        return if *ready <= now { 200 } else { 202 };
    }
    if !is_model_ready(state) {
        return 421;
    }
    let mut adapters = state.adapters.lock().unwrap();
    let ready = *adapters.entry(adapter.to_owned()).or_insert(now + ADAPTER_LOAD);
    check_room(&adapters);
    if ready <= now { 200 } else { 202 }
}

/// A worker that is ordered to load more than it holds crashes.
fn check_room(adapters: &MutexGuard<'_, BTreeMap<String, Instant>>) {
    if adapters.len() > MAX_ADAPTERS {
        say(&format!("overfilled adapters={}", adapters.len()));
        std::process::exit(134);
    }
}

fn client_request(
    state: &State,
    connection: &mut Connection,
    request: &Message,
    doubled: &mut Option<String>,
) -> bool {
    let settings = &state.settings;
    let id = request.header("Attempt-Id").unwrap_or("").to_owned();
    say(&format!("reached id={id}"));
    if !settings.model.is_empty() {
        return generate(state, connection, request, &id);
    }
    say(&format!("run id={id}"));
    if let Some(previous) = doubled.take() {
        // A second answer to the request before, at the point where the next one is expected.
        say(&format!("extra id={previous} before=id={id}"));
        let extra = format!(
            "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {previous}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
        let _ = connection.stream.write_all(extra.as_bytes());
    }
    thread::sleep(settings.work);
    say(&format!("ended id={id}"));
    let extra_until = *state.extra_until.lock().unwrap();
    if settings.extra_every > 0 && extra_until.is_some_and(|until| Instant::now() < until) {
        let mut answers = state.answers.lock().unwrap();
        *answers += 1;
        if (*answers).is_multiple_of(settings.extra_every) {
            *doubled = Some(id.clone());
        }
    }
    let headers = format!("Attempt-Id: {id}\r\nServer-Signature: s.{}.{id}\r\n", settings.id);
    write(connection, 200, &headers, &format!("confirmed {id} by {}\n", settings.id))
}

fn generate(state: &State, connection: &mut Connection, request: &Message, id: &str) -> bool {
    let settings = &state.settings;
    let model = request.header("Model").unwrap_or("");
    let adapter = model.split_once('/').map(|(_, adapter)| adapter);
    let is_loaded = adapter.is_none_or(|adapter| {
        let adapters = state.adapters.lock().unwrap();
        adapters.get(adapter).is_some_and(|ready| *ready <= Instant::now())
    });
    if !is_model_ready(state) || !is_loaded {
        return write(connection, 421, &format!("Instance-Id: {}\r\n", settings.id), "");
    }
    let prefix = request.header("Prompt-Prefix").unwrap_or("");
    let shared = prefix.rsplit_once(',').map_or("", |(shared, _)| shared);
    let is_deadly = !settings.deadly_part.is_empty()
        && shared.split(',').any(|part| part.split(':').next() == Some(&settings.deadly_part));
    say(&format!("run id={id} deadly={is_deadly}"));
    thread::sleep(FIRST_EVENT);
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: s.{}.{id}\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        settings.id
    );
    if connection.stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    if is_deadly {
        say(&format!("crash id={id}"));
        std::process::exit(134);
    }
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: {EVENT_TEXT}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if connection.stream.write_all(chunk.as_bytes()).is_err() {
            say(&format!("left id={id}"));
            return false;
        }
        thread::sleep(EVENT_INTERVAL);
    }
    say(&format!("ended id={id}"));
    connection.stream.write_all(b"0\r\n\r\n").is_ok()
}
