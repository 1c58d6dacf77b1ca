//! Holder's side of a session.

use super::{Holder, SessionRow, SessionState, Stored};

/// The session of this daemon.
///
/// Every write is a compare-and-set on the version seen last. A write whose reply was lost is
/// repeated: if it had taken effect, the repeated write conflicts and the conflict shows the own
/// row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Session {
    row: SessionRow,
    version: Option<u64>,
}

/// A write of a session row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SessionWrite {
    /// Version that the stored row must have; `None` when there must be no row.
    pub expected: Option<u64>,
    /// The new row.
    pub row: SessionRow,
}

/// What a refused write of the own session means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// An earlier write had taken effect although its reply was lost; the session goes on.
    Landed,
    /// The incarnation is over: new dispatch must stop, and a new incarnation begins.
    Superseded,
}

impl Session {
    /// Starts a session after the row that was found; `random` separates processes.
    #[must_use]
    pub fn start(mut row: SessionRow, found: Option<&Stored<SessionRow>>, random: u64) -> Self {
        let last = found.map_or(super::Incarnation::default(), |found| found.row.incarnation);
        row.incarnation = last.restarted(random);
        row.state = SessionState::Live;
        row.renewals = 0;
        Self { row, version: found.map(|found| found.version) }
    }

    /// Returns the present incarnation.
    #[must_use]
    pub fn holder(&self) -> Holder {
        self.row.holder()
    }

    /// Returns the row as last written.
    #[must_use]
    pub fn row(&self) -> &SessionRow {
        &self.row
    }

    /// Returns the version of the last write known to have taken effect.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Changes the state that the next renewal writes.
    pub fn set_state(&mut self, state: SessionState) {
        self.row.state = state;
    }

    /// Prepares the next renewal.
    pub fn renew(&mut self, table_version: u64) -> SessionWrite {
        self.row.renewals += 1;
        self.row.table_version = table_version;
        SessionWrite { expected: self.version, row: self.row.clone() }
    }

    /// Records that a renewal took effect.
    pub fn committed(&mut self, version: u64) {
        self.version = Some(version);
    }

    /// Records that a renewal was refused because the stored row has another version.
    pub fn refused(&mut self, stored: Option<&Stored<SessionRow>>) -> Refusal {
        self.version = stored.map(|stored| stored.version);
        let last = stored.map_or(self.row.incarnation, |stored| stored.row.incarnation);
        let landed = stored.is_some_and(|stored| {
            stored.row.incarnation == self.row.incarnation && stored.row.state.holds_lease()
        });
        if landed {
            return Refusal::Landed;
        }
        self.row.incarnation = last.max(self.row.incarnation).next();
        self.row.renewals = 0;
        Refusal::Superseded
    }
}
