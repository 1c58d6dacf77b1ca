//! Stand-in for an engine that sends second responses to orders that it has answered.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde_json::{Value, json};

use super::raw_request::RawRequest;

/// Time to load an adapter.
const LOAD_TIME: Duration = Duration::from_millis(100);

/// Stand-in for an engine that repeats its response to an order when the next call arrives on the
/// connection.
#[derive(Debug, Default)]
pub struct SecondResponseEngine {
    /// Adapters with the time at which their load ends.
    adapters: Mutex<IndexMap<String, Instant>>,
    sequence: Mutex<u64>,
    second_responses: AtomicUsize,
    missing_adapters: AtomicUsize,
}

impl SecondResponseEngine {
    /// Starts an engine and returns it together with its address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available or the thread cannot be spawned.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let engine = Arc::new(Self::default());
        let accepting = Arc::clone(&engine);
        thread::Builder::new().name("second-response-engine".to_owned()).spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let engine = Arc::clone(&accepting);
                thread::spawn(move || engine.serve(stream));
            }
        })?;
        Ok((engine, address))
    }

    /// Returns the number of second responses that were sent.
    pub fn second_responses(&self) -> usize {
        self.second_responses.load(Ordering::Relaxed)
    }

    /// Returns the number of requests whose adapter was not loaded.
    pub fn missing_adapters(&self) -> usize {
        self.missing_adapters.load(Ordering::Relaxed)
    }

    /// Serves the calls of one connection; `None` means that the client has closed it.
    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut previous_order: Option<String> = None;
        loop {
            let request = RawRequest::read(&mut stream).ok()?;
            if let Some(previous) = previous_order.take() {
                self.second_responses.fetch_add(1, Ordering::Relaxed);
                stream.write_all(previous.as_bytes()).ok()?;
            }
            let response = match request.path.as_str() {
                "/v1/order" => {
                    let response = self.order(&request.body);
                    previous_order = Some(response.clone());
                    response
                }
                "/v1/report" => {
                    let body = self.report().to_string();
                    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
                }
                _ => self.generate(&request),
            };
            stream.write_all(response.as_bytes()).ok()?;
        }
    }

    fn order(&self, body: &[u8]) -> String {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let adapter = order["Adapter"].as_str().unwrap_or_default().to_owned();
        let mut sequence = self.sequence.lock();
        let is_expected =
            order["Precondition"].as_u64().is_none_or(|expected| expected == *sequence);
        let mut adapters = self.adapters.lock();
        let now = Instant::now();
        let status = match (order["Operation"].as_str(), adapters.get(&adapter)) {
            (Some("load"), Some(ready)) if *ready > now => 202,
            _ if !is_expected => 409,
            (Some("unload"), _) => {
                *sequence += u64::from(adapters.swap_remove(&adapter).is_some());
                200
            }
            (_, Some(_)) => 200,
            // The base model is held from the start.
            _ if adapter.is_empty() => 200,
            _ => {
                *sequence += 1;
                adapters.insert(adapter, now + LOAD_TIME);
                202
            }
        };
        format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n")
    }

    fn report(&self) -> Value {
        let adapters = self.adapters.lock();
        let adapters: Vec<_> = adapters.keys().map(|name| format!("{name}@1")).collect();
        json!({
            "Phase": "colocated", "Busy": false, "Sequence": *self.sequence.lock(), "Pending": [],
            "Models": [{"Name": "base", "Version": 1, "Adapters": adapters}],
        })
    }

    fn generate(&self, request: &RawRequest) -> String {
        let identity = format!("Attempt-Id: {}\r\n", request.attempt_id);
        let adapter = request.model.split_once('/').map_or("", |(_, adapter)| adapter);
        let adapters = self.adapters.lock();
        if adapters.get(adapter).is_none_or(|ready| *ready > Instant::now()) {
            self.missing_adapters.fetch_add(1, Ordering::Relaxed);
            return format!(
                "HTTP/1.1 421 X\r\n{identity}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let body = format!("id: 1\ndata: {adapter}\n\n");
        let length = body.len();
        format!(
            "HTTP/1.1 200 OK\r\n{identity}Server-Signature: s1.g2\r\nWeight-Versions: 1\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        )
    }
}
