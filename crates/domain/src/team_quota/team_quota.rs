//! Quota of one team at one daemon.

use super::demand::Demand;
use super::exchange::GRANT_MS;
use super::{Admission, Exchange, Grant, Loan, ShareRequest, Shares, TeamLimit, TokenBucket};
use crate::name;

/// Part of its own share that a daemon keeps, for the first request of a team that moves to it.
///
/// With a tenth, a team whose callers are all at one of 70 daemons would get 0.901 of its rate.
const KEPT_PART: f64 = 0.05;
/// Seconds of its own share with which a new process starts.
///
/// What the process used before is unknown; docs/design/team-quotas.md derives the overrun.
const START_FILL_S: f64 = 0.5;
/// Factor by which a requested share exceeds the measured demand.
const HEADROOM: f64 = 1.25;
/// Requests of mean cost that a bucket must hold for its share to be of use.
///
/// Smaller shares change with each request, and a share that changes hands is idle for some time: with
/// 2 in place of 10, a team of 29,000 tokens a second at twelve daemons got 0.71 of its rate.
const MIN_BUCKET_REQUESTS: f64 = 10.0;
/// Shortest time between two requests to the exchange: with 50 ms, a request that follows another one
/// closely is refused before the second response arrives from another region.
const REQUEST_INTERVAL_MS: u64 = 20;
/// Time after which a response of the exchange counts as lost; a round trip between regions takes 40 ms.
const RESPONSE_MS: u64 = 50;
/// Interval of renewing a borrowed share; a third of a grant, so that one lost request does no harm.
const REQUEST_RENEWAL_MS: u64 = 500;
/// Time for which tokens granted beyond the capacity can be used, and in which they must arrive.
const EXTRA_MS: u64 = 250;
/// Time after a response without enough tokens during which no request waits for another one.
const EXHAUSTED_MS: u64 = 400;
/// Share below which nothing is lent or borrowed.
const MIN_SHARE: f64 = 1e-5;
/// Part of the capacity from which a bucket counts as full.
const FULL: f64 = 0.99;
/// Share above which a full bucket admits any request; at most one daemon can have it.
const MAJORITY: f64 = 0.5;
/// Time by which callers are spread for each multiple of the rate that they demand beyond it.
const SPREAD_MS: f64 = 100.0;
/// Longest predicted time until tokens are available.
const MAX_AVAILABLE_IN_MS: f64 = 60_000.0;

/// Quota of one team at one daemon: its shares, its bucket, and its part as the exchange.
#[derive(Clone, Debug)]
pub struct TeamQuota {
    limit: TeamLimit,
    shares: Shares,
    bucket: TokenBucket,
    demand: Demand,
    pub(super) exchange: Exchange,
    /// Cost of requests that wait for tokens and were not yet part of a request to the exchange.
    waiting_tokens: f64,
    last_request_ms: Option<u64>,
    /// Time of the request to which the last grant responded.
    granted_ms: u64,
    last_loan_ms: Option<u64>,
    exhausted_until_ms: u64,
    is_started: bool,
}

impl TeamQuota {
    /// Creates the quota of a team; the daemon owns no share until it knows the other daemons.
    #[must_use]
    pub fn new(limit: TeamLimit, now_ms: u64) -> Self {
        Self {
            limit,
            shares: Shares::default(),
            bucket: TokenBucket::new(0.0, now_ms),
            demand: Demand::default(),
            exchange: Exchange::default(),
            waiting_tokens: 0.0,
            last_request_ms: None,
            granted_ms: 0,
            last_loan_ms: None,
            exhausted_until_ms: 0,
            is_started: false,
        }
    }

    /// Returns the shares.
    #[must_use]
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Replaces the limit; buckets are cut to the new size at once.
    pub fn set_limit(&mut self, limit: TeamLimit, now_ms: u64) {
        if limit == self.limit {
            return;
        }
        self.advance(now_ms);
        self.exchange.advance(&self.limit, now_ms);
        self.limit = limit;
        self.advance(now_ms);
        self.exchange.advance(&self.limit, now_ms);
    }

    /// Sets the share that the daemon owns.
    pub fn set_own(&mut self, own: f64, now_ms: u64) {
        if self.shares.own() == own {
            return;
        }
        self.advance(now_ms);
        self.shares.set_own(own);
        if !std::mem::replace(&mut self.is_started, true) {
            let tokens = own * self.limit.rate_per_s * START_FILL_S;
            self.bucket.add(tokens.min(self.capacity(now_ms)), f64::INFINITY, 0);
        }
        self.advance(now_ms);
    }

    /// Charges a request; `is_repeat` states that it has waited for tokens.
    pub fn charge(&mut self, cost: u64, is_repeat: bool, now_ms: u64) -> Admission {
        let cost = cost as f64;
        self.advance(now_ms);
        if !is_repeat {
            self.demand.record(cost, now_ms);
        }
        if self.can_take(cost, now_ms) {
            self.bucket.take(cost);
            return Admission::Admitted;
        }
        if now_ms >= self.exhausted_until_ms {
            if !is_repeat || self.must_request_again(now_ms) {
                self.waiting_tokens += cost;
            }
            return Admission::AwaitTokens;
        }
        Admission::Refused { available_in_ms: self.available_in_ms(cost, now_ms) }
    }

    /// Returns the tokens of a request that was not executed.
    pub fn refund(&mut self, cost: u64, now_ms: u64) {
        self.advance(now_ms);
        let capacity = self.capacity(now_ms);
        self.bucket.add(cost as f64, capacity, now_ms);
    }

    /// Returns the share and the tokens of a loan to the exchange if one is due, and records it.
    pub fn due_loan(
        &mut self,
        exchange: &name::HostName,
        interval_ms: u64,
        duration_ms: u64,
        now_ms: u64,
    ) -> Option<(f64, f64)> {
        let is_due = self.last_loan_ms.is_none_or(|sent_ms| now_ms >= sent_ms + interval_ms);
        if !is_due {
            return None;
        }
        let own = self.shares.own();
        let is_useful = own + self.shares.borrowed(now_ms) >= self.min_useful_share();
        let wanted = if is_useful { self.wanted_share(now_ms) } else { 0.0 };
        let kept = wanted.clamp(own * KEPT_PART, own);
        let share = own - kept - self.shares.lent_to_others(exchange, now_ms);
        if share < MIN_SHARE {
            return None;
        }
        self.advance(now_ms);
        let until_ms = now_ms + duration_ms;
        self.shares.lend(exchange, share, until_ms, now_ms);
        let tokens = (self.bucket.level() - self.capacity(now_ms)).max(0.0);
        self.bucket.take(tokens);
        self.last_loan_ms = Some(now_ms);
        Some((share, tokens))
    }

    /// Returns a request to the exchange if one is due.
    pub fn due_request(&mut self, team: &name::TeamName, now_ms: u64) -> Option<ShareRequest> {
        let elapsed_ms =
            self.last_request_ms.map_or(u64::MAX, |sent_ms| now_ms.saturating_sub(sent_ms));
        if elapsed_ms < REQUEST_INTERVAL_MS {
            return None;
        }
        if self.waiting_tokens <= 0.0 && elapsed_ms < REQUEST_RENEWAL_MS {
            return None;
        }
        self.advance(now_ms);
        let kept = self.shares.kept(now_ms);
        let share = (self.wanted_share(now_ms) - kept).max(0.0);
        let min_share = (self.min_useful_share() - kept).max(0.0);
        let waiting = std::mem::take(&mut self.waiting_tokens);
        let tokens = if waiting > 0.0 { (waiting - self.bucket.available()).max(0.0) } else { 0.0 };
        if share < MIN_SHARE && tokens <= 0.0 {
            return None;
        }
        self.last_request_ms = Some(now_ms);
        let (team, granted_ms) = (team.clone(), self.granted_ms);
        Some(ShareRequest { team, share, min_share, tokens, sent_ms: now_ms, granted_ms })
    }

    /// Applies a response of the exchange; `held_until_ms` is the end of what it holds as a loan of
    /// this daemon, on the local clock.
    pub fn receive_grant(
        &mut self,
        from: &name::HostName,
        grant: &Grant,
        held_until_ms: Option<u64>,
        now_ms: u64,
    ) {
        self.advance(now_ms);
        if let Some(until_ms) = held_until_ms
            && grant.held_share > 0.0
        {
            // Also a loan that an earlier process of this daemon made.
            self.shares.lend(from, grant.held_share, until_ms, now_ms);
        }
        let until_ms = grant.requested_ms + GRANT_MS;
        // A time in the future is that of an earlier life of the machine.
        if grant.requested_ms == 0 || grant.requested_ms > now_ms || until_ms <= now_ms {
            self.advance(now_ms);
            return;
        }
        self.granted_ms = grant.requested_ms;
        self.shares.borrow(from, grant.share, until_ms, now_ms);
        self.advance(now_ms);
        if now_ms <= grant.requested_ms + EXTRA_MS {
            self.bucket.add(grant.tokens, self.capacity(now_ms), now_ms + EXTRA_MS);
        }
        self.exhausted_until_ms = if grant.is_exhausted { now_ms + EXHAUSTED_MS } else { 0 };
    }

    /// Answers a request of another daemon, or of this one.
    pub fn receive_request(
        &mut self,
        from: &name::HostName,
        request: &ShareRequest,
        now_ms: u64,
    ) -> Grant {
        let (share, tokens) = self.exchange.grant(from, request, &self.limit, now_ms);
        let (held_share, held_until_store_ms) =
            self.exchange.held_from(from, now_ms).unwrap_or_default();
        Grant {
            team: request.team.clone(),
            share,
            tokens,
            requested_ms: request.sent_ms,
            is_exhausted: tokens < request.tokens,
            held_share,
            held_until_store_ms,
        }
    }

    /// Records a loan of another daemon, or of this one, until a local time; returns a statement of
    /// what is held if an earlier process of the daemon has lent more.
    pub fn receive_loan(
        &mut self,
        from: &name::HostName,
        started_unix_ms: u64,
        loan: &Loan,
        until_ms: u64,
        now_ms: u64,
    ) -> Option<Grant> {
        let limit = &self.limit;
        let held = self.exchange.receive_loan(from, started_unix_ms, loan, until_ms, limit, now_ms);
        let (held_share, held_until_store_ms) = held?;
        Some(Grant {
            team: loan.team.clone(),
            share: 0.0,
            tokens: 0.0,
            requested_ms: 0,
            is_exhausted: false,
            held_share,
            held_until_store_ms,
        })
    }

    /// Predicts when tokens for a request will be available, from the own bucket or the exchange.
    ///
    /// Callers beyond the rate are spread over a time that grows with the demand, as most of them would
    /// be refused again.
    fn available_in_ms(&self, cost: f64, now_ms: u64) -> u64 {
        let team_rate = self.limit.rate_per_ms();
        let rate = self.shares.usable(now_ms) * team_rate;
        let missing = (cost - self.bucket.available()).max(1.0);
        let wait_ms = self.exhausted_until_ms.saturating_sub(now_ms) as f64;
        let earliest_ms = (missing / rate).min(wait_ms + missing / team_rate);
        let excess = self.demand.tokens_per_ms(now_ms) / rate - 1.0;
        let has_share = self.shares.usable(now_ms) >= self.min_useful_share();
        let spread_ms = if has_share { excess.max(0.0) * SPREAD_MS } else { 0.0 };
        (earliest_ms + spread_ms).clamp(1.0, MAX_AVAILABLE_IN_MS) as u64
    }

    /// Returns whether the last request to the exchange was lost, or its response did not suffice.
    fn must_request_again(&self, now_ms: u64) -> bool {
        let is_over = |sent_ms| sent_ms <= self.granted_ms || now_ms >= sent_ms + RESPONSE_MS;
        self.waiting_tokens <= 0.0 && self.last_request_ms.is_none_or(is_over)
    }

    /// Returns the share that the callers of this daemon need.
    fn wanted_share(&self, now_ms: u64) -> f64 {
        let wanted = self.demand.steady_tokens_per_ms(now_ms) * HEADROOM / self.limit.rate_per_ms();
        if wanted.is_finite() { wanted.min(1.0) } else { 0.0 }
    }

    fn min_useful_share(&self) -> f64 {
        let capacity = self.limit.capacity();
        if capacity > 0.0 { MIN_BUCKET_REQUESTS * self.demand.mean_cost() / capacity } else { 0.0 }
    }

    fn can_take(&self, cost: f64, now_ms: u64) -> bool {
        if self.bucket.available() >= cost {
            return true;
        }
        let capacity = self.capacity(now_ms);
        if capacity <= 0.0 || self.bucket.level() < capacity * FULL {
            return false;
        }
        let debt = cost - self.bucket.available();
        debt <= self.limit.max_debt() * self.shares.own() || self.shares.usable(now_ms) > MAJORITY
    }

    fn capacity(&self, now_ms: u64) -> f64 {
        self.shares.usable(now_ms) * self.limit.capacity()
    }

    /// Fills the bucket, whose share changes whenever a loan ends, and cuts it to its capacity.
    fn advance(&mut self, now_ms: u64) {
        loop {
            let from_ms = self.bucket.updated_ms();
            let share = self.shares.usable(from_ms);
            let end_ms = self.shares.next_end_ms(from_ms).filter(|end_ms| *end_ms <= now_ms);
            let (rate, capacity) =
                (share * self.limit.rate_per_ms(), share * self.limit.capacity());
            self.bucket.fill(rate, capacity, end_ms.unwrap_or(now_ms));
            if end_ms.is_none() {
                break;
            }
        }
        self.bucket.fill(0.0, self.capacity(now_ms), now_ms);
    }
}

/// Duration of loans to the exchange: one lost renewal still leaves the time of a grant and the
/// error of the clocks.
pub(super) fn loan_ms(renewal_ms: u64) -> u64 {
    2 * renewal_ms + GRANT_MS + CLOCK_ERROR_MS
}

/// Allowance for the difference between the bounds of the store's clock at two daemons.
const CLOCK_ERROR_MS: u64 = 300;
