//! Adapters, their versions and the names under which engines hold them.

mod adapter_ref;
mod fencing_token;
mod instance_name;

pub use adapter_ref::{AdapterRef, ParseAdapterRefError};
pub use fencing_token::FencingToken;
pub use instance_name::InstanceName;
