//! JSON types of a daemon's operations port.

use serde::{Deserialize, Serialize};

/// Path prefix under which the decisions about a request are served.
pub const EXPLAIN_PREFIX: &str = "/explain/";

/// Decisions that one daemon made about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Host name of the daemon.
    pub host: String,
    /// Id of the request.
    pub request_id: String,
    /// Decisions, oldest first.
    pub decisions: Vec<ExplainedDecision>,
}

/// One decision about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedDecision {
    /// Age of the decision when the daemon responded; an age, because clocks of hosts differ.
    pub age_ms: u64,
    /// What was decided and why.
    pub text: String,
}
