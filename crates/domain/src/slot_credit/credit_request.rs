//! Request of a daemon for a slot.

use super::RequestKey;
use crate::name;

/// Request of a daemon for a slot of any worker of a service in one region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CreditRequest {
    /// Identity of the request.
    pub key: RequestKey,
    /// Team of the caller, if callers belong to teams.
    pub team: Option<name::TeamName>,
    /// Priority of the call; 0 is the most urgent.
    pub urgency: u8,
    /// Hash of the request's method, address and body, the same when the caller returns after a refusal.
    pub caller_hash: u64,
    /// Time until which the call may wait for a slot.
    pub wait_until_ms: u64,
    /// Workers that the asking daemon does not use for this call.
    pub excluded: Vec<name::WorkerName>,
}
