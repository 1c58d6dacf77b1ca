//! Blocking calls to the platform's services, made on threads of their own.

mod caller;
mod client;
mod job;

pub use caller::{CallError, Caller};
pub use client::Client;
pub use job::{Job, Reply, Tag};
