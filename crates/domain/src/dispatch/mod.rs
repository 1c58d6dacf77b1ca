//! Choice of the worker that gets a request straight from the daemon that received it.
//!
//! Used where the workers queue and batch by themselves, so that no daemon has to order the queue
//! of a worker for all others.

mod adapter_use;
mod candidate;
mod chooser;
mod generation_time;
mod health;
mod loads;
mod popularity;
mod prompt_cache_index;
mod reported_load;
mod request_size;
mod retry_budget;

pub use adapter_use::AdapterUse;
pub use candidate::{AdapterState, Candidate};
pub use chooser::{ChoiceRequest, Chooser};
pub use generation_time::GenerationTime;
pub use health::Health;
pub use loads::Loads;
pub use popularity::Popularity;
pub use prompt_cache_index::{PromptCacheIndex, PromptSegment};
pub use reported_load::ReportedLoad;
pub use request_size::RequestSize;
pub use retry_budget::RetryBudget;
