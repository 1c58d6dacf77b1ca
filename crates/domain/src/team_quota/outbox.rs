//! Messages that a daemon is to send.

use indexmap::IndexMap;

use super::{Grant, Loan, ShareRequest};
use crate::name;

/// Messages for one daemon, of all teams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    /// Loans to the receiver.
    pub loans: Vec<Loan>,
    /// Requests to the receiver.
    pub requests: Vec<ShareRequest>,
    /// Responses to the receiver's requests.
    pub grants: Vec<Grant>,
}

/// Messages that a daemon is to send, by receiver: one datagram each.
pub type Outbox = IndexMap<name::HostName, Message>;
