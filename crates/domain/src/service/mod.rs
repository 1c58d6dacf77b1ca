//! Choice of the host that serves a call to an app service.

mod balance;

pub use balance::Balance;
