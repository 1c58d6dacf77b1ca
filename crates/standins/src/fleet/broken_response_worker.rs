//! Stand-in for a worker in trouble whose responses are broken off or have no valid status.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};

use super::raw_request::RawRequest;

/// Receive buffer; the rest of a long body waits at its sender.
const RECEIVE_BUFFER_BYTES: usize = 8 * 1024;
/// Body of a response of which only a part is sent.
const PART: &str = "a part of the response";

/// How a worker answers each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenResponse {
    /// After the head of the request, with status 200, no length and a part of the body; the connection is
    /// reset after this time, while the request is still being written.
    Reset(Duration),
    /// The same, with a length that the part falls short of.
    ResetWithLength(Duration),
    /// With a complete body and this text in place of a status.
    Status(&'static str),
}

/// Stand-in for a worker of an app service that breaks its responses.
#[derive(Debug)]
pub struct BrokenResponseWorker;

impl BrokenResponseWorker {
    /// Starts a worker and returns its address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available or the thread cannot be spawned.
    pub fn start(kind: BrokenResponse) -> io::Result<SocketAddr> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        // Connections inherit the size; it must be set before they are opened.
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any_port.into())?;
        socket.listen(128)?;
        let listener = TcpListener::from(socket);
        let address = listener.local_addr()?;
        thread::Builder::new().name("broken-response-worker".to_owned()).spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                thread::spawn(move || serve(stream, kind));
            }
        })?;
        Ok(address)
    }
}

/// Answers the request of one connection; an error means that the client has closed it.
fn serve(mut stream: TcpStream, kind: BrokenResponse) -> io::Result<()> {
    let (mut request, body_bytes) = RawRequest::read_head(&mut stream)?;
    let identity = format!("Attempt-Id: {}\r\nServer-Signature: s1.g2\r\n", request.attempt_id);
    match kind {
        BrokenResponse::Reset(after) => {
            write!(stream, "HTTP/1.1 200 OK\r\n{identity}\r\n{PART}")?;
            reset(&stream, after)
        }
        BrokenResponse::ResetWithLength(after) => {
            let length = 2 * PART.len();
            let framing = format!("Content-Length: {length}\r\n");
            write!(stream, "HTTP/1.1 200 OK\r\n{identity}{framing}\r\n{PART}")?;
            reset(&stream, after)
        }
        BrokenResponse::Status(status) => {
            request.read_body(&mut stream, body_bytes)?;
            let framing = format!("Content-Length: {}\r\n", PART.len());
            write!(stream, "HTTP/1.1 {status} X\r\n{identity}{framing}\r\n{PART}")
        }
    }
}

fn reset(stream: &TcpStream, after: Duration) -> io::Result<()> {
    thread::sleep(after);
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
