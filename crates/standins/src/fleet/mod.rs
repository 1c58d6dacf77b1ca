//! Stand-ins for the users' platform: its store, and workers that queue by themselves.
//!
//! They run inside of tests. Faults are switched on and off while they serve.

mod http_server;
mod row_store;
mod store;
mod store_faults;
mod worker;
mod worker_faults;
mod worker_log;

pub use row_store::RowStore;
pub use store::Store;
pub use store_faults::StoreFaults;
pub use worker::{Worker, WorkerConfig};
pub use worker_faults::WorkerFaults;
pub use worker_log::{ReceivedOrder, Run, WorkerLog};
