//! Answers of calls.

use std::sync::Arc;

/// Answer of a call as it is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Arc<str>,
    /// Body; `None` when it was too long to record.
    pub body: Option<Arc<[u8]>>,
}
