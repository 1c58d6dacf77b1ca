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
