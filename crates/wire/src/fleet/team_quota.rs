//! Shares in the rates of teams, which daemons lend to each other.

use jasminetack_domain::name;
use jasminetack_domain::team_quota;
use prost::Message;

/// Shares are sent in parts per billion, which takes fewer bytes than a floating-point number.
const PARTS_PER_SHARE: f64 = 1e9;

/// Loan of a share of the sender to the receiver; it replaces the previous one for the team.
#[derive(Clone, PartialEq, Message)]
pub struct TeamLoan {
    /// The team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Share of the team's rate, in parts per billion.
    #[prost(uint32, tag = "2")]
    pub share_ppb: u32,
    /// Store time until which the receiver may use it.
    #[prost(uint64, tag = "3")]
    pub until_store_ms: u64,
    /// Tokens that are moved along with it.
    #[prost(uint32, tag = "4")]
    pub tokens: u32,
}

/// Request of the sender for a share and tokens of a team.
#[derive(Clone, PartialEq, Message)]
pub struct TeamShareRequest {
    /// The team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Share that the sender needs beyond its own, in parts per billion.
    #[prost(uint32, tag = "2")]
    pub share_ppb: u32,
    /// Share below which the sender needs none.
    #[prost(uint32, tag = "3")]
    pub min_share_ppb: u32,
    /// Tokens that the sender's waiting requests lack.
    #[prost(uint32, tag = "4")]
    pub tokens: u32,
    /// Time of the request on the sender's clock.
    #[prost(uint64, tag = "5")]
    pub sent_ms: u64,
    /// Time of the request to which the sender has received the last grant.
    #[prost(uint64, tag = "6")]
    pub granted_ms: u64,
}

/// Response to a request for a share; it replaces the previous grant for the team.
#[derive(Clone, PartialEq, Message)]
pub struct TeamGrant {
    /// The team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Granted share, in parts per billion.
    #[prost(uint32, tag = "2")]
    pub share_ppb: u32,
    /// Tokens that are moved along with it.
    #[prost(uint32, tag = "3")]
    pub tokens: u32,
    /// Time of the request on the receiver's clock; 0 if the grant responds to none.
    #[prost(uint64, tag = "4")]
    pub requested_ms: u64,
    /// Whether there were fewer tokens than requested.
    #[prost(bool, tag = "5")]
    pub is_exhausted: bool,
    /// Share that the sender holds as a loan of the receiver, in parts per billion.
    #[prost(uint32, tag = "6")]
    pub held_ppb: u32,
    /// Store time until which it does.
    #[prost(uint64, tag = "7")]
    pub held_until_store_ms: u64,
}

impl From<&team_quota::Loan> for TeamLoan {
    fn from(loan: &team_quota::Loan) -> Self {
        Self {
            team: loan.team.to_string(),
            share_ppb: to_ppb(loan.share),
            until_store_ms: loan.until_store_ms,
            tokens: loan.tokens as u32,
        }
    }
}

impl From<&TeamLoan> for team_quota::Loan {
    fn from(loan: &TeamLoan) -> Self {
        Self {
            team: name::TeamName::from(loan.team.as_str()),
            share: to_share(loan.share_ppb),
            tokens: f64::from(loan.tokens),
            until_store_ms: loan.until_store_ms,
        }
    }
}

impl From<&team_quota::ShareRequest> for TeamShareRequest {
    fn from(request: &team_quota::ShareRequest) -> Self {
        Self {
            team: request.team.to_string(),
            share_ppb: to_ppb(request.share),
            min_share_ppb: to_ppb(request.min_share),
            tokens: request.tokens.ceil() as u32,
            sent_ms: request.sent_ms,
            granted_ms: request.granted_ms,
        }
    }
}

impl From<&TeamShareRequest> for team_quota::ShareRequest {
    fn from(request: &TeamShareRequest) -> Self {
        Self {
            team: name::TeamName::from(request.team.as_str()),
            share: to_share(request.share_ppb),
            min_share: to_share(request.min_share_ppb),
            tokens: f64::from(request.tokens),
            sent_ms: request.sent_ms,
            granted_ms: request.granted_ms,
        }
    }
}

impl From<&team_quota::Grant> for TeamGrant {
    fn from(grant: &team_quota::Grant) -> Self {
        Self {
            team: grant.team.to_string(),
            share_ppb: to_ppb(grant.share),
            tokens: grant.tokens as u32,
            requested_ms: grant.requested_ms,
            is_exhausted: grant.is_exhausted,
            held_ppb: to_ppb(grant.held_share),
            held_until_store_ms: grant.held_until_store_ms,
        }
    }
}

impl From<&TeamGrant> for team_quota::Grant {
    fn from(grant: &TeamGrant) -> Self {
        Self {
            team: name::TeamName::from(grant.team.as_str()),
            share: to_share(grant.share_ppb),
            tokens: f64::from(grant.tokens),
            requested_ms: grant.requested_ms,
            is_exhausted: grant.is_exhausted,
            held_share: to_share(grant.held_ppb),
            held_until_store_ms: grant.held_until_store_ms,
        }
    }
}

/// Rounds down, so that no part of a share is created by its encoding.
fn to_ppb(share: f64) -> u32 {
    (share.clamp(0.0, 1.0) * PARTS_PER_SHARE) as u32
}

/// Limits the value to a whole, which a message of a correct daemon never exceeds.
fn to_share(ppb: u32) -> f64 {
    (f64::from(ppb) / PARTS_PER_SHARE).min(1.0)
}
