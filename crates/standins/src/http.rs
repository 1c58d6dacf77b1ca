//! HTTP server helpers on top of `tiny_http`.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use serde_json::json;

use crate::unblock;

/// Handles the HTTP requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request; each request runs on its own thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the client disconnected or the body cannot be read.
    fn handle(&self, request: tiny_http::Request) -> io::Result<()>;
}

/// Binds a listener whose connections have Nagle's algorithm disabled.
///
/// # Errors
///
/// Returns an error if the address is not available.
pub fn listen(address: &str) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    // tiny_http has no option for TCP_NODELAY, but accepted sockets inherit it from the listener.
    // Without it, a streamed token can wait 40 ms for the delayed ACK of the previous one.
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    Ok(listener)
}

/// Serves requests on background threads and returns the local address.
///
/// # Errors
///
/// Returns an error if the listener cannot be used or a thread cannot be spawned.
pub fn serve<Service>(listener: TcpListener, handler: Arc<Service>) -> io::Result<SocketAddr>
where
    Service: Handler,
{
    let address = listener.local_addr()?;
    let server = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
    let unblocker = unblock::Unblocker::start(address)?;
    thread::Builder::new().name("accept".to_owned()).spawn(move || {
        for request in server.incoming_requests() {
            unblocker.record_request();
            let handler = Arc::clone(&handler);
            // If the thread cannot be spawned, tiny_http responds with status 500.
            let _ = thread::Builder::new().spawn(move || {
                if let Err(error) = handler.handle(request) {
                    eprintln!("request-failed error={error:?}");
                }
            });
        }
    })?;
    Ok(address)
}

/// Prints the address on standard output and blocks until the process is terminated.
pub fn print_address_and_park(address: SocketAddr) -> ! {
    println!("listening {address}");
    loop {
        thread::park();
    }
}

/// Returns the value of a request header.
#[must_use]
pub fn header<'a>(request: &'a tiny_http::Request, name: &'static str) -> Option<&'a str> {
    request
        .headers()
        .iter()
        .find(|header| header.field.equiv(name))
        .map(|header| header.value.as_str())
}

/// Returns whether a request carries the bearer key; an empty key disables authorization.
#[must_use]
pub fn is_authorized(request: &tiny_http::Request, key: &str) -> bool {
    let given = header(request, "authorization").and_then(|value| value.strip_prefix("Bearer "));
    key.is_empty() || given == Some(key)
}

/// Splits a URL into path and query.
#[must_use]
pub fn split_url(url: &str) -> (&str, &str) {
    url.split_once('?').unwrap_or((url, ""))
}

/// Returns a query parameter; of the percent escapes only `%2F` is decoded.
#[must_use]
pub fn query_parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    Some(value.replace("%2F", "/").replace("%2f", "/"))
}

/// Deserializes a JSON request body.
///
/// # Errors
///
/// Returns an error if the body is not valid JSON for the type.
pub fn read_json<Body>(request: &mut tiny_http::Request) -> io::Result<Body>
where
    Body: serde::de::DeserializeOwned,
{
    Ok(serde_json::from_reader(request.as_reader())?)
}

/// Sends a JSON response.
///
/// # Errors
///
/// Returns an error if the client disconnected.
pub fn respond_json<Body>(request: tiny_http::Request, status: u16, body: &Body) -> io::Result<()>
where
    Body: serde::Serialize,
{
    let text = serde_json::to_vec(body)?;
    let mut response = tiny_http::Response::from_data(text).with_status_code(status);
    if let Ok(header) = tiny_http::Header::from_bytes("content-type", "application/json") {
        response.add_header(header);
    }
    request.respond(response)
}

/// Sends an error response in the format of the OpenAI API.
///
/// # Errors
///
/// Returns an error if the client disconnected.
pub fn respond_error(
    request: tiny_http::Request,
    status: u16,
    code: &str,
    message: &str,
) -> io::Result<()> {
    let error = json!({ "error": { "message": message, "code": code } });
    respond_json(request, status, &error)
}

/// Server-sent event stream that flushes each event immediately.
///
/// The chunked writer of `tiny_http` buffers up to 8 KiB.
pub struct EventStream<Output> {
    output: Output,
}

impl<Output> EventStream<Output>
where
    Output: Write,
{
    /// Writes the status line and the headers.
    ///
    /// # Errors
    ///
    /// Returns an error if the client disconnected.
    pub fn start(mut output: Output) -> io::Result<Self> {
        output.write_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        )?;
        output.flush()?;
        Ok(Self { output })
    }

    /// Writes one event as a single chunk.
    ///
    /// # Errors
    ///
    /// Returns an error if the client disconnected.
    pub fn send(&mut self, data: &str) -> io::Result<()> {
        let event = format!("data: {data}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        self.output.write_all(chunk.as_bytes())?;
        self.output.flush()
    }

    /// Writes the terminating chunk.
    ///
    /// # Errors
    ///
    /// Returns an error if the client disconnected.
    pub fn finish(mut self) -> io::Result<()> {
        self.output.write_all(b"0\r\n\r\n")?;
        self.output.flush()
    }
}
