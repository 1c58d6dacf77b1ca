//! Adapter versions, fencing tokens and the names of loaded adapters.

mod adapter_ref;
mod fencing_token;
mod instance_name;

pub use adapter_ref::{AdapterRef, ParseAdapterRefError};
pub use fencing_token::FencingToken;
pub use instance_name::InstanceName;
