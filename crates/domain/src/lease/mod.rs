//! Leases of daemons and ownership of workers.

mod grant;

pub use grant::Grant;
