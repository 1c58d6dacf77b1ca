//! JSON types of the engine API.

use serde::{Deserialize, Serialize};

/// Request header with the fencing token of the sender.
pub const FENCING_HEADER: &str = "fencing-number";
/// Request header with the id by which a request can be cancelled or resumed.
pub const ENGINE_REQUEST_ID_HEADER: &str = "x-request-id";

/// Request to load an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadAdapter {
    /// Name of the instance.
    pub lora_name: String,
    /// Location of the weights in the weight store, `ADAPTER/VERSION`.
    pub lora_path: String,
}

/// Request to unload an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnloadAdapter {
    /// Name of the instance.
    pub lora_name: String,
}

/// Body of a completion request; fields that are not listed here are passed on unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Adapter name in a caller's request, instance name in a request to an engine.
    pub model: String,
    /// Whether the response is streamed token by token.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Scheduling priority in a request to an engine; lower values run first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<i32>,
    /// Remaining fields.
    #[serde(flatten)]
    pub rest: serde_json::Map<String, serde_json::Value>,
}

/// State of an engine, returned by `/role`.
///
/// A `POST` of [`RoleRequest`] changes the role and, like every control request, raises the
/// highest fencing token that the engine has seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleResponse {
    /// `serving`, or `leaving` when the engine accepts no new work.
    pub role: String,
    /// Base model that the engine serves.
    pub base_model: String,
    /// Number of adapters that can be loaded at the same time.
    pub slots: usize,
    /// Maximum number of requests in the batch.
    pub batch_places: usize,
    /// Highest fencing token seen; 0 when the engine ignores fencing tokens.
    pub highest_fencing: u64,
    /// Changes with each restart of the engine.
    pub incarnation: u64,
}

/// Request to change the role; without a role it only registers the fencing token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleRequest {
    /// `serving` or `leaving`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
}

/// Request to cancel a model request, answered with [`CancelResponse`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Value of the request id header of the request.
    pub request_id: String,
}

/// Response to [`CancelRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelResponse {
    /// Whether the request was queued or running.
    pub cancelled: bool,
}

/// Request to stream a response again from an offset; the engine returns 404 when it does not know
/// the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeRequest {
    /// Value of the request id header of the request.
    pub request_id: String,
    /// Number of tokens already received.
    pub offset: usize,
}

/// Load of an engine at an earlier time, returned by `/load`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests queued for the batch.
    pub waiting: usize,
    /// Requests in the batch.
    pub running: usize,
    /// Number of queued and running requests by instance; instances without requests are omitted.
    pub in_use: std::collections::BTreeMap<String, usize>,
    /// Tokens processed in the last step.
    pub step_tokens: u32,
    /// Maximum number of tokens that one step can process.
    pub step_token_limit: u32,
    /// Age of the report.
    pub age_ms: u64,
}

/// Changes of the prefix cache, returned by `/cache_events?after=SEQUENCE`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events, oldest first; some may be missing.
    pub events: Vec<CacheEvent>,
}

/// One change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Increases by one with each event; a gap means that events are missing.
    pub sequence: u64,
    /// Instance whose prompts can reuse the cache entry.
    pub instance: String,
    /// Hash of the prompt from its start to the end of the cached block.
    pub prefix_hash: u64,
    /// Whether the entry was added; otherwise it was removed.
    pub stored: bool,
}

/// Instances loaded on an engine, returned by `/v1/models`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelList {
    /// Loaded instances.
    pub data: Vec<Model>,
}

/// One entry of [`ModelList`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name of the instance.
    pub id: String,
}

/// Fields that are read from a streamed event or from a complete response body.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct AnswerPart {
    /// Instance that generated the response.
    pub model: Option<String>,
    /// Generated output; each choice of a streamed event carries one token.
    pub choices: Vec<serde::de::IgnoredAny>,
    /// Token counts, sent at the end of a response.
    pub usage: Option<Usage>,
    /// Error that occurred after the response started.
    pub error: Option<serde_json::Value>,
}

/// Token counts of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Usage {
    /// Number of generated tokens.
    pub completion_tokens: u64,
}
