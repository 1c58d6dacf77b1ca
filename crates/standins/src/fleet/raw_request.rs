//! Requests as stand-ins read them that control each byte of their responses.

use std::io::{self, Read};
use std::net::TcpStream;

/// Request with a length, or without a body.
#[derive(Clone, Debug)]
pub(super) struct RawRequest {
    /// Path of the target.
    pub path: String,
    /// Attempt ID; empty if there is none.
    pub attempt_id: String,
    /// Model and adapter; empty if there are none.
    pub model: String,
    /// Body.
    pub body: Vec<u8>,
}

impl RawRequest {
    /// Reads one request.
    ///
    /// # Errors
    ///
    /// Fails when the client has closed the connection.
    pub(super) fn read(stream: &mut TcpStream) -> io::Result<Self> {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head);
        let header = |name: &str| {
            let mut fields = head.lines().filter_map(|line| line.split_once(':'));
            let field = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
            field.map_or(String::new(), |(_, value)| value.trim().to_owned())
        };
        let path = head.split_whitespace().nth(1).unwrap_or_default().to_owned();
        let (attempt_id, model) = (header("Attempt-Id"), header("Model"));
        let mut body = vec![0; header("Content-Length").parse().unwrap_or(0)];
        stream.read_exact(&mut body)?;
        Ok(Self { path, attempt_id, model, body })
    }
}
