//! Tests of forwarding and fault injection by the relay stand-in.

#![allow(clippy::unwrap_used)]

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::wait_until;
use jasminetack_standins::relay;

fn relay_to_echo() -> (relay::Relay, SocketAddr) {
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let target_address = target.local_addr().unwrap();
    thread::spawn(move || {
        for stream in target.incoming() {
            let mut stream = stream.unwrap();
            thread::spawn(move || {
                let mut byte = [0];
                while stream.read_exact(&mut byte).is_ok() && stream.write_all(&byte).is_ok() {}
            });
        }
    });
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (relay::Relay::start(listener, target_address).unwrap(), address)
}

fn exchange(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"x")?;
    stream.read_exact(&mut [0])
}

/// Guards against a delay that is applied in one direction only.
#[test]
fn delays_both_directions() {
    let (relay, address) = relay_to_echo();
    relay.set_faults(relay::Faults { delay_ms: 40, ..relay::Faults::default() });
    let mut stream = TcpStream::connect(address).unwrap();
    let started = Instant::now();
    exchange(&mut stream).unwrap();
    assert!(started.elapsed() >= Duration::from_millis(80));
}

/// Guards against a cut that leaves connections open or that cannot be cleared.
#[test]
fn cut_closes_connections_until_cleared() {
    let (relay, address) = relay_to_echo();
    let mut stream = TcpStream::connect(address).unwrap();
    exchange(&mut stream).unwrap();
    relay.set_faults(relay::Faults { cut: true, ..relay::Faults::default() });
    wait_until("the connection is closed", || exchange(&mut stream).is_err());
    let mut second = TcpStream::connect(address).unwrap();
    assert!(exchange(&mut second).is_err());
    relay.set_faults(relay::Faults::default());
    exchange(&mut TcpStream::connect(address).unwrap()).unwrap();
}

/// Guards against a half-open link that closes connections or loses data once the fault is cleared.
#[test]
fn withholds_data_while_half_open() {
    let (relay, address) = relay_to_echo();
    let mut stream = TcpStream::connect(address).unwrap();
    exchange(&mut stream).unwrap();
    relay.set_faults(relay::Faults { half_open: true, ..relay::Faults::default() });
    stream.write_all(b"x").unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    let error = stream.read_exact(&mut [0]).unwrap_err();
    assert!(matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut));
    stream.set_read_timeout(None).unwrap();
    relay.set_faults(relay::Faults::default());
    stream.read_exact(&mut [0]).unwrap();
}
