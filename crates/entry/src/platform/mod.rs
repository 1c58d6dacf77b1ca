//! Blocking calls to the platform's services, made on threads of their own.

mod caller;
mod claim_closer;
mod claim_writer;
mod claims;
mod client;
mod held_claim;
mod job;
mod store;

pub use caller::{CallError, Caller};
pub use claim_writer::Claimed;
pub use claims::Claims;
pub use client::Client;
pub use held_claim::HeldClaim;
pub use job::{Job, Reply, Tag};
pub use store::Store;
