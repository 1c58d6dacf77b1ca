//! Requests and their output.

use parking_lot::{Condvar, Mutex};
use xxhash_rust::xxh3;

/// A request and its output, written by the step loop and read by connection threads.
#[derive(Debug)]
pub struct Generation {
    /// Request ID from the request header.
    pub request_id: String,
    /// Adapter instance that runs the request.
    pub instance: String,
    /// Weights that produce the output, as `ADAPTER/VERSION`.
    pub source: String,
    /// Prompt text.
    pub prompt: String,
    /// Whether responses use the chat completion format.
    pub is_chat: bool,
    /// Number of tokens to generate.
    pub max_tokens: u32,
    /// Number of prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    output: Mutex<Output>,
    changed: Condvar,
}

/// Parameters of a generation request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GenerationRequest {
    /// Request ID from the request header.
    pub request_id: String,
    /// Requested adapter instance.
    pub instance: String,
    /// Prompt text.
    pub prompt: String,
    /// Whether responses use the chat completion format.
    pub is_chat: bool,
    /// Number of tokens to generate.
    pub max_tokens: u32,
    /// Scheduling priority; lower values are admitted first.
    pub priority: i32,
}

#[derive(Debug, Default)]
struct Output {
    token_count: u32,
    finish_reason: Option<FinishReason>,
    detached_at_ms: Option<u64>,
}

/// Why a request finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// All requested tokens were generated.
    Complete,
    /// Cancelled explicitly, or because its connection was lost for too long.
    Cancelled,
    /// The instance was unloaded.
    Unloaded,
}

impl Generation {
    /// Creates the empty output of a request.
    #[must_use]
    pub fn new(request: GenerationRequest, source: &str, cached_tokens: u32) -> Self {
        Self {
            request_id: request.request_id,
            instance: request.instance,
            source: source.to_owned(),
            prompt: request.prompt,
            is_chat: request.is_chat,
            max_tokens: request.max_tokens,
            cached_tokens,
            output: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Returns the number of prompt tokens, at four bytes per token.
    #[must_use]
    pub fn prompt_tokens(&self) -> u32 {
        u32::try_from(self.prompt.len().div_ceil(4)).unwrap_or(u32::MAX).max(1)
    }

    /// Appends a token; the last one completes the request.
    pub fn push_token(&self) {
        let mut output = self.output.lock();
        if output.finish_reason.is_some() {
            return;
        }
        output.token_count += 1;
        if output.token_count >= self.max_tokens {
            output.finish_reason = Some(FinishReason::Complete);
        }
        self.changed.notify_all();
    }

    /// Finishes the request early; returns `false` if it had already finished.
    pub fn finish(&self, reason: FinishReason) -> bool {
        let mut output = self.output.lock();
        let was_unfinished = output.finish_reason.is_none();
        output.finish_reason.get_or_insert(reason);
        self.changed.notify_all();
        was_unfinished
    }

    /// Returns why the request finished, or `None` if it has not.
    #[must_use]
    pub fn finish_reason(&self) -> Option<FinishReason> {
        self.output.lock().finish_reason
    }

    /// Blocks until more than `offset` tokens exist or the request has finished; returns the token
    /// count and the finish reason.
    #[must_use]
    pub fn wait_for_tokens(&self, offset: u32) -> (u32, Option<FinishReason>) {
        let mut output = self.output.lock();
        while output.token_count <= offset && output.finish_reason.is_none() {
            self.changed.wait(&mut output);
        }
        (output.token_count, output.finish_reason)
    }

    /// Sets the time since which no connection reads the output; `None` if one does.
    pub fn set_detached(&self, detached_at_ms: Option<u64>) {
        self.output.lock().detached_at_ms = detached_at_ms;
    }

    /// Returns the time since which no connection reads the output; `None` if one does.
    #[must_use]
    pub fn detached_at_ms(&self) -> Option<u64> {
        self.output.lock().detached_at_ms
    }

    /// Returns the text of a token.
    ///
    /// The first token contains the weights and the second one a hash of the prompt, so that a test
    /// can detect responses from the wrong adapter or to another request.
    #[must_use]
    pub fn token(&self, index: u32) -> String {
        token(&self.source, &self.prompt, index)
    }
}

/// Returns the text that an engine generates for a prompt with the weights `ADAPTER/VERSION`.
#[must_use]
pub fn expected_text(source: &str, prompt: &str, max_tokens: u32) -> String {
    (0..max_tokens).map(|index| token(source, prompt, index)).collect()
}

fn token(source: &str, prompt: &str, index: u32) -> String {
    match index {
        0 => format!("{source} "),
        1 => format!("{:016x} ", xxh3::xxh3_64(prompt.as_bytes())),
        _ => format!("t{index} "),
    }
}
