//! Requests and responses in the format of the OpenAI API.

use std::io::{self, Write};

use jasminetack_wire::engine as wire;
use serde_json::{Value, json};

use super::{FinishReason, Generation, GenerationRequest};
use crate::http;

const DEFAULT_MAX_TOKENS: u32 = 16;

/// Converts a completion request of the API.
#[must_use]
pub fn parse_request(
    completion: &wire::Completion,
    is_chat: bool,
    request_id: String,
) -> GenerationRequest {
    let prompt = match (completion.rest.get("prompt"), completion.rest.get("messages")) {
        (Some(Value::String(prompt)), _) => prompt.clone(),
        (Some(prompt), _) | (None, Some(prompt)) => prompt.to_string(),
        (None, None) => String::new(),
    };
    GenerationRequest {
        request_id,
        instance: completion.model.clone(),
        prompt,
        is_chat,
        max_tokens: completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
        priority: completion.priority.unwrap_or(0),
    }
}

/// Streams the output from a token offset, one event per token.
///
/// # Errors
///
/// Returns an error if the client disconnected.
pub fn stream<Output>(
    generation: &Generation,
    offset: usize,
    model: &str,
    output: Output,
) -> io::Result<()>
where
    Output: Write,
{
    let mut events = http::EventStream::start(output)?;
    let mut sent_tokens = u32::try_from(offset).unwrap_or(u32::MAX);
    loop {
        let (token_count, finish_reason) = generation.wait_for_tokens(sent_tokens);
        for index in sent_tokens..token_count {
            let is_last = index + 1 == generation.max_tokens;
            events.send(&chunk(generation, model, index, is_last).to_string())?;
        }
        sent_tokens = sent_tokens.max(token_count);
        match finish_reason {
            None => {}
            Some(FinishReason::Complete) => break,
            Some(reason) => {
                // The response is incomplete, so [DONE] is omitted.
                events.send(&error_body(reason).to_string())?;
                return events.finish();
            }
        }
    }
    let mut usage_chunk = envelope(generation, model, "chunk");
    usage_chunk["choices"] = json!([]);
    usage_chunk["usage"] = usage(generation);
    events.send(&usage_chunk.to_string())?;
    events.send("[DONE]")?;
    events.finish()
}

/// Waits until the request finishes and returns the status and body of the response.
#[must_use]
pub fn complete(generation: &Generation, model: &str) -> (u16, Value) {
    match generation.wait_for_tokens(u32::MAX) {
        (_, Some(FinishReason::Complete)) => {}
        (_, reason) => return (500, error_body(reason.unwrap_or(FinishReason::Cancelled))),
    }
    let text: String = (0..generation.max_tokens).map(|index| generation.token(index)).collect();
    let mut body = envelope(generation, model, "");
    body["choices"] = if generation.is_chat {
        let message = json!({ "role": "assistant", "content": text });
        json!([{ "index": 0, "message": message, "finish_reason": "length" }])
    } else {
        json!([{ "index": 0, "text": text, "finish_reason": "length" }])
    };
    body["usage"] = usage(generation);
    (200, body)
}

fn chunk(generation: &Generation, model: &str, index: u32, is_last: bool) -> Value {
    let finish_reason = if is_last { json!("length") } else { Value::Null };
    let text = generation.token(index);
    let mut chunk = envelope(generation, model, "chunk");
    chunk["choices"] = if generation.is_chat {
        json!([{ "index": 0, "delta": { "content": text }, "finish_reason": finish_reason }])
    } else {
        json!([{ "index": 0, "text": text, "finish_reason": finish_reason }])
    };
    chunk
}

fn envelope(generation: &Generation, model: &str, object_kind: &str) -> Value {
    let object = match (generation.is_chat, object_kind) {
        (true, "chunk") => "chat.completion.chunk",
        (true, _) => "chat.completion",
        (false, _) => "text_completion",
    };
    json!({ "id": generation.request_id, "object": object, "model": model })
}

fn usage(generation: &Generation) -> Value {
    let prompt_tokens = generation.prompt_tokens();
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": generation.max_tokens,
        "total_tokens": prompt_tokens + generation.max_tokens,
        "prompt_tokens_details": { "cached_tokens": generation.cached_tokens },
    })
}

fn error_body(reason: FinishReason) -> Value {
    let code = match reason {
        FinishReason::Complete => "complete",
        FinishReason::Cancelled => "cancelled",
        FinishReason::Unloaded => "unloaded",
    };
    json!({ "error": { "message": format!("the request was {code}"), "code": code } })
}
