//! Leases under which daemons send orders to workers.
//!
//! Each daemon renews one lease row, which expires by the store's own steady clock. A holder row
//! assigns a worker to a daemon; the version of that row is the fencing token of the daemon's
//! orders. Another daemon may take a worker over only when a guard time has passed after the expiry
//! of its holder's lease, so orders of two holders never interleave, even if the workers do not
//! check fencing tokens.

mod era_start;
mod holder_row;
mod lease;
mod lease_row;
mod store_clock;
mod store_era;

pub use era_start::EraStart;
pub use holder_row::HolderRow;
pub use lease::Lease;
pub use lease_row::LeaseRow;
pub use store_clock::StoreClock;
pub use store_era::{EraObservation, StoreEra};
