//! What an engine saw.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What an engine saw since its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Audit {
    /// How often each request id entered the batch.
    pub runs: BTreeMap<String, u32>,
    /// Instance on which each request id ran last.
    pub ran_on: BTreeMap<String, String>,
    /// Rules that were broken, such as an unload of an instance in use.
    pub violations: Vec<String>,
    /// Loads that succeeded.
    pub loads: u32,
    /// Loads that failed.
    pub failed_loads: u32,
    /// Loads refused because no slot was free.
    pub loads_without_slot: u32,
    /// Unloads that succeeded.
    pub unloads: u32,
    /// Orders and requests refused for their fencing number.
    pub fenced: u32,
    /// Requests refused because their instance was not loaded.
    pub not_loaded: u32,
    /// Requests that were cancelled.
    pub cancelled: u32,
    /// Requests that were resumed.
    pub resumed: u32,
    /// Requests that were completed.
    pub completed: u32,
    /// Steps of the batch.
    pub steps: u64,
    /// Tokens generated after the first one of each request.
    pub generated_tokens: u64,
    /// Prompt tokens processed.
    pub prefilled_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Most tokens that one step can process.
    pub step_token_limit: u32,
    /// Orders with the number of their owner: count by fencing number.
    pub orders_by_fencing: BTreeMap<u64, u32>,
}
