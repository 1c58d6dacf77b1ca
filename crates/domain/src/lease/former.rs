//! Former owners of a worker.

use super::{Holder, ReleasedRow, SessionRow, SessionState};
use crate::adapter;

/// A former owner whose late orders may still reach the engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Former {
    /// Fencing number of the former ownership.
    pub fencing: adapter::FencingToken,
    /// Incarnation that owned the worker.
    pub holder: Holder,
    /// Incarnation of its host in the platform's host list; 0 when unknown.
    pub host_incarnation: u64,
}

impl Former {
    /// Tells whether a session row proves that the former owner sends nothing any more.
    ///
    /// A lapse proves nothing, since a paused process may resume, and neither does a later
    /// incarnation of the same process, which still finishes the requests of the former one.
    #[must_use]
    pub fn ended_by_session(&self, session: &SessionRow) -> bool {
        if session.host != self.holder.host {
            return false;
        }
        if session.incarnation < self.holder.incarnation {
            return false;
        }
        if session.state == SessionState::Ended && self.same_process(session) {
            return true;
        }
        self.host_incarnation > 0 && session.host_incarnation > self.host_incarnation
    }

    fn same_process(&self, session: &SessionRow) -> bool {
        let same_host =
            self.host_incarnation > 0 && session.host_incarnation == self.host_incarnation;
        session.incarnation == self.holder.incarnation || same_host
    }

    /// Tells whether a `released` row is this ownership's own statement that it finished.
    #[must_use]
    pub fn ended_by_release(&self, released: &ReleasedRow) -> bool {
        released.fencing == self.fencing && released.holder == self.holder
    }

    /// Tells whether the host list proves that the former owner's process is gone.
    ///
    /// `highest_seen` is the highest incarnation of the host that any list showed, `listed` the one
    /// in the present list. An absent host proves nothing unless a list showed the incarnation
    /// before, because the list lags and may not know the host yet.
    #[must_use]
    pub fn ended_by_host_list(&self, highest_seen: Option<u64>, listed: Option<u64>) -> bool {
        if self.host_incarnation == 0 {
            return false;
        }
        match (highest_seen, listed) {
            (_, Some(listed)) => listed > self.host_incarnation,
            (Some(highest), None) => highest >= self.host_incarnation,
            (None, None) => false,
        }
    }
}
