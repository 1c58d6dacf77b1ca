//! Runs the platform stand-in.

use std::io;

use jasminetack_standins::http;
use jasminetack_standins::platform;

fn main() -> io::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Address to listen on.
        required --address address: String
        /// Bearer key required of callers; no authorization by default.
        optional --key key: String
        /// Staleness of the returned host list, in milliseconds.
        optional --host-list-lag-ms host_list_lag_ms: u64
    };
    let listener = http::listen(&flags.address)?;
    let config = platform::Config {
        key: flags.key.unwrap_or_default(),
        host_list_lag_ms: flags.host_list_lag_ms.unwrap_or(0),
    };
    http::print_address_and_park(platform::start(listener, config)?)
}
