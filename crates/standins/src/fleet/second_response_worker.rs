//! Stand-in for a worker that sends second responses to requests that it has answered.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;

use super::raw_request::RawRequest;

/// Time that the worker takes for a request.
const WORK_TIME: Duration = Duration::from_millis(40);
/// Status line and headers of a rejection.
const REJECTION: &str = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\
    Keep-Alive: timeout=5\r\nContent-Length: 0\r\n";

/// Second response to a request, sent when the connection has received the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SecondResponse {
    /// 503 that states that the earlier request was not executed, with its attempt ID.
    NotExecuted,
    /// The same without an attempt ID.
    NotExecutedWithoutId,
    /// The earlier request's response once more.
    Complete,
    /// The rejection once more; the worker rejects each request when it gets it for the first time.
    Rejection,
}

/// Stand-in for a worker of an app service whose connections carry second responses.
#[derive(Debug)]
pub struct SecondResponseWorker {
    kind: SecondResponse,
    executions: Mutex<IndexMap<String, usize>>,
    rejected: Mutex<IndexSet<String>>,
    second_responses: AtomicUsize,
}

impl SecondResponseWorker {
    /// Starts a worker and returns it together with its address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available or the thread cannot be spawned.
    pub fn start(kind: SecondResponse) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let worker = Arc::new(Self {
            kind,
            executions: Mutex::default(),
            rejected: Mutex::default(),
            second_responses: AtomicUsize::new(0),
        });
        let accepting = Arc::clone(&worker);
        thread::Builder::new().name("second-response-worker".to_owned()).spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let worker = Arc::clone(&accepting);
                thread::spawn(move || worker.serve(stream));
            }
        })?;
        Ok((worker, address))
    }

    /// Returns how many times the worker executed a request.
    pub fn executions(&self, attempt_id: &str) -> usize {
        self.executions.lock().get(attempt_id).copied().unwrap_or(0)
    }

    /// Returns the number of second responses that were sent.
    pub fn second_responses(&self) -> usize {
        self.second_responses.load(Ordering::Relaxed)
    }

    /// Serves the requests of one connection; an error means that the client has closed it.
    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut previous: Option<String> = None;
        loop {
            let attempt_id = RawRequest::read(&mut stream).ok()?.attempt_id;
            if let Some(previous) = previous.take() {
                self.second_responses.fetch_add(1, Ordering::Relaxed);
                stream.write_all(self.second_response(&previous).as_bytes()).ok()?;
            }
            let is_first = || self.rejected.lock().insert(attempt_id.clone());
            if self.kind == SecondResponse::Rejection && is_first() {
                stream.write_all(rejection(&attempt_id).as_bytes()).ok()?;
                previous = Some(attempt_id);
                continue;
            }
            *self.executions.lock().entry(attempt_id.clone()).or_default() += 1;
            thread::sleep(WORK_TIME);
            stream.write_all(complete_response(&attempt_id).as_bytes()).ok()?;
            previous = Some(attempt_id);
        }
    }

    fn second_response(&self, attempt_id: &str) -> String {
        match self.kind {
            SecondResponse::NotExecuted | SecondResponse::Rejection => rejection(attempt_id),
            SecondResponse::NotExecutedWithoutId => format!("{REJECTION}\r\n"),
            SecondResponse::Complete => complete_response(attempt_id),
        }
    }
}

fn rejection(attempt_id: &str) -> String {
    format!("{REJECTION}Attempt-Id: {attempt_id}\r\n\r\n")
}

fn complete_response(attempt_id: &str) -> String {
    let body = format!("done {attempt_id}");
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt_id}\r\nServer-Signature: s1.g2\r\n\
         Keep-Alive: timeout=5\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
