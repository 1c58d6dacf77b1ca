//! Minimal HTTP/1.1 messages.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| unescape(value)).next()
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
}

fn unescape(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut text = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| value.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                text.push(byte);
                at += 3;
            }
            None => {
                text.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// Reads the first line and the headers, with names in lower case.
pub fn read_head<Source>(source: &mut Source) -> io::Result<Option<(String, Vec<(String, String)>)>>
where
    Source: BufRead,
{
    let mut first = String::new();
    if source.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if source.read_line(&mut line)? == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

pub fn read_request<Source>(source: &mut Source) -> io::Result<Option<Request>>
where
    Source: BufRead,
{
    let Some((first, headers)) = read_head(source)? else { return Ok(None) };
    let mut words = first.split(' ');
    let target = words.nth(1).unwrap_or("").to_owned();
    let length = find(&headers, "content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    source.read_exact(&mut body)?;
    Ok(Some(Request { target, headers, body }))
}

pub fn write_response<Sink>(
    sink: &mut Sink,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()>
where
    Sink: Write,
{
    let mut message = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        message.push_str(&format!("{name}: {value}\r\n"));
    }
    message.push_str("\r\n");
    let mut bytes = message.into_bytes();
    bytes.extend_from_slice(body);
    sink.write_all(&bytes)
}

/// Serves connections on a free loopback port, each on a thread of its own.
pub fn serve<Handle>(handle: Handle) -> io::Result<SocketAddr>
where
    Handle: Fn(&Request, &mut TcpStream) -> io::Result<()> + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut sink) = stream.try_clone() else { return };
                let mut source = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut source) {
                    if handle(&request, &mut sink).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// Sends a GET request and returns the status.
pub fn get_status(address: SocketAddr, path: &str) -> io::Result<u16> {
    let limit = std::time::Duration::from_millis(500);
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").as_bytes())?;
    let mut text = String::new();
    BufReader::new(stream).read_line(&mut text)?;
    Ok(text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0))
}

/// Reads a whole body of a known length in steps; returns how many bytes arrived.
pub fn read_body<Source>(source: &mut Source, length: usize) -> (Vec<u8>, io::Result<()>)
where
    Source: Read,
{
    let mut body = Vec::new();
    let mut buffer = [0; 2_048];
    while body.len() < length {
        let most = (length - body.len()).min(buffer.len());
        match source.read(&mut buffer[..most]) {
            Ok(0) => return (body, Err(io::Error::from(io::ErrorKind::UnexpectedEof))),
            Ok(count) => body.extend_from_slice(&buffer[..count]),
            Err(error) => return (body, Err(error)),
        }
    }
    (body, Ok(()))
}
