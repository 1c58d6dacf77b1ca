//! Observer side of a session.

use super::{SessionRow, SessionState, SessionWrite, Stored};

/// Tracks the session of another daemon and determines its expiry by the observer's own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Observer {
    stored: Stored<SessionRow>,
    version_seen_ms: u64,
}

impl Observer {
    /// Creates an observer that counts the TTL of the stored row from `now_ms`.
    #[must_use]
    pub fn new(stored: Stored<SessionRow>, now_ms: u64) -> Self {
        Self { stored, version_seen_ms: now_ms }
    }

    /// Returns the last observed row.
    #[must_use]
    pub fn row(&self) -> &SessionRow {
        &self.stored.row
    }

    /// Returns the last observed version of the row.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.stored.version
    }

    /// Returns the last observed row with its version.
    #[must_use]
    pub fn stored(&self) -> &Stored<SessionRow> {
        &self.stored
    }

    /// Records a read of the row unless a newer version was observed before.
    pub fn observe(&mut self, stored: Stored<SessionRow>, now_ms: u64) {
        if stored.version < self.stored.version {
            return;
        }
        // A heartbeat may have reported this version before the row was read.
        if stored.version > self.stored.version {
            self.version_seen_ms = now_ms;
        }
        self.stored = stored;
    }

    /// Records a renewal of the same incarnation that the holder reported in a heartbeat.
    ///
    /// Heartbeats arrive sooner than the next read of the row, so expiry is measured from the
    /// renewal itself. A wrong report is harmless: the lapse is conditional on the version.
    pub fn record_renewal(&mut self, version: u64, now_ms: u64) {
        if version > self.stored.version {
            self.stored.version = version;
            self.version_seen_ms = now_ms;
        }
    }

    /// Returns the time until the session expires if it is not renewed.
    #[must_use]
    pub fn expires_in_ms(&self, now_ms: u64, ttl_ms: u64) -> u64 {
        (self.version_seen_ms + ttl_ms).saturating_sub(now_ms)
    }

    /// Prepares the write that marks an expired session as lapsed.
    ///
    /// The write is conditional on the observed version, so it fails if this observer missed a
    /// renewal, for example while its own process was paused.
    #[must_use]
    pub fn lapse(&self, now_ms: u64, ttl_ms: u64) -> Option<SessionWrite> {
        if !self.stored.row.state.holds_lease() || self.expires_in_ms(now_ms, ttl_ms) > 0 {
            return None;
        }
        let mut row = self.stored.row.clone();
        row.state = SessionState::Lapsed;
        Some(SessionWrite { expected_version: Some(self.stored.version), row })
    }
}
