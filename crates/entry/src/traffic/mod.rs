//! Traffic: callers' connections, upstream streams and forwarded requests.

mod answer_event;
mod body;
mod caller_error;
mod control_link;
mod dispatcher;
mod engine_client;
mod model_call;
mod model_order;
mod router;
mod server;
mod worker_event;

pub use control_link::ControlLinks;
pub use dispatcher::Dispatcher;
pub use router::Router;
pub use server::Server;
pub use worker_event::{WorkerEvent, WorkerEventKind};
