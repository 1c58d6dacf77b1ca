//! Adapters that each worker holds, as its owner tells.

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_wire::gossip;
use jasminetack_wire::peer;
use prost::Message;

/// Prefix of the subjects that tell what workers hold.
pub const WORKER_SUBJECT: &str = "worker/";

/// What every worker holds.
#[derive(Default)]
pub struct LoadedAdapters {
    workers: IndexMap<name::WorkerName, WorkerAdapters>,
    /// Owned workers whose engine said that it is leaving.
    leaving: IndexSet<name::WorkerName>,
}

/// What one worker holds.
#[derive(Clone, Debug, Default)]
pub struct WorkerAdapters {
    version: u64,
    /// Adapters that requests can use at once.
    pub loaded: IndexSet<adapter::AdapterRef>,
    /// Whether the worker takes no new work.
    pub unavailable: bool,
}

/// A change of what a worker holds.
#[derive(Clone, Debug, PartialEq)]
pub struct AdapterChange {
    /// The change alone, to be passed on.
    pub change: peer::Event,
    /// The complete state, for daemons that missed earlier changes.
    pub complete: peer::Event,
}

impl LoadedAdapters {
    /// Returns what a worker holds.
    pub fn get(&self, worker: &name::WorkerName) -> Option<&WorkerAdapters> {
        self.workers.get(worker)
    }

    /// Takes in the present state of an owned worker; returns the change to spread, if any.
    pub fn report(
        &mut self,
        worker: &name::WorkerName,
        fencing: adapter::FencingToken,
        loaded: IndexSet<adapter::AdapterRef>,
        available: bool,
    ) -> Option<AdapterChange> {
        let unavailable = !available || self.leaving.contains(worker);
        let held = self.workers.entry(worker.clone()).or_default();
        // Versions of a later owner are higher than all of a former one's.
        let first = fencing.value() << 32;
        let is_first = held.version < first;
        if !is_first && held.loaded == loaded && held.unavailable == unavailable {
            return None;
        }
        let base_version = if is_first { 0 } else { held.version };
        let version = if is_first { first + 1 } else { held.version + 1 };
        let state = if is_first {
            complete_state(&loaded, unavailable)
        } else {
            let added = loaded.difference(&held.loaded).map(ToString::to_string).collect();
            let removed = held.loaded.difference(&loaded).map(ToString::to_string).collect();
            gossip::WorkerState { base_version, added, removed, unavailable }
        };
        *held = WorkerAdapters { version, loaded, unavailable };
        Some(held.change(worker, state))
    }

    /// Records that an owned worker's engine is leaving.
    pub fn mark_leaving(&mut self, worker: name::WorkerName) {
        self.leaving.insert(worker);
    }

    /// Takes in an event of another daemon; `None` when it is old or earlier changes are missing.
    pub fn apply(&mut self, event: &peer::Event) -> Option<AdapterChange> {
        let worker = name::WorkerName::from(event.subject.strip_prefix(WORKER_SUBJECT)?);
        let state = gossip::WorkerState::decode(event.state.clone()).ok()?;
        let held = self.workers.entry(worker.clone()).or_default();
        if event.version <= held.version {
            return None;
        }
        if state.base_version == 0 {
            held.loaded.clear();
        } else if state.base_version != held.version {
            return None;
        }
        for adapter in &state.removed {
            if let Some(adapter) = parse(adapter) {
                held.loaded.swap_remove(&adapter);
            }
        }
        held.loaded.extend(state.added.iter().filter_map(|adapter| parse(adapter)));
        held.unavailable = state.unavailable;
        held.version = event.version;
        Some(held.change(&worker, state))
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
