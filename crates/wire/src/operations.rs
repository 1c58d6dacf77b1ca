//! JSON types of a daemon's operations port.

use serde::{Deserialize, Serialize};

/// Path prefix of the decisions about a request.
pub const EXPLAIN_PREFIX: &str = "/explain/";

/// Decisions that one daemon took about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Host of the daemon.
    pub host: String,
    /// Request that was asked about.
    pub request_id: String,
    /// The decisions, oldest first.
    pub decisions: Vec<ExplainedDecision>,
}

/// One decision about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedDecision {
    /// Time since the decision when the daemon answered; hosts share no clock.
    pub age_ms: u64,
    /// What was decided and why.
    pub text: String,
}
