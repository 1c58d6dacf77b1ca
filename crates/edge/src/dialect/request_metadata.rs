//! Facts of a caller's request.

use std::sync::Arc;

use jasminetack_domain::dispatch;
use jasminetack_domain::name;

/// What the head of a caller's request says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identifier of the request; the caller gives each of its attempts another one.
    pub request_id: name::RequestId,
    /// How long the caller waits.
    pub deadline_ms: Option<u64>,
    /// Adapter that must answer.
    pub adapter: Option<name::AdapterName>,
    /// Base model that must answer.
    pub base_model: Option<name::BaseModelName>,
    /// Work that the request asks for.
    pub size: dispatch::RequestSize,
    /// Parts of the prompt, in order.
    pub prompt_segments: Arc<[dispatch::PromptSegment]>,
}
