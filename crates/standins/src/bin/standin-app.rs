//! Runs the app service stand-in.

use std::io;

use jasminetack_standins::app;
use jasminetack_standins::http;

fn main() -> io::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Address to listen on.
        required --address address: String
        /// Bearer key required of callers; no authorization by default.
        optional --key key: String
        /// Delay between execution of a call and its response, in milliseconds.
        optional --answer-ms answer_ms: u64
    };
    let behaviour =
        app::Behaviour { answer_ms: flags.answer_ms.unwrap_or(0), ..app::Behaviour::default() };
    let listener = http::listen(&flags.address)?;
    http::print_address_and_park(app::start(listener, flags.key.unwrap_or_default(), behaviour)?)
}
