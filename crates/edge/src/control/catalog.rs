//! Configuration, adapter versions and workers, as read from the store.

use std::sync::Arc;

use indexmap::IndexMap;
use jasminetack_domain::adapter;
use jasminetack_domain::ingress;
use jasminetack_domain::name;
use jasminetack_domain::store_version;
use jasminetack_domain::upstream;
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3;

use super::FeedEvent;
use crate::dialect;
use crate::store;

/// Shifts the configuration version above the sum of the adapter versions in the digest.
const DIGEST_FACTOR: u64 = 1 << 32;

/// Effect of applied rows.
#[derive(Clone, Debug, Default)]
pub struct CatalogChanges {
    /// Workers that joined, changed or left.
    pub workers: Vec<upstream::Change>,
    /// Adapters whose newest version advanced.
    pub versions: Vec<adapter::AdapterRef>,
    /// Rows that had an effect.
    pub rows: Vec<store::Row>,
    /// Whether the published view must be updated.
    pub has_changed: bool,
}

/// What tells two configurations with the same version apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ConfigurationRow {
    /// Era of the store in which the configuration was read.
    era: u64,
    content_hash: u64,
}

/// Configuration, adapter versions and workers; no entry is replaced by an older one.
#[derive(Debug, Default)]
pub struct Catalog {
    ingress: Option<Arc<ingress::Ingress>>,
    ingress_row: ConfigurationRow,
    adapter_versions: Arc<IndexMap<name::AdapterName, u32>>,
    /// Sum of all adapter versions.
    ///
    /// It identifies the known versions: a daemon knows all changes up to one point in time, and
    /// each change increases the sum.
    version_sum: u64,
    directory: upstream::Directory,
    /// Era of the store in which the workers were last listed.
    workers_era: Option<u64>,
    /// Versions of the workers' rows, which arrive from both the store and other daemons.
    row_versions: FxHashMap<String, u64>,
}

impl Catalog {
    /// Returns the active configuration.
    pub fn ingress(&self) -> Option<&Arc<ingress::Ingress>> {
        self.ingress.as_ref()
    }

    /// Returns the newest version of each adapter, as set by the operator.
    pub fn adapter_versions(&self) -> &Arc<IndexMap<name::AdapterName, u32>> {
        &self.adapter_versions
    }

    /// Returns a digest of the configuration and the adapter versions.
    pub fn operator_digest(&self) -> u64 {
        self.configuration_digest().wrapping_add(self.version_sum)
    }

    /// Returns a digest of the configuration.
    ///
    /// Its version is enough as long as the store cannot be restored. A store that states its era may lose a
    /// configuration, and get another one with the same version.
    pub fn configuration_digest(&self) -> u64 {
        let version = self.ingress.as_ref().map_or(0, |ingress| ingress.version());
        let ConfigurationRow { era, content_hash } = self.ingress_row;
        let content = if era > 0 { content_hash } else { 0 };
        version.wrapping_mul(DIGEST_FACTOR).wrapping_add(content)
    }

    /// Returns the workers.
    pub fn directory(&self) -> &upstream::Directory {
        &self.directory
    }

    /// Applies a read of the operator table.
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

    /// Applies rows of the operator table; deletions and entries that are not newer are ignored.
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
                Ok(dialect::OperatorEntry::Ingress(ingress)) => {
                    let has_keys = ingress.teams().is_some();
                    let era = store_version::StoreVersion::from(row.version).era();
                    let content_hash = xxh3::xxh3_64(value);
                    let ingress_row = ConfigurationRow { era, content_hash };
                    let has_changed = self.update_ingress(ingress, ingress_row);
                    changes.has_changed |= has_changed;
                    // Keys are not sent to other daemons; each reads them from the store.
                    has_changed && !has_keys
                }
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

    /// Applies a read of the workers table.
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
            FeedEvent::Changed(rows, store_ms) => {
                self.directory.mark_reachable(store_ms, now_ms);
                self.apply_workers_rows(rows, dialect, now_ms)
            }
            FeedEvent::Listed(listing) => {
                let era = store_version::StoreVersion::from(listing.version).era();
                if self.workers_era.replace(era).is_some_and(|known| known < era) {
                    self.directory.mark_restored(now_ms);
                }
                self.directory.mark_reachable(listing.store_ms, now_ms);
                let unlisted = self.unlisted_workers(&listing);
                let mut changes = self.apply_workers_rows(listing.rows, dialect, now_ms);
                for worker in unlisted {
                    changes.workers.extend(self.remove_worker(&worker, now_ms));
                }
                changes.has_changed = !changes.workers.is_empty();
                changes
            }
        }
    }

    /// Applies rows of the workers table; rows that are not newer than the known ones are ignored.
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
                None => self.remove_worker(&name::WorkerName::from(row.key.as_str()), now_ms),
            };
            if let Some(change) = change {
                changes.workers.push(change);
                changes.rows.push(row);
            }
        }
        changes.has_changed = !changes.workers.is_empty();
        changes
    }

    /// Records reads of the workers table by another daemon.
    pub fn observe_workers_reads(&mut self, series: upstream::ReadSeries) {
        self.directory.observe_series(series);
    }

    /// Records that a worker process stated that it is leaving.
    pub fn record_leaving(
        &mut self,
        worker: &name::WorkerName,
        started_unix_ms: u64,
        now_ms: u64,
    ) -> Option<upstream::Change> {
        self.directory.record_leaving(worker, started_unix_ms, now_ms)
    }

    /// Removes a worker whose entry is missing, or logs that it is kept because it may register again.
    fn remove_worker(
        &mut self,
        worker: &name::WorkerName,
        now_ms: u64,
    ) -> Option<upstream::Change> {
        let was_missing = self.directory.is_missing(worker);
        let change = self.directory.remove(worker, now_ms);
        if !was_missing && self.directory.is_missing(worker) {
            spdlog::info!("worker-missing worker={worker} outcome=kept");
        }
        change
    }

    /// Returns the known workers that a listing does not contain.
    fn unlisted_workers(&self, listing: &store::Listing) -> Vec<name::WorkerName> {
        let mut unlisted = Vec::new();
        for upstream in self.directory.iter() {
            let worker = upstream.name.as_str();
            // Another daemon may have sent a row that is newer than the listing.
            let is_newer =
                self.row_versions.get(worker).is_some_and(|version| *version > listing.version);
            if !is_newer && !listing.rows.iter().any(|row| row.key == worker) {
                unlisted.push(upstream.name.clone());
            }
        }
        unlisted
    }

    /// Removes workers whose entries expired during an outage and that did not register again.
    pub fn expire(&mut self, now_ms: u64) -> CatalogChanges {
        let workers = self.directory.remove_expired(now_ms);
        CatalogChanges { has_changed: !workers.is_empty(), workers, ..CatalogChanges::default() }
    }

    fn update_ingress(&mut self, ingress: ingress::Ingress, row: ConfigurationRow) -> bool {
        let known = self.ingress.as_ref().map_or(0, |known| known.version());
        let (version, routes) = (ingress.version(), ingress.route_count());
        let is_later_era = row.era > self.ingress_row.era;
        let is_replaced =
            version == known && is_later_era && row.content_hash != self.ingress_row.content_hash;
        if self.ingress.is_some() && version <= known && !is_replaced {
            if version == known && is_later_era {
                self.ingress_row = row;
            }
            return false;
        }
        self.ingress_row = row;
        let teams = ingress.teams().map_or(0, |directory| directory.teams().count());
        let keys = ingress.teams().map_or(0, |directory| directory.key_count());
        spdlog::info!(
            "configuration-in-force version={version} previous={known} routes={routes} teams={teams} keys={keys}"
        );
        for key in ingress.teams().into_iter().flat_map(|directory| directory.ambiguous_keys()) {
            spdlog::warn!("key-of-two-teams key={key} version={version} outcome=refused");
        }
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

/// Decodes the entry of a worker; `None` if it was deleted or is invalid.
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
