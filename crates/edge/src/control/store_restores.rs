//! What a restore of the store means for the lease.

use indexmap::IndexMap;
use jasminetack_domain::name;
use jasminetack_domain::order_lease;
use jasminetack_domain::store_version;

use super::lease_manager::LeaseManager;

impl LeaseManager {
    /// Records the version of a response of the store, which shows whether the store has been restored.
    ///
    /// Returns whether the response is of the latest known era.
    pub fn observe_version(&mut self, version: u64, now_ms: u64) -> bool {
        let era = store_version::StoreVersion::from(version).era();
        match self.era.observe(era) {
            order_lease::EraObservation::Current => true,
            order_lease::EraObservation::Outdated => {
                spdlog::warn!("outdated-response era={era} outcome=ignored");
                false
            }
            order_lease::EraObservation::Restored { previous } => {
                let has_lease = self.may_send_orders(now_ms);
                spdlog::warn!("store-restored era={era} previous={previous} has_lease={has_lease}");
                self.row_version = None;
                self.holders.clear_lost();
                self.read_rows_again();
                true
            }
        }
    }

    /// Returns the latest known era of the store.
    pub fn store_era(&self) -> Option<u64> {
        self.era.era()
    }

    /// Returns whether this daemon may still be the holder of its workers.
    ///
    /// If its lease ends before its rows are in a restored store, other daemons may claim the workers.
    pub fn may_keep_workers(&self, now_ms: u64) -> bool {
        self.era.is_confirmed() || self.may_send_orders(now_ms)
    }

    /// Returns whether the rows show that a worker of this process has another holder.
    ///
    /// The rows of a restored store show former holders until this daemon has written its own.
    pub fn is_taken_over(&self, worker: &name::WorkerName) -> bool {
        self.era.is_confirmed() && self.holders.is_foreign(worker)
    }

    /// Keeps the leases that were known before a restore as long as they last: the restored rows are older.
    pub(super) fn keep_later_expiries(
        &mut self,
        known: IndexMap<name::HostName, (order_lease::LeaseRow, u64)>,
    ) {
        for (host, (known, _)) in known {
            // Version 0 stands for a row that does not exist.
            let (row, _) = self.leases.entry(host).or_insert_with(|| (known.clone(), 0));
            row.expires_store_ms = row.expires_store_ms.max(known.expires_store_ms);
        }
    }

    /// Has the rows read at once.
    pub(super) fn read_rows_again(&mut self) {
        self.rows_read_ms = None;
        self.next_read_ms = 0;
    }

    /// Records that the rows of this daemon are in the store in the present era.
    pub(super) fn confirm_era(&mut self) {
        if self.era.is_confirmed() {
            return;
        }
        self.era.confirm();
        if let Some(claims_from_ms) = self.era.claims_from_ms() {
            let start = self.era.start().unwrap_or_default();
            let (era, by_store_ms) = (start.era, start.by_store_ms);
            spdlog::info!(
                "era-confirmed era={era} began_by_store_ms={by_store_ms} claims_from_ms={claims_from_ms}"
            );
        }
    }
}
