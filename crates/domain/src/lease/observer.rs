//! Observer's side of a session.

use super::{SessionRow, SessionState, SessionWrite, Stored};

/// Watches the session of another daemon and judges its expiry by the observer's own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Observer {
    seen: Stored<SessionRow>,
    seen_since_ms: u64,
}

impl Observer {
    /// Starts to watch a session as it is now.
    #[must_use]
    pub fn new(seen: Stored<SessionRow>, now_ms: u64) -> Self {
        Self { seen, seen_since_ms: now_ms }
    }

    /// Returns the row as last seen.
    #[must_use]
    pub fn row(&self) -> &SessionRow {
        &self.seen.row
    }

    /// Returns the version of the row as last seen.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.seen.version
    }

    /// Returns the row with its version, as last seen.
    #[must_use]
    pub fn seen(&self) -> &Stored<SessionRow> {
        &self.seen
    }

    /// Records the row unless a newer one was seen before.
    pub fn saw(&mut self, stored: Stored<SessionRow>, now_ms: u64) {
        if stored.version < self.seen.version {
            return;
        }
        // The holder may have told the version before the row was read.
        if stored.version > self.seen.version {
            self.seen_since_ms = now_ms;
        }
        self.seen = stored;
    }

    /// Records the holder's own word that it renewed the same incarnation at a version.
    ///
    /// A heartbeat brings it sooner than the next read of the row, so that expiry is measured from
    /// the renewal itself. A wrong word does no harm: the lapse is conditional on the version.
    pub fn heard(&mut self, version: u64, now_ms: u64) {
        if version > self.seen.version {
            self.seen.version = version;
            self.seen_since_ms = now_ms;
        }
    }

    /// Returns the time until the session expires unless it is renewed.
    #[must_use]
    pub fn expires_in_ms(&self, now_ms: u64, ttl_ms: u64) -> u64 {
        (self.seen_since_ms + ttl_ms).saturating_sub(now_ms)
    }

    /// Prepares the write that marks an expired session as lapsed.
    ///
    /// The write is conditional on the version seen, so a renewal that this observer missed, for
    /// instance while it was paused itself, makes it fail.
    #[must_use]
    pub fn lapse(&self, now_ms: u64, ttl_ms: u64) -> Option<SessionWrite> {
        if !self.seen.row.state.holds() || self.expires_in_ms(now_ms, ttl_ms) > 0 {
            return None;
        }
        let mut row = self.seen.row.clone();
        row.state = SessionState::Lapsed;
        Some(SessionWrite { expected: Some(self.seen.version), row })
    }
}
