//! Grants of owned workers to the dispatcher, and the release of former ones.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::adapter;
use jasminetack_domain::lease;
use jasminetack_domain::member;
use jasminetack_domain::name;
use jasminetack_wire::lease_row;
use jasminetack_wire::platform as wire;

use super::{Context, HostList, Owners, PendingCall};
use crate::platform;
use crate::traffic;

/// Keeps the dispatcher's workers consistent with the owner rows.
pub struct Grants {
    dispatcher: Arc<traffic::Dispatcher>,
    granted: IndexMap<name::WorkerName, Granted>,
    /// Revoked ownerships with requests still in flight.
    draining: IndexMap<(name::WorkerName, adapter::FencingToken), lease::Holder>,
    /// Finished ownerships whose release rows have not been written yet.
    unwritten_releases: Vec<lease::ReleasedRow>,
    /// Release rows that were read from the platform.
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
    /// Creates the state of a daemon without granted workers.
    pub fn new(dispatcher: Arc<traffic::Dispatcher>) -> Self {
        Self {
            dispatcher,
            granted: IndexMap::new(),
            draining: IndexMap::new(),
            unwritten_releases: Vec::new(),
            released: IndexSet::new(),
            read_version: 0,
            polling: false,
        }
    }

    /// Returns whether no ownership is granted, draining or without its release row.
    pub fn is_empty(&self) -> bool {
        self.granted.is_empty() && self.draining.is_empty() && self.unwritten_releases.is_empty()
    }

    /// Returns the fencing token of a granted worker.
    pub fn fencing(&self, worker: &name::WorkerName) -> Option<adapter::FencingToken> {
        self.granted.get(worker).map(|granted| granted.fencing)
    }

    /// Grants and revokes workers according to the owner rows and the host list.
    pub fn reconcile(&mut self, owners: &Owners, hosts: &HostList, own: Option<&lease::Holder>) {
        self.revoke(owners, hosts, own);
        let Some(own) = own else { return };
        for worker in owners.owned_by(own) {
            let Some(owner) = owners.get(&worker).and_then(lease::Ownership::owner) else {
                continue;
            };
            let Some(host) = hosts.workers().get(&worker) else { continue };
            if self.granted.contains_key(&worker) {
                continue;
            }
            let fencing = owner.fencing;
            let grant = lease::Grant {
                worker: worker.clone(),
                fencing,
                refuses_old_fencing: host.refuses_old_fencing,
            };
            self.dispatcher.grant(grant, host.address);
            for ended in ended_fencing_tokens(owner) {
                self.dispatcher.former_owner_ended(&worker, ended);
            }
            log_ownership("granted", &worker, fencing, own);
            let granted = Granted { fencing, holder: own.clone(), address: host.address };
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
            let host = hosts.workers().get(worker);
            if !is_owner || host.is_none_or(|host| host.address != granted.address) {
                lost.push(worker.clone());
            }
        }
        for worker in lost {
            let Some(granted) = self.granted.swap_remove(&worker) else { continue };
            log_ownership("revoked", &worker, granted.fencing, &granted.holder);
            // Inserted before the revocation, which may report the worker as drained immediately.
            self.draining.insert((worker.clone(), granted.fencing), granted.holder);
            self.dispatcher.revoke(&worker);
        }
    }

    /// Writes the release row of a revoked ownership that has no requests left.
    pub fn handle_drained(
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
        self.unwritten_releases.push(row.clone());
        context.transact(PendingCall::Release(row), transaction);
    }

    /// Handles the result of writing a release row; after a failure `retry` writes it again.
    pub fn handle_write(
        &mut self,
        row: &lease::ReleasedRow,
        result: &Result<wire::TransactionReply, platform::CallError>,
    ) {
        if result.is_ok() {
            self.unwritten_releases.retain(|unwritten| unwritten != row);
        }
    }

    /// Repeats the writes of release rows that have not been confirmed.
    pub fn retry(&mut self, context: &mut Context) {
        for row in std::mem::take(&mut self.unwritten_releases) {
            self.write(context, row);
        }
    }

    /// Requests new release rows unless a poll is outstanding.
    pub fn poll(&mut self, context: &Context) {
        if self.polling {
            return;
        }
        self.polling = true;
        let after = self.read_version;
        context.submit(platform::Job::Rows { prefix: lease_row::RELEASED_PREFIX, after });
    }

    /// Handles the result of a poll; returns whether there are new release rows.
    pub fn handle_poll(&mut self, result: Result<wire::RowsPage, platform::CallError>) -> bool {
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

    /// Removes former owners proven to have finished, and reports them to the dispatcher.
    ///
    /// The proof is their session row, their release row or the host list.
    pub fn prune_former_owners(
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
                    || hosts.proves_terminated(former)
            });
            for fencing in ended {
                self.dispatcher.former_owner_ended(worker, fencing);
                let (worker, fencing) = (worker.as_str(), fencing.value());
                spdlog::info!("former-owner-ended", kv: { worker, fencing });
            }
        }
    }
}

/// Returns the fencing tokens whose owners had been proven finished when the worker was claimed.
fn ended_fencing_tokens(owner: &lease::OwnerRow) -> Vec<adapter::FencingToken> {
    // A full list drops its oldest entries without such proof, so earlier tokens do not count.
    let first = match owner.former_owners.first() {
        Some(oldest) if owner.former_owners.len() >= lease::MAX_FORMER_OWNERS => {
            oldest.fencing.value()
        }
        _ => 1,
    };
    let tokens = (first..owner.fencing.value()).map(adapter::FencingToken::new);
    tokens
        .filter(|token| owner.former_owners.iter().all(|former| former.fencing != *token))
        .collect()
}

fn log_ownership(
    change: &str,
    worker: &name::WorkerName,
    fencing: adapter::FencingToken,
    holder: &lease::Holder,
) {
    let (worker, fencing) = (worker.as_str(), fencing.value());
    let (host, incarnation) = (holder.host.as_str(), holder.incarnation.value());
    spdlog::info!("ownership", kv: { change, worker, fencing, host, incarnation });
}
