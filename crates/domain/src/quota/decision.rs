//! Answer of a home to a holder.

/// Answer of a home to a request for one permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The holder may run one more request.
    Granted,
    /// The ceiling is reached.
    Denied,
    /// The home took over a moment ago and does not know all permits in use yet.
    NotReady,
}
