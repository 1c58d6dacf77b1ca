//! Splitting of a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};

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
        // A delimiter that was not found before ends in the new data; it has up to 3 bytes.
        let searched = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(data);
        let Some(end) = last_event_end(&self.partial, searched) else {
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

    /// Takes the remaining data after the end of the stream.
    pub fn take_remainder(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

/// Returns the end of the last complete event; the search for its delimiter starts at `from`.
fn last_event_end(data: &[u8], from: usize) -> Option<usize> {
    let mut end = None;
    for position in from..data.len() {
        if data[position..].starts_with(b"\n\n") {
            end = Some(position + 2);
        } else if data[position..].starts_with(b"\n\r\n") {
            end = Some(position + 3);
        }
    }
    end
}

fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?.trim_ascii();
    (!id.is_empty()).then(|| String::from_utf8_lossy(id).into_owned())
}
