//! Ends of events in a server-sent event stream.

/// Ends of an event: an empty line.
const DELIMITERS: [&[u8]; 2] = [b"\n\n", b"\n\r\n"];
/// Length of the longest delimiter.
pub(super) const MAX_DELIMITER_BYTES: usize = 3;

/// Returns the position after the last event that ends at or after `from`.
pub(super) fn last_event_end(data: &[u8], from: usize) -> Option<usize> {
    let ends_at =
        |end: &usize| DELIMITERS.iter().any(|delimiter| data[..*end].ends_with(delimiter));
    (from..=data.len()).rev().find(ends_at)
}

/// Tells whether the data of a stream ends inside an event, without keeping the data.
#[derive(Debug, Default)]
pub(super) struct EventEnd {
    /// Last bytes of the data, as many as a delimiter may have.
    last: Vec<u8>,
}

impl EventEnd {
    /// Appends data.
    pub fn push(&mut self, data: &[u8]) {
        let kept = &data[data.len().saturating_sub(MAX_DELIMITER_BYTES)..];
        self.last.extend_from_slice(kept);
        self.last.drain(..self.last.len().saturating_sub(MAX_DELIMITER_BYTES));
    }

    /// Returns whether the data ends inside an event.
    pub fn is_inside_event(&self) -> bool {
        !self.last.is_empty() && last_event_end(&self.last, self.last.len()).is_none()
    }
}
