//! Publication of views to the traffic thread.

use std::sync::Arc;

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use jasminetack_domain::upstream;
use rustc_hash::{FxBuildHasher, FxHashMap};
use tokio::sync::watch;

use super::assignments::Assignments;
use super::catalog::Catalog;
use super::peers::Peers;
use crate::view;

/// Publishes views and notifies the traffic thread of each.
#[derive(Debug)]
pub struct Publisher {
    view: Arc<ArcSwap<view::View>>,
    revision: watch::Sender<u64>,
    workers: IndexMap<name::WorkerName, Arc<view::WorkerView>>,
    quarantined: Arc<IndexMap<dispatch::SegmentId, u64, FxBuildHasher>>,
}

impl Publisher {
    /// Creates a publisher that replaces a shared view.
    pub fn new(view: Arc<ArcSwap<view::View>>, revision: watch::Sender<u64>) -> Self {
        Self { view, revision, workers: IndexMap::new(), quarantined: Arc::default() }
    }

    /// Sets the quarantined segments of the next view, with the time until which each is quarantined.
    pub fn set_quarantined(&mut self, segments: IndexMap<dispatch::SegmentId, u64, FxBuildHasher>) {
        self.quarantined = Arc::new(segments);
    }

    /// Publishes the current state; updates only the `changed` workers, or all if it is `None`.
    pub fn publish(
        &mut self,
        catalog: &Catalog,
        assignments: &Assignments,
        peers: &Peers,
        changed: Option<&[name::WorkerName]>,
        is_shutting_down: bool,
        now_ms: u64,
    ) {
        match changed {
            None => {
                self.workers.clear();
                for upstream in catalog.directory().iter() {
                    self.update_worker(upstream, assignments, peers, now_ms);
                }
            }
            Some(changed) => {
                for worker in changed {
                    let Some(upstream) = catalog.directory().get(worker) else { continue };
                    self.update_worker(upstream, assignments, peers, now_ms);
                }
            }
        }
        let mut services: IndexMap<name::ServiceName, Vec<Arc<view::WorkerView>>> = IndexMap::new();
        for worker in self.workers.values() {
            let service = services.entry(worker.upstream.service.clone()).or_default();
            service.push(Arc::clone(worker));
        }
        self.view.store(Arc::new(view::View {
            ingress: catalog.ingress().cloned(),
            services,
            adapter_versions: Arc::clone(catalog.adapter_versions()),
            daemon_count: peers.count() + 1,
            quarantined: Arc::clone(&self.quarantined),
            is_shutting_down,
        }));
        self.revision.send_modify(|revision| *revision += 1);
    }

    fn update_worker(
        &mut self,
        upstream: &Arc<upstream::Upstream>,
        assignments: &Assignments,
        peers: &Peers,
        now_ms: u64,
    ) {
        let worker = &upstream.name;
        let held = peers.holder(worker).map(|(_, peer, fencing_token, summary)| {
            (
                fencing_token,
                summary.clone(),
                peer.is_live(now_ms) && !peer.is_leaving,
                peer.statuses_received_ms,
            )
        });
        let own = assignments
            .get(worker)
            .map(|assignment| (assignment.fencing_token, assignment.summary(), true, None));
        let newest = held.into_iter().chain(own).max_by_key(|(fencing_token, ..)| *fencing_token);
        let is_known = newest.is_some();
        let (_, summary, has_holder, reported_ms) = newest.unwrap_or_default();
        let view = view::WorkerView {
            upstream: Arc::clone(upstream),
            has_holder,
            reported_ms,
            has_base_model: summary.has_base_model || !upstream.base_models.is_empty(),
            adapters: adapters(upstream, &summary, is_known),
            waiting_loads: summary.waiting_loads,
            load_wait_ms: summary.load_wait_ms,
        };
        self.workers.insert(worker.clone(), Arc::new(view));
    }
}

/// Returns the adapters on a worker, as reported by its holder, or by its own entry if it has no
/// known holder.
fn adapters(
    upstream: &upstream::Upstream,
    summary: &placement::Summary,
    is_known: bool,
) -> FxHashMap<name::AdapterName, view::AdapterState> {
    let mut adapters = FxHashMap::default();
    if !is_known {
        for adapter in &upstream.adapters {
            let held = view::AdapterState { version: adapter.version(), is_loading: false };
            adapters.insert(adapter.name().clone(), held);
        }
    }
    for held in &summary.held {
        let version =
            view::AdapterState { version: held.adapter.version(), is_loading: held.is_loading };
        adapters.insert(held.adapter.name().clone(), version);
    }
    adapters
}
