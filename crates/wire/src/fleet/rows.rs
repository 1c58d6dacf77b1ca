//! Rows that edge daemons keep in the store.

use jasminetack_domain::name;
use jasminetack_domain::order_lease;
use prost::Message;
use snafu::ResultExt;

use super::{DecodeSnafu, MessageError, new_locality, parse_address};

/// A daemon's lease; the key of the row is the host name.
#[derive(Clone, PartialEq, Message)]
pub struct Lease {
    /// Address that receives datagrams.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Region.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Failure domain.
    #[prost(string, tag = "3")]
    pub failure_domain: String,
    /// Store clock time at which the lease expires.
    #[prost(uint64, tag = "4")]
    pub expires_store_ms: u64,
    /// Era of the store; 0 if it reports none.
    #[prost(uint64, tag = "5")]
    pub era: u64,
    /// Store clock time by which the era had begun; 0 if no restore preceded it.
    #[prost(uint64, tag = "6")]
    pub era_by_store_ms: u64,
}

/// The daemon that controls a worker; the key of the row is the worker name.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerHolder {
    /// Host name of the daemon.
    #[prost(string, tag = "1")]
    pub host: String,
}

impl From<&order_lease::LeaseRow> for Lease {
    fn from(row: &order_lease::LeaseRow) -> Self {
        Self {
            address: row.address.to_string(),
            region: row.place.region().to_string(),
            failure_domain: row.place.failure_domain().to_string(),
            expires_store_ms: row.expires_store_ms,
            era: row.era_start.era,
            era_by_store_ms: row.era_start.by_store_ms,
        }
    }
}

impl Lease {
    /// Decodes the lease row of a host.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a lease or its address is not `IP:PORT`.
    pub fn decode_row(host: &str, bytes: &[u8]) -> Result<order_lease::LeaseRow, MessageError> {
        let row = Self::decode(bytes).context(DecodeSnafu)?;
        Ok(order_lease::LeaseRow {
            host: name::HostName::from(host),
            address: parse_address(&row.address)?,
            place: new_locality(&row.region, &row.failure_domain),
            expires_store_ms: row.expires_store_ms,
            era_start: order_lease::EraStart { era: row.era, by_store_ms: row.era_by_store_ms },
        })
    }
}

impl From<&order_lease::HolderRow> for WorkerHolder {
    fn from(row: &order_lease::HolderRow) -> Self {
        Self { host: row.host.to_string() }
    }
}

impl WorkerHolder {
    /// Decodes the holder row of a worker.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a holder row.
    pub fn decode_row(bytes: &[u8]) -> Result<order_lease::HolderRow, MessageError> {
        let row = Self::decode(bytes).context(DecodeSnafu)?;
        Ok(order_lease::HolderRow { host: name::HostName::from(row.host) })
    }
}
