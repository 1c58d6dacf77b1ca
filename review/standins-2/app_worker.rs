//! Stand-in for a worker of an app service.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::random::Random;
use crate::record::Record;

/// Requests that the worker runs at once.
pub const SLOTS: usize = 6;
/// Requests that it queues beyond its slots.
const QUEUE: usize = 24;
const WORK: Duration = Duration::from_millis(60);

/// Stand-in for a worker of an app service, which may reject a share of its requests while its health is good
/// and send second copies of a share of its answers.
pub struct AppWorker {
    /// Name of the worker.
    pub id: String,
    /// Address of the worker.
    pub address: SocketAddr,
    record: Arc<Record>,
    /// Share of the requests that are rejected, in thousandths.
    pub rejected_share: AtomicUsize,
    /// Share of the answers that are sent a second time, in thousandths.
    pub repeated_share: AtomicUsize,
    active: AtomicUsize,
    runs: Mutex<BTreeMap<String, usize>>,
    /// Second copies that were sent.
    pub second_copies: AtomicUsize,
}

impl AppWorker {
    /// Starts a worker on a free port.
    pub fn start(id: &str, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            record: Arc::clone(record),
            rejected_share: AtomicUsize::new(0),
            repeated_share: AtomicUsize::new(0),
            active: AtomicUsize::new(0),
            runs: Mutex::default(),
            second_copies: AtomicUsize::new(0),
        });
        let accepting = Arc::clone(&worker);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = Arc::clone(&accepting);
                thread::spawn(move || worker.serve(stream));
            }
        });
        worker
    }

    /// Returns the entry of the worker in the store.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        let address = self.address;
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Slots\":{SLOTS},\"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":1,\"born\":1796580000000}}"
        )
    }

    /// Returns how often each request has run.
    pub fn runs(&self) -> BTreeMap<String, usize> {
        self.runs.lock().expect("the runs").clone()
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        let mut random = Random::new(u64::from(writer.peer_addr().ok()?.port()));
        // Second copy of the last answer, which arrives where the next answer is expected.
        let mut second_copy: Option<String> = None;
        loop {
            let request = http::read(&mut reader).ok()?;
            if let Some(copy) = second_copy.take() {
                self.second_copies.fetch_add(1, Ordering::Relaxed);
                let id = request.header("Attempt-Id");
                self.record.line(&format!("second-copy worker={} next={id}", self.id));
                writer.write_all(copy.as_bytes()).ok()?;
            }
            let response = self.answer(&request, &mut random);
            writer.write_all(response.as_bytes()).ok()?;
            if random.below(1_000) < self.repeated_share.load(Ordering::Relaxed) {
                second_copy = Some(response);
            }
        }
    }

    fn answer(&self, request: &http::Message, random: &mut Random) -> String {
        let id = request.header("Attempt-Id");
        let worker = &self.id;
        if request.header("Expected-Instance") != worker {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nInstance-Id: {worker}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
        }
        let is_rejected = random.below(1_000) < self.rejected_share.load(Ordering::Relaxed)
            || self.active.load(Ordering::Relaxed) >= SLOTS + QUEUE;
        if is_rejected {
            self.record.line(&format!("reject worker={worker} id={id}"));
            return format!(
                "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\
                 Keep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let queued = self.active.fetch_add(1, Ordering::Relaxed) / SLOTS;
        *self.runs.lock().expect("the runs").entry(id.to_owned()).or_default() += 1;
        self.record.line(&format!("run worker={worker} id={id}"));
        thread::sleep(WORK * (1 + queued as u32));
        self.active.fetch_sub(1, Ordering::Relaxed);
        let body = format!("done {id}");
        let length = body.len();
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: s.{worker}.{id}\r\n\
             Keep-Alive: timeout=5\r\nContent-Length: {length}\r\n\r\n{body}"
        )
    }
}

/// Switches a trouble on and off until the end of the run: `on` for `on_s`, then off for `off_s`.
pub fn alternate<Switch>(is_over: &AtomicBool, on_s: f64, off_s: f64, mut switch: Switch)
where
    Switch: FnMut(bool),
{
    let mut is_on = false;
    while !is_over.load(Ordering::Relaxed) {
        is_on = !is_on;
        switch(is_on);
        let mut left_ms = (if is_on { on_s } else { off_s } * 1_000.0) as u64;
        while left_ms > 0 && !is_over.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(50));
            left_ms = left_ms.saturating_sub(50);
        }
    }
    switch(false);
}
