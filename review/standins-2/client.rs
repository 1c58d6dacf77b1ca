//! Clients that keep their connections open.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{self, Message};

/// Client of one daemon.
pub struct Client {
    daemon: SocketAddr,
    connection: Option<(TcpStream, BufReader<TcpStream>)>,
}

impl Client {
    /// Creates a client without a connection.
    pub fn new(daemon: SocketAddr) -> Self {
        Self { daemon, connection: None }
    }

    /// Sends a request and waits for the whole answer; `None` if the connection ends without one.
    pub fn send(&mut self, request: &str, limit: Duration) -> Option<Message> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => open(self.daemon)?,
        };
        connection.0.set_read_timeout(Some(limit)).ok()?;
        connection.0.write_all(request.as_bytes()).ok()?;
        let response = http::read(&mut connection.1).ok()?;
        if !response.header("Connection").eq_ignore_ascii_case("close") {
            self.connection = Some(connection);
        }
        Some(response)
    }
}

fn open(address: SocketAddr) -> Option<(TcpStream, BufReader<TcpStream>)> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    let reader = BufReader::new(stream.try_clone().ok()?);
    Some((stream, reader))
}
