//! What a request asks of a worker.

/// Work of one request at a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Tokens of the prompt; 0 for a call to an application service.
    pub prompt_tokens: u32,
    /// Most tokens that the answer may have.
    pub answer_tokens: u32,
}

impl RequestSize {
    /// Returns whether the request generates tokens.
    #[must_use]
    pub fn is_generation(self) -> bool {
        self.prompt_tokens > 0 || self.answer_tokens > 0
    }
}
