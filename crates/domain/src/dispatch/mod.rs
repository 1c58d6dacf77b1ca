//! Choice of the worker to which the receiving daemon sends a request directly.
//!
//! Used with workers that queue and batch requests themselves, so no daemon has to own a worker's
//! queue.

mod adapter_use;
pub mod admission;
mod back_offs;
mod candidate;
mod chooser;
mod credit_eligibility;
mod estimate;
mod generation_time;
mod health;
mod loads;
mod popularity;
mod predictions;
mod preferred_workers;
mod prefill_rate;
mod prefix_estimate;
mod prompt_cache_index;
mod prompt_segment;
mod reported_load;
mod request_size;
mod retry_budget;
mod segment_id;
mod unavailability;
mod worker_memory;

pub use adapter_use::AdapterUse;
pub use admission::{Admission, RefusalReason, TimeLimits};
pub use back_offs::BackOffs;
pub use candidate::{AdapterState, Candidate};
pub use chooser::{Choice, ChoiceRequest, Chooser};
pub use estimate::Estimate;
pub use generation_time::GenerationTime;
pub use health::Health;
pub use loads::Loads;
pub use popularity::Popularity;
pub use prefill_rate::PrefillRate;
pub use prefix_estimate::PrefixEstimate;
pub use prompt_cache_index::PromptCacheIndex;
pub use prompt_segment::PromptSegment;
pub use reported_load::ReportedLoad;
pub use request_size::RequestSize;
pub use retry_budget::RetryBudget;
pub use segment_id::SegmentId;
pub use unavailability::Unavailability;
pub use worker_memory::WorkerMemory;
