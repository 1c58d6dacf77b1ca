//! Output of one request.

use parking_lot::{Condvar, Mutex};
use xxhash_rust::xxh3;

/// Output of one request, written by the step thread and read by connections.
#[derive(Debug)]
pub struct Generation {
    /// Value of the request id header.
    pub request_id: String,
    /// Instance that runs the request.
    pub instance: String,
    /// Path of the weights that produce the answer, `ADAPTER/VERSION`.
    pub source: String,
    /// Prompt.
    pub prompt: String,
    /// Whether answers have the shape of chat completions.
    pub is_chat: bool,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    output: Mutex<Output>,
    changed: Condvar,
}

/// A request as an engine accepts it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GenerationRequest {
    /// Value of the request id header.
    pub request_id: String,
    /// Instance that is to run the request.
    pub instance: String,
    /// Prompt.
    pub prompt: String,
    /// Whether answers have the shape of chat completions.
    pub is_chat: bool,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// A lower value enters the batch first.
    pub priority: i32,
}

#[derive(Debug, Default)]
struct Output {
    token_count: u32,
    end: Option<FinishReason>,
    detached_at_ms: Option<u64>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// All tokens were generated.
    Complete,
    /// It was cancelled or its connection was lost for too long.
    Cancelled,
    /// Its instance was unloaded.
    Unloaded,
}

impl Generation {
    /// Creates the output of a request that has not started.
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

    /// Counts the tokens of the prompt, four characters each.
    #[must_use]
    pub fn prompt_tokens(&self) -> u32 {
        u32::try_from(self.prompt.len().div_ceil(4)).unwrap_or(u32::MAX).max(1)
    }

    /// Appends a token and ends the request after the last one.
    pub fn push_token(&self) {
        let mut output = self.output.lock();
        if output.end.is_some() {
            return;
        }
        output.token_count += 1;
        if output.token_count >= self.max_tokens {
            output.end = Some(FinishReason::Complete);
        }
        self.changed.notify_all();
    }

    /// Ends the request early; returns whether it had not ended before.
    pub fn end(&self, reason: FinishReason) -> bool {
        let mut output = self.output.lock();
        let was_unfinished = output.end.is_none();
        output.end.get_or_insert(reason);
        self.changed.notify_all();
        was_unfinished
    }

    /// Returns how the request ended.
    #[must_use]
    pub fn ended(&self) -> Option<FinishReason> {
        self.output.lock().end
    }

    /// Waits for a token after an offset or the end, and returns how many there are.
    #[must_use]
    pub fn wait_for_tokens(&self, offset: u32) -> (u32, Option<FinishReason>) {
        let mut output = self.output.lock();
        while output.token_count <= offset && output.end.is_none() {
            self.changed.wait(&mut output);
        }
        (output.token_count, output.end)
    }

    /// Records that no connection reads the output any more, or that one does again.
    pub fn set_detached(&self, detached_at_ms: Option<u64>) {
        self.output.lock().detached_at_ms = detached_at_ms;
    }

    /// Returns since when no connection reads the output.
    #[must_use]
    pub fn detached_at_ms(&self) -> Option<u64> {
        self.output.lock().detached_at_ms
    }

    /// Returns the text of a token.
    ///
    /// The first token names the weights and the second one the prompt, so that a reader can tell
    /// whose answer it holds.
    #[must_use]
    pub fn token(&self, index: u32) -> String {
        token(&self.source, &self.prompt, index)
    }
}

/// Returns the answer that an engine gives to a prompt with the weights `ADAPTER/VERSION`.
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
