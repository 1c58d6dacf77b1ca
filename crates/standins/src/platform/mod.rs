//! In-memory platform: table service, object store, weight store and host list.

mod counters;
mod host_list_history;
mod server;
mod store;
mod switches;
mod weight_load_limiter;

pub use counters::Counters;
pub use host_list_history::HostListHistory;
pub use server::{Config, start};
pub use store::Store;
pub use switches::Switches;
pub use weight_load_limiter::WeightLoadLimiter;
