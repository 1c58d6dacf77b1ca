//! Splitting of a response stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum number of received bytes that are buffered.
const MAX_BUFFER_BYTES: usize = 1024 * 1024;

/// Splits a byte stream into server-sent events.
///
/// Only complete events are returned, so that a response whose connection breaks within an event
/// can be resumed after the last complete one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

/// One server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event as received, including the blank line that ends it.
    pub raw: Bytes,
}

impl EventSplitter {
    /// Adds received bytes; returns `false` when the buffer exceeds its limit.
    #[must_use]
    pub fn push(&mut self, data: &[u8]) -> bool {
        self.buffer.extend_from_slice(data);
        self.buffer.len() <= MAX_BUFFER_BYTES
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
        let raw = self.buffer.split_to(end + 2).freeze();
        Some(Event { raw })
    }
}

impl Event {
    /// Returns the value of the `data` field; `None` for an event that does not start with one,
    /// such as a comment.
    pub fn data(&self) -> Option<&[u8]> {
        let data = self.raw.strip_prefix(b"data:")?;
        Some(data.trim_ascii())
    }
}
