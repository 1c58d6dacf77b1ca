//! Events of a streamed answer.

use bytes::{Bytes, BytesMut};

/// Longest event that is kept while its end has not arrived.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a byte stream into server-sent events.
///
/// Only whole events reach the caller, so that an answer that breaks inside an event can be
/// continued with the next one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

/// One server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event as it was received, with the empty line at its end.
    pub raw: Bytes,
}

impl EventSplitter {
    /// Adds received bytes; `false` when an event is longer than allowed.
    #[must_use]
    pub fn push(&mut self, data: &[u8]) -> bool {
        self.buffer.extend_from_slice(data);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
        let raw = self.buffer.split_to(end + 2).freeze();
        Some(Event { raw })
    }
}

impl Event {
    /// Returns the data of the event; `None` for a comment.
    pub fn data(&self) -> Option<&[u8]> {
        let data = self.raw.strip_prefix(b"data:")?;
        Some(data.trim_ascii())
    }
}
