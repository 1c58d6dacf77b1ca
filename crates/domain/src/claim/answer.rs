//! Recorded answers.

use std::sync::Arc;

/// Answer of a call as stored in its claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: Arc<str>,
    /// Body, or `None` if it was too long to record.
    pub body: Option<Arc<[u8]>>,
}
