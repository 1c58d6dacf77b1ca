//! Adapter placement on a worker, decided by the one daemon that holds its order lease.

mod adapter_demand;
mod adapter_slot;
mod answers;
mod base_load_schedule;
mod concurrent_load_limit;
mod load_turnover;
mod local_copies;
mod order;
mod order_result;
#[allow(clippy::module_inception)]
mod placement;
mod summary;

pub use adapter_slot::{AdapterSlot, LATE_ORDER_WINDOW_MS, SlotState};
pub use base_load_schedule::{
    BaseLoadLimit, BaseLoadSchedule, FinishedBaseLoad, LackingWorker, WeightStore,
};
pub use concurrent_load_limit::{ConcurrentLoadLimit, FinishedLoad, FleetLoads};
pub use local_copies::LocalCopies;
pub use order::Order;
pub use order_result::OrderResult;
pub use placement::{Limits, Placement};
pub use summary::{Counts, HeldAdapter, Summary};
