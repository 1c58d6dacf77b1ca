//! Calls to the platform whose results the control thread awaits.

use jasminetack_domain::lease;
use jasminetack_domain::name;

/// What an outstanding call to the platform is for.
#[derive(Clone, Debug)]
pub enum PendingCall {
    /// Reads the row that an earlier process of this host left.
    FindSession,
    /// Renews the own session.
    Renew(lease::SessionRow),
    /// Marks the session of another daemon as lapsed.
    Lapse(lease::SessionRow),
    /// Changes the owner of a worker.
    Claim(lease::OwnerChange),
    /// Reads an owner row, after a lost reply or a refusal by an engine.
    ReadOwner(name::WorkerName),
    /// Reads the session row of another daemon.
    ReadSession(name::HostName),
    /// Writes that a former ownership has finished.
    Release(lease::ReleasedRow),
}
