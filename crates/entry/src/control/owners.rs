//! Owners of all workers, and claims and handovers by this daemon.

use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::lease;
use jasminetack_domain::locality;
use jasminetack_domain::member;
use jasminetack_domain::name;
use jasminetack_wire::lease_row;
use jasminetack_wire::platform as wire;

use super::{Context, HostList, PendingCall};
use crate::platform;

/// Minimum interval between two workers that a daemon receives by handover.
const HANDOVER_INTERVAL_MS: u64 = 2_000;

/// Last known owner of each worker.
#[derive(Default)]
pub struct Owners {
    ownerships: IndexMap<name::WorkerName, lease::Ownership>,
    /// Version up to which owner rows have been read; `None` before the first read.
    read_version: Option<u64>,
    polling: bool,
    /// Workers with an outstanding change of owner by this daemon.
    changing: IndexSet<name::WorkerName>,
    /// Workers whose change may have taken effect although the reply was lost.
    unresolved: IndexSet<name::WorkerName>,
    /// Hosts of owners whose unknown session rows are being read.
    session_reads: IndexSet<name::HostName>,
    /// When each daemon last became the owner of a worker.
    last_received_ms: IndexMap<name::HostName, u64>,
}

impl Owners {
    /// Returns the ownership of a worker.
    pub fn get(&self, worker: &name::WorkerName) -> Option<&lease::Ownership> {
        self.ownerships.get(worker)
    }

    /// Returns a mutable reference to the ownership of a worker.
    pub fn get_mut(&mut self, worker: &name::WorkerName) -> Option<&mut lease::Ownership> {
        self.ownerships.get_mut(worker)
    }

    /// Returns the workers that a holder owns.
    pub fn owned_by(&self, holder: &lease::Holder) -> Vec<name::WorkerName> {
        let owned = self.ownerships.iter().filter(|(_, owned)| owned.is_owned_by(holder));
        owned.map(|(worker, _)| worker.clone()).collect()
    }

    /// Returns whether a change of owner by this daemon is outstanding.
    pub fn is_changing(&self) -> bool {
        !self.changing.is_empty()
    }

    /// Requests changed owner rows unless a poll is outstanding.
    pub fn poll(&mut self, context: &Context) {
        if self.polling {
            return;
        }
        self.polling = true;
        let after = self.read_version.unwrap_or(0);
        context.submit(platform::Job::Rows { prefix: lease_row::OWNER_PREFIX, after });
    }

    /// Handles the result of a poll; returns whether it was the first or changed an owner.
    pub fn handle_poll(
        &mut self,
        result: Result<wire::RowsPage, platform::CallError>,
        now_ms: u64,
    ) -> bool {
        self.polling = false;
        let Ok(page) = result else { return false };
        let mut changed = self.read_version.is_none();
        self.read_version = Some(page.head_version);
        for row in page.rows {
            changed |= self.observe_row(row, now_ms);
        }
        changed
    }

    /// Parses and records an owner row from the platform; returns whether it is new.
    pub fn observe_row(&mut self, row: wire::StoredRow, now_ms: u64) -> bool {
        if row.value.is_none() {
            return false;
        }
        match lease::Stored::<lease::OwnerRow>::try_from(row) {
            Ok(stored) => self.observe(stored, now_ms),
            Err(error) => {
                let error = error.to_string();
                spdlog::error!("owner-row-invalid", kv: { error = error.as_str() });
                false
            }
        }
    }

    /// Records an owner row; returns whether it is new.
    pub fn observe(&mut self, stored: lease::Stored<lease::OwnerRow>, now_ms: u64) -> bool {
        let worker = stored.row.worker.clone();
        let host = stored.row.holder.host.clone();
        let ownership =
            self.ownerships.entry(worker.clone()).or_insert_with(|| lease::Ownership::new(worker));
        if !ownership.observe(stored) {
            return false;
        }
        self.last_received_ms.insert(host, now_ms);
        true
    }

    /// Claims the workers that this daemon should own and that no live daemon owns.
    pub fn claim(
        &mut self,
        context: &mut Context,
        members: &member::Membership,
        hosts: &HostList,
        own: &lease::Holder,
    ) {
        // Before the first read, a worker without a known owner may have one.
        if self.read_version.is_none() {
            return;
        }
        for (worker, host) in hosts.workers() {
            if host.leaving || self.changing.contains(worker) {
                continue;
            }
            if choose_owner(worker, &host.locality, members, hosts) != Some(&own.host) {
                continue;
            }
            let ownership = self
                .ownerships
                .entry(worker.clone())
                .or_insert_with(|| lease::Ownership::new(worker.clone()));
            let owner = ownership.owner().map(|owner| owner.holder.host.clone());
            let session = owner.as_ref().and_then(|host| members.session(host));
            if let (Some(host), None) = (owner, session) {
                if self.session_reads.insert(host.clone()) {
                    let key = lease_row::session_key(&host);
                    context.read(PendingCall::ReadSession(host), key);
                }
                continue;
            }
            let Some(claim) = ownership.claim(own.clone(), session) else { continue };
            self.changing.insert(worker.clone());
            let transaction = wire::Transaction::from(&claim);
            context.transact(PendingCall::Claim(claim), transaction);
        }
    }

    /// Hands over workers that another daemon should own: one per call, or all while leaving.
    pub fn hand_over(
        &mut self,
        context: &mut Context,
        members: &member::Membership,
        hosts: &HostList,
        own: &lease::SessionRow,
        leaving: bool,
    ) {
        let now_ms = context.now_ms();
        for (worker, ownership) in &self.ownerships {
            let Some(host) = hosts.workers().get(worker) else { continue };
            if self.changing.contains(worker) {
                continue;
            }
            let Some(chosen) = choose_owner(worker, &host.locality, members, hosts) else {
                continue;
            };
            let Some(session) = members.session(chosen) else { continue };
            let last_received_ms = self.last_received_ms.get(chosen).copied().unwrap_or(0);
            if !leaving && now_ms < last_received_ms + HANDOVER_INTERVAL_MS {
                continue;
            }
            let Some(claim) = ownership.hand_over(own, session.row.holder()) else { continue };
            self.changing.insert(worker.clone());
            let transaction = wire::Transaction::from(&claim);
            context.transact(PendingCall::Claim(claim), transaction);
            if !leaving {
                return;
            }
        }
    }

    /// Handles the result of a claim or handover; returns the row if it was committed.
    pub fn handle_change(
        &mut self,
        context: &mut Context,
        claim: lease::OwnerChange,
        result: Result<wire::TransactionReply, platform::CallError>,
    ) -> Option<lease::Stored<lease::OwnerRow>> {
        let now_ms = context.now_ms();
        let worker = claim.row.worker.clone();
        match result {
            Ok(wire::TransactionReply::Committed { version }) => {
                self.changing.swap_remove(&worker);
                let stored = lease::Stored::new(version, claim.row);
                self.observe(stored.clone(), now_ms);
                Some(stored)
            }
            Ok(wire::TransactionReply::Conflict { rows }) => {
                self.changing.swap_remove(&worker);
                let key = lease_row::owner_key(&worker);
                for row in rows {
                    if row.key == key {
                        self.observe_row(row, now_ms);
                    }
                }
                None
            }
            Err(error) => {
                let message = error.to_string();
                let (worker_name, error_text) = (worker.as_str(), message.as_str());
                spdlog::warn!("claim-failed", kv: { worker = worker_name, error = error_text });
                if error.may_have_applied {
                    self.unresolved.insert(worker);
                } else {
                    self.changing.swap_remove(&worker);
                }
                None
            }
        }
    }

    /// Reads the owner rows of changes whose replies were lost.
    ///
    /// Until a read succeeds, no other change of these workers is attempted.
    pub fn read_unresolved(&mut self, context: &mut Context) {
        for worker in std::mem::take(&mut self.unresolved) {
            let key = lease_row::owner_key(&worker);
            context.read(PendingCall::ReadOwner(worker), key);
        }
    }

    /// Handles the result of reading one owner row; returns whether anything changed.
    pub fn handle_read(
        &mut self,
        worker: name::WorkerName,
        result: Result<wire::RowsPage, platform::CallError>,
        now_ms: u64,
    ) -> bool {
        let Ok(page) = result else {
            if self.changing.contains(&worker) {
                self.unresolved.insert(worker);
            }
            return false;
        };
        self.changing.swap_remove(&worker);
        let mut changed = false;
        for row in page.rows {
            changed |= self.observe_row(row, now_ms);
        }
        changed
    }

    /// Records that the read of an owner's session row finished, so that it may be repeated.
    pub fn finish_session_read(&mut self, host: &name::HostName) {
        self.session_reads.swap_remove(host);
    }
}

fn choose_owner<'a>(
    worker: &name::WorkerName,
    at: &locality::Locality,
    members: &'a member::Membership,
    hosts: &HostList,
) -> Option<&'a name::HostName> {
    let candidates = members.candidates().filter(|(host, _)| !hosts.is_leaving(host));
    lease::Ownership::choose_owner(worker, at, candidates)
}
