//! Traffic: callers' connections, upstream streams and forwarded requests.

mod answer_event;
mod body;
mod caller_error;
mod dispatcher;
mod engine_client;
mod model_call;
mod model_order;
mod server;

pub use dispatcher::Dispatcher;
pub use engine_client::EngineClient;
pub use server::Server;
