//! Leases under which daemons give orders to workers.
//!
//! A daemon renews one row, whose expiry is a time of the store's own steady clock. A daemon holds
//! a worker by a row that names it; the version of that row is the fencing token of its orders. A
//! worker changes hands only after the lease of its holder has expired and a guard time has passed,
//! so orders of two holders never alternate, even where the workers do not check fencing tokens.

mod holder_row;
mod late_row;
mod lease;
mod lease_row;
mod store_clock;

pub use holder_row::HolderRow;
pub use late_row::LateRow;
pub use lease::Lease;
pub use lease_row::LeaseRow;
pub use store_clock::StoreClock;
