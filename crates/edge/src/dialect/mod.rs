//! What a platform's messages say, in the product's own terms.

mod answer_facts;
#[allow(clippy::module_inception)]
mod dialect;
mod dispatch_facts;
mod malformed;
mod operator_entry;
mod order_ticket;
mod request_facts;
mod worker_report;

pub use answer_facts::AnswerFacts;
pub use dialect::Dialect;
pub use dispatch_facts::DispatchFacts;
pub use malformed::Malformed;
pub use operator_entry::OperatorEntry;
pub use order_ticket::OrderTicket;
pub use request_facts::RequestFacts;
pub use worker_report::WorkerReport;
