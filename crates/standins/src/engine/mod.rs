//! Model engine with a vLLM-style HTTP API and continuous batching.
//!
//! [`Engine`] holds the state, [`Batch`] schedules the tokens of each step and [`Slots`] tracks the
//! loaded adapters.

mod api_error;
mod audit;
mod batch;
mod cache_event_history;
mod config;
#[allow(clippy::module_inception)]
mod engine;
mod generation;
mod load_report_history;
mod openai;
mod prefix_cache;
mod server;
mod slots;
mod state;
mod switches;

pub use api_error::ApiError;
pub use audit::Audit;
pub use batch::{Batch, Sequence};
pub use cache_event_history::CacheEventHistory;
pub use config::Config;
pub use engine::Engine;
pub use generation::{FinishReason, Generation, GenerationRequest, expected_text};
pub use load_report_history::LoadReportHistory;
pub use prefix_cache::PrefixCache;
pub use server::start;
pub use slots::{Reservation, Slots, SlotsError};
pub use switches::Switches;
