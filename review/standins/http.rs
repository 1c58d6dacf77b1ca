//! Plain blocking HTTP/1.1, for servers and clients of the cases.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message whose body has been read, or what there was of it.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Method, path and query of a request.
    pub fn target(&self) -> (&str, &str, &str) {
        let mut words = self.first_line.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        (method, path, query)
    }
}

/// A connection with the bytes that were read too far.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a message; `None` if the connection ends before its first byte.
    pub fn read(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
        let mut message = Message { first_line, headers: headers.collect(), ..Message::default() };
        let chunked = message.header("transfer-encoding").is_some_and(|value| value == "chunked");
        let length: Option<usize> =
            message.header("content-length").and_then(|value| value.parse().ok());
        if chunked {
            self.read_chunks(&mut message)?;
        } else if length.is_some() || !is_response {
            let length = length.unwrap_or(0);
            while self.buffer.len() < length {
                if self.fill()? == 0 {
                    message.body = std::mem::take(&mut self.buffer);
                    return Ok(Some(message));
                }
            }
            message.body = self.buffer.drain(..length).collect();
            message.is_complete = true;
        } else {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.buffer);
            message.is_complete = true;
        }
        Ok(Some(message))
    }

    fn read_chunks(&mut self, message: &mut Message) -> io::Result<()> {
        loop {
            let end = loop {
                if let Some(end) = find(&self.buffer, b"\r\n") {
                    break end;
                }
                if self.fill()? == 0 {
                    return Ok(());
                }
            };
            let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let line = String::from_utf8_lossy(&line).into_owned();
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            while self.buffer.len() < size + 2 {
                if self.fill()? == 0 {
                    return Ok(());
                }
            }
            message.body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                message.is_complete = true;
                return Ok(());
            }
        }
    }

    /// Sends a request and reads its answer.
    pub fn exchange(&mut self, request: &[u8], limit: Duration) -> io::Result<Option<Message>> {
        self.stream.set_read_timeout(Some(limit))?;
        self.stream.write_all(request)?;
        self.read(true)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// Returns the status of a GET request, if there is an answer.
pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let mut connection = Connection::open(address).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let answer = connection.exchange(request.as_bytes(), Duration::from_secs(1)).ok()??;
    Some(answer.status())
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait_until<Condition>(limit: Duration, mut condition: Condition) -> bool
where
    Condition: FnMut() -> bool,
{
    let started = Instant::now();
    while started.elapsed() < limit {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
