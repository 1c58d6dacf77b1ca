//! Answer that did not crash its worker.

use std::sync::Arc;

use crate::dispatch;

/// Answer that outlasted the time in which its prompt could have crashed the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SurvivedAnswer {
    /// Segments of the prompt.
    pub segments: Arc<[dispatch::PromptSegment]>,
    /// Time of the first part of the answer.
    pub started_ms: u64,
}
