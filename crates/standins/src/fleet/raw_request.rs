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
        let (mut request, body_bytes) = Self::read_head(stream)?;
        request.read_body(stream, body_bytes)?;
        Ok(request)
    }

    /// Reads the head of a request, and returns it with the length of its body.
    ///
    /// # Errors
    ///
    /// Fails when the client has closed the connection.
    pub(super) fn read_head(stream: &mut TcpStream) -> io::Result<(Self, usize)> {
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
        let request = Self { path, attempt_id, model, body: Vec::new() };
        Ok((request, header("Content-Length").parse().unwrap_or(0)))
    }

    /// Reads the body of a request whose head has been read.
    ///
    /// # Errors
    ///
    /// Fails when the client has closed the connection.
    pub(super) fn read_body(&mut self, stream: &mut TcpStream, bytes: usize) -> io::Result<()> {
        self.body.resize(bytes, 0);
        stream.read_exact(&mut self.body)
    }
}
