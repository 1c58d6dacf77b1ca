//! Audit record of the engine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Events and counters recorded since the engine started.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Audit {
    /// Number of times that each request ID was admitted to the batch.
    pub runs: BTreeMap<String, u32>,
    /// Instance that last ran each request ID.
    pub ran_on: BTreeMap<String, String>,
    /// Protocol violations, such as unloading an instance in use.
    pub violations: Vec<String>,
    /// Loads that succeeded.
    pub loads: u32,
    /// Loads that failed.
    pub failed_loads: u32,
    /// Loads rejected because no slot was free.
    pub loads_without_slot: u32,
    /// Unloads that succeeded.
    pub unloads: u32,
    /// Orders and requests rejected because of a stale fencing number.
    pub fenced: u32,
    /// Requests rejected because their instance was not loaded.
    pub not_loaded: u32,
    /// Cancelled requests.
    pub cancelled: u32,
    /// Resumed requests.
    pub resumed: u32,
    /// Completed requests.
    pub completed: u32,
    /// Executed batch steps.
    pub steps: u64,
    /// Generated tokens, excluding the first token of each request.
    pub generated_tokens: u64,
    /// Prefilled prompt tokens.
    pub prefilled_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Maximum number of tokens processed per step.
    pub step_token_limit: u32,
    /// Number of orders and requests by fencing number.
    pub orders_by_fencing: BTreeMap<u64, u32>,
}
