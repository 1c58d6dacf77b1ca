//! Former owners of a worker.

use super::{Holder, ReleasedRow, SessionRow, SessionState};
use crate::adapter;

/// Former owner whose delayed orders may still reach the engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FormerOwner {
    /// Fencing number of the former ownership.
    pub fencing: adapter::FencingToken,
    /// Session incarnation that owned the worker.
    pub holder: Holder,
    /// Incarnation of the owner's host in the platform's host list; 0 when unknown.
    pub host_incarnation: u64,
}

impl FormerOwner {
    /// Returns whether a session row proves that the former owner sends no further orders.
    ///
    /// A lapse is no proof, since a paused process may resume. Neither is a later incarnation of the
    /// same process, which still completes the requests of the earlier incarnation.
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

    /// Returns whether a `released` row was written for this ownership.
    #[must_use]
    pub fn ended_by_release(&self, released: &ReleasedRow) -> bool {
        released.fencing == self.fencing && released.holder == self.holder
    }

    /// Returns whether the host list proves that the former owner's process has terminated.
    ///
    /// `highest_seen` is the highest incarnation of the host in any list so far, `listed` the one in
    /// the current list. The absence of a host is proof only if an earlier list contained the
    /// incarnation, because the list lags and may not contain a new host yet.
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
