//! A model engine with a vLLM-style HTTP API and continuous batching.
//!
//! [`Engine`] holds the state, [`Batch`] decides what each step processes, [`Slots`] what is loaded.

mod answer;
mod audit;
mod batch;
mod cache_log;
mod config;
#[allow(clippy::module_inception)]
mod engine;
mod generation;
mod prefix_cache;
mod refusal;
mod report_log;
mod server;
mod slots;
mod state;
mod switches;

pub use audit::Audit;
pub use batch::{Batch, Sequence};
pub use cache_log::CacheLog;
pub use config::Config;
pub use engine::Engine;
pub use generation::{End, Generation, Job, expected_text};
pub use prefix_cache::PrefixCache;
pub use refusal::Refusal;
pub use report_log::ReportLog;
pub use server::start;
pub use slots::{Reserved, Slots, SlotsError};
pub use switches::Switches;
