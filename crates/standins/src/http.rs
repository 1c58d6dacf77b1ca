//! Helpers around tiny_http.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use serde_json::json;

use crate::unblock;

/// Answers the requests of one stand-in.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails when the caller is gone or the body cannot be read.
    fn handle(&self, request: tiny_http::Request) -> io::Result<()>;
}

/// Listens on an address without delaying small writes.
///
/// # Errors
///
/// Fails when the address is not available.
pub fn listen(address: &str) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    // Accepted sockets inherit the option; tiny_http has no way to set it. Without it a token can
    // wait 40 ms for the acknowledgement of the token before.
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    Ok(listener)
}

/// Starts to answer requests on threads in the background and returns the address.
///
/// # Errors
///
/// Fails when the listener cannot be used.
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
            // A request that gets no thread is answered with a 500 by tiny_http.
            let _ = thread::Builder::new().spawn(move || {
                if let Err(error) = handler.handle(request) {
                    eprintln!("request-failed error={error:?}");
                }
            });
        }
    })?;
    Ok(address)
}

/// Prints the address on standard output and waits until the process is ended.
pub fn print_address_and_park(address: SocketAddr) -> ! {
    println!("listening {address}");
    loop {
        thread::park();
    }
}

/// Returns a header of a request.
#[must_use]
pub fn header<'a>(request: &'a tiny_http::Request, name: &'static str) -> Option<&'a str> {
    request
        .headers()
        .iter()
        .find(|header| header.field.equiv(name))
        .map(|header| header.value.as_str())
}

/// Tells whether a request carries a bearer key; an empty key admits every request.
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

/// Returns a parameter of a query; percent escapes of `/` are decoded.
#[must_use]
pub fn query_parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    Some(value.replace("%2F", "/").replace("%2f", "/"))
}

/// Reads a JSON body.
///
/// # Errors
///
/// Fails when the body is no valid JSON of the type.
pub fn read_json<Body>(request: &mut tiny_http::Request) -> io::Result<Body>
where
    Body: serde::de::DeserializeOwned,
{
    Ok(serde_json::from_reader(request.as_reader())?)
}

/// Answers a request with JSON.
///
/// # Errors
///
/// Fails when the caller is gone.
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

/// Answers a request with an error in the shape that OpenAI clients expect.
///
/// # Errors
///
/// Fails when the caller is gone.
pub fn respond_error(
    request: tiny_http::Request,
    status: u16,
    code: &str,
    message: &str,
) -> io::Result<()> {
    let error = json!({ "error": { "message": message, "code": code } });
    respond_json(request, status, &error)
}

/// Writes a chunked response whose parts reach the caller at once.
///
/// tiny_http's own chunked writer holds back up to 8 KiB.
pub struct EventStream<Output> {
    output: Output,
}

impl<Output> EventStream<Output>
where
    Output: Write,
{
    /// Writes the head of the response.
    ///
    /// # Errors
    ///
    /// Fails when the caller is gone.
    pub fn start(mut output: Output) -> io::Result<Self> {
        output.write_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        )?;
        output.flush()?;
        Ok(Self { output })
    }

    /// Writes one event in one piece.
    ///
    /// # Errors
    ///
    /// Fails when the caller is gone.
    pub fn send(&mut self, data: &str) -> io::Result<()> {
        let event = format!("data: {data}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        self.output.write_all(chunk.as_bytes())?;
        self.output.flush()
    }

    /// Ends the response.
    ///
    /// # Errors
    ///
    /// Fails when the caller is gone.
    pub fn finish(mut self) -> io::Result<()> {
        self.output.write_all(b"0\r\n\r\n")?;
        self.output.flush()
    }
}
