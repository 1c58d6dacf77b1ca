//! Reads of the operator and workers tables, shared among the daemons of a region.

use jasminetack_domain::member;
use jasminetack_domain::name;
use jasminetack_domain::store_time;
use jasminetack_domain::store_version;
use jasminetack_wire::fleet;

use super::FeedEvent;
use super::control_state::ControlState;
use super::freshness::Freshness;
use super::outputs::OutgoingDatagram;
use crate::dialect;
use crate::store;

/// Maximum size of the row values sent in a datagram, which also holds the state of the daemon.
const MAX_SHARED_BYTES: usize = 48 * 1024;

impl<Dialect> ControlState<Dialect>
where
    Dialect: dialect::Dialect,
{
    pub(super) fn handle_table_read(
        &mut self,
        table: store::Table,
        event: FeedEvent,
        started_ms: u64,
        now_ms: u64,
    ) {
        // Rows of the first read are not shared: only this daemon lacks them.
        let is_first = self.freshness(table).as_of().is_none();
        let was_read = self.record_read(table, &event, started_ms, now_ms);
        let mut changes = match table {
            store::Table::Operator => self.catalog.apply_operator_read(event, &*self.dialect),
            store::Table::Workers => self.catalog.apply_workers_read(event, &*self.dialect, now_ms),
            store::Table::Leases | store::Table::Holders | store::Table::Quarantine => return,
        };
        let shared = if is_first { Vec::new() } else { std::mem::take(&mut changes.rows) };
        self.apply_catalog_changes(changes, now_ms);
        if was_read {
            self.share_rows(table, shared, now_ms);
        }
    }

    /// Sends rows to the other daemons of the region, so that they need not read them.
    pub(super) fn share_rows(&mut self, table: store::Table, rows: Vec<store::Row>, now_ms: u64) {
        let state = self.table_only_state(now_ms);
        let mut datagram = self.next_datagram(Some(state), Vec::new());
        let size: usize = rows.iter().filter_map(|row| row.value.as_ref()).map(Vec::len).sum();
        // Rows that do not fit into a datagram are read by each daemon.
        if size <= MAX_SHARED_BYTES {
            let rows = rows.into_iter().map(fleet::Row::from).collect();
            match table {
                store::Table::Operator => datagram.operator_rows = rows,
                _ => datagram.workers_rows = rows,
            }
        }
        let region = self.lease_manager.identity().locality.region().clone();
        let receivers = self.peers.addresses(|peer| *peer.locality.region() == region);
        self.outputs.queue_datagram(OutgoingDatagram { receivers, datagram });
    }

    /// Records the result of a read, and logs when the store becomes unreachable or reachable
    /// again.
    ///
    /// Returns whether the read succeeded.
    pub(super) fn record_read(
        &mut self,
        table: store::Table,
        event: &FeedEvent,
        started_ms: u64,
        now_ms: u64,
    ) -> bool {
        let readers = self.region_peer_count() + 1;
        let name = table.as_str();
        let was_lost = self.unreachable_tables.contains(&table);
        // Changes are of the era in which the table was last listed.
        let era = match event {
            FeedEvent::Listed(listing) => {
                self.lease_manager.observe_version(listing.version, now_ms);
                store_version::StoreVersion::from(listing.version).era()
            }
            _ => self.freshness(table).read_era(),
        };
        let freshness = self.freshness(table);
        match event {
            FeedEvent::Listed(store::Listing { store_ms, .. })
            | FeedEvent::Changed(_, store_ms) => {
                let as_of = store_time::StoreTime::new(era, *store_ms);
                freshness.record_read(as_of);
                self.lease_manager.observe_clock(as_of, started_ms, now_ms);
                if was_lost {
                    self.unreachable_tables.retain(|lost| *lost != table);
                    spdlog::info!("dependency-regained name=store table={name}");
                }
                return true;
            }
            FeedEvent::Stale => freshness.record_failure(readers, now_ms),
            FeedEvent::Failed(error) => {
                freshness.record_failure(readers, now_ms);
                if !was_lost {
                    self.unreachable_tables.push(table);
                    let took_ms = now_ms.saturating_sub(started_ms);
                    spdlog::warn!(
                        "dependency-lost name=store table={name} took_ms={took_ms} error={error:?}"
                    );
                }
            }
        }
        false
    }

    /// Ranks this daemon among the live ones of its region as a reader of each table.
    pub(super) fn rank_readers(&mut self, now_ms: u64) {
        for table in [store::Table::Operator, store::Table::Workers] {
            let identity = self.lease_manager.identity();
            let score =
                |host: &name::HostName| member::rendezvous::score(host.as_str(), table.as_str());
            let own = score(&identity.host);
            let earlier = self.peers.iter().filter(|(host, peer)| {
                peer.locality.region() == identity.locality.region()
                    && peer.is_live(now_ms)
                    && score(host) < own
            });
            let rank = earlier.count();
            self.freshness(table).set_rank(rank);
        }
    }

    fn freshness(&mut self, table: store::Table) -> &mut Freshness {
        match table {
            store::Table::Operator => &mut self.operator,
            _ => &mut self.workers,
        }
    }

    /// Applies rows that another daemon has read.
    pub(super) fn apply_shared_rows(&mut self, datagram: &mut fleet::Datagram, now_ms: u64) {
        let decode = |rows: &mut Vec<fleet::Row>| -> Vec<store::Row> {
            rows.drain(..).map(store::Row::from).collect()
        };
        let operator = decode(&mut datagram.operator_rows);
        let workers = decode(&mut datagram.workers_rows);
        if !operator.is_empty() {
            let changes = self.catalog.apply_operator_rows(operator, &*self.dialect);
            self.apply_catalog_changes(changes, now_ms);
        }
        if !workers.is_empty() {
            let changes = self.catalog.apply_workers_rows(workers, &*self.dialect, now_ms);
            self.apply_catalog_changes(changes, now_ms);
        }
    }
}
