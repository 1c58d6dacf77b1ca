//! Runs the TCP relay with fault injection.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use jasminetack_standins::http;
use jasminetack_standins::relay;

fn main() -> io::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Address to listen on.
        required --address address: String
        /// Address to forward connections to.
        required --target target: SocketAddr
        /// Address of the HTTP control server.
        required --control-address control_address: String
        /// One-way delay of every byte, in milliseconds.
        optional --delay-ms delay_ms: u64
    };
    let listener = http::listen(&flags.address)?;
    let address = listener.local_addr()?;
    let relay = relay::Relay::start(listener, flags.target)?;
    relay.set_faults(relay::Faults {
        delay_ms: flags.delay_ms.unwrap_or(0),
        ..relay::Faults::default()
    });
    let server = relay::Server::new(relay);
    http::serve(http::listen(&flags.control_address)?, Arc::new(server))?;
    http::print_address_and_park(address)
}
