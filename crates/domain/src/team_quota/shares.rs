//! Shares of one daemon in the rate of a team.

use indexmap::IndexMap;

use crate::name;

/// A share that was lent, until a local time by which the receiver no longer uses it.
#[derive(Clone, Debug)]
struct Lent {
    to: name::HostName,
    share: f64,
    until_ms: u64,
    /// Increases with each loan to the same daemon.
    number: u64,
}

/// Shares that were lent to other daemons; each loan replaces the previous one to the same daemon.
///
/// Since any of the unexpired loans may be the one that the receiver knows, the largest counts.
#[derive(Clone, Debug, Default)]
pub(super) struct LentShares {
    lent: Vec<Lent>,
}

impl LentShares {
    /// Records a loan.
    pub(super) fn record(
        &mut self,
        to: &name::HostName,
        share: f64,
        until_ms: u64,
        number: u64,
        now_ms: u64,
    ) {
        self.lent.retain(|lent| {
            let is_covered = lent.to == *to && lent.share <= share && lent.until_ms <= until_ms;
            lent.until_ms > now_ms && !is_covered
        });
        self.lent.push(Lent { to: to.clone(), share, until_ms, number });
    }

    /// Ends the loans that the receiver has replaced by the one with a number.
    pub(super) fn acknowledge(&mut self, by: &name::HostName, number: u64) {
        let mut lent = self.lent.iter();
        // The loan may be covered by a later one, or have expired.
        if lent.any(|lent| lent.to == *by && lent.number == number) {
            self.lent.retain(|lent| lent.to != *by || lent.number >= number);
        }
    }

    /// Returns the share lent to all daemons that match a predicate.
    pub(super) fn total<Predicate>(&self, now_ms: u64, matches: Predicate) -> f64
    where
        Predicate: Fn(&name::HostName) -> bool,
    {
        let active = |lent: &&Lent| lent.until_ms > now_ms && matches(&lent.to);
        let mut largest: Vec<(&name::HostName, f64)> = Vec::new();
        for lent in self.lent.iter().filter(active) {
            match largest.iter_mut().find(|(to, _)| *to == &lent.to) {
                Some((_, share)) => *share = share.max(lent.share),
                None => largest.push((&lent.to, lent.share)),
            }
        }
        largest.iter().map(|(_, share)| share).sum()
    }

    /// Returns the first time after `after_ms` at which a loan ends.
    pub(super) fn next_end_ms(&self, after_ms: u64) -> Option<u64> {
        let ends = self.lent.iter().map(|lent| lent.until_ms);
        ends.filter(|until_ms| *until_ms > after_ms).min()
    }
}

/// Shares of one daemon in the rate of a team.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    own: f64,
    lent: LentShares,
    /// Borrowed shares by lender, with the local time until which they may be used.
    borrowed: IndexMap<name::HostName, (f64, u64)>,
}

impl Shares {
    /// Sets the share that the daemon owns.
    pub fn set_own(&mut self, own: f64) {
        self.own = own;
    }

    /// Returns the share that the daemon owns.
    #[must_use]
    pub fn own(&self) -> f64 {
        self.own
    }

    /// Records that a share is lent; the loan replaces earlier ones to the same daemon.
    pub fn lend(&mut self, to: &name::HostName, share: f64, until_ms: u64, now_ms: u64) {
        self.lent.record(to, share, until_ms, 0, now_ms);
    }

    /// Records a borrowed share, which replaces the one borrowed from the same daemon before.
    pub fn borrow(&mut self, from: &name::HostName, share: f64, until_ms: u64, now_ms: u64) {
        self.borrowed.retain(|_, (_, until_ms)| *until_ms > now_ms);
        self.borrowed.insert(from.clone(), (share, until_ms));
    }

    /// Returns the lent share.
    #[must_use]
    pub fn lent(&self, now_ms: u64) -> f64 {
        self.lent.total(now_ms, |_| true)
    }

    /// Returns the share lent to daemons other than `host`.
    #[must_use]
    pub fn lent_to_others(&self, host: &name::HostName, now_ms: u64) -> f64 {
        self.lent.total(now_ms, |to| to != host)
    }

    /// Returns the borrowed share.
    #[must_use]
    pub fn borrowed(&self, now_ms: u64) -> f64 {
        let active = self.borrowed.values().filter(|(_, until_ms)| *until_ms > now_ms);
        active.map(|(share, _)| share).sum()
    }

    /// Returns what is left of the daemon's own share.
    #[must_use]
    pub fn kept(&self, now_ms: u64) -> f64 {
        (self.own - self.lent(now_ms)).max(0.0)
    }

    /// Returns the share that the daemon may use.
    #[must_use]
    pub fn usable(&self, now_ms: u64) -> f64 {
        self.kept(now_ms) + self.borrowed(now_ms)
    }

    /// Returns the first time after `after_ms` at which a loan ends.
    #[must_use]
    pub fn next_end_ms(&self, after_ms: u64) -> Option<u64> {
        let borrowed = self.borrowed.values().map(|(_, until_ms)| *until_ms);
        let borrowed = borrowed.filter(|until_ms| *until_ms > after_ms).min();
        borrowed.into_iter().chain(self.lent.next_end_ms(after_ms)).min()
    }
}
