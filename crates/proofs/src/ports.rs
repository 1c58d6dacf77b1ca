//! Free ports for programs that must be told their port.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process;
use std::sync::atomic::{AtomicU16, Ordering};

/// Below the range from which the system takes ports of outgoing connections.
const FIRST: u16 = 10_000;
const COUNT: u16 = 20_000;
/// Not used by any program under test.
const LOCK_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 9);

static NEXT: AtomicU16 = AtomicU16::new(0);

/// A loopback port that no other harness on this machine picks while this value lives.
#[derive(Debug)]
pub struct Port {
    number: u16,
    /// Bound socket that tells other harnesses that the port is taken, since the port itself must
    /// stay free for the program.
    _lock: UdpSocket,
}

impl Port {
    /// Picks a free port.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub fn pick() -> io::Result<Self> {
        // Processes start at different places, so that they rarely try the same ports.
        let start = u16::try_from(process::id() * 61 % u32::from(COUNT)).unwrap_or(0);
        for _ in 0..COUNT {
            let step = NEXT.fetch_add(1, Ordering::Relaxed);
            let number =
                FIRST + (u32::from(start) + u32::from(step)).rem_euclid(u32::from(COUNT)) as u16;
            let Ok(lock) = UdpSocket::bind((LOCK_ADDRESS, number)) else {
                continue;
            };
            if TcpListener::bind((Ipv4Addr::LOCALHOST, number)).is_ok() {
                return Ok(Self { number, _lock: lock });
            }
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "no port is free"))
    }

    /// Returns the address of the port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::LOCALHOST, self.number))
    }
}
