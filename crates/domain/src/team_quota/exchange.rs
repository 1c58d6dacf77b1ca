//! Exchange of the shares of one team.

use indexmap::IndexMap;

use super::shares::LentShares;
use super::{Loan, ShareRequest, TeamLimit, TokenBucket};
use crate::name;

/// Duration of a grant.
pub(super) const GRANT_MS: u64 = 1_500;
/// Time for which a request for a share counts in the division.
const WANT_MS: u64 = 2_000;
/// Share above which the pool may take on a debt; at most one exchange can hold so much.
const MAJORITY: f64 = 0.5;
/// Part of the capacity from which the pool counts as full.
const FULL: f64 = 0.95;

/// Share that a daemon has lent to the exchange.
#[derive(Clone, Copy, Debug)]
struct Held {
    share: f64,
    until_ms: u64,
    until_store_ms: u64,
    /// Start of the process that lent it.
    started_unix_ms: u64,
}

/// Shares that daemons lent to this one, and what it granted of them.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    held: IndexMap<name::HostName, Held>,
    granted: LentShares,
    /// Shares that daemons need beyond their own, with the time of the request.
    wants: IndexMap<name::HostName, (f64, u64)>,
    pool: TokenBucket,
}

impl Exchange {
    /// Records a loan; returns the share and its end in store time if a larger loan of an earlier
    /// process of the daemon stays in force.
    pub fn receive_loan(
        &mut self,
        from: &name::HostName,
        started_unix_ms: u64,
        loan: &Loan,
        until_ms: u64,
        limit: &TeamLimit,
        now_ms: u64,
    ) -> Option<(f64, u64)> {
        self.advance(limit, now_ms);
        if let Some(held) = self.held.get(from)
            && held.until_ms > now_ms
            && held.started_unix_ms != started_unix_ms
            && held.share > loan.share
        {
            return Some((held.share, held.until_store_ms));
        }
        let Loan { share, until_store_ms, .. } = *loan;
        let held = Held { share, until_ms, until_store_ms, started_unix_ms };
        self.held.insert(from.clone(), held);
        let capacity = self.pool_share(now_ms) * limit.capacity();
        self.pool.add(loan.tokens, capacity, now_ms);
        None
    }

    /// Returns the share and the end, in store time, of a daemon's loan.
    #[must_use]
    pub fn held_from(&self, from: &name::HostName, now_ms: u64) -> Option<(f64, u64)> {
        let held = self.held.get(from).filter(|held| held.until_ms > now_ms)?;
        Some((held.share, held.until_store_ms))
    }

    /// Divides the held shares among the daemons that requested some, in proportion; returns the
    /// share and the tokens for one of them.
    pub fn grant(
        &mut self,
        to: &name::HostName,
        request: &ShareRequest,
        limit: &TeamLimit,
        now_ms: u64,
    ) -> (f64, f64) {
        let (wanted_share, wanted_tokens) = (request.share, request.tokens);
        self.advance(limit, now_ms);
        self.granted.acknowledge(to, request.granted_ms);
        self.wants.retain(|_, (_, requested_ms)| *requested_ms + WANT_MS > now_ms);
        self.wants.insert(to.clone(), (wanted_share, now_ms));
        let wanted_by_all: f64 = self.wants.values().map(|(share, _)| share).sum();
        let until_ms = now_ms + GRANT_MS;
        // A grant must not last longer than the loans that it is made of.
        let backed = self.held.values().filter(|held| held.until_ms >= until_ms);
        let backed: f64 = backed.map(|held| held.share).sum();
        let granted_to_others = self.granted.total(now_ms, |host| host != to);
        let fair = if wanted_by_all > backed {
            wanted_share * backed / wanted_by_all
        } else {
            wanted_share
        };
        let share = fair.min(backed - granted_to_others);
        let share = if share >= request.min_share { share.max(0.0) } else { 0.0 };
        let had_majority = self.pool_share(now_ms) > MAJORITY;
        let was_full = self.pool.level() >= limit.capacity() * self.pool_share(now_ms) * FULL;
        self.granted.record(to, share, until_ms, request.sent_ms, now_ms);
        // Tokens move along with the share to which they belong.
        let capacity = self.pool_share(now_ms) * limit.capacity();
        let moved = (self.pool.level() - capacity).max(0.0);
        // A request may cost more than the pool can hold; the remainder becomes its debt. Fewer tokens
        // than wanted would be of no use to the request, and lost to others.
        let has_enough = wanted_tokens <= self.pool.level() || had_majority && was_full;
        let tokens = if has_enough { wanted_tokens.max(moved) } else { moved };
        self.pool.take(tokens);
        (share, tokens)
    }

    /// Returns the held share that is not granted.
    #[must_use]
    pub fn pool_share(&self, now_ms: u64) -> f64 {
        let held = self.held.values().filter(|held| held.until_ms > now_ms);
        let held: f64 = held.map(|held| held.share).sum();
        (held - self.granted.total(now_ms, |_| true)).max(0.0)
    }

    /// Fills the pool, whose share changes whenever a loan or a grant ends.
    pub fn advance(&mut self, limit: &TeamLimit, now_ms: u64) {
        loop {
            let from_ms = self.pool.updated_ms();
            let share = self.pool_share(from_ms);
            let held = self.held.values().map(|held| held.until_ms);
            let held = held.filter(|until_ms| *until_ms > from_ms).min();
            let end_ms = held.into_iter().chain(self.granted.next_end_ms(from_ms)).min();
            let end_ms = end_ms.filter(|end_ms| *end_ms <= now_ms);
            let (rate, capacity) = (share * limit.rate_per_ms(), share * limit.capacity());
            self.pool.fill(rate, capacity, end_ms.unwrap_or(now_ms));
            if end_ms.is_none() {
                break;
            }
        }
        self.held.retain(|_, held| held.until_ms > now_ms);
    }
}
