//! This daemon's lease, and a copy of the lease and holder rows in the store.

use std::net::SocketAddr;

use indexmap::IndexMap;
use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_domain::order_lease;
use jasminetack_wire::fleet;
use prost::Message;

use super::claims::UnassignedWorker;
use super::store_job::StoreJob;
use crate::store;

/// Interval of reading all rows, which finds daemons that have sent no datagram yet.
const ROWS_READ_INTERVAL_MS: u64 = 60_000;
/// Delay before a failed call is retried.
const RETRY_DELAY_MS: u64 = 1_000;

/// Key prefix of rows about unanswered orders, which earlier versions of the daemon wrote.
const FORMER_ROWS_PREFIX: &str = "late/";

/// Timing of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Duration of the lease.
    pub ttl_ms: u64,
    /// Renewal interval.
    pub renewal_ms: u64,
    /// Time after expiry during which no other daemon may take over workers.
    pub guard_ms: u64,
}

/// Identity of this daemon, as written to its lease row.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the daemon.
    pub host: name::HostName,
    /// Address that receives datagrams from other daemons.
    pub address: SocketAddr,
    /// Region and failure domain.
    pub locality: locality::Locality,
}

/// This daemon's lease, and the lease and holder rows as last read.
#[derive(Debug)]
pub struct LeaseManager {
    pub(super) identity: Identity,
    pub(super) times: LeaseTimes,
    pub(super) lease: order_lease::Lease,
    pub(super) clock: order_lease::StoreClock,
    /// Version of this daemon's lease row; `None` until the rows have been read.
    pub(super) row_version: Option<u64>,
    pub(super) is_released: bool,
    pub(super) is_renewing: bool,
    pub(super) next_renewal_ms: u64,
    /// Whether the rows must be read before orders may be sent, as at start and after an expiry.
    pub(super) must_read_rows: bool,
    /// Time at which the first renewal after start or expiry was acknowledged.
    pub(super) regained_ms: u64,
    pub(super) leases: IndexMap<name::HostName, (order_lease::LeaseRow, u64)>,
    pub(super) holders: IndexMap<name::WorkerName, (order_lease::HolderRow, u64)>,
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
            identity,
            times,
            lease: order_lease::Lease::new(times.ttl_ms),
            clock: order_lease::StoreClock::default(),
            row_version: None,
            is_released: false,
            is_renewing: false,
            next_renewal_ms: now_ms,
            must_read_rows: true,
            regained_ms: 0,
            leases: IndexMap::new(),
            holders: IndexMap::new(),
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

    /// Records the store time returned by a call that was sent at `sent_ms`.
    pub fn observe_clock(&mut self, store_ms: u64, sent_ms: u64, now_ms: u64) {
        self.clock.observe(store_ms, sent_ms);
        self.clock.observe_receipt(store_ms, now_ms);
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

    /// Returns the holder of a worker and its fencing token according to the rows.
    pub fn holder(&self, worker: &name::WorkerName) -> Option<(&name::HostName, u64)> {
        self.holders.get(worker).map(|(row, version)| (&row.host, *version))
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
        if !self.lease.is_valid(now_ms) && self.row_version.is_some() && !self.must_read_rows {
            spdlog::warn!("lease-lost outcome=no-orders");
            self.must_read_rows = true;
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

    /// Replaces the lease and holder rows.
    ///
    /// Returns another read when this one started too early to confirm the assignments.
    pub fn apply_rows(
        &mut self,
        leases: store::Listing,
        holders: store::Listing,
        sent_ms: u64,
    ) -> Option<StoreJob> {
        self.is_reading = false;
        self.clock.observe(leases.store_ms, sent_ms);
        self.rows_store_ms = leases.store_ms;
        self.rows_read_ms = Some(sent_ms);
        self.leases.clear();
        for row in leases.rows {
            let Some(value) = &row.value else { continue };
            match fleet::Lease::decode_row(&row.key, value) {
                Ok(lease) => {
                    self.leases.insert(lease.host.clone(), (lease, row.version));
                }
                Err(error) => log_invalid_row("leases", &row.key, &error),
            }
        }
        self.holders.clear();
        for row in holders.rows {
            let Some(value) = &row.value else { continue };
            if let Err(error) = self.apply_holder_row(&row.key, value, row.version) {
                log_invalid_row("holders", &row.key, &error);
            }
        }
        let own = self.leases.get(&self.identity.host).map_or(0, |(_, version)| *version);
        if !self.is_renewing {
            self.row_version = Some(own);
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

    fn apply_holder_row(
        &mut self,
        key: &str,
        value: &[u8],
        version: u64,
    ) -> Result<(), fleet::MessageError> {
        if key.starts_with(FORMER_ROWS_PREFIX) {
            return Ok(());
        }
        let holder = fleet::WorkerHolder::decode_row(value)?;
        self.holders.insert(name::WorkerName::from(key), (holder, version));
        Ok(())
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
        match result {
            Ok(store::Outcome::Committed { version, store_ms }) => {
                self.clock.observe(store_ms, sent_ms);
                self.row_version = Some(version);
                let was_valid = self.lease.is_valid(now_ms);
                self.lease.renewed(sent_ms);
                if !was_valid || self.must_read_rows {
                    self.must_read_rows = true;
                    self.regained_ms = now_ms;
                    return self.read_rows_job();
                }
                None
            }
            Ok(store::Outcome::Conflict(rows)) => {
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

    /// Returns the write that deletes the holder row of a worker that has left.
    pub fn removal_job(&self, worker: &name::WorkerName, fencing_token: u64) -> StoreJob {
        let condition = store::Condition {
            table: store::Table::Holders,
            key: worker.to_string(),
            version: fencing_token,
        };
        let (table, key) = (store::Table::Holders, worker.to_string());
        let writes = vec![store::Write { table, key, value: None }];
        StoreJob::Write(store::Transaction { conditions: vec![condition], writes })
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
        self.next_renewal_ms = now_ms + self.times.renewal_ms;
        Some(StoreJob::Renew(self.lease_transaction(expires_store_ms, version)))
    }

    fn lease_transaction(&self, expires_store_ms: u64, version: u64) -> store::Transaction {
        let row = order_lease::LeaseRow {
            host: self.identity.host.clone(),
            address: self.identity.address,
            place: self.identity.locality.clone(),
            expires_store_ms,
        };
        let (table, key) = (store::Table::Leases, self.identity.host.to_string());
        let value = Some(fleet::Lease::from(&row).encode_to_vec());
        store::Transaction {
            conditions: vec![store::Condition { table, key: key.clone(), version }],
            writes: vec![store::Write { table, key, value }],
        }
    }
}

fn log_invalid_row(table: &str, key: &str, error: &fleet::MessageError) {
    spdlog::warn!("entry-refused table={table} key={key} problem=\"{error}\" outcome=ignored");
}
