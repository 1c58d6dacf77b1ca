//! What a worker's memory means for one request.

/// What a worker's memory means for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefixEstimate {
    /// Tokens at the beginning of the prompt that the worker is expected to hold.
    pub held_tokens: u32,
    /// Tokens of the prompt that the worker has to read.
    pub unread_tokens: u32,
    /// Time that the held tokens save.
    pub saved_ms: f64,
    /// Tokens that fit into the worker's memory beside the running requests; `None` if its memory is not
    /// known.
    pub room_tokens: Option<u32>,
}
