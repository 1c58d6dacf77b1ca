//! The traffic thread: requests of callers, connections to workers and datagrams between daemons,
//! on one single-threaded tokio runtime.

mod answer_watch;
mod attempt;
mod caller;
mod connection;
mod crash_watch;
mod credit_guard;
mod datagram_socket;
mod event_buffer;
mod event_end;
mod forwarded_parts;
mod framing;
mod head_limit;
mod health_server;
mod key_refusal_log;
mod listener;
mod load_guard;
mod order_connections;
mod order_sender;
mod pending_check;
mod permit_guard;
mod pool;
mod proxy_request;
mod refusal;
mod relay;
mod request_body;
mod request_record;
mod response_body;
mod retry_decision;
mod revocation_watch;
mod running_requests;
mod sent_request;
mod server;
mod shared_state;
mod slot_search;
mod stream_relay;
mod team_charge;
mod worker_request;
mod worker_search;
mod worker_statements;

pub use caller::end_revoked_answers;
pub use datagram_socket::DatagramSocket;
pub use health_server::HealthServer;
pub use order_sender::OrderSender;
pub use server::{Server, listen};
pub use shared_state::SharedState;
