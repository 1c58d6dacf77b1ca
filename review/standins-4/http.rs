//! HTTP/1.1 servers with one thread for each connection, and requests of clients.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request, or the head of a response with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
    /// Whether the body was complete.
    pub is_complete: bool,
}

impl Message {
    /// Returns the value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a decoded parameter of the query of a request, or an empty text.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.into_iter().find(|(key, _)| *key == name).map_or("", |(_, value)| value);
        let mut text = Vec::new();
        let bytes = value.as_bytes();
        let mut at = 0;
        while at < bytes.len() {
            let escaped = (bytes[at] == b'%').then(|| value.get(at + 1..at + 3)).flatten();
            match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
                Some(byte) => {
                    text.push(byte);
                    at += 3;
                }
                None => {
                    text.push(bytes[at]);
                    at += 1;
                }
            }
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// Answer of a handler.
pub struct Answer {
    /// Status of the response.
    pub status: u16,
    /// Headers besides the length.
    pub headers: Vec<(String, String)>,
    /// The body, in the parts and at the pauses at which it is sent.
    pub parts: Vec<(Duration, String)>,
    /// Whether the body is sent in chunks.
    pub is_chunked: bool,
}

impl Answer {
    /// Creates an answer with a body of one part.
    pub fn new(status: u16, body: &str) -> Self {
        let parts = vec![(Duration::ZERO, body.to_owned())];
        Self { status, headers: Vec::new(), parts, is_chunked: false }
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// Answers requests; `None` closes the connection without an answer.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: &Message) -> Option<Answer>;

    /// Records that the answer to a request was sent, or that the client has left.
    fn finish(&self, _request: &Message, _is_sent: bool) {}
}

/// Starts a server on a free port of an address and returns its address.
pub fn serve<Service>(service: Arc<Service>, ip: &str) -> io::Result<SocketAddr>
where
    Service: Handler,
{
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let service = Arc::clone(&service);
            // The client may close the connection at any time.
            thread::spawn(move || serve_connection(&*service, stream).unwrap_or(()));
        }
    });
    Ok(address)
}

fn serve_connection<Service>(service: &Service, mut stream: TcpStream) -> io::Result<()>
where
    Service: Handler,
{
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let request = read(&mut reader, false)?;
        let Some(answer) = service.handle(&request) else { return Ok(()) };
        let sent = write_answer(&mut stream, &answer);
        service.finish(&request, sent.is_ok());
        sent?;
    }
}

fn write_answer(stream: &mut TcpStream, answer: &Answer) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {} X\r\n", answer.status);
    for (name, value) in &answer.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if answer.is_chunked {
        head.push_str("Transfer-Encoding: chunked\r\n\r\n");
    } else {
        let length: usize = answer.parts.iter().map(|(_, part)| part.len()).sum();
        head.push_str(&format!("Content-Length: {length}\r\n\r\n"));
    }
    stream.write_all(head.as_bytes())?;
    for (pause, part) in &answer.parts {
        thread::sleep(*pause);
        if answer.is_chunked {
            stream.write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes())?;
        } else {
            stream.write_all(part.as_bytes())?;
        }
    }
    if answer.is_chunked {
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// Sends a request on a connection of its own and reads the response.
pub fn call(address: SocketAddr, request: &str, timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request.as_bytes())?;
    read(&mut BufReader::new(stream), true)
}

fn read(reader: &mut BufReader<TcpStream>, is_response: bool) -> io::Result<Message> {
    let mut message = Message { is_complete: true, ..Message::default() };
    message.start = read_line(reader)?;
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            let Ok(size) = read_line(reader) else {
                message.is_complete = false;
                return Ok(message);
            };
            let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                message.is_complete = false;
                return Ok(message);
            }
            if size == 0 {
                return Ok(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").parse::<usize>().ok();
    if length.is_none() && is_response {
        message.is_complete = reader.read_to_end(&mut message.body).is_ok();
        return Ok(message);
    }
    message.body = vec![0; length.unwrap_or(0)];
    message.is_complete = reader.read_exact(&mut message.body).is_ok();
    Ok(message)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}
