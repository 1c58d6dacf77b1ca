//! Adapters loaded on each worker, as reported by its owner.

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_wire::gossip;
use jasminetack_wire::peer;
use prost::Message;

/// Prefix of the gossip subjects for loaded adapters.
pub const WORKER_SUBJECT: &str = "worker/";

/// Adapters loaded on all workers.
#[derive(Default)]
pub struct LoadedAdapters {
    workers: IndexMap<name::WorkerName, WorkerAdapters>,
    /// Owned workers whose engine reported that it is leaving.
    leaving: IndexSet<name::WorkerName>,
}

/// Adapters loaded on one worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerAdapters {
    version: u64,
    /// Adapters that requests can use without a load.
    pub loaded: IndexSet<adapter::AdapterRef>,
    /// Whether the worker accepts no new requests.
    pub unavailable: bool,
}

/// Gossip events for a change of the adapters on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct AdapterChange {
    /// Difference from the previous version, to be forwarded.
    pub change: peer::Event,
    /// Complete state, for daemons that missed earlier changes.
    pub complete: peer::Event,
}

impl LoadedAdapters {
    /// Returns the adapters loaded on a worker.
    pub fn get(&self, worker: &name::WorkerName) -> Option<&WorkerAdapters> {
        self.workers.get(worker)
    }

    /// Records the current state of an owned worker; returns the change to publish, if any.
    pub fn report(
        &mut self,
        worker: &name::WorkerName,
        fencing: adapter::FencingToken,
        loaded: IndexSet<adapter::AdapterRef>,
        available: bool,
    ) -> Option<AdapterChange> {
        let unavailable = !available || self.leaving.contains(worker);
        let known = self.workers.entry(worker.clone()).or_default();
        // The high half is the fencing token, so versions of a later owner are always higher.
        let first = fencing.value() << 32;
        let is_first = known.version < first;
        if !is_first && known.loaded == loaded && known.unavailable == unavailable {
            return None;
        }
        let base_version = if is_first { 0 } else { known.version };
        let version = if is_first { first + 1 } else { known.version + 1 };
        let state = if is_first {
            complete_state(&loaded, unavailable)
        } else {
            let added = loaded.difference(&known.loaded).map(ToString::to_string).collect();
            let removed = known.loaded.difference(&loaded).map(ToString::to_string).collect();
            gossip::WorkerState { base_version, added, removed, unavailable }
        };
        *known = WorkerAdapters { version, loaded, unavailable };
        Some(known.change(worker, state))
    }

    /// Records that the engine of an owned worker is leaving.
    pub fn mark_leaving(&mut self, worker: name::WorkerName) {
        self.leaving.insert(worker);
    }

    /// Applies an event from another daemon; `None` if it is outdated or a previous one is missing.
    pub fn apply(&mut self, event: &peer::Event) -> Option<AdapterChange> {
        let worker = name::WorkerName::from(event.subject.strip_prefix(WORKER_SUBJECT)?);
        let state = gossip::WorkerState::decode(event.state.clone()).ok()?;
        let known = self.workers.entry(worker.clone()).or_default();
        if event.version <= known.version {
            return None;
        }
        if state.base_version == 0 {
            known.loaded.clear();
        } else if state.base_version != known.version {
            return None;
        }
        for adapter in &state.removed {
            if let Some(adapter) = parse(adapter) {
                known.loaded.swap_remove(&adapter);
            }
        }
        known.loaded.extend(state.added.iter().filter_map(|adapter| parse(adapter)));
        known.unavailable = state.unavailable;
        known.version = event.version;
        Some(known.change(&worker, state))
    }
}

impl WorkerAdapters {
    fn change(&self, worker: &name::WorkerName, state: gossip::WorkerState) -> AdapterChange {
        let event = |state: &gossip::WorkerState| peer::Event {
            subject: format!("{WORKER_SUBJECT}{worker}"),
            version: self.version,
            state: Bytes::from(state.encode_to_vec()),
        };
        let complete = event(&complete_state(&self.loaded, self.unavailable));
        AdapterChange { change: event(&state), complete }
    }
}

fn complete_state(
    loaded: &IndexSet<adapter::AdapterRef>,
    unavailable: bool,
) -> gossip::WorkerState {
    let added = loaded.iter().map(ToString::to_string).collect();
    gossip::WorkerState { base_version: 0, added, removed: Vec::new(), unavailable }
}

fn parse(text: &str) -> Option<adapter::AdapterRef> {
    let (name, version) = adapter::AdapterRef::parse_model(text).ok()?;
    Some(adapter::AdapterRef::new(name, version?))
}
