//! Tokens of teams, shared between the control thread and the traffic thread.

use jasminetack_domain::name;
use jasminetack_domain::team_quota;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// Quotas of all teams at this daemon: requests are charged on the traffic thread, shares change on
/// the control thread.
#[derive(Debug)]
pub struct TeamTokens {
    /// The quotas; the lock is held briefly.
    pub quotas: Mutex<team_quota::TeamQuotas>,
    /// Notified when shares or tokens may have been granted.
    pub granted: Notify,
}

impl TeamTokens {
    /// Creates the quotas of a daemon that knows neither teams nor other daemons.
    #[must_use]
    pub fn new(host: name::HostName, started_unix_ms: u64) -> Self {
        let quotas = Mutex::new(team_quota::TeamQuotas::new(host, started_unix_ms));
        Self { quotas, granted: Notify::new() }
    }
}
