//! All permits that one daemon hands out or holds.

use indexmap::{IndexMap, IndexSet};

use super::quota::RECOVERY_MS;
use super::{Action, Decision, Holder, Order, Quota, Step};
use crate::member::rendezvous;
use crate::name;
use crate::table;

/// Permits of one daemon: as the home of some rows, and as a holder for others.
#[derive(Clone, Debug)]
pub struct Ledger {
    host: name::HostName,
    live: IndexSet<name::HostName>,
    suspected: IndexSet<name::HostName>,
    moved_ms: u64,
    homes: IndexMap<table::RowKey, Quota>,
    held: IndexMap<table::RowKey, Held>,
}

#[derive(Clone, Debug)]
struct Held {
    holder: Holder,
    home: name::HostName,
    ceiling: u32,
    /// Requests that wait for an answer of the home.
    asking: u32,
    /// Whether the home may count other permits than this holder has, since an answer was lost.
    is_uncertain: bool,
}

/// How a request of a row with a ceiling starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// The request holds a permit.
    Run,
    /// The ceiling is reached.
    Denied,
    /// This home does not know all permits yet; ask again shortly.
    NotReady,
    /// The home must be asked.
    Ask(Order),
}

impl Held {
    fn is_unused(&self) -> bool {
        self.holder.is_empty() && self.asking == 0 && !self.is_uncertain
    }
}

impl Ledger {
    /// Creates the ledger of a daemon that knows no other yet.
    #[must_use]
    pub fn new(host: name::HostName) -> Self {
        let live = IndexSet::from([host.clone()]);
        Self {
            host,
            live,
            suspected: IndexSet::new(),
            moved_ms: 0,
            homes: IndexMap::new(),
            held: IndexMap::new(),
        }
    }

    /// Takes in the other daemons that live, and those of them that are suspected to have failed.
    ///
    /// Permits of a daemon that no longer lives are free; a suspected one keeps its permits but is
    /// the home of no row.
    pub fn observe(
        &mut self,
        mut live: IndexSet<name::HostName>,
        suspected: IndexSet<name::HostName>,
        now_ms: u64,
    ) {
        live.insert(self.host.clone());
        if live == self.live && suspected == self.suspected {
            return;
        }
        for gone in self.live.difference(&live) {
            for quota in self.homes.values_mut() {
                quota.forget(gone);
            }
        }
        self.live = live;
        self.suspected = suspected;
        self.moved_ms = now_ms;
    }

    /// Starts a request of a row.
    pub fn start(&mut self, row: &table::RowKey, ceiling: u32, now_ms: u64) -> Start {
        let home = self.home(row);
        let held = self.held.entry(row.clone()).or_insert_with(|| Held {
            holder: Holder::default(),
            home: home.clone(),
            ceiling,
            asking: 0,
            is_uncertain: false,
        });
        held.ceiling = ceiling;
        if held.holder.begin() == Step::Run {
            return Start::Run;
        }
        if home != self.host {
            held.asking += 1;
            return Start::Ask(Order { home, row: row.clone(), action: Action::Request });
        }
        let host = self.host.clone();
        let decision = self.decide(&host, row, Action::Request, Some(ceiling), now_ms);
        if let Some(held) = self.held.get_mut(row) {
            held.holder.answered(decision);
        }
        match decision {
            Decision::Granted => Start::Run,
            Decision::Denied => Start::Denied,
            Decision::NotReady => Start::NotReady,
        }
    }

    /// Records the home's answer; returns whether the request may run.
    pub fn answered(&mut self, row: &table::RowKey, decision: Decision) -> bool {
        let Some(held) = self.held.get_mut(row) else { return false };
        held.asking = held.asking.saturating_sub(1);
        held.holder.answered(decision)
    }

    /// Decides on a request whose home did not answer; returns whether it may run.
    pub fn home_unreachable(&mut self, row: &table::RowKey) -> bool {
        let live = self.live_count();
        let Some(held) = self.held.get_mut(row) else { return false };
        held.asking = held.asking.saturating_sub(1);
        held.is_uncertain = true;
        held.holder.home_unreachable(held.ceiling, live)
    }

    /// Records that the home did not take in an order of `maintain`.
    pub fn not_told(&mut self, row: &table::RowKey) {
        if let Some(held) = self.held.get_mut(row) {
            held.is_uncertain = true;
        }
    }

    /// Ends a request that held a permit.
    pub fn end(&mut self, row: &table::RowKey, now_ms: u64) {
        let live = self.live_count();
        let Some(held) = self.held.get_mut(row) else { return };
        held.holder.end(held.ceiling, live, now_ms);
    }

    /// Decides as the home of a row; `ceiling` is `None` when the row has none any more.
    pub fn decide(
        &mut self,
        holder: &name::HostName,
        row: &table::RowKey,
        action: Action,
        ceiling: Option<u32>,
        now_ms: u64,
    ) -> Decision {
        let ceiling = ceiling.unwrap_or(u32::MAX);
        let (live, moved_ms) = (&self.live, self.moved_ms);
        let quota = self
            .homes
            .entry(row.clone())
            .or_insert_with(|| Quota::start(ceiling, live.iter().cloned(), moved_ms));
        quota.set_ceiling(ceiling);
        match action {
            Action::Request => return quota.request(holder, now_ms),
            Action::Release(count) => quota.release(holder, count),
            Action::Register(count) => quota.register(holder, count),
        }
        Decision::Granted
    }

    /// Returns what homes must be told now: permits that moved with their home or are not needed.
    pub fn maintain(&mut self, now_ms: u64) -> Vec<Order> {
        let mut orders = Vec::new();
        let rows: Vec<_> = self.held.keys().cloned().collect();
        for row in rows {
            let home = self.home(&row);
            let Some(held) = self.held.get_mut(&row) else { continue };
            let returned = held.holder.expire(now_ms);
            // A count that a waiting request may change is not told.
            let is_known = held.home == home && !held.is_uncertain;
            if !is_known && held.asking == 0 {
                held.home = home.clone();
                held.is_uncertain = false;
                let action = Action::Register(held.holder.register());
                orders.push(Order { home, row: row.clone(), action });
            } else if is_known && returned > 0 {
                orders.push(Order { home, row: row.clone(), action: Action::Release(returned) });
            }
        }
        self.held.retain(|_, held| !held.is_unused());
        self.homes.retain(|_, quota| quota.in_use() > 0 || now_ms < self.moved_ms + RECOVERY_MS);
        let (own, others) = orders.into_iter().partition(|order| order.home == self.host);
        self.tell_own(own, now_ms);
        others
    }

    /// Tells whether `maintain` has anything to look after.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.held.is_empty() && self.homes.is_empty()
    }

    fn tell_own(&mut self, orders: Vec<Order>, now_ms: u64) {
        let host = self.host.clone();
        for order in orders {
            let ceiling = self.held.get(&order.row).map(|held| held.ceiling);
            self.decide(&host, &order.row, order.action, ceiling, now_ms);
        }
    }

    fn home(&self, row: &table::RowKey) -> name::HostName {
        let key = row.to_string();
        let candidates = self.live.iter().filter(|host| !self.suspected.contains(*host));
        let home = candidates.max_by_key(|host| rendezvous::score(&key, host.as_str()));
        home.unwrap_or(&self.host).clone()
    }

    fn live_count(&self) -> u32 {
        u32::try_from(self.live.len()).unwrap_or(u32::MAX)
    }
}
