//! Messages between daemons about the quota of one team.

use crate::name;

/// Loan of a share to the exchange; it replaces the sender's previous loan to the receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct Loan {
    /// The team.
    pub team: name::TeamName,
    /// Share of the team's rate.
    pub share: f64,
    /// Tokens that are moved along with it.
    pub tokens: f64,
    /// Store time until which the exchange may use it.
    pub until_store_ms: u64,
}

/// Request of a daemon with demand to the exchange.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareRequest {
    /// The team.
    pub team: name::TeamName,
    /// Share that the daemon needs beyond its own.
    pub share: f64,
    /// Share below which the daemon prefers single tokens, because its bucket would be too small for
    /// its requests.
    pub min_share: f64,
    /// Tokens that waiting requests lack.
    pub tokens: f64,
    /// Time of the request on the sender's clock.
    pub sent_ms: u64,
    /// Time of the request to which the sender has received the last grant; that grant has replaced
    /// earlier ones.
    pub granted_ms: u64,
}

/// Response of the exchange; the share replaces the one that it granted the receiver before.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The team.
    pub team: name::TeamName,
    /// Granted share.
    pub share: f64,
    /// Tokens that are moved along with it.
    pub tokens: f64,
    /// Time of the request on the receiver's clock, from which the duration of the grant counts; 0
    /// in a grant without a request, which only states what is held.
    pub requested_ms: u64,
    /// Whether the exchange had fewer tokens than requested.
    pub is_exhausted: bool,
    /// Share that the exchange holds as a loan of the receiver, which may have forgotten it in a
    /// restart.
    pub held_share: f64,
    /// Store time until which the exchange holds it.
    pub held_until_store_ms: u64,
}
