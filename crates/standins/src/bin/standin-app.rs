//! Program `standin-app`: an app service.

use std::io;

use jasminetack_standins::app;
use jasminetack_standins::http;

fn main() -> io::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Address to listen on.
        required --address address: String
        /// Bearer key that callers need; none by default.
        optional --key key: String
        /// Time between the execution of a call and its answer.
        optional --answer-ms answer_ms: u64
    };
    let behaviour =
        app::Behaviour { answer_ms: flags.answer_ms.unwrap_or(0), ..app::Behaviour::default() };
    let listener = http::listen(&flags.address)?;
    http::print_address_and_park(app::start(listener, flags.key.unwrap_or_default(), behaviour)?)
}
