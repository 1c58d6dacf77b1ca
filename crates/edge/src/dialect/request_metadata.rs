//! Metadata of a caller's request.

use std::sync::Arc;

use jasminetack_domain::dispatch;
use jasminetack_domain::name;

/// Metadata in the head of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identifier of the request; each attempt of the caller has a different one.
    pub request_id: name::RequestId,
    /// Time that the caller waits for the response.
    pub deadline_ms: Option<u64>,
    /// Required adapter.
    pub adapter: Option<name::AdapterName>,
    /// Required base model.
    pub base_model: Option<name::BaseModelName>,
    /// Numbers of prompt and answer tokens, if the caller states them.
    pub size: Option<dispatch::RequestSize>,
    /// Segments of the prompt, in order.
    pub prompt_segments: Arc<[dispatch::PromptSegment]>,
}

impl RequestMetadata {
    /// Returns the size; a request that does not state it counts as one without tokens.
    #[must_use]
    pub fn size_or_default(&self) -> dispatch::RequestSize {
        self.size.unwrap_or_default()
    }
}
