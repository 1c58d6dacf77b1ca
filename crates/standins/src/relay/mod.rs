//! TCP proxy with fault injection.

mod faults;
mod forwarder;
#[allow(clippy::module_inception)]
mod relay;
mod server;

pub use faults::Faults;
pub use relay::Relay;
pub use server::Server;
