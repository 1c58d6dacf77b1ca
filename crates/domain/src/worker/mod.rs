//! One owned model engine: its queue, slots, pins and requests in flight.
//!
//! `Worker` decides; the caller carries out what it returns and reports back:
//! `submit` admits a request, `start_ready` and `plan` say what to send to the engine, and `finish`,
//! `load_succeeded` and the like take in what the engine did.

mod admission;
mod decayed_count;
mod discipline;
mod engine_report;
mod eviction;
mod history;
mod job;
mod limits;
mod pace;
mod plan;
mod planner;
mod queue;
mod running;
mod slot;
mod slots;
#[allow(clippy::module_inception)]
mod worker;

pub use admission::{Refusal, RefusalReason, RefusedJob};
pub use decayed_count::DecayedCount;
pub use discipline::{FirstInFirstOut, QueueDiscipline, WeightedFair};
pub use engine_report::{InstanceListing, LoadReport, Reconciliation};
pub use eviction::{DecayedDemand, EvictionPolicy, LeastRecentlyUsed};
pub use job::Job;
pub use limits::Limits;
pub use plan::{LoadFailure, LoadOrder, Plan, StartOrder, UnloadOrder};
pub use slot::{Slot, SlotState};
pub use worker::Worker;
