//! The platform: table service, object store, weight store and host list, in memory.

mod counters;
mod host_log;
mod server;
mod store;
mod switches;
mod weights;

pub use counters::Counters;
pub use host_log::HostLog;
pub use server::{Config, start};
pub use store::Store;
pub use switches::Switches;
pub use weights::WeightGate;
