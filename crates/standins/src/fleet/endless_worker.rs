//! Stand-in for a worker in trouble, which sends bytes without end until the client closes.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Pause between two bytes of a trickle.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes of one write of a flood.
const FLOOD_CHUNK_BYTES: usize = 16 * 1024;
/// Bytes after which a worker stops, so that a test against a client that never closes ends.
const MAX_SENT_BYTES: usize = 512 * 1024 * 1024;

/// Report of an engine whose streams have endless events; its reports are sound.
const REPORT: &str = r#"{"Phase":"colocated","Pending":[],
    "Models":[{"Name":"base","Version":1,"Adapters":["a1@1"]}]}"#;

/// What a worker sends without end in response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessBytes {
    /// Bytes that are no HTTP.
    Garbage,
    /// Header lines.
    Head,
    /// One header line.
    HeaderLine,
    /// Interim responses.
    Interim,
    /// Chunks of a body.
    Chunks,
    /// Bytes after the length of a complete body.
    PastLength,
    /// One event of a stream.
    Event,
    /// One byte of a header line at a time.
    TrickledHead,
}

impl EndlessBytes {
    /// Every kind of endless bytes.
    pub const ALL: [Self; 8] = [
        Self::Garbage,
        Self::Head,
        Self::HeaderLine,
        Self::Interim,
        Self::Chunks,
        Self::PastLength,
        Self::Event,
        Self::TrickledHead,
    ];

    /// Returns what is sent once and what is repeated without end.
    fn parts(self, attempt_id: &str) -> (String, String) {
        let identity = format!("Attempt-Id: {attempt_id}\r\nServer-Signature: s1.g2\r\n");
        let chunk = |data: &str| format!("{:x}\r\n{data}\r\n", data.len());
        let chunked = format!("HTTP/1.1 200 OK\r\n{identity}Transfer-Encoding: chunked\r\n\r\n");
        match self {
            Self::Garbage => (String::new(), "\u{1}x".repeat(500)),
            Self::Head => ("HTTP/1.1 200 OK\r\n".to_owned(), "X-More: more\r\n".to_owned()),
            Self::HeaderLine | Self::TrickledHead => {
                ("HTTP/1.1 200 OK\r\nX-Long: ".to_owned(), "x".to_owned())
            }
            Self::Interim => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".to_owned()),
            Self::Chunks => (chunked, chunk(&"x".repeat(1_000))),
            Self::Event => (chunked + &chunk("id: 1\ndata: "), chunk(&"x".repeat(1_000))),
            Self::PastLength => {
                let head = format!("HTTP/1.1 200 OK\r\n{identity}Content-Length: 2\r\n\r\nok");
                (head, "x".repeat(1_000))
            }
        }
    }
}

/// Stand-in for a worker that answers every request with endless bytes.
#[derive(Debug)]
pub struct EndlessWorker {
    kind: EndlessBytes,
    open: AtomicUsize,
    requests: AtomicUsize,
}

impl EndlessWorker {
    /// Starts a worker and returns it together with its address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available or the thread cannot be spawned.
    pub fn start(kind: EndlessBytes) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let worker = Self { kind, open: AtomicUsize::new(0), requests: AtomicUsize::new(0) };
        let worker = Arc::new(worker);
        let accepting = Arc::clone(&worker);
        thread::Builder::new().name("endless-worker".to_owned()).spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let worker = Arc::clone(&accepting);
                thread::spawn(move || worker.serve(stream));
            }
        })?;
        Ok((worker, address))
    }

    /// Returns the number of connections on which bytes are being sent.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that were received.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok((path, attempt_id)) = read_head(&mut stream) else { return };
        if self.kind == EndlessBytes::Event && path == "/v1/report" {
            let length = REPORT.len();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            // The client asks again if the connection is broken.
            let _ = stream.write_all((head + REPORT).as_bytes());
            return;
        }
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.open.fetch_add(1, Ordering::Relaxed);
        // An error means that the client has closed the connection, which ends the bytes.
        let _ = self.send_endlessly(&mut stream, &attempt_id);
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    fn send_endlessly(&self, stream: &mut TcpStream, attempt_id: &str) -> io::Result<()> {
        let (first, repeated) = self.kind.parts(attempt_id);
        stream.write_all(first.as_bytes())?;
        if self.kind == EndlessBytes::TrickledHead {
            loop {
                stream.write_all(repeated.as_bytes())?;
                thread::sleep(TRICKLE_INTERVAL);
            }
        }
        let block = repeated.repeat(FLOOD_CHUNK_BYTES / repeated.len() + 1);
        for _ in 0..MAX_SENT_BYTES / block.len() {
            stream.write_all(block.as_bytes())?;
        }
        Ok(())
    }
}

/// Reads the head of a request and returns its path and attempt ID.
fn read_head(stream: &mut TcpStream) -> io::Result<(String, String)> {
    let mut head = Vec::new();
    let mut buffer = [0; 1024];
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        match stream.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            length => head.extend_from_slice(&buffer[..length]),
        }
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let path = head.split_whitespace().nth(1).unwrap_or_default().to_owned();
    let id = head.lines().find_map(|line| line.strip_prefix("attempt-id:"));
    Ok((path, id.unwrap_or_default().trim().to_owned()))
}
