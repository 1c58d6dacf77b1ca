//! Splitting of a stream into whole events.

use bytes::{Bytes, BytesMut};

/// Longest event; a longer one is passed on in pieces.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Holds the beginning of an event back until its end has arrived.
///
/// A stream can be continued elsewhere only between two events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventBuffer {
    /// Adds data and returns the events that are whole now.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        // An end that was not found before can only lie in the new data or across its beginning.
        let searched = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(data);
        let Some(end) = last_event_end(&self.partial, searched) else {
            if self.partial.len() > MAX_EVENT_BYTES {
                return self.partial.split().freeze();
            }
            return Bytes::new();
        };
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Returns the identifier of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Drops the beginning of an event that will not be completed.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Takes what is left after the end of the stream.
    pub fn take_remainder(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

/// Returns the end of the last whole event; `from` is where an end may begin.
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
