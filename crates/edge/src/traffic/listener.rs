//! Check whether a worker still listens on its address.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpStream;
use tokio::time;

use super::connection::CONNECT_TIMEOUT;

/// Connections that are tried before a worker counts as unreachable; the first packet may be lost.
const MAX_CONNECT_ATTEMPTS: usize = 2;

/// Whether a worker listens on its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Listener {
    /// Connections are accepted.
    Present,
    /// Connections are refused.
    Gone,
    /// Nothing answers.
    Unreachable,
}

/// Opens a connection to find out whether a worker still listens.
pub(super) async fn check(address: SocketAddr) -> Listener {
    for _ in 0..MAX_CONNECT_ATTEMPTS {
        match time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => return Listener::Present,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Listener::Gone;
            }
            Ok(Err(_)) | Err(_) => {}
        }
    }
    Listener::Unreachable
}
