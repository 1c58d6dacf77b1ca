//! Readings of the operator's and the workers' tables, shared between the daemons of a region.

use jasminetack_wire::fleet;

use super::FeedEvent;
use super::core::Core;
use super::freshness::Freshness;
use super::outputs::OutgoingDatagram;
use crate::dialect;
use crate::store;

/// Rows that fit into a datagram together with the state of a daemon.
const MAX_SHARED_BYTES: usize = 48 * 1024;

impl<Dialect> Core<Dialect>
where
    Dialect: dialect::Dialect,
{
    pub(super) fn handle_table_read(
        &mut self,
        table: store::Table,
        event: FeedEvent,
        began_ms: u64,
        now_ms: u64,
    ) {
        // What a new daemon lists is news to itself only.
        let is_first = self.freshness(table).as_of_store_ms().is_none();
        let was_read = self.record_read(table, &event, began_ms, now_ms);
        let mut changes = match table {
            store::Table::Operator => self.catalog.apply_operator_read(event, &*self.dialect),
            store::Table::Workers => self.catalog.apply_workers_read(event, &*self.dialect, now_ms),
            store::Table::Leases | store::Table::Holders => return,
        };
        let rows = if is_first { Vec::new() } else { std::mem::take(&mut changes.rows) };
        self.apply_catalog_changes(changes, now_ms);
        if was_read {
            self.share_rows(table, rows);
        }
    }

    /// Tells the other daemons of the region what was read, so that they need not read.
    pub(super) fn share_rows(&mut self, table: store::Table, rows: Vec<store::Row>) {
        let state = self.confirmation();
        let mut datagram = self.next_datagram(Some(state), Vec::new());
        let size: usize = rows.iter().filter_map(|row| row.value.as_ref()).map(Vec::len).sum();
        // What does not fit into a datagram is read by each daemon.
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

    /// Notes how recent a table is now, and whether the store was lost or regained; returns whether
    /// it was read.
    pub(super) fn record_read(
        &mut self,
        table: store::Table,
        event: &FeedEvent,
        began_ms: u64,
        now_ms: u64,
    ) -> bool {
        let readers = self.region_peer_count() + 1;
        let name = table.as_str();
        let was_lost = self.lost_tables.contains(&table);
        let freshness = self.freshness(table);
        match event {
            FeedEvent::Listed(store::Listing { store_ms, .. })
            | FeedEvent::Changed(_, store_ms) => {
                freshness.record_read(*store_ms);
                self.lease_manager.observe_clock(*store_ms, began_ms);
                if was_lost {
                    self.lost_tables.retain(|lost| *lost != table);
                    spdlog::info!("dependency-regained name=store table={name}");
                }
                return true;
            }
            FeedEvent::Stale => freshness.record_failure(readers, now_ms),
            FeedEvent::Failed(error) => {
                freshness.record_failure(readers, now_ms);
                if !was_lost {
                    self.lost_tables.push(table);
                    let took_ms = now_ms.saturating_sub(began_ms);
                    spdlog::warn!(
                        "dependency-lost name=store table={name} took_ms={took_ms} error={error:?}"
                    );
                }
            }
        }
        false
    }

    fn freshness(&mut self, table: store::Table) -> &mut Freshness {
        match table {
            store::Table::Operator => &mut self.operator,
            _ => &mut self.workers,
        }
    }

    /// Takes in rows that another daemon has read.
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
