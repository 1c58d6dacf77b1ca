//! Rows of the daemons in the store.

use jasminetack_domain::name;
use jasminetack_domain::order_lease;
use prost::Message;
use snafu::ResultExt;

use super::{DecodeSnafu, FleetError, read_address, read_place};

/// Row of a daemon's lease.
#[derive(Clone, PartialEq, Message)]
pub struct Lease {
    /// Address for datagrams.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Region.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Failure domain.
    #[prost(string, tag = "3")]
    pub failure_domain: String,
    /// Time of the store's clock at which the lease expires.
    #[prost(uint64, tag = "4")]
    pub expires_store_ms: u64,
}

/// Row of a worker's holder.
#[derive(Clone, PartialEq, Message)]
pub struct Holder {
    /// Daemon that gives the orders.
    #[prost(string, tag = "1")]
    pub host: String,
}

/// Row of a worker's orders without an answer.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LateOrders {
    /// Time of the store's clock after which none of them is carried out.
    #[prost(uint64, tag = "1")]
    pub until_store_ms: u64,
}

impl From<&order_lease::LeaseRow> for Lease {
    fn from(row: &order_lease::LeaseRow) -> Self {
        Self {
            address: row.address.to_string(),
            region: row.place.region().to_string(),
            failure_domain: row.place.failure_domain().to_string(),
            expires_store_ms: row.expires_store_ms,
        }
    }
}

impl Lease {
    /// Decodes the row of a host.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no lease.
    pub fn read(host: &str, bytes: &[u8]) -> Result<order_lease::LeaseRow, FleetError> {
        let row = Self::decode(bytes).context(DecodeSnafu)?;
        Ok(order_lease::LeaseRow {
            host: name::HostName::from(host),
            address: read_address(&row.address)?,
            place: read_place(&row.region, &row.failure_domain),
            expires_store_ms: row.expires_store_ms,
        })
    }
}

impl From<&order_lease::HolderRow> for Holder {
    fn from(row: &order_lease::HolderRow) -> Self {
        Self { host: row.host.to_string() }
    }
}

impl Holder {
    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no holder.
    pub fn read(bytes: &[u8]) -> Result<order_lease::HolderRow, FleetError> {
        let row = Self::decode(bytes).context(DecodeSnafu)?;
        Ok(order_lease::HolderRow { host: name::HostName::from(row.host) })
    }
}

impl From<&order_lease::UnansweredOrdersRow> for LateOrders {
    fn from(row: &order_lease::UnansweredOrdersRow) -> Self {
        Self { until_store_ms: row.until_store_ms }
    }
}

impl LateOrders {
    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no such row.
    pub fn read(bytes: &[u8]) -> Result<order_lease::UnansweredOrdersRow, FleetError> {
        let row = Self::decode(bytes).context(DecodeSnafu)?;
        Ok(order_lease::UnansweredOrdersRow { until_store_ms: row.until_store_ms })
    }
}
