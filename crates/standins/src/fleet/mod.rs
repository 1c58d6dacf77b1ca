//! In-process stand-ins for the platform's store and for workers that queue requests themselves.
//!
//! Tests inject faults at run time.

mod broken_response_worker;
mod endless_worker;
mod http_server;
mod order_executor;
mod raw_request;
mod response_stream;
mod row_store;
mod run_guard;
mod second_response_engine;
mod second_response_worker;
mod store;
mod store_faults;
mod stream_end;
mod worker;
mod worker_faults;
mod worker_log;
mod worker_messages;
mod worker_orders;

pub use broken_response_worker::{BrokenResponse, BrokenResponseWorker};
pub use endless_worker::{EndlessBytes, EndlessWorker};
pub use row_store::RowStore;
pub use second_response_engine::SecondResponseEngine;
pub use second_response_worker::{SecondResponse, SecondResponseWorker};
pub use store::Store;
pub use store_faults::StoreFaults;
pub use worker::{Worker, WorkerConfig};
pub use worker_faults::{ResponseFraming, WorkerFaults};
pub use worker_log::{ReceivedOrder, Run, WorkerLog};
