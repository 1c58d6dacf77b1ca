//! Which adapters a worker holds, decided by the one daemon that gives it orders.

mod answers;
mod concurrent_load_limit;
mod order;
mod order_result;
mod place;
#[allow(clippy::module_inception)]
mod placement;
mod summary;
mod want;

pub use concurrent_load_limit::{ConcurrentLoadLimit, FinishedLoad, FleetLoads};
pub use order::Order;
pub use order_result::OrderResult;
pub use place::{LATE_ORDER_MS, Place, PlaceState};
pub use placement::{Limits, Placement};
pub use summary::{Counts, HeldAdapter, Summary};
