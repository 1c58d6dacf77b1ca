//! Quotas of teams: the daemons and clock that they depend on, and the messages about shares.

use std::sync::Arc;

use jasminetack_domain::name;
use jasminetack_domain::team;
use jasminetack_domain::team_quota;
use jasminetack_wire::fleet;

use super::control_state::ControlState;
use super::outputs::OutgoingDatagram;
use crate::dialect;
use crate::team_tokens::TeamTokens;

/// Bounds of the rule if the platform's settings have none.
const DEFAULT_BOUNDS: team_quota::QuotaBounds =
    team_quota::QuotaBounds { window_ms: 8_000, overage: 0.1, slack_tokens: 0.0 };
/// Time from the first reading of the lease rows in which daemons with a lease, also one that has
/// expired, count without having been heard of.
const NEW_MS: u64 = 4_000;
/// Time after the expiry of its lease for which a daemon counts then: after a loss of power, each daemon
/// may read the rows before any other one has renewed its lease, and must not own the whole rate.
const NEW_GUARD_MS: u64 = 600_000;
/// Time from that reading after which a daemon sends its state to all others once more. Those that started
/// a little later have missed the first one, and reports between regions are up to 8 s apart.
const ANNOUNCE_MS: u64 = 2_000;
/// Time without a valid lease after which a daemon that does not hear half of the others counts as cut
/// off. The store is away for up to 9 s, in which a lease of 12 s may be invalid for 3 s.
const LOST_LEASE_MS: u64 = 5_000;
/// Time after the expiry of its lease for which a daemon still owns a share.
const OWNER_GUARD_MS: u64 = 6_000;
/// Part of its share that a daemon uses while it is cut off: the others divide the whole among them.
const CUT_OFF_DIVISOR: usize = 20;
const PPM: f64 = 1e6;

/// What determines which daemons own shares, and how large they are.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShareOwners {
    bounds: team_quota::QuotaBounds,
    /// Digest of the configuration whose limits apply.
    limits_digest: Option<u64>,
    /// Time at which the lease rows had first been read.
    first_read_ms: Option<u64>,
    /// Time at which this daemon last held its lease.
    last_lease_ms: u64,
    /// Whether the other daemons were told of this one some time after its start.
    has_announced: bool,
}

impl Default for ShareOwners {
    fn default() -> Self {
        Self {
            bounds: DEFAULT_BOUNDS,
            limits_digest: None,
            first_read_ms: None,
            last_lease_ms: 0,
            has_announced: false,
        }
    }
}

impl<Dialect> ControlState<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Sets the bounds of the rule for quotas.
    #[must_use]
    pub fn with_quota_bounds(mut self, bounds: Option<team_quota::QuotaBounds>) -> Self {
        self.share_owners.bounds = bounds.unwrap_or(DEFAULT_BOUNDS);
        self
    }

    /// Returns the tokens of teams, which the traffic thread charges.
    pub fn team_tokens(&self) -> &Arc<TeamTokens> {
        &self.team_tokens
    }

    /// Applies the limits of a new configuration; called before it is published.
    pub(super) fn update_team_limits(&mut self, now_ms: u64) {
        let Some(ingress) = self.catalog.ingress() else { return };
        let digest = self.catalog.configuration_digest();
        if self.share_owners.limits_digest.replace(digest) == Some(digest) {
            return;
        }
        let bounds = self.share_owners.bounds;
        let teams = ingress.teams().into_iter().flat_map(|directory| directory.teams());
        let limits = teams.filter_map(|team| Some((team.name.clone(), limit(team, bounds)?)));
        self.team_tokens.quotas.lock().set_limits(limits, now_ms);
    }

    /// Updates the daemons and the clock by which shares are divided, and sends what is due.
    pub(super) fn update_team_quotas(&mut self, now_ms: u64) {
        let has_read_rows = self.lease_manager.has_read_rows();
        if has_read_rows {
            self.share_owners.first_read_ms.get_or_insert(now_ms);
        }
        if self.lease_manager.is_lease_valid(now_ms) {
            self.share_owners.last_lease_ms = now_ms;
        }
        if self.team_tokens.quotas.lock().is_empty() {
            return;
        }
        let first_read_ms = self.share_owners.first_read_ms;
        let known_for_ms = first_read_ms.map_or(0, |first_ms| now_ms.saturating_sub(first_ms));
        let is_new = known_for_ms < NEW_MS;
        let live = self.live_daemons(is_new, now_ms);
        let owners = has_read_rows.then(|| {
            let owners = self.count_owners(is_new, now_ms);
            let last_lease_ms = self.share_owners.last_lease_ms.max(self.lease_manager.started_ms);
            let has_lost_lease = now_ms > last_lease_ms + LOST_LEASE_MS;
            let is_cut_off = has_lost_lease && 2 * live.len() <= owners;
            if is_cut_off { owners * CUT_OFF_DIVISOR } else { owners }
        });
        let clock = self.lease_manager.store_clock();
        let bounds = clock.min_ahead_ms(now_ms).zip(clock.ahead_ms(now_ms));
        let clock = bounds.map(|(min_ahead_ms, max_ahead_ms)| team_quota::ClockBounds {
            min_ahead_ms,
            // A store that lags behind may have stated too early a time once.
            max_ahead_ms: max_ahead_ms.max(min_ahead_ms),
        });
        let mut quotas = self.team_tokens.quotas.lock();
        quotas.set_clock(clock);
        quotas.set_daemons(live, owners, now_ms);
        drop(quotas);
        if known_for_ms >= ANNOUNCE_MS && !self.share_owners.has_announced {
            self.share_owners.has_announced = true;
            let state = self.daemon_state(None, now_ms);
            let receivers = self.peers.addresses(|_| true);
            self.send_state(state, receivers);
        }
        self.send_team_messages(now_ms);
    }

    /// Returns the daemons from which the exchanges are chosen, including this one.
    ///
    /// Daemons that started together have not heard of all others yet, and would choose different
    /// exchanges: after a loss of power, four daemons served 47 of 60 requests at half of the rate.
    fn live_daemons(&self, is_new: bool, now_ms: u64) -> Vec<name::HostName> {
        let live = self.peers.iter().filter(|(host, peer)| {
            let is_expected = is_new
                && peer.received_ms.is_none()
                && !self.lease_manager.is_lease_expired_for(host, NEW_GUARD_MS);
            !peer.is_leaving && (peer.is_live(now_ms) || is_expected)
        });
        let own = self.lease_manager.host().clone();
        live.map(|(host, _)| host.clone()).chain([own]).collect()
    }

    /// Returns the number of daemons that own shares, including this one.
    ///
    /// A daemon counts until it has left, or until its lease has expired for so long that it has noticed
    /// it if it is cut off.
    fn count_owners(&self, is_new: bool, now_ms: u64) -> usize {
        let guard_ms = if is_new { NEW_GUARD_MS } else { OWNER_GUARD_MS };
        let others = self.peers.iter().filter(|(host, peer)| {
            let is_owner =
                peer.is_live(now_ms) || !self.lease_manager.is_lease_expired_for(host, guard_ms);
            !peer.is_leaving && is_owner
        });
        others.count() + 1
    }

    /// Sends the loans and requests that are due, one datagram for each receiver.
    pub(super) fn send_team_messages(&mut self, now_ms: u64) {
        let outbox = self.team_tokens.quotas.lock().due_messages(now_ms);
        // This daemon may be the exchange and have granted tokens to itself.
        self.team_tokens.granted.notify_waiters();
        for (host, message) in outbox {
            self.send_team_message(&host, &message);
        }
    }

    /// Applies the loans, requests and grants of another daemon.
    pub(super) fn apply_peer_quotas(&mut self, datagram: &fleet::Datagram, now_ms: u64) {
        let message = team_quota::Message {
            loans: datagram.team_loans.iter().map(team_quota::Loan::from).collect(),
            requests: datagram
                .team_share_requests
                .iter()
                .map(team_quota::ShareRequest::from)
                .collect(),
            grants: datagram.team_grants.iter().map(team_quota::Grant::from).collect(),
        };
        if message == team_quota::Message::default() {
            return;
        }
        let host = name::HostName::from(datagram.host.as_str());
        let (started_unix_ms, sequence) = (datagram.started_unix_ms, datagram.sequence);
        let response = self.team_tokens.quotas.lock().receive(
            &host,
            started_unix_ms,
            sequence,
            &message,
            now_ms,
        );
        self.send_team_message(&host, &response);
        if !message.grants.is_empty() {
            self.team_tokens.granted.notify_waiters();
        }
    }

    /// Logs changes of shares, and updates their metrics.
    pub(super) fn report_team_shares(&self, now_ms: u64) {
        let mut quotas = self.team_tokens.quotas.lock();
        let changes = quotas.take_share_changes(now_ms);
        let shares = quotas.iter().map(|(team, quota)| {
            let shares = quota.shares();
            (team, (shares.lent(now_ms) * PPM) as i64, (shares.borrowed(now_ms) * PPM) as i64)
        });
        self.metrics.teams_quota.set_shares(shares);
        drop(quotas);
        for change in changes {
            let team_quota::ShareChange { team, usable, lent, borrowed } = change;
            let ppm = |share: f64| (share * PPM) as u64;
            spdlog::info!(
                "team-share team={team} share_ppm={} lent_ppm={} borrowed_ppm={}",
                ppm(usable),
                ppm(lent),
                ppm(borrowed)
            );
        }
    }

    fn send_team_message(&mut self, host: &name::HostName, message: &team_quota::Message) {
        let Some(peer) = self.peers.get(host) else { return };
        if *message == team_quota::Message::default() {
            return;
        }
        let receivers = vec![peer.address];
        let mut datagram = self.next_datagram(None, Vec::new());
        datagram.team_loans = message.loans.iter().map(fleet::TeamLoan::from).collect();
        datagram.team_share_requests =
            message.requests.iter().map(fleet::TeamShareRequest::from).collect();
        datagram.team_grants = message.grants.iter().map(fleet::TeamGrant::from).collect();
        self.outputs.queue_datagram(OutgoingDatagram { receivers, datagram });
    }
}

/// Returns the limit of a team; `None` if it has none.
fn limit(team: &team::Team, bounds: team_quota::QuotaBounds) -> Option<team_quota::TeamLimit> {
    let quota = team.quota?;
    let bounds = match quota.unit {
        team::QuotaUnit::Tokens => bounds,
        // The slack is a number of tokens.
        team::QuotaUnit::Requests => team_quota::QuotaBounds { slack_tokens: 0.0, ..bounds },
    };
    Some(team_quota::TeamLimit::new(quota.rate_per_s, quota.burst, bounds))
}
