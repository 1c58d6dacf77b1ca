//! Charging of requests to the quotas of their teams.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_domain::team;
use jasminetack_domain::team_quota;
use tokio::time;

use super::proxy_request::ProxyRequest;
use super::refusal::Refusal;
use super::shared_state::SharedState;
use crate::clock;
use crate::control;
use crate::dialect;
use crate::metrics;
use crate::team_tokens::TeamTokens;

/// Longest time for which a request waits for tokens of other daemons.
const MAX_HOLD_MS: u64 = 100;
/// Interval at which a waiting request asks again.
const REPEAT_MS: u64 = 25;
/// Bounds of `Retry-After`: the longest is a part of the remaining time of the caller.
const MIN_RETRY_AFTER_MS: u64 = 50;
const RETRY_AFTER_DIVISOR: u64 = 4;
/// Outcome of requests beyond the quota of their team; also the body of the response.
const QUOTA_USED: &str = "team quota";

/// Tokens that were charged for one request.
///
/// They are returned at most once, when the charge is dropped: if the request was not sent, or if
/// every worker that it was sent to has not executed it.
#[derive(Debug, Default)]
pub(super) struct TeamCharge {
    /// `None` if the request is not charged.
    charged: Option<Charged>,
    is_spent: bool,
}

#[derive(Debug)]
struct Charged {
    tokens: Arc<TeamTokens>,
    metrics: Arc<metrics::Metrics>,
    team: name::TeamName,
    cost: u64,
}

impl TeamCharge {
    /// Charges a request to its team; waits for tokens of other daemons if there may be some.
    ///
    /// # Errors
    ///
    /// Fails with status 429 if the team has used its quota.
    pub(super) async fn take<Dialect>(
        shared: &SharedState<Dialect>,
        team: Option<&Arc<team::Team>>,
        size: Option<dispatch::RequestSize>,
        timeout_ms: u64,
    ) -> Result<Self, Refusal> {
        let Some(team) = team else { return Ok(Self::default()) };
        let Some(quota) = &team.quota else { return Ok(Self::default()) };
        let (cost, name) = (quota.cost(size), &team.name);
        let started_ms = clock::now_ms();
        let hold_until_ms = started_ms + MAX_HOLD_MS.min(timeout_ms / RETRY_AFTER_DIVISOR);
        let mut is_repeat = false;
        loop {
            let tokens = &shared.team_tokens;
            // Created before the charge is tried, so that no notification is missed.
            let granted = tokens.granted.notified();
            let now_ms = clock::now_ms();
            let decision = tokens.quotas.lock().charge(name, cost, is_repeat, now_ms);
            let refused = match decision {
                None => return Ok(Self::default()),
                Some(team_quota::Admission::Admitted) => {
                    shared.metrics.teams_quota.record_allowed(name, cost);
                    let charged = Charged {
                        tokens: Arc::clone(tokens),
                        metrics: Arc::clone(&shared.metrics),
                        team: name.clone(),
                        cost,
                    };
                    return Ok(Self { charged: Some(charged), is_spent: false });
                }
                Some(team_quota::Admission::AwaitTokens) if now_ms < hold_until_ms => None,
                Some(team_quota::Admission::AwaitTokens) => Some(MIN_RETRY_AFTER_MS),
                Some(team_quota::Admission::Refused { available_in_ms }) => Some(available_in_ms),
            };
            if let Some(available_in_ms) = refused {
                shared.metrics.teams_quota.record_refused(name, cost);
                let elapsed_ms = now_ms.saturating_sub(started_ms);
                let remaining_ms = timeout_ms.saturating_sub(elapsed_ms);
                return Err(refusal(available_in_ms, remaining_ms));
            }
            is_repeat = true;
            // The control thread ends only with the process.
            let _ = shared.control.send(control::Message::TeamTokensNeeded);
            let hold_ms = REPEAT_MS.min(hold_until_ms - now_ms);
            let _ = time::timeout(Duration::from_millis(hold_ms), granted).await;
        }
    }

    /// Records that the request is sent to a worker, which may execute it.
    pub(super) fn record_sent(&mut self) {
        self.is_spent = true;
    }

    /// Records that no worker has executed the request.
    pub(super) fn record_not_executed(&mut self) {
        self.is_spent = false;
    }
}

impl Drop for TeamCharge {
    fn drop(&mut self) {
        if self.is_spent {
            return;
        }
        let Some(charged) = self.charged.take() else { return };
        let Charged { tokens, metrics, team, cost } = charged;
        tokens.quotas.lock().refund(&team, cost, clock::now_ms());
        metrics.teams_quota.record_refunded(&team, cost);
    }
}

impl<Dialect> ProxyRequest<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Makes the charge refundable again after an attempt that was not executed, unless an earlier
    /// one may have been.
    pub(super) fn release_charge(&mut self) {
        if self.possible_executions == 0 {
            self.caller.charge.record_not_executed();
        }
    }
}

/// Builds the refusal of a request beyond the quota; callers are spread over up to twice the time
/// until tokens are available.
fn refusal(available_in_ms: u64, remaining_ms: u64) -> Refusal {
    let spread: f64 = rand::random_range(1.0..2.0);
    let longest_ms = (remaining_ms / RETRY_AFTER_DIVISOR).max(MIN_RETRY_AFTER_MS);
    let retry_after_ms = (available_in_ms as f64 * spread) as u64;
    Refusal {
        status: StatusCode::TOO_MANY_REQUESTS,
        reason: QUOTA_USED,
        retry_after_ms: Some(retry_after_ms.clamp(MIN_RETRY_AFTER_MS, longest_ms)),
    }
}
