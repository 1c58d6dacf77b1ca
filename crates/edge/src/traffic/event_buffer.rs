//! Splitting of a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};

use super::event_end::{self, MAX_DELIMITER_BYTES};

/// Longest event; a longer one is not the answer of a sound worker.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Buffers an incomplete event until its end has arrived.
///
/// Another worker can resume a stream only between two events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventBuffer {
    /// Appends data and returns the events that are complete; `None` when an event is too long.
    pub fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        // A delimiter that was not found before ends in the new data.
        let searched = self.partial.len().saturating_sub(MAX_DELIMITER_BYTES);
        self.partial.extend_from_slice(data);
        let Some(end) = event_end::last_event_end(&self.partial, searched) else {
            return (self.partial.len() <= MAX_EVENT_BYTES).then(Bytes::new);
        };
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Returns the last event ID among the complete events.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Discards the incomplete event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns whether the data so far ends inside an event.
    pub fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?.trim_ascii();
    (!id.is_empty()).then(|| String::from_utf8_lossy(id).into_owned())
}
