//! Permits that one daemon grants or holds.

use indexmap::{IndexMap, IndexSet};

use super::quota::RECOVERY_WINDOW_MS;
use super::{Action, Decision, Holder, PermitMessage, Quota, Step};
use crate::member::rendezvous;
use crate::name;
use crate::table;

/// Permit state of one daemon, as the home of some rows and as a holder of permits of any row.
#[derive(Clone, Debug)]
pub struct Ledger {
    host: name::HostName,
    live: IndexSet<name::HostName>,
    suspected: IndexSet<name::HostName>,
    membership_changed_ms: u64,
    homes: IndexMap<table::RowKey, Quota>,
    held: IndexMap<table::RowKey, HeldPermits>,
}

#[derive(Clone, Debug)]
struct HeldPermits {
    holder: Holder,
    home: name::HostName,
    ceiling: u32,
    /// Requests that wait for a decision of the home.
    pending_requests: u32,
    /// Whether a lost message may have left the home with a different permit count.
    needs_registration: bool,
}

/// Result of starting a request of a row with a ceiling.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// The request holds a permit.
    Run,
    /// The ceiling is reached.
    Denied,
    /// The local daemon is a new home that does not know all permits yet; retry shortly.
    NotReady,
    /// A permit must be requested from the home with this message.
    RequestFromHome(PermitMessage),
}

impl HeldPermits {
    fn is_unused(&self) -> bool {
        self.holder.is_empty() && self.pending_requests == 0 && !self.needs_registration
    }
}

impl Ledger {
    /// Creates the ledger of a daemon that knows no other daemon yet.
    #[must_use]
    pub fn new(host: name::HostName) -> Self {
        let live = IndexSet::from([host.clone()]);
        Self {
            host,
            live,
            suspected: IndexSet::new(),
            membership_changed_ms: 0,
            homes: IndexMap::new(),
            held: IndexMap::new(),
        }
    }

    /// Updates the live daemons and those of them that are suspected to have failed.
    ///
    /// Permits of a daemon that is no longer live are reclaimed. A suspected daemon keeps its permits
    /// but is not the home of any row.
    pub fn update_members(
        &mut self,
        mut live: IndexSet<name::HostName>,
        suspected: IndexSet<name::HostName>,
        now_ms: u64,
    ) {
        live.insert(self.host.clone());
        if live == self.live && suspected == self.suspected {
            return;
        }
        for removed in self.live.difference(&live) {
            for quota in self.homes.values_mut() {
                quota.remove_holder(removed);
            }
        }
        self.live = live;
        self.suspected = suspected;
        self.membership_changed_ms = now_ms;
    }

    /// Starts a request of a row.
    pub fn start(&mut self, row: &table::RowKey, ceiling: u32, now_ms: u64) -> Start {
        let home = self.home(row);
        let held = self.held.entry(row.clone()).or_insert_with(|| HeldPermits {
            holder: Holder::default(),
            home: home.clone(),
            ceiling,
            pending_requests: 0,
            needs_registration: false,
        });
        held.ceiling = ceiling;
        if held.holder.begin() == Step::Run {
            return Start::Run;
        }
        if home != self.host {
            held.pending_requests += 1;
            return Start::RequestFromHome(PermitMessage {
                home,
                row: row.clone(),
                action: Action::Request,
            });
        }
        let host = self.host.clone();
        let decision = self.decide(&host, row, Action::Request, Some(ceiling), now_ms);
        if let Some(held) = self.held.get_mut(row) {
            held.holder.record_decision(decision);
        }
        match decision {
            Decision::Granted => Start::Run,
            Decision::Denied => Start::Denied,
            Decision::NotReady => Start::NotReady,
        }
    }

    /// Records the home's decision; returns whether the request may run.
    pub fn record_decision(&mut self, row: &table::RowKey, decision: Decision) -> bool {
        let Some(held) = self.held.get_mut(row) else { return false };
        held.pending_requests = held.pending_requests.saturating_sub(1);
        held.holder.record_decision(decision)
    }

    /// Decides on a request whose home is unreachable; returns whether it may run.
    pub fn admit_without_home(&mut self, row: &table::RowKey) -> bool {
        let live = self.live_count();
        let Some(held) = self.held.get_mut(row) else { return false };
        held.pending_requests = held.pending_requests.saturating_sub(1);
        held.needs_registration = true;
        held.holder.admit_without_home(held.ceiling, live)
    }

    /// Records that a message of `maintain` may not have reached the home.
    pub fn record_undelivered(&mut self, row: &table::RowKey) {
        if let Some(held) = self.held.get_mut(row) {
            held.needs_registration = true;
        }
    }

    /// Ends a request that held a permit.
    pub fn end(&mut self, row: &table::RowKey, now_ms: u64) {
        let live = self.live_count();
        let Some(held) = self.held.get_mut(row) else { return };
        held.holder.end(held.ceiling, live, now_ms);
    }

    /// Handles a message as the home of a row; `ceiling` is `None` when the row no longer has one.
    pub fn decide(
        &mut self,
        holder: &name::HostName,
        row: &table::RowKey,
        action: Action,
        ceiling: Option<u32>,
        now_ms: u64,
    ) -> Decision {
        let ceiling = ceiling.unwrap_or(u32::MAX);
        let (live, membership_changed_ms) = (&self.live, self.membership_changed_ms);
        let quota = self
            .homes
            .entry(row.clone())
            .or_insert_with(|| Quota::start(ceiling, live.iter().cloned(), membership_changed_ms));
        quota.set_ceiling(ceiling);
        match action {
            Action::Request => return quota.request(holder, now_ms),
            Action::Release(count) => quota.release(holder, count),
            Action::Register(count) => quota.register(holder, count),
        }
        Decision::Granted
    }

    /// Returns the messages to send to homes: registrations of permits whose home changed or whose
    /// count is uncertain, and returns of expired permits.
    pub fn maintain(&mut self, now_ms: u64) -> Vec<PermitMessage> {
        let mut messages = Vec::new();
        let rows: Vec<_> = self.held.keys().cloned().collect();
        for row in rows {
            let home = self.home(&row);
            let Some(held) = self.held.get_mut(&row) else { continue };
            let expired = held.holder.expire_idle(now_ms);
            // The count is not registered while a pending request may change it.
            let is_registered = held.home == home && !held.needs_registration;
            if !is_registered && held.pending_requests == 0 {
                held.home = home.clone();
                held.needs_registration = false;
                let action = Action::Register(held.holder.register());
                messages.push(PermitMessage { home, row: row.clone(), action });
            } else if is_registered && expired > 0 {
                messages.push(PermitMessage {
                    home,
                    row: row.clone(),
                    action: Action::Release(expired),
                });
            }
        }
        self.held.retain(|_, held| !held.is_unused());
        self.homes.retain(|_, quota| {
            quota.in_use() > 0 || now_ms < self.membership_changed_ms + RECOVERY_WINDOW_MS
        });
        let (own, others) = messages.into_iter().partition(|message| message.home == self.host);
        self.apply_local(own, now_ms);
        others
    }

    /// Returns whether the ledger holds no state for `maintain` to process.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.held.is_empty() && self.homes.is_empty()
    }

    fn apply_local(&mut self, messages: Vec<PermitMessage>, now_ms: u64) {
        let host = self.host.clone();
        for message in messages {
            let ceiling = self.held.get(&message.row).map(|held| held.ceiling);
            self.decide(&host, &message.row, message.action, ceiling, now_ms);
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
