//! Helpers around tiny_http.

use std::io::{self, Write};

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

    /// Writes one event.
    ///
    /// # Errors
    ///
    /// Fails when the caller is gone.
    pub fn send(&mut self, data: &str) -> io::Result<()> {
        let event = format!("data: {data}\n\n");
        write!(self.output, "{:x}\r\n{event}\r\n", event.len())?;
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
