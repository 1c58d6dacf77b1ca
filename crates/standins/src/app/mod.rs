//! App service that records every call it executes.

#[allow(clippy::module_inception)]
mod app;
mod behaviour;
mod execution;
mod server;

pub use app::App;
pub use behaviour::{Behaviour, Close};
pub use execution::Execution;
pub use server::start;
