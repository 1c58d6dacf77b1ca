//! Choice of the worker that gets a request straight from the daemon that received it.
//!
//! Used where the workers queue and batch by themselves, so that no daemon has to order the queue
//! of a worker for all others.

mod adapter_use;
mod candidate;
mod chooser;
mod health;
mod loads;
mod popularity;
mod prompt_memory;
mod reported_load;
mod retry_budget;
mod run_time;
mod work;

pub use adapter_use::AdapterUse;
pub use candidate::{AdapterState, Candidate};
pub use chooser::{Choice, Chooser};
pub use health::Health;
pub use loads::Loads;
pub use popularity::Popularity;
pub use prompt_memory::{PromptMemory, PromptPart};
pub use reported_load::ReportedLoad;
pub use retry_budget::RetryBudget;
pub use run_time::RunTime;
pub use work::Work;
