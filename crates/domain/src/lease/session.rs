//! Holder side of a session.

use super::{Holder, SessionRow, SessionState, Stored};

/// Session of the local daemon.
///
/// Each write is a compare-and-set on the last known version. A write whose reply was lost is
/// retried: if the first write was committed, the retry conflicts and the conflict returns the row
/// of this session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Session {
    row: SessionRow,
    version: Option<u64>,
}

/// Conditional write of a session row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SessionWrite {
    /// Required version of the stored row; `None` requires that the row is absent.
    pub expected_version: Option<u64>,
    /// New row.
    pub row: SessionRow,
}

/// Meaning of a conflicting write of the local session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RenewalConflict {
    /// An earlier write was committed although its reply was lost; the session continues.
    AlreadyCommitted,
    /// The incarnation has ended: dispatch under it must stop, and a new incarnation begins.
    Superseded,
}

impl Session {
    /// Creates a session that follows the stored row; `random` separates concurrent processes.
    #[must_use]
    pub fn start(mut row: SessionRow, found: Option<&Stored<SessionRow>>, random: u64) -> Self {
        let last = found.map_or(super::Incarnation::default(), |found| found.row.incarnation);
        row.incarnation = last.restarted(random);
        row.state = SessionState::Live;
        row.renewals = 0;
        Self { row, version: found.map(|found| found.version) }
    }

    /// Returns the host and current incarnation.
    #[must_use]
    pub fn holder(&self) -> Holder {
        self.row.holder()
    }

    /// Returns the current row.
    #[must_use]
    pub fn row(&self) -> &SessionRow {
        &self.row
    }

    /// Returns the version of the last write known to be committed.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Sets the state that the next renewal writes.
    pub fn set_state(&mut self, state: SessionState) {
        self.row.state = state;
    }

    /// Prepares the next renewal.
    pub fn renew(&mut self, table_version: u64) -> SessionWrite {
        self.row.renewals += 1;
        self.row.table_version = table_version;
        SessionWrite { expected_version: self.version, row: self.row.clone() }
    }

    /// Records that a renewal was committed.
    pub fn record_commit(&mut self, version: u64) {
        self.version = Some(version);
    }

    /// Records that a renewal conflicted with another version of the stored row.
    pub fn record_conflict(&mut self, stored: Option<&Stored<SessionRow>>) -> RenewalConflict {
        self.version = stored.map(|stored| stored.version);
        let last = stored.map_or(self.row.incarnation, |stored| stored.row.incarnation);
        let is_own_write = stored.is_some_and(|stored| {
            stored.row.incarnation == self.row.incarnation && stored.row.state.holds_lease()
        });
        if is_own_write {
            return RenewalConflict::AlreadyCommitted;
        }
        self.row.incarnation = last.max(self.row.incarnation).next();
        self.row.renewals = 0;
        RenewalConflict::Superseded
    }
}
