//! What the operator and the workers wrote into the store.

use std::sync::Arc;

use indexmap::IndexMap;
use jasminetack_domain::adapter;
use jasminetack_domain::ingress;
use jasminetack_domain::name;
use jasminetack_domain::upstream;
use rustc_hash::FxHashMap;

use super::FeedEvent;
use crate::dialect;
use crate::store;

/// Keeps the version of the configuration apart from the sum of the adapter versions.
const DIGEST_FACTOR: u64 = 1 << 32;

/// What news of a table means.
#[derive(Clone, Debug, Default)]
pub struct CatalogChanges {
    /// Workers that joined, changed or left.
    pub workers: Vec<upstream::Change>,
    /// Adapter versions that were named.
    pub versions: Vec<adapter::AdapterRef>,
    /// Rows that brought the changes.
    pub rows: Vec<store::Row>,
    /// Whether anything changed that traffic must know.
    pub has_changed: bool,
}

/// Configuration, adapter versions and workers; each only ever advances.
#[derive(Debug, Default)]
pub struct Catalog {
    ingress: Option<Arc<ingress::Ingress>>,
    adapter_versions: Arc<IndexMap<name::AdapterName, u32>>,
    /// Sum over the named versions. A daemon knows the changes up to one moment, and each raises it.
    version_sum: u64,
    directory: upstream::Directory,
    /// Versions of the workers' rows; a row may come from the store and from other daemons.
    row_versions: FxHashMap<String, u64>,
}

impl Catalog {
    /// Returns the configuration in force.
    pub fn ingress(&self) -> Option<&Arc<ingress::Ingress>> {
        self.ingress.as_ref()
    }

    /// Returns the adapter versions that the operator named.
    pub fn adapter_versions(&self) -> &Arc<IndexMap<name::AdapterName, u32>> {
        &self.adapter_versions
    }

    /// Returns a number that changes with the configuration and with each adapter version.
    pub fn operator_digest(&self) -> u64 {
        let configuration = self.ingress.as_ref().map_or(0, |ingress| ingress.version());
        configuration.wrapping_mul(DIGEST_FACTOR).wrapping_add(self.version_sum)
    }

    /// Returns the workers.
    pub fn directory(&self) -> &upstream::Directory {
        &self.directory
    }

    /// Takes in a reading of the operator's table.
    pub fn apply_operator_read<Dialect>(
        &mut self,
        event: FeedEvent,
        dialect: &Dialect,
    ) -> CatalogChanges
    where
        Dialect: dialect::Dialect,
    {
        match event {
            FeedEvent::Listed(store::Listing { rows, .. }) | FeedEvent::Changed(rows, _) => {
                self.apply_operator_rows(rows, dialect)
            }
            FeedEvent::Stale | FeedEvent::Failed(_) => CatalogChanges::default(),
        }
    }

    /// Takes in rows of the operator's table; its entries are only ever replaced by newer ones.
    pub fn apply_operator_rows<Dialect>(
        &mut self,
        rows: Vec<store::Row>,
        dialect: &Dialect,
    ) -> CatalogChanges
    where
        Dialect: dialect::Dialect,
    {
        let mut changes = CatalogChanges::default();
        for row in rows {
            let Some(value) = &row.value else { continue };
            let has_changed = match dialect.decode_operator_entry(&row.key, value) {
                Ok(dialect::OperatorEntry::Ingress(ingress)) => self.update_ingress(ingress),
                Ok(dialect::OperatorEntry::AdapterVersion(adapter)) => {
                    self.update_adapter_version(adapter, &mut changes)
                }
                Ok(dialect::OperatorEntry::Other) => false,
                Err(problem) => {
                    let (key, version) = (&row.key, row.version);
                    spdlog::error!(
                        "entry-refused table=operator key={key} row_version={version} problem={problem:?} outcome=last-good-stays"
                    );
                    false
                }
            };
            if has_changed {
                changes.has_changed = true;
                changes.rows.push(row);
            }
        }
        changes
    }

    /// Takes in a reading of the workers' table.
    pub fn apply_workers_read<Dialect>(
        &mut self,
        event: FeedEvent,
        dialect: &Dialect,
        now_ms: u64,
    ) -> CatalogChanges
    where
        Dialect: dialect::Dialect,
    {
        match event {
            FeedEvent::Stale => CatalogChanges::default(),
            FeedEvent::Failed(_) => {
                self.directory.mark_unreachable();
                CatalogChanges::default()
            }
            FeedEvent::Changed(rows, _) => {
                self.directory.mark_reachable(now_ms);
                self.apply_workers_rows(rows, dialect, now_ms)
            }
            FeedEvent::Listed(listing) => {
                self.directory.mark_reachable(now_ms);
                let unlisted = self.unlisted_workers(&listing);
                let mut changes = self.apply_workers_rows(listing.rows, dialect, now_ms);
                for worker in unlisted {
                    changes.workers.extend(self.directory.remove(&worker, now_ms));
                }
                changes.has_changed = !changes.workers.is_empty();
                changes
            }
        }
    }

    /// Takes in rows of the workers' table; those that are older than what is known are left out.
    pub fn apply_workers_rows<Dialect>(
        &mut self,
        rows: Vec<store::Row>,
        dialect: &Dialect,
        now_ms: u64,
    ) -> CatalogChanges
    where
        Dialect: dialect::Dialect,
    {
        let mut changes = CatalogChanges::default();
        for row in rows {
            let known = self.row_versions.entry(row.key.clone()).or_default();
            if row.version <= *known {
                continue;
            }
            *known = row.version;
            let change = match decode(&row, dialect) {
                Some(upstream) => self.directory.upsert(upstream),
                None => self.directory.remove(&name::WorkerName::from(row.key.as_str()), now_ms),
            };
            if let Some(change) = change {
                changes.workers.push(change);
                changes.rows.push(row);
            }
        }
        changes.has_changed = !changes.workers.is_empty();
        changes
    }

    /// Returns the workers that a listing no longer has.
    fn unlisted_workers(&self, listing: &store::Listing) -> Vec<name::WorkerName> {
        let mut missing = Vec::new();
        for upstream in self.directory.iter() {
            let worker = upstream.name.as_str();
            // Another daemon may have told of an entry that is younger than the listing.
            let is_younger =
                self.row_versions.get(worker).is_some_and(|version| *version > listing.version);
            if !is_younger && !listing.rows.iter().any(|row| row.key == worker) {
                missing.push(upstream.name.clone());
            }
        }
        missing
    }

    /// Removes workers whose entries vanished during an outage and did not come back.
    pub fn expire(&mut self, now_ms: u64) -> CatalogChanges {
        let workers = self.directory.remove_expired(now_ms);
        CatalogChanges { has_changed: !workers.is_empty(), workers, ..CatalogChanges::default() }
    }

    fn update_ingress(&mut self, ingress: ingress::Ingress) -> bool {
        let known = self.ingress.as_ref().map_or(0, |known| known.version());
        let (version, routes) = (ingress.version(), ingress.route_count());
        if self.ingress.is_some() && version <= known {
            return false;
        }
        spdlog::info!("configuration-in-force version={version} previous={known} routes={routes}");
        self.ingress = Some(Arc::new(ingress));
        true
    }

    fn update_adapter_version(
        &mut self,
        adapter: adapter::AdapterRef,
        changes: &mut CatalogChanges,
    ) -> bool {
        let known = self.adapter_versions.get(adapter.name()).copied().unwrap_or(0);
        if adapter.version() <= known {
            return false;
        }
        spdlog::info!("adapter-version adapter={adapter} previous={known}");
        self.version_sum += u64::from(adapter.version() - known);
        Arc::make_mut(&mut self.adapter_versions).insert(adapter.name().clone(), adapter.version());
        changes.versions.push(adapter);
        true
    }
}

/// Reads the entry of a worker; `None` when it is gone or names no worker to use.
fn decode<Dialect>(row: &store::Row, dialect: &Dialect) -> Option<upstream::Upstream>
where
    Dialect: dialect::Dialect,
{
    let value = row.value.as_ref()?;
    match dialect.decode_worker_entry(&row.key, value) {
        Ok(upstream) => Some(upstream),
        Err(problem) => {
            let (key, version) = (&row.key, row.version);
            spdlog::warn!(
                "entry-refused table=workers key={key} row_version={version} problem={problem:?} outcome=no-worker"
            );
            None
        }
    }
}
