//! Quotas of all teams at one daemon.

use indexmap::IndexMap;
use rustc_hash::FxHashMap;

use super::team_quota::loan_ms;
use super::{Admission, Loan, Message, Outbox, TeamLimit, TeamQuota};
use crate::member::rendezvous;
use crate::name;

/// Shortest interval of renewing loans.
const LOAN_RENEWAL_MS: u64 = 1_500;
/// Bytes per millisecond that renewals of loans may use: 1.25 KB/s of the 3 KB/s for all control.
const LOAN_BYTES_PER_MS: f64 = 1.25;
/// Measured size of a datagram without loans, with the headers of UDP and IP.
const DATAGRAM_BYTES: f64 = 70.0;
/// Measured size of one loan.
const LOAN_BYTES: f64 = 23.0;
/// Factor by which loans to an exchange that was chosen in the last `NEW_EXCHANGE_MS` are renewed more often.
///
/// An exchange that has started at the same time ignores loans until it has read the configuration and
/// the store's clock. With the usual interval, four daemons served 48 of 60 requests at half of the
/// rate after a loss of power.
const NEW_EXCHANGE_DIVISOR: u64 = 5;
const NEW_EXCHANGE_MS: u64 = 3_000;
/// Change of a share that is logged, as a part of the last logged share.
const LOGGED_CHANGE: f64 = 0.25;
/// Shortest time between two log lines of one team.
const LOG_INTERVAL_MS: u64 = 5_000;
/// Most log lines from one call.
const MAX_LOGGED_TEAMS: usize = 8;

/// By how much the store's clock is ahead of the local one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockBounds {
    /// Lower bound.
    pub min_ahead_ms: i64,
    /// Upper bound.
    pub max_ahead_ms: i64,
}

impl ClockBounds {
    /// Returns a store time that has passed for certain at a local time.
    fn earliest_store_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_add_signed(self.min_ahead_ms)
    }

    /// Returns the local time at which the store's clock has reached a time for certain.
    fn passed_ms(&self, store_ms: u64) -> u64 {
        store_ms.saturating_add_signed(self.min_ahead_ms.saturating_neg())
    }

    /// Returns the local time until which the store's clock has not reached a time for certain.
    fn not_reached_ms(&self, store_ms: u64) -> u64 {
        store_ms.saturating_add_signed(self.max_ahead_ms.saturating_neg())
    }
}

/// Change of a daemon's share in the rate of a team.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// The team.
    pub team: name::TeamName,
    /// Share that the daemon may use.
    pub usable: f64,
    /// Share that it has lent.
    pub lent: f64,
    /// Share that it has borrowed.
    pub borrowed: f64,
}

/// One team, its exchange, and what was logged of it.
#[derive(Clone, Debug)]
struct Entry {
    quota: TeamQuota,
    exchange: Option<name::HostName>,
    exchange_since_ms: u64,
    logged_share: f64,
    logged_ms: Option<u64>,
}

impl Entry {
    fn set_exchange(&mut self, exchange: Option<name::HostName>, now_ms: u64) {
        if exchange != self.exchange {
            self.exchange = exchange;
            self.exchange_since_ms = now_ms;
        }
    }
}

/// Quotas of all teams at one daemon.
#[derive(Clone, Debug)]
pub struct TeamQuotas {
    host: name::HostName,
    started_unix_ms: u64,
    teams: IndexMap<name::TeamName, Entry>,
    /// Teams without a limit since a newer configuration, with the time until which their loans may
    /// be in force: a team that returns must not own a share that is still lent.
    removed: IndexMap<name::TeamName, (Entry, u64)>,
    /// Live daemons, including this one.
    live: Vec<name::HostName>,
    /// Part of each rate that this daemon owns; `None` while the other daemons are not known.
    own_share: Option<f64>,
    clock: Option<ClockBounds>,
    renewal_ms: u64,
    /// Start and number of the last message from each daemon.
    received: FxHashMap<name::HostName, (u64, u64)>,
}

impl TeamQuotas {
    /// Creates the quotas of a daemon that knows neither teams nor other daemons.
    #[must_use]
    pub fn new(host: name::HostName, started_unix_ms: u64) -> Self {
        Self {
            host,
            started_unix_ms,
            teams: IndexMap::new(),
            removed: IndexMap::new(),
            live: Vec::new(),
            own_share: None,
            clock: None,
            renewal_ms: LOAN_RENEWAL_MS,
            received: FxHashMap::default(),
        }
    }

    /// Replaces the teams with a limit; teams that remain keep their state.
    pub fn set_limits<Limits>(&mut self, limits: Limits, now_ms: u64)
    where
        Limits: IntoIterator<Item = (name::TeamName, TeamLimit)>,
    {
        let mut previous = std::mem::take(&mut self.teams);
        self.removed.retain(|_, (_, until_ms)| *until_ms > now_ms);
        for (team, limit) in limits {
            let removed = || self.removed.swap_remove(&team).map(|(entry, _)| entry);
            let entry = match previous.swap_remove(&team).or_else(removed) {
                Some(mut entry) => {
                    entry.quota.set_limit(limit, now_ms);
                    entry.set_exchange(choose_exchange(&team, &self.live), now_ms);
                    if let Some(own) = self.own_share {
                        entry.quota.set_own(own, now_ms);
                    }
                    entry
                }
                None => self.new_entry(&team, limit, now_ms),
            };
            self.teams.insert(team, entry);
        }
        let until_ms = now_ms + loan_ms(self.renewal_ms);
        let removed = previous.into_iter().map(|(team, entry)| (team, (entry, until_ms)));
        self.removed.extend(removed);
        self.update_renewal();
    }

    /// Sets the live daemons, one of which is the exchange of each team, and the number of daemons
    /// that own shares; both include this daemon.
    pub fn set_daemons(
        &mut self,
        mut live: Vec<name::HostName>,
        owners: Option<usize>,
        now_ms: u64,
    ) {
        live.sort_unstable();
        if live != self.live {
            self.live = live;
            for (team, entry) in &mut self.teams {
                entry.set_exchange(choose_exchange(team, &self.live), now_ms);
            }
            self.update_renewal();
            self.received.retain(|host, _| self.live.binary_search(host).is_ok());
        }
        self.own_share = owners.map(|owners| 1.0 / owners.max(1) as f64);
        let Some(own) = self.own_share else { return };
        for entry in self.teams.values_mut() {
            entry.quota.set_own(own, now_ms);
        }
    }

    /// Sets the bounds of the store's clock.
    pub fn set_clock(&mut self, clock: Option<ClockBounds>) {
        self.clock = clock;
    }

    /// Returns whether no team has a quota.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Charges a request; `None` if the team has no quota.
    pub fn charge(
        &mut self,
        team: &name::TeamName,
        cost: u64,
        is_repeat: bool,
        now_ms: u64,
    ) -> Option<Admission> {
        let entry = self.teams.get_mut(team)?;
        Some(entry.quota.charge(cost, is_repeat, now_ms))
    }

    /// Returns the tokens of a request that was not executed.
    pub fn refund(&mut self, team: &name::TeamName, cost: u64, now_ms: u64) {
        if let Some(entry) = self.teams.get_mut(team) {
            entry.quota.refund(cost, now_ms);
        }
    }

    /// Returns the messages that are due: loans to the exchanges and requests to them.
    pub fn due_messages(&mut self, now_ms: u64) -> Outbox {
        let mut outbox = Outbox::new();
        let duration_ms = loan_ms(self.renewal_ms);
        for (team, entry) in &mut self.teams {
            let Some(exchange) = entry.exchange.clone() else { continue };
            let is_own = exchange == self.host;
            let is_new = now_ms < entry.exchange_since_ms + NEW_EXCHANGE_MS;
            let divisor = if is_new { NEW_EXCHANGE_DIVISOR } else { 1 };
            let interval_ms = self.renewal_ms / divisor;
            if let Some(clock) = self.clock
                && let Some((share, tokens)) =
                    entry.quota.due_loan(&exchange, interval_ms, duration_ms, now_ms)
            {
                let until_ms = now_ms + duration_ms;
                let until_store_ms = clock.earliest_store_ms(now_ms) + duration_ms;
                let loan = Loan { team: team.clone(), share, tokens, until_store_ms };
                if is_own {
                    let started = self.started_unix_ms;
                    entry.quota.receive_loan(&exchange, started, &loan, until_ms, now_ms);
                } else {
                    outbox.entry(exchange.clone()).or_default().loans.push(loan);
                }
            }
            let Some(request) = entry.quota.due_request(team, now_ms) else { continue };
            if is_own {
                let grant = entry.quota.receive_request(&exchange, &request, now_ms);
                entry.quota.receive_grant(&exchange, &grant, None, now_ms);
            } else {
                outbox.entry(exchange).or_default().requests.push(request);
            }
        }
        outbox
    }

    /// Applies the message of another daemon; returns the responses to it.
    ///
    /// A repeated message is ignored, since it would move tokens another time.
    pub fn receive(
        &mut self,
        from: &name::HostName,
        started_unix_ms: u64,
        sequence: u64,
        message: &Message,
        now_ms: u64,
    ) -> Message {
        let mut response = Message::default();
        let known = self.received.entry(from.clone()).or_insert((started_unix_ms, 0));
        if known.0 == started_unix_ms && sequence <= known.1 {
            return response;
        }
        *known = (started_unix_ms, sequence);
        for loan in &message.loans {
            let Some(clock) = self.clock else { break };
            let Some(entry) = self.teams.get_mut(&loan.team) else { continue };
            let until_ms = clock.not_reached_ms(loan.until_store_ms);
            let held = entry.quota.receive_loan(from, started_unix_ms, loan, until_ms, now_ms);
            response.grants.extend(held);
        }
        for request in &message.requests {
            let Some(entry) = self.teams.get_mut(&request.team) else { continue };
            response.grants.push(entry.quota.receive_request(from, request, now_ms));
        }
        for grant in &message.grants {
            let Some(entry) = self.teams.get_mut(&grant.team) else { continue };
            let held_until_ms = self.clock.map(|clock| clock.passed_ms(grant.held_until_store_ms));
            entry.quota.receive_grant(from, grant, held_until_ms, now_ms);
        }
        response
    }

    /// Iterates over the teams and their quotas at this daemon.
    pub fn iter(&self) -> impl Iterator<Item = (&name::TeamName, &TeamQuota)> {
        self.teams.iter().map(|(team, entry)| (team, &entry.quota))
    }

    /// Returns the shares that have changed by more than a quarter, or to or from zero, since they
    /// were last returned.
    pub fn take_share_changes(&mut self, now_ms: u64) -> Vec<ShareChange> {
        let mut changes = Vec::new();
        for (team, entry) in &mut self.teams {
            if entry.logged_ms.is_some_and(|logged_ms| now_ms < logged_ms + LOG_INTERVAL_MS) {
                continue;
            }
            let shares = entry.quota.shares();
            let usable = shares.usable(now_ms);
            let difference = (usable - entry.logged_share).abs();
            if difference <= entry.logged_share * LOGGED_CHANGE {
                continue;
            }
            if changes.len() == MAX_LOGGED_TEAMS {
                break;
            }
            let (lent, borrowed) = (shares.lent(now_ms), shares.borrowed(now_ms));
            entry.logged_share = usable;
            entry.logged_ms = Some(now_ms);
            changes.push(ShareChange { team: team.clone(), usable, lent, borrowed });
        }
        changes
    }

    fn new_entry(&self, team: &name::TeamName, limit: TeamLimit, now_ms: u64) -> Entry {
        let mut quota = TeamQuota::new(limit, now_ms);
        if let Some(own) = self.own_share {
            quota.set_own(own, now_ms);
        }
        Entry {
            quota,
            exchange: choose_exchange(team, &self.live),
            exchange_since_ms: now_ms,
            logged_share: 0.0,
            logged_ms: None,
        }
    }

    /// Renews loans as often as the bytes for it allow.
    fn update_renewal(&mut self) {
        let exchanges = self.teams.len().min(self.live.len());
        let bytes = exchanges as f64 * DATAGRAM_BYTES + self.teams.len() as f64 * LOAN_BYTES;
        self.renewal_ms = LOAN_RENEWAL_MS.max((bytes / LOAN_BYTES_PER_MS) as u64);
    }
}

/// Returns the daemon that ranks first for a team by rendezvous hashing.
fn choose_exchange(team: &name::TeamName, live: &[name::HostName]) -> Option<name::HostName> {
    live.iter().max_by_key(|host| rendezvous::score(team.as_str(), host.as_str())).cloned()
}
