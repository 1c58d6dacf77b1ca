//! Teams of callers.

use super::QuotaLimit;
use crate::name;

/// Team of callers, as configured by the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: name::TeamName,
    /// Priority of the team's requests in place of the route's; 0 is the highest.
    pub priority: Option<u8>,
    /// Limit of the team's requests; `None` if they are not limited.
    pub quota: Option<QuotaLimit>,
}
