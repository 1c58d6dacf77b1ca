//! Traffic: callers' connections, upstream streams and forwarded requests.

mod answer_event;
mod body;
mod caller_error;
mod control_link;
mod dispatcher;
mod engine_client;
mod model_call;
mod model_order;
mod server;

pub use control_link::ControlLinks;
pub use dispatcher::Dispatcher;
pub use engine_client::EngineClient;
pub use server::Server;
