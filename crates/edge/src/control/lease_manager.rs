//! This daemon's lease, and a copy of the lease and holder rows in the store.

use indexmap::IndexMap;
use jasminetack_domain::name;
use jasminetack_domain::order_lease;
use jasminetack_domain::store_time;
use jasminetack_domain::store_version;
use jasminetack_wire::fleet;
use prost::Message;

use super::claims::UnassignedWorker;
use super::holder_rows::HolderRows;
use super::identity::Identity;
use super::lease_times::LeaseTimes;
use super::store_job::StoreJob;
use crate::store;

/// Interval of reading all rows, which finds daemons that have sent no datagram yet.
const ROWS_READ_INTERVAL_MS: u64 = 60_000;
/// Delay before a failed call is retried.
const RETRY_DELAY_MS: u64 = 1_000;
/// Delay before a renewal that conflicted in a restored store is repeated with the rows read anew.
const CONFLICT_DELAY_MS: u64 = 250;
/// Holder rows that are written with one renewal. Each takes a condition and a write, and a transaction holds
/// at most 100 of them.
const MAX_ROWS_PER_RENEWAL: usize = 48;

/// This daemon's lease, and the lease and holder rows as last read.
#[derive(Debug)]
pub struct LeaseManager {
    pub(super) identity: Identity,
    pub(super) times: LeaseTimes,
    pub(super) lease: order_lease::Lease,
    pub(super) clock: order_lease::StoreClock,
    /// Era of the readings of the clock.
    clock_era: Option<u64>,
    pub(super) era: order_lease::StoreEra,
    /// Version of this daemon's lease row; `None` until the rows have been read.
    pub(super) row_version: Option<u64>,
    pub(super) is_released: bool,
    pub(super) is_renewing: bool,
    /// Time from which the pending renewal counts: that of its expiry in the row, not that of the call, which may
    /// wait for others.
    renewal_ms: u64,
    /// Era of the rows on which the pending renewal is based.
    renewal_era: Option<u64>,
    /// Workers whose holder rows the pending renewal writes.
    renewal_workers: Vec<name::WorkerName>,
    pub(super) next_renewal_ms: u64,
    /// Whether the rows must be read before orders may be sent, as at start and after an expiry.
    pub(super) must_read_rows: bool,
    /// Time at which the first renewal after start or expiry was acknowledged.
    pub(super) regained_ms: u64,
    pub(super) leases: IndexMap<name::HostName, (order_lease::LeaseRow, u64)>,
    pub(super) holders: HolderRows,
    pub(super) rows_store_ms: u64,
    pub(super) rows_read_ms: Option<u64>,
    pub(super) next_read_ms: u64,
    pub(super) is_reading: bool,
    /// Workers without a live holder.
    pub(super) unassigned: IndexMap<name::WorkerName, UnassignedWorker>,
    pub(super) started_ms: u64,
}

impl LeaseManager {
    /// Creates a manager that does not hold the lease yet.
    pub fn new(identity: Identity, times: LeaseTimes, now_ms: u64) -> Self {
        Self {
            holders: HolderRows::new(identity.host.clone()),
            identity,
            times,
            lease: order_lease::Lease::new(times.ttl_ms),
            clock: order_lease::StoreClock::default(),
            clock_era: None,
            era: order_lease::StoreEra::new(times.ttl_ms, times.guard_ms),
            row_version: None,
            is_released: false,
            is_renewing: false,
            renewal_ms: 0,
            renewal_era: None,
            renewal_workers: Vec::new(),
            next_renewal_ms: now_ms,
            must_read_rows: true,
            regained_ms: 0,
            leases: IndexMap::new(),
            rows_store_ms: 0,
            rows_read_ms: None,
            next_read_ms: 0,
            is_reading: false,
            unassigned: IndexMap::new(),
            started_ms: now_ms,
        }
    }

    /// Returns this daemon's name.
    pub fn host(&self) -> &name::HostName {
        &self.identity.host
    }

    /// Returns the estimate of the store's clock.
    pub fn store_clock(&self) -> &order_lease::StoreClock {
        &self.clock
    }

    /// Returns an upper bound of the store's time.
    pub fn store_now(&self, now_ms: u64) -> Option<store_time::StoreTime> {
        let store_ms = self.clock.upper_bound_ms(now_ms)?;
        Some(store_time::StoreTime::new(self.era.era()?, store_ms))
    }

    /// Records the store time returned by a call that was sent at `sent_ms`, unless the store has been restored
    /// since.
    pub fn observe_clock(&mut self, as_of: store_time::StoreTime, sent_ms: u64, now_ms: u64) {
        if self.era.era() == Some(as_of.era) {
            self.clock_of_era().observe(as_of.store_ms, sent_ms);
            self.clock.observe_receipt(as_of.store_ms, now_ms);
        }
    }

    /// Returns the clock, which begins anew in each era: that of a restored store may be behind.
    fn clock_of_era(&mut self) -> &mut order_lease::StoreClock {
        if self.clock_era != self.era.era() {
            self.clock_era = self.era.era();
            self.clock = order_lease::StoreClock::default();
        }
        &mut self.clock
    }

    /// Returns the identity of this daemon.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns whether orders may be sent now.
    pub fn may_send_orders(&self, now_ms: u64) -> bool {
        !self.must_read_rows && self.lease.is_valid(now_ms)
    }

    /// Returns whether the rows have been read, so that the other daemons are known.
    pub fn has_read_rows(&self) -> bool {
        self.rows_read_ms.is_some()
    }

    /// Returns whether a daemon had no valid lease when the rows were last read.
    pub fn is_lease_expired(&self, host: &name::HostName) -> bool {
        self.is_lease_expired_for(host, 0)
    }

    /// Returns whether the lease of a daemon had expired for some time when the rows were last read.
    pub fn is_lease_expired_for(&self, host: &name::HostName, guard_ms: u64) -> bool {
        let lease = self.leases.get(host);
        lease.is_none_or(|(row, _)| row.expires_store_ms + guard_ms < self.rows_store_ms)
    }

    /// Returns whether this daemon holds its lease.
    pub fn is_lease_valid(&self, now_ms: u64) -> bool {
        self.lease.is_valid(now_ms)
    }

    /// Iterates over the leases as last read.
    pub fn leases(&self) -> impl Iterator<Item = &order_lease::LeaseRow> {
        self.leases.values().map(|(row, _)| row)
    }

    /// Returns the store jobs that are due: reading the rows and renewing the lease.
    pub fn due_jobs(&mut self, now_ms: u64) -> Vec<StoreJob> {
        let mut jobs = Vec::new();
        let age_ms = self.rows_read_ms.map(|read_ms| now_ms.saturating_sub(read_ms));
        if age_ms.is_none_or(|age_ms| age_ms >= ROWS_READ_INTERVAL_MS)
            && now_ms >= self.next_read_ms
        {
            jobs.extend(self.read_rows_job());
        }
        if !self.lease.is_valid(now_ms) && !self.must_read_rows {
            spdlog::warn!("lease-lost outcome=no-orders");
            self.must_read_rows = true;
            self.holders.clear_lost();
        }
        if now_ms >= self.next_renewal_ms && !self.is_renewing {
            jobs.extend(self.renewal_job(now_ms));
        }
        jobs
    }

    /// Returns whether the lease has been released.
    pub fn is_released(&self) -> bool {
        self.is_released
    }

    /// Releases the lease; returns the write that lets other daemons take over before it expires.
    pub fn release(&mut self, now_ms: u64) -> Option<StoreJob> {
        self.is_released = true;
        self.lease.release();
        self.next_renewal_ms = u64::MAX;
        let expires_store_ms = self.clock.upper_bound_ms(now_ms)?;
        let version = self.row_version?;
        Some(StoreJob::Write(self.lease_transaction(expires_store_ms, version)))
    }

    /// Replaces the lease and holder rows; `held` are the workers of this daemon.
    ///
    /// Returns another read when this one started too early to confirm the assignments.
    pub fn apply_rows<'a, Held>(
        &mut self,
        leases: store::Listing,
        holders: store::Listing,
        held: Held,
        sent_ms: u64,
        now_ms: u64,
    ) -> Option<StoreJob>
    where
        Held: Iterator<Item = &'a name::WorkerName>,
    {
        self.is_reading = false;
        let versions = [leases.version, holders.version];
        let are_current = versions.map(|version| self.observe_version(version, now_ms));
        let eras = versions.map(|version| store_version::StoreVersion::from(version).era());
        if are_current.contains(&false) || eras[0] != eras[1] {
            self.record_read_failure(now_ms);
            return None;
        }
        let is_store_empty = leases.rows.is_empty() && holders.rows.is_empty();
        self.clock_of_era().observe(leases.store_ms, sent_ms);
        self.rows_store_ms = leases.store_ms;
        self.rows_read_ms = Some(sent_ms);
        let known = std::mem::take(&mut self.leases);
        for row in leases.rows {
            let Some(value) = &row.value else { continue };
            match fleet::Lease::decode_row(&row.key, value) {
                Ok(lease) => {
                    self.leases.insert(lease.host.clone(), (lease, row.version));
                }
                Err(error) => {
                    let key = &row.key;
                    spdlog::warn!(
                        "entry-refused table=leases key={key} problem=\"{error}\" outcome=ignored"
                    );
                }
            }
        }
        self.holders.replace(holders);
        let own = self.leases.get(&self.identity.host).map_or(0, |(_, version)| *version);
        if !self.is_renewing {
            self.row_version = Some(own);
        }
        if self.era.start().is_none() {
            self.keep_later_expiries(known);
            self.next_renewal_ms = self.next_renewal_ms.min(now_ms);
        }
        let rows = self.leases.values().map(|(row, _)| row);
        self.era.begin(rows, is_store_empty, self.rows_store_ms, now_ms);
        if !self.era.is_confirmed() {
            if self.may_keep_workers(now_ms) {
                self.holders.find_lost(held);
            }
            return None;
        }
        if !self.must_read_rows || self.regained_ms == 0 {
            return None;
        }
        // If the lease was valid before the read started, no other daemon can have taken a worker
        // over since.
        if sent_ms < self.regained_ms {
            return self.read_rows_job();
        }
        self.must_read_rows = false;
        spdlog::info!("lease-held holders={}", self.holders.len());
        None
    }

    /// Records that the rows could not be read.
    pub fn record_read_failure(&mut self, now_ms: u64) {
        self.is_reading = false;
        self.next_read_ms = now_ms + RETRY_DELAY_MS;
    }

    /// Applies the result of a renewal sent at `sent_ms`; returns a read of the rows if one must
    /// follow.
    pub fn apply_renewal(
        &mut self,
        result: Result<store::Outcome, store::StoreError>,
        sent_ms: u64,
        now_ms: u64,
    ) -> Option<StoreJob> {
        self.is_renewing = false;
        let (era, workers) = (self.renewal_era, std::mem::take(&mut self.renewal_workers));
        if self.row_version.is_none() {
            // The store was restored after the renewal had been queued.
            self.read_rows_again();
        }
        match result {
            Ok(store::Outcome::Committed { version, store_ms }) => {
                let is_current = self.observe_version(version, now_ms);
                if !is_current || self.era.era() != era {
                    // The renewal was based on rows of an earlier era, or was lost in a restore.
                    self.read_rows_again();
                    return None;
                }
                self.clock_of_era().observe(store_ms, sent_ms);
                self.row_version = Some(version);
                for worker in &workers {
                    spdlog::info!("holder-row-restored worker={worker} version={version}");
                    self.holders.record_written(worker, version);
                }
                if self.holders.lost().next().is_some() {
                    self.next_renewal_ms = now_ms;
                    return None;
                }
                self.confirm_era();
                let was_valid = self.lease.is_valid(now_ms);
                self.lease.renewed(self.renewal_ms);
                if !was_valid || self.must_read_rows {
                    self.must_read_rows = true;
                    self.regained_ms = now_ms;
                    return self.read_rows_job();
                }
                None
            }
            Ok(store::Outcome::Conflict(rows)) => {
                if let Some(row) = rows.first() {
                    self.observe_version(row.version, now_ms);
                }
                if self.era.start().is_none() || self.holders.lost().next().is_some() {
                    self.next_renewal_ms = now_ms + CONFLICT_DELAY_MS;
                    self.read_rows_again();
                    return None;
                }
                // An unanswered renewal has taken effect; continue from the version that it wrote.
                let key = self.identity.host.as_str();
                let own = rows.iter().find(|row| row.key == key && row.value.is_some());
                self.row_version = Some(own.map_or(0, |row| row.version));
                self.next_renewal_ms = now_ms;
                None
            }
            Err(error) => {
                spdlog::warn!("renewal-failed error={error:?}");
                self.next_renewal_ms = now_ms + RETRY_DELAY_MS;
                None
            }
        }
    }

    /// Returns the time of day, which is read only at the start of the process, `started_unix_ms`.
    pub fn unix_ms(&self, started_unix_ms: u64, now_ms: u64) -> u64 {
        started_unix_ms + now_ms.saturating_sub(self.started_ms)
    }

    /// Returns the write that deletes the holder row of a worker that has left, unless another daemon has
    /// become its holder.
    pub fn removal_job(&mut self, worker: &name::WorkerName) -> Option<StoreJob> {
        self.holders.removal(worker, self.era.era()?).map(StoreJob::Write)
    }

    pub(super) fn read_rows_job(&mut self) -> Option<StoreJob> {
        if std::mem::replace(&mut self.is_reading, true) {
            return None;
        }
        Some(StoreJob::ReadRows)
    }

    fn renewal_job(&mut self, now_ms: u64) -> Option<StoreJob> {
        let version = self.row_version?;
        let expires_store_ms = self.clock.upper_bound_ms(now_ms)? + self.times.ttl_ms;
        self.is_renewing = true;
        self.renewal_ms = now_ms;
        self.renewal_era = self.era.era();
        self.next_renewal_ms = now_ms + self.times.renewal_ms;
        let mut transaction = self.lease_transaction(expires_store_ms, version);
        let lost = self.holders.lost().take(MAX_ROWS_PER_RENEWAL);
        self.renewal_workers = lost.cloned().collect();
        for worker in &self.renewal_workers {
            self.holders.add_write(&mut transaction, worker);
        }
        Some(StoreJob::Renew(transaction))
    }

    fn lease_transaction(&self, expires_store_ms: u64, version: u64) -> store::Transaction {
        let row = order_lease::LeaseRow {
            host: self.identity.host.clone(),
            address: self.identity.address,
            place: self.identity.locality.clone(),
            expires_store_ms,
            era_start: self.era.start().unwrap_or_default(),
        };
        let (table, key) = (store::Table::Leases, self.identity.host.to_string());
        let value = Some(fleet::Lease::from(&row).encode_to_vec());
        store::Transaction {
            conditions: vec![store::Condition { table, key: key.clone(), version }],
            writes: vec![store::Write { table, key, value }],
        }
    }
}
