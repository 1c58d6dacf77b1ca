//! Adapters that each worker holds, as its owner tells.

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_wire::peer;
use jasminetack_wire::spread;
use prost::Message;

/// Prefix of the subjects that tell what workers hold.
pub const WORKER_SUBJECT: &str = "worker/";

/// What every worker holds.
#[derive(Default)]
pub struct Loads {
    workers: IndexMap<name::WorkerName, Load>,
    /// Owned workers whose engine said that it is leaving.
    leaving: IndexSet<name::WorkerName>,
}

/// What one worker holds.
#[derive(Clone, Debug, Default)]
pub struct Load {
    version: u64,
    /// Adapters that requests can use at once.
    pub loaded: IndexSet<adapter::AdapterRef>,
    /// Whether the worker takes no new work.
    pub unavailable: bool,
}

/// A change of what a worker holds.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadChange {
    /// The change alone, to be passed on.
    pub change: peer::Event,
    /// The complete state, for daemons that missed earlier changes.
    pub complete: peer::Event,
}

impl Loads {
    /// Returns what a worker holds.
    pub fn get(&self, worker: &name::WorkerName) -> Option<&Load> {
        self.workers.get(worker)
    }

    /// Takes in the present state of an owned worker; returns the change to spread, if any.
    pub fn report(
        &mut self,
        worker: &name::WorkerName,
        fencing: adapter::FencingToken,
        loaded: IndexSet<adapter::AdapterRef>,
        available: bool,
    ) -> Option<LoadChange> {
        let unavailable = !available || self.leaving.contains(worker);
        let load = self.workers.entry(worker.clone()).or_default();
        // Versions of a later owner are higher than all of a former one's.
        let first = fencing.value() << 32;
        let is_first = load.version < first;
        if !is_first && load.loaded == loaded && load.unavailable == unavailable {
            return None;
        }
        let base_version = if is_first { 0 } else { load.version };
        let version = if is_first { first + 1 } else { load.version + 1 };
        let state = if is_first {
            complete_state(&loaded, unavailable)
        } else {
            let added = loaded.difference(&load.loaded).map(ToString::to_string).collect();
            let removed = load.loaded.difference(&loaded).map(ToString::to_string).collect();
            spread::WorkerState { base_version, added, removed, unavailable }
        };
        *load = Load { version, loaded, unavailable };
        Some(load.change(worker, state))
    }

    /// Records that an owned worker's engine is leaving.
    pub fn leaves(&mut self, worker: name::WorkerName) {
        self.leaving.insert(worker);
    }

    /// Takes in an event of another daemon; `None` when it is old or earlier changes are missing.
    pub fn apply(&mut self, event: &peer::Event) -> Option<LoadChange> {
        let worker = name::WorkerName::from(event.subject.strip_prefix(WORKER_SUBJECT)?);
        let state = spread::WorkerState::decode(event.state.clone()).ok()?;
        let load = self.workers.entry(worker.clone()).or_default();
        if event.version <= load.version {
            return None;
        }
        if state.base_version == 0 {
            load.loaded.clear();
        } else if state.base_version != load.version {
            return None;
        }
        for adapter in &state.removed {
            if let Some(adapter) = parse(adapter) {
                load.loaded.swap_remove(&adapter);
            }
        }
        load.loaded.extend(state.added.iter().filter_map(|adapter| parse(adapter)));
        load.unavailable = state.unavailable;
        load.version = event.version;
        Some(load.change(&worker, state))
    }
}

impl Load {
    fn change(&self, worker: &name::WorkerName, state: spread::WorkerState) -> LoadChange {
        let event = |state: &spread::WorkerState| peer::Event {
            subject: format!("{WORKER_SUBJECT}{worker}"),
            version: self.version,
            state: Bytes::from(state.encode_to_vec()),
        };
        let complete = event(&complete_state(&self.loaded, self.unavailable));
        LoadChange { change: event(&state), complete }
    }
}

fn complete_state(
    loaded: &IndexSet<adapter::AdapterRef>,
    unavailable: bool,
) -> spread::WorkerState {
    let added = loaded.iter().map(ToString::to_string).collect();
    spread::WorkerState { base_version: 0, added, removed: Vec::new(), unavailable }
}

fn parse(text: &str) -> Option<adapter::AdapterRef> {
    let (name, version) = adapter::AdapterRef::parse_model(text).ok()?;
    Some(adapter::AdapterRef::new(name, version?))
}
