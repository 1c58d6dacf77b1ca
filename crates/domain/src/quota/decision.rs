//! Decisions of a home daemon.

/// Decision of a home on a request for one permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The holder receives the permit.
    Granted,
    /// The ceiling is reached.
    Denied,
    /// The home took over recently and does not know all permits in use yet.
    NotReady,
}
