//! Interface to a platform's message formats.

mod decode_error;
#[allow(clippy::module_inception)]
mod dialect;
mod forward_metadata;
mod operator_entry;
mod order_context;
mod request_metadata;
mod response_metadata;
mod worker_report;

pub use decode_error::DecodeError;
pub use dialect::Dialect;
pub use forward_metadata::ForwardMetadata;
pub use operator_entry::OperatorEntry;
pub use order_context::OrderContext;
pub use request_metadata::RequestMetadata;
pub use response_metadata::{ResponseMetadata, StatedRequest};
pub use worker_report::WorkerReport;
