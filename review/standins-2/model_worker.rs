//! Stand-in for a model worker that answers requests for its base model and may crash.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::json;
use crate::record::Record;
use crate::store::Store;

/// Service of the workers.
const SERVICE: &str = "llm";
/// Part of a prompt on which the workers crash.
pub const DEADLY_PART: &str = "dead01";
/// Orders that the worker has accepted, as the page's example.
const SEQUENCE: u64 = 2;
const BORN_MS: u64 = 1_796_580_000_000;
const FIRST_EVENT: Duration = Duration::from_millis(150);
const EVENT_PAUSE: Duration = Duration::from_millis(60);
const EVENTS: u32 = 20;

/// How a worker ends its answers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// With the last chunk.
    Chunked,
    /// With the connection; there are neither a length nor chunks.
    UntilClose,
}

/// Stand-in for a model worker.
pub struct ModelWorker {
    /// Name of the worker, which it keeps over restarts.
    pub id: String,
    zone: String,
    framing: Framing,
    address: SocketAddr,
    record: Arc<Record>,
    store: Arc<Store>,
    starts: AtomicU64,
    is_down: AtomicBool,
    /// Open connections by the port of the peer.
    connections: Mutex<BTreeMap<u16, TcpStream>>,
}

impl ModelWorker {
    /// Starts a worker and registers it.
    pub fn start(
        id: &str,
        zone: &str,
        framing: Framing,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            framing,
            address: listener.local_addr().expect("an address"),
            record: Arc::clone(record),
            store: Arc::clone(store),
            starts: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        worker.register();
        let accepting = Arc::clone(&worker);
        thread::spawn(move || accepting.accept(listener));
        worker
    }

    /// Crashes the worker, which starts again under its name after a time.
    ///
    /// Returns whether it was up.
    pub fn crash(self: &Arc<Self>, reason: &str, down_for: Duration) -> bool {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return false;
        }
        self.record.line(&format!("crash worker={} reason={reason}", self.id));
        for connection in self.connections.lock().expect("the connections").values() {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let worker = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(down_for);
            worker.starts.fetch_add(1, Ordering::SeqCst);
            worker.is_down.store(false, Ordering::SeqCst);
            worker.register();
        });
        true
    }

    fn register(&self) {
        let born_ms = BORN_MS + self.starts.load(Ordering::SeqCst) * 60_000;
        let entry = format!(
            "{{\"Service\":\"{SERVICE}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":128,\
             \"State\":\"ready\",\"ColdLeftMs\":0,\"Phase\":\"colocated\",\
             \"Models\":[{{\"Name\":\"base\",\"Version\":1,\"Adapters\":[]}}],\"Sequence\":{SEQUENCE},\
             \"born\":{born_ms}}}",
            self.address, self.zone
        );
        self.store.put("servers", &self.id, &entry);
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
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).expect("a connection");
            let (Ok(peer), Ok(clone)) = (stream.peer_addr(), stream.try_clone()) else { continue };
            self.connections.lock().expect("the connections").insert(peer.port(), clone);
            let worker = Arc::clone(&self);
            thread::spawn(move || {
                worker.serve(stream);
                // The last handle closes the connection.
                worker.connections.lock().expect("the connections").remove(&peer.port());
            });
        }
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = http::read(&mut reader).ok()?;
            match request.target().1 {
                "/v1/order" => {
                    let body = json::parse(&String::from_utf8_lossy(&request.body));
                    let expected = body.and_then(|body| body.number("Precondition"));
                    // The worker holds its model, so an order to load it holds already.
                    let is_met = expected.is_none_or(|expected| expected == SEQUENCE as f64);
                    let status = if is_met { 200 } else { 409 };
                    writer.write_all(respond(status, "", "").as_bytes()).ok()?;
                }
                "/v1/report" => {
                    let body = format!(
                        "{{\"Phase\":\"colocated\",\"Models\":[{{\"Name\":\"base\",\"Version\":1,\
                         \"Adapters\":[]}}],\"Pending\":[],\"Busy\":false,\"Sequence\":{SEQUENCE}}}"
                    );
                    writer.write_all(respond(200, "", &body).as_bytes()).ok()?;
                }
                _ => self.generate(&request, &mut writer)?,
            }
        }
    }

    fn generate(self: &Arc<Self>, request: &http::Message, writer: &mut TcpStream) -> Option<()> {
        let id = request.header("Attempt-Id");
        if request.header("Expected-Instance") != self.id {
            let headers = format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n");
            return writer.write_all(respond(421, &headers, "").as_bytes()).ok();
        }
        let is_deadly = request.header("Prompt-Prefix").contains(DEADLY_PART);
        if is_deadly {
            self.record.line(&format!("deadly-arrives worker={} id={id}", self.id));
        }
        thread::sleep(FIRST_EVENT);
        let is_chunked = self.framing == Framing::Chunked;
        let framing = if is_chunked { "Transfer-Encoding: chunked\r\n" } else { "" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: s.{id}\r\nKeep-Alive: timeout=5\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n"
        );
        writer.write_all(head.as_bytes()).ok()?;
        for event in 1..=EVENTS {
            let text = format!("id: {event}\ndata: {id}\n\n");
            let text = if is_chunked { format!("{:x}\r\n{text}\r\n", text.len()) } else { text };
            writer.write_all(text.as_bytes()).ok()?;
            if is_deadly {
                // The worker has begun to write the answer.
                self.crash("deadly", Duration::from_millis(2_000));
                return None;
            }
            thread::sleep(EVENT_PAUSE);
        }
        if !is_chunked {
            return None;
        }
        writer.write_all(b"0\r\n\r\n").ok()
    }
}

fn respond(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
