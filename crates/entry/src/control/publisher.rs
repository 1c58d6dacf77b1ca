//! Publication of the view that traffic uses.

use std::sync::Arc;

use arc_swap::ArcSwap;
use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::lease;
use jasminetack_domain::member;
use jasminetack_domain::name;
use jasminetack_domain::route;
use jasminetack_domain::table;

use super::{HostList, Loads, Owners};
use crate::snapshot;

/// Pause between snapshots that only tell of loaded adapters.
///
/// At two-year size such changes come several times a second, and a snapshot lists 850 workers.
const LOADS_INTERVAL_MS: u64 = 500;

/// Publishes a snapshot when something changed.
pub struct Publisher {
    published: Arc<ArcSwap<snapshot::Snapshot>>,
    changed: bool,
    loads_changed: bool,
    published_ms: u64,
}

/// What a snapshot is made from.
pub struct Sources<'a> {
    /// The table.
    pub table: &'a Arc<table::Table>,
    /// The daemons.
    pub members: &'a member::Membership,
    /// The hosts.
    pub hosts: &'a HostList,
    /// Owners of workers.
    pub owners: &'a Owners,
    /// Adapters that workers hold.
    pub loads: &'a Loads,
    /// This host.
    pub own: &'a name::HostName,
    /// Whether requests may be accepted, and why not.
    pub readiness: snapshot::Readiness,
}

impl Publisher {
    /// Creates a publisher that published nothing yet.
    pub fn new(published: Arc<ArcSwap<snapshot::Snapshot>>) -> Self {
        Self { published, changed: true, loads_changed: false, published_ms: 0 }
    }

    /// Notes that the next snapshot differs from the last one.
    pub fn touch(&mut self) {
        self.changed = true;
    }

    /// Notes that the next snapshot differs from the last one in loaded adapters only.
    pub fn touch_loads(&mut self) {
        self.loads_changed = true;
    }

    /// Publishes a snapshot if something changed.
    pub fn publish(&mut self, sources: &Sources<'_>, now_ms: u64) {
        let readiness = self.published.load().readiness;
        if readiness != sources.readiness {
            let (ready, reason) = (sources.readiness.is_ready(), sources.readiness.as_str());
            spdlog::info!("readiness", kv: { ready, reason });
            self.changed = true;
        }
        let loads_due = self.loads_changed && now_ms >= self.published_ms + LOADS_INTERVAL_MS;
        if !self.changed && !loads_due {
            return;
        }
        self.changed = false;
        self.loads_changed = false;
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
        let load = sources.loads.get(worker);
        let view = route::WorkerView {
            name: worker.clone(),
            locality: host.place.clone(),
            base_model: host.base_model.clone(),
            owner: serving_owner(sources, &peers, worker),
            loaded: load.map_or_else(IndexSet::new, |load| load.loaded.clone()),
            outstanding: 0,
            leaving: host.leaving || load.is_some_and(|load| load.unavailable),
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

/// Returns the owner of a worker unless requests would wait for it in vain.
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
