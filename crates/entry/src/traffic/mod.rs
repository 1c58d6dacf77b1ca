//! Traffic: callers' connections, upstream streams and forwarded requests.

mod answer_decoder;
mod answer_encoder;
mod answer_event;
mod body;
mod caller_error;
mod control_link;
mod dispatcher;
mod engine_client;
mod model_call;
mod model_order;
mod owners;
mod peer_client;
mod peer_connection;
mod peer_server;
mod router;
mod server;
mod start_order;
mod worker_event;

pub use answer_decoder::{AnswerDecoder, FrameError};
pub use answer_encoder::AnswerEncoder;
pub use answer_event::{AnswerEvent, Refusal};
pub use control_link::ControlLinks;
pub use dispatcher::Dispatcher;
pub use engine_client::EngineClient;
pub use model_order::{BadForward, ModelOrder};
pub use owners::Owners;
pub use peer_client::PeerClient;
pub use peer_connection::{PeerStream, connect};
pub use peer_server::PeerServer;
pub use router::Router;
pub use server::Server;
pub use start_order::StartOrder;
pub use worker_event::{WorkerEvent, WorkerEventKind};
