//! Routing index of the model workers.

use std::sync::Arc;

use indexmap::IndexMap;
use rustc_hash::{FxBuildHasher, FxHashMap};

use super::WorkerView;
use crate::adapter;
use crate::name;

/// The model workers that a daemon knows, with an index from adapters to their holders.
///
/// A decision considers the holders and a sample instead of scanning all workers. Clones share the
/// worker views.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    workers: IndexMap<name::WorkerName, Arc<WorkerView>, FxBuildHasher>,
    holders: FxHashMap<adapter::AdapterRef, Vec<name::WorkerName>>,
    by_region: FxHashMap<(name::BaseModelName, name::RegionName), Vec<name::WorkerName>>,
}

impl Fleet {
    /// Returns the number of workers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns whether no worker is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns a worker.
    #[must_use]
    pub fn get(&self, worker: &name::WorkerName) -> Option<&WorkerView> {
        self.workers.get(worker).map(Arc::as_ref)
    }

    /// Lists all workers.
    pub fn iter(&self) -> impl Iterator<Item = &WorkerView> {
        self.workers.values().map(Arc::as_ref)
    }

    /// Adds a worker or replaces its view.
    pub fn insert(&mut self, view: WorkerView) {
        self.remove(&view.name);
        for adapter in &view.loaded {
            self.holders.entry(adapter.clone()).or_default().push(view.name.clone());
        }
        let region = (view.base_model.clone(), view.locality.region().clone());
        self.by_region.entry(region).or_default().push(view.name.clone());
        self.workers.insert(view.name.clone(), Arc::new(view));
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: &name::WorkerName) -> Option<Arc<WorkerView>> {
        let view = self.workers.swap_remove(worker)?;
        for adapter in &view.loaded {
            let Some(holders) = self.holders.get_mut(adapter) else { continue };
            holders.retain(|holder| holder != worker);
            if holders.is_empty() {
                self.holders.remove(adapter);
            }
        }
        let region = (view.base_model.clone(), view.locality.region().clone());
        if let Some(members) = self.by_region.get_mut(&region) {
            members.retain(|member| member != worker);
            if members.is_empty() {
                self.by_region.remove(&region);
            }
        }
        Some(view)
    }

    /// Returns the workers that are known to hold an adapter.
    #[must_use]
    pub fn holders(&self, adapter: &adapter::AdapterRef) -> &[name::WorkerName] {
        self.holders.get(adapter).map_or(&[], Vec::as_slice)
    }

    /// Returns the workers of a base model in a region.
    #[must_use]
    pub fn in_region(
        &self,
        base_model: &name::BaseModelName,
        region: &name::RegionName,
    ) -> &[name::WorkerName] {
        let key = (base_model.clone(), region.clone());
        self.by_region.get(&key).map_or(&[], Vec::as_slice)
    }

    /// Lists the workers of a base model in all regions but one, region by region.
    pub fn outside_region<'a>(
        &'a self,
        base_model: &'a name::BaseModelName,
        region: &'a name::RegionName,
    ) -> impl Iterator<Item = &'a [name::WorkerName]> {
        let others = self.by_region.iter();
        let others = others.filter(move |((base, other), _)| base == base_model && other != region);
        others.map(|(_, members)| members.as_slice())
    }
}

impl FromIterator<WorkerView> for Fleet {
    fn from_iter<Views>(views: Views) -> Self
    where
        Views: IntoIterator<Item = WorkerView>,
    {
        let mut fleet = Self::default();
        for view in views {
            fleet.insert(view);
        }
        fleet
    }
}
