//! Tests of responses of app services that are broken off.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use jasminetack_proofs::caller;
use jasminetack_proofs::fleet::{Fleet, FleetConfig, SERVICE};
use jasminetack_proofs::wait;
use jasminetack_wire::platform as wire;

/// Time for the daemon to read what was sent before the connection is reset.
const RESET_DELAY: Duration = Duration::from_millis(200);

/// Responds with half of a body that has no length, and resets the connection: a socket that is closed
/// with unread data sends a reset.
fn respond_with_half(mut stream: TcpStream) {
    let mut first = [0];
    let head = "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf";
    if stream.read_exact(&mut first).is_ok() && stream.write_all(head.as_bytes()).is_ok() {
        thread::sleep(RESET_DELAY);
    }
}

/// Guards against a truncated response that appears complete, because the caller's response has the
/// HTTP version of the service and so ends with its connection.
#[test]
fn a_response_without_length_that_is_reset_is_not_complete_for_the_caller() {
    let fleet = Fleet::start(FleetConfig { engines: 0, daemons: 1, ..FleetConfig::default() });
    let fleet = fleet.expect("a fleet");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let host = wire::Host {
        name: "app0".to_owned(),
        role: wire::HostRole::App { service: SERVICE.to_owned() },
        address: listener.local_addr().expect("an address").to_string(),
        region: fleet.daemons[0].host.region.clone(),
        failure_domain: "a".to_owned(),
        leaving: false,
        incarnation: 1,
    };
    thread::spawn(move || listener.incoming().flatten().for_each(respond_with_half));
    fleet.platform.put_host(&host).expect("a host entry");
    let call = || {
        let path = format!("{SERVICE}/x");
        caller::call_service(fleet.daemons[0].callers_address(), "GET", &path, None, "")
    };
    let mut response = caller::Response::default();
    wait::until("the daemon knows the service's host", wait::DEFAULT_TIMEOUT, || {
        response = call();
        response.status == 200
    })
    .expect("a response");
    assert!(!response.is_complete, "{response:?}");
}
