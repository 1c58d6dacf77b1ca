//! Scheduling of one owned model engine: queue, adapter slots, pins and requests in flight.
//!
//! `Worker` only decides; the caller carries out the returned orders and reports their results.
//! `submit` admits a request, `start_ready` and `plan` return the orders for the engine, and `finish`,
//! `load_succeeded`, `load_failed` and `unload_finished` record the results.

mod adapter_history;
mod admission;
mod decayed_count;
mod engine_report;
mod eviction_policy;
mod job;
mod limits;
mod plan;
mod planner;
mod queue;
mod queue_discipline;
mod running_request;
mod service_time;
mod slot;
mod slots;
mod wait;
#[allow(clippy::module_inception)]
mod worker;

pub use admission::{Refusal, RefusalReason, RefusedJob};
pub use decayed_count::DecayedCount;
pub use engine_report::{InstanceListing, LoadReport, Reconciliation};
pub use eviction_policy::{DecayedDemand, EvictionPolicy, LeastRecentlyUsed};
pub use job::Job;
pub use limits::Limits;
pub use plan::{LoadFailure, LoadOrder, Plan, StartOrder, UnloadOrder};
pub use queue_discipline::{FirstInFirstOut, QueueDiscipline, WeightedFair};
pub use slot::{Slot, SlotState};
pub use worker::Worker;
