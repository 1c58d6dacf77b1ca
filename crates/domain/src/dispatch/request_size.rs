//! Size of a request in tokens.

/// Size of a request in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Tokens of the prompt; 0 for a call to an app service.
    pub prompt_tokens: u32,
    /// Maximum number of tokens of the answer.
    pub answer_tokens: u32,
}

impl RequestSize {
    /// Returns the tokens that the request takes of a worker's memory when its answer is complete.
    #[must_use]
    pub fn memory_tokens(self) -> u32 {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }

    /// Returns whether the request generates tokens.
    #[must_use]
    pub fn is_generation(self) -> bool {
        self.prompt_tokens > 0 || self.answer_tokens > 0
    }
}
