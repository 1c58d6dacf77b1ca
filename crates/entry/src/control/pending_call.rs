//! Calls to the platform whose replies are outstanding.

use jasminetack_domain::lease;
use jasminetack_domain::name;

/// Purpose of an outstanding call to the platform.
#[derive(Clone, Debug)]
pub enum PendingCall {
    /// Reads the session row that an earlier process on this host wrote.
    FindSession,
    /// Renews the local session.
    Renew(lease::SessionRow),
    /// Marks the expired session of another daemon as lapsed.
    Lapse(lease::SessionRow),
    /// Claims or hands over a worker.
    Claim(lease::OwnerChange),
    /// Reads an owner row after a lost reply, or after an engine refused the fencing token.
    ReadOwner(name::WorkerName),
    /// Reads the session row of another daemon.
    ReadSession(name::HostName),
    /// Writes the release row of a former ownership that has finished.
    Release(lease::ReleasedRow),
}
