//! Adapter placement on a worker, decided by the one daemon that holds its order lease.

mod adapter_demand;
mod adapter_slot;
mod answers;
mod base_load_schedule;
mod concurrent_load_limit;
mod load_turnover;
mod local_copies;
mod order;
mod order_purpose;
mod order_result;
mod order_sequence;
#[allow(clippy::module_inception)]
mod placement;
mod planned_order;
mod planning;
mod precondition_support;
mod reception;
mod report_age;
mod reports;
mod sent_order;
mod sequence_effect;
mod summary;
mod unrecorded_orders;
mod worker_state;

pub use adapter_slot::{AdapterSlot, LATE_ORDER_WINDOW_MS, SlotState};
pub use base_load_schedule::{
    BaseLoadLimit, BaseLoadSchedule, FinishedBaseLoad, LackingWorker, WeightStore,
};
pub use concurrent_load_limit::{ConcurrentLoadLimit, FinishedLoad, FleetLoads};
pub use local_copies::LocalCopies;
pub use order::Order;
pub use order_result::OrderResult;
pub use placement::{Limits, Placement};
pub use planned_order::PlannedOrder;
pub use precondition_support::PreconditionSupport;
pub use reports::ReportOutcome;
pub use summary::{Counts, HeldAdapter, Summary};
pub use unrecorded_orders::UnrecordedOrders;
pub use worker_state::WorkerState;
