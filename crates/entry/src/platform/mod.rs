//! Blocking calls to the platform's services, made on dedicated threads.

mod claim_closer;
mod claim_writer;
mod claims;
mod client;
mod held_claim;
mod http_client;
mod job;
mod store;

pub use claim_writer::ClaimOutcome;
pub use claims::Claims;
pub use client::Client;
pub use held_claim::HeldClaim;
pub use http_client::{CallError, HttpClient};
pub use job::{CallId, Job, Reply};
pub use store::Store;
