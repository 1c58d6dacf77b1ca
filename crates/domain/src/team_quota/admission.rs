//! Decision about a request at the quota of its team.

/// Decision about a request at the quota of its team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The request was charged.
    Admitted,
    /// The daemon has too few tokens, but the exchange may have some: request them and try again.
    AwaitTokens,
    /// The team has used its quota.
    Refused {
        /// Time until this daemon will have enough tokens.
        available_in_ms: u64,
    },
}
