//! JSON types of the engine API.

use serde::{Deserialize, Serialize};

/// Header that carries the fencing number of an order or request.
pub const FENCING_HEADER: &str = "fencing-number";
/// Header that names a request so that it can be cancelled or resumed.
pub const ENGINE_REQUEST_HEADER: &str = "x-request-id";

/// Order to load an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadAdapter {
    /// Name of the instance.
    pub lora_name: String,
    /// Where the weights are: `ADAPTER/VERSION` of the weight store.
    pub lora_path: String,
}

/// Order to unload an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnloadAdapter {
    /// Name of the instance.
    pub lora_name: String,
}

/// Body of a completion request; fields that are not read pass through unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Adapter as the caller named it, or the instance name towards an engine.
    pub model: String,
    /// Whether tokens are streamed.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Scheduling priority towards an engine; lower runs first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<i32>,
    /// All other fields.
    #[serde(flatten)]
    pub rest: serde_json::Map<String, serde_json::Value>,
}

/// State of an engine, answered by `/role`.
///
/// A `POST` of [`RoleOrder`] changes the role and, like any order, raises the highest fencing
/// number that the engine has seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleReport {
    /// `serving`, or `leaving` when the engine takes no new work.
    pub role: String,
    /// Base model that the engine serves.
    pub base_model: String,
    /// Adapters that the engine can hold.
    pub slots: usize,
    /// Requests that run at one time.
    pub batch_places: usize,
    /// Highest fencing number seen; 0 for an engine that ignores them.
    pub highest_fencing: u64,
    /// Differs after each restart of the engine.
    pub incarnation: u64,
}

/// Order to change the role; without a role it only presents the fencing number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleOrder {
    /// `serving` or `leaving`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
}

/// Order to end a request, answered with [`Cancelled`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelOrder {
    /// Value of the request id header of the request.
    pub request_id: String,
}

/// Answer to [`CancelOrder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// Whether the request was waiting or running.
    pub cancelled: bool,
}

/// Order to stream a request's answer again from an offset; 404 when the engine does not know the
/// request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeOrder {
    /// Value of the request id header of the request.
    pub request_id: String,
    /// Tokens that were received.
    pub offset: usize,
}

/// Load of an engine some time ago, answered by `/load`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that wait for a batch place.
    pub waiting: usize,
    /// Requests in the batch.
    pub running: usize,
    /// Waiting and running requests of each instance that has any.
    pub in_use: std::collections::BTreeMap<String, usize>,
    /// Tokens processed in the last step.
    pub step_tokens: u32,
    /// Most tokens that one step can process.
    pub step_token_limit: u32,
    /// Age of this report.
    pub age_ms: u64,
}

/// Changes of the prefix cache, answered by `/cache_events?after=SEQUENCE`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events, oldest first; events may be missing.
    pub events: Vec<CacheEvent>,
}

/// One change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Rises by one with each event; a gap shows that an event is missing.
    pub sequence: u64,
    /// Instance whose prompts the entry serves.
    pub instance: String,
    /// Hash of the prompt up to the end of the block.
    pub prefix_hash: u64,
    /// Whether the entry was stored; otherwise it was removed.
    pub stored: bool,
}

/// Instances that an engine holds, answered by `/v1/models`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelList {
    /// The instances.
    pub data: Vec<Model>,
}

/// One entry of [`ModelList`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name of the instance.
    pub id: String,
}

/// What is read of an answer: of one streamed event or of the whole body.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct AnswerPart {
    /// Instance that answered.
    pub model: Option<String>,
    /// Output; each choice of a streamed event carries one token.
    pub choices: Vec<serde::de::IgnoredAny>,
    /// Token counts, at the end of an answer.
    pub usage: Option<Usage>,
    /// Failure after the answer began.
    pub error: Option<serde_json::Value>,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Usage {
    /// Tokens generated.
    pub completion_tokens: u64,
}
