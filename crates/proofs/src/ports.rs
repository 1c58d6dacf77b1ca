//! Reservation of free ports for programs that take their port as an argument.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process;
use std::sync::atomic::{AtomicU16, Ordering};

/// The range ends below the ephemeral ports that the system assigns to outgoing connections.
const FIRST_PORT: u16 = 10_000;
const PORT_COUNT: u16 = 20_000;
/// Loopback address of the lock sockets; no program under test binds to it.
const LOCK_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 9);

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Loopback port that no other test harness on this machine reserves while this value exists.
#[derive(Debug)]
pub struct Port {
    number: u16,
    /// Socket bound to the same port number on `LOCK_ADDRESS`, which reserves the port while the
    /// port itself stays free for the program.
    _lock: UdpSocket,
}

impl Port {
    /// Reserves a free port.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub fn reserve() -> io::Result<Self> {
        // Start at an offset derived from the process id, so that processes rarely try the same
        // ports.
        let start = u16::try_from(process::id() * 61 % u32::from(PORT_COUNT)).unwrap_or(0);
        for _ in 0..PORT_COUNT {
            let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
            let number = FIRST_PORT
                + (u32::from(start) + u32::from(offset)).rem_euclid(u32::from(PORT_COUNT)) as u16;
            let Ok(lock) = UdpSocket::bind((LOCK_ADDRESS, number)) else {
                continue;
            };
            if TcpListener::bind((Ipv4Addr::LOCALHOST, number)).is_ok() {
                return Ok(Self { number, _lock: lock });
            }
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "no free port in the reserved range"))
    }

    /// Returns the address of the port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::LOCALHOST, self.number))
    }
}
