//! Workers that this daemon serves, and what follows when it no longer owns them.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::adapter;
use jasminetack_domain::lease;
use jasminetack_domain::member;
use jasminetack_domain::name;
use jasminetack_wire::lease_row;
use jasminetack_wire::platform as wire;

use super::{Call, Context, HostList, Owners};
use crate::platform;
use crate::traffic;

/// Keeps the dispatcher's workers in step with the owner rows.
pub struct Grants {
    dispatcher: Arc<traffic::Dispatcher>,
    granted: IndexMap<name::WorkerName, Granted>,
    /// Revoked ownerships that still run requests.
    draining: IndexMap<(name::WorkerName, adapter::FencingToken), lease::Holder>,
    /// Finished ownerships of which the evidence is not written yet.
    unwritten: Vec<lease::ReleasedRow>,
    /// Evidence of other daemons' finished ownerships.
    released: IndexSet<lease::ReleasedRow>,
    read_version: u64,
    polling: bool,
}

struct Granted {
    fencing: adapter::FencingToken,
    holder: lease::Holder,
    address: SocketAddr,
}

impl Grants {
    /// Creates the state of a daemon that serves no worker.
    pub fn new(dispatcher: Arc<traffic::Dispatcher>) -> Self {
        Self {
            dispatcher,
            granted: IndexMap::new(),
            draining: IndexMap::new(),
            unwritten: Vec::new(),
            released: IndexSet::new(),
            read_version: 0,
            polling: false,
        }
    }

    /// Tells whether no ownership is served, drained or still to be released.
    pub fn is_empty(&self) -> bool {
        self.granted.is_empty() && self.draining.is_empty() && self.unwritten.is_empty()
    }

    /// Returns the fencing number of a worker that this daemon serves.
    pub fn fencing(&self, worker: &name::WorkerName) -> Option<adapter::FencingToken> {
        self.granted.get(worker).map(|granted| granted.fencing)
    }

    /// Grants and revokes workers after the owner rows or hosts changed.
    pub fn reconcile(&mut self, owners: &Owners, hosts: &HostList, own: Option<&lease::Holder>) {
        self.revoke(owners, hosts, own);
        let Some(own) = own else { return };
        for worker in owners.owned_by(own) {
            let Some(owner) = owners.get(&worker).and_then(lease::Ownership::owner) else {
                continue;
            };
            let Some(at) = hosts.workers().get(&worker) else { continue };
            if self.granted.contains_key(&worker) {
                continue;
            }
            let fencing = owner.fencing;
            let grant = lease::Grant {
                worker: worker.clone(),
                fencing,
                refuses_old_fencing: at.refuses_old_fencing,
            };
            self.dispatcher.grant(grant, at.address);
            for ended in ended_before(owner) {
                self.dispatcher.former_owner_ended(&worker, ended);
            }
            log_ownership("granted", &worker, fencing, own);
            let granted = Granted { fencing, holder: own.clone(), address: at.address };
            self.granted.insert(worker, granted);
        }
    }

    fn revoke(&mut self, owners: &Owners, hosts: &HostList, own: Option<&lease::Holder>) {
        let mut lost = Vec::new();
        for (worker, granted) in &self.granted {
            let owner = owners.get(worker).and_then(lease::Ownership::owner);
            let is_owner = owner.is_some_and(|owner| {
                Some(&owner.holder) == own && owner.fencing == granted.fencing
            });
            let at = hosts.workers().get(worker);
            if !is_owner || at.is_none_or(|at| at.address != granted.address) {
                lost.push(worker.clone());
            }
        }
        for worker in lost {
            let Some(granted) = self.granted.swap_remove(&worker) else { continue };
            log_ownership("revoked", &worker, granted.fencing, &granted.holder);
            // Recorded first, since the dispatcher may report the end at once.
            self.draining.insert((worker.clone(), granted.fencing), granted.holder);
            self.dispatcher.revoke(&worker);
        }
    }

    /// Records that a revoked ownership has no request left, and writes the evidence.
    pub fn drained(
        &mut self,
        context: &mut Context,
        worker: name::WorkerName,
        fencing: adapter::FencingToken,
    ) {
        let key = (worker, fencing);
        let Some(holder) = self.draining.swap_remove(&key) else { return };
        let (worker, fencing) = key;
        log_ownership("released", &worker, fencing, &holder);
        self.write(context, lease::ReleasedRow { worker, fencing, holder });
    }

    fn write(&mut self, context: &mut Context, row: lease::ReleasedRow) {
        let transaction = wire::Transaction::from(&row);
        self.unwritten.push(row.clone());
        context.transact(Call::Release(row), transaction);
    }

    /// Handles the result of writing evidence; a lost reply is followed by the same write again.
    pub fn written(
        &mut self,
        row: &lease::ReleasedRow,
        result: &Result<wire::TransactionReply, platform::CallError>,
    ) {
        if result.is_ok() {
            self.unwritten.retain(|unwritten| unwritten != row);
        }
    }

    /// Repeats the writes that failed.
    pub fn retry(&mut self, context: &mut Context) {
        for row in std::mem::take(&mut self.unwritten) {
            self.write(context, row);
        }
    }

    /// Asks the platform for new evidence unless a poll is outstanding.
    pub fn poll(&mut self, context: &Context) {
        if self.polling {
            return;
        }
        self.polling = true;
        let after = self.read_version;
        context.submit(platform::Job::Rows { prefix: lease_row::RELEASED_PREFIX, after });
    }

    /// Handles the result of a poll; returns whether there is new evidence.
    pub fn polled(&mut self, result: Result<wire::RowsPage, platform::CallError>) -> bool {
        self.polling = false;
        let Ok(page) = result else { return false };
        self.read_version = page.head_version;
        let mut changed = false;
        for row in page.rows {
            if let Ok(released) = lease::ReleasedRow::try_from(row) {
                changed |= self.released.insert(released);
            }
        }
        changed
    }

    /// Tells the dispatcher of former owners that are known to have finished.
    pub fn apply_evidence(
        &mut self,
        owners: &mut Owners,
        members: &member::Membership,
        hosts: &HostList,
    ) {
        for worker in self.granted.keys() {
            let Some(ownership) = owners.get_mut(worker) else { continue };
            let ended = ownership.prune_former_owners(|former| {
                let session = members.session(&former.holder.host);
                let released = lease::ReleasedRow {
                    worker: worker.clone(),
                    fencing: former.fencing,
                    holder: former.holder.clone(),
                };
                session.is_some_and(|session| former.ended_by_session(&session.row))
                    || self.released.contains(&released)
                    || hosts.proves_end_of(former)
            });
            for fencing in ended {
                self.dispatcher.former_owner_ended(worker, fencing);
                let (worker, fencing) = (worker.as_str(), fencing.value());
                spdlog::info!("former-owner-ended", kv: { worker, fencing });
            }
        }
    }
}

/// Lists the fencing numbers whose owners were known to have finished when the worker was claimed.
fn ended_before(owner: &lease::OwnerRow) -> Vec<adapter::FencingToken> {
    // Numbers before the oldest of a full list may have been dropped from it without evidence.
    let first = match owner.former_owners.first() {
        Some(oldest) if owner.former_owners.len() >= lease::MAX_FORMER_OWNERS => {
            oldest.fencing.value()
        }
        _ => 1,
    };
    let numbers = (first..owner.fencing.value()).map(adapter::FencingToken::new);
    numbers
        .filter(|number| owner.former_owners.iter().all(|former| former.fencing != *number))
        .collect()
}

fn log_ownership(
    event: &str,
    worker: &name::WorkerName,
    fencing: adapter::FencingToken,
    holder: &lease::Holder,
) {
    let (worker, fencing) = (worker.as_str(), fencing.value());
    let (host, incarnation) = (holder.host.as_str(), holder.incarnation.value());
    spdlog::info!("ownership", kv: { change = event, worker, fencing, host, incarnation });
}
