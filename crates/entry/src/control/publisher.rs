//! Publication of snapshots for the traffic threads.

use std::sync::Arc;

use arc_swap::ArcSwap;
use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::lease;
use jasminetack_domain::member;
use jasminetack_domain::name;
use jasminetack_domain::route;
use jasminetack_domain::table;

use super::{HostList, LoadedAdapters, Owners};
use crate::snapshot;

/// Minimum interval before a snapshot that differs only in loaded adapters.
///
/// At 850 workers such changes occur several times a second, and each snapshot lists all workers.
const ADAPTERS_INTERVAL_MS: u64 = 500;

/// Publishes a new snapshot after changes.
pub struct Publisher {
    published: Arc<ArcSwap<snapshot::Snapshot>>,
    changed: bool,
    adapters_changed: bool,
    published_ms: u64,
}

/// State from which a snapshot is built.
pub struct Sources<'a> {
    /// Configuration table.
    pub table: &'a Arc<table::Table>,
    /// Known daemons.
    pub members: &'a member::Membership,
    /// Hosts by role.
    pub hosts: &'a HostList,
    /// Owner of each worker.
    pub owners: &'a Owners,
    /// Adapters loaded on workers.
    pub loaded_adapters: &'a LoadedAdapters,
    /// Host of this daemon.
    pub own: &'a name::HostName,
    /// Whether requests may be accepted, or the reason why not.
    pub readiness: snapshot::Readiness,
}

impl Publisher {
    /// Creates a publisher; the first call of `publish` stores a snapshot.
    pub fn new(published: Arc<ArcSwap<snapshot::Snapshot>>) -> Self {
        Self { published, changed: true, adapters_changed: false, published_ms: 0 }
    }

    /// Marks the published snapshot as outdated.
    pub fn mark_changed(&mut self) {
        self.changed = true;
    }

    /// Marks the loaded adapters in the published snapshot as outdated.
    pub fn mark_adapters_changed(&mut self) {
        self.adapters_changed = true;
    }

    /// Publishes a snapshot if the current one is outdated or the readiness changed.
    pub fn publish(&mut self, sources: &Sources<'_>, now_ms: u64) {
        let readiness = self.published.load().readiness;
        if readiness != sources.readiness {
            let (ready, reason) = (sources.readiness.is_ready(), sources.readiness.as_str());
            spdlog::info!("readiness", kv: { ready, reason });
            self.changed = true;
        }
        let adapters_due =
            self.adapters_changed && now_ms >= self.published_ms + ADAPTERS_INTERVAL_MS;
        if !self.changed && !adapters_due {
            return;
        }
        self.changed = false;
        self.adapters_changed = false;
        self.published_ms = now_ms;
        self.published.store(Arc::new(build(sources)));
    }
}

fn build(sources: &Sources<'_>) -> snapshot::Snapshot {
    let mut peers = IndexMap::new();
    for (host, member) in sources.members.peers() {
        let address = member.session().row().peers_address;
        let suspected = sources.members.is_suspected(host);
        peers.insert(host.clone(), snapshot::Peer { address, suspected });
    }
    let mut fleet = route::Fleet::default();
    for (worker, host) in sources.hosts.workers() {
        let adapters = sources.loaded_adapters.get(worker);
        let view = route::WorkerView {
            name: worker.clone(),
            locality: host.locality.clone(),
            base_model: host.base_model.clone(),
            owner: serving_owner(sources, &peers, worker),
            loaded: adapters.map_or_else(IndexSet::new, |adapters| adapters.loaded.clone()),
            outstanding: 0,
            leaving: host.leaving || adapters.is_some_and(|adapters| adapters.unavailable),
        };
        fleet.insert(view);
    }
    snapshot::Snapshot {
        table: Arc::clone(sources.table),
        fleet: Arc::new(fleet),
        peers,
        services: sources.hosts.services().clone(),
        readiness: sources.readiness,
    }
}

/// Returns the owner of a worker, or `None` if its session has expired or its daemon is suspected.
fn serving_owner(
    sources: &Sources<'_>,
    peers: &IndexMap<name::HostName, snapshot::Peer>,
    worker: &name::WorkerName,
) -> Option<name::HostName> {
    let owner = &sources.owners.get(worker).and_then(lease::Ownership::owner)?.holder;
    let session = sources.members.session(&owner.host)?;
    if session.row.is_expired(owner.incarnation) {
        return None;
    }
    let is_suspected = peers.get(&owner.host).is_some_and(|peer| peer.suspected);
    (owner.host == *sources.own || !is_suspected).then(|| owner.host.clone())
}
