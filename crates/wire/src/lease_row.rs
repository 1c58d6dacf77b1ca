//! Session, owner and released rows as JSON.

use std::net::SocketAddr;

use jasminetack_domain::adapter;
use jasminetack_domain::lease;
use jasminetack_domain::locality;
use jasminetack_domain::name;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt};

use crate::platform;

/// Prefix of the keys of session rows.
pub const SESSION_PREFIX: &str = "session/";
/// Prefix of the keys of owner rows.
pub const OWNER_PREFIX: &str = "owner/";
/// Prefix of the keys of released rows.
pub const RELEASED_PREFIX: &str = "released/";

/// Value of a session row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireSession {
    /// Incarnation.
    pub incarnation: u64,
    /// `live`, `leaving`, `lapsed` or `ended`.
    pub state: String,
    /// Number of renewals.
    pub renewals: u64,
    /// Table version in force at the daemon.
    pub table_version: u64,
    /// Incarnation of the host in the host list; 0 when unknown.
    #[serde(default)]
    pub host_incarnation: u64,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Address of the port for other daemons.
    pub peers_address: SocketAddr,
    /// Address of the operations port.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ops_address: Option<SocketAddr>,
}

/// Value of an owner row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireOwner {
    /// Host of the owner.
    pub host: String,
    /// Incarnation of the owner.
    pub incarnation: u64,
    /// Fencing number.
    pub fencing: u64,
    /// Former owners that are not known to have finished.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub former: Vec<WireFormer>,
}

/// A former owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireFormer {
    /// Fencing number.
    pub fencing: u64,
    /// Host.
    pub host: String,
    /// Incarnation.
    pub incarnation: u64,
    /// Incarnation of the host in the host list; 0 when unknown.
    #[serde(default)]
    pub host_incarnation: u64,
}

/// Value of a released row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireReleased {
    /// Host of the former owner.
    pub host: String,
    /// Incarnation of the former owner.
    pub incarnation: u64,
}

/// Why a stored row is not valid.
#[derive(Debug, snafu::Snafu)]
pub enum LeaseRowError {
    /// The key does not have the expected form.
    #[snafu(display("unexpected key {key:?}"))]
    Key {
        /// Key found.
        key: String,
    },
    /// The row is deleted.
    #[snafu(display("{key} has no value"))]
    Deleted {
        /// Key of the row.
        key: String,
    },
    /// The value is not of the expected form.
    #[snafu(display("{key}: {source}"))]
    Value {
        /// Key of the row.
        key: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// The state has no such name.
    #[snafu(display("{key}: unknown session state {state:?}"))]
    State {
        /// Key of the row.
        key: String,
        /// State found.
        state: String,
    },
}

/// Returns the key of a session row.
#[must_use]
pub fn session_key(host: &name::HostName) -> String {
    format!("{SESSION_PREFIX}{host}")
}

/// Returns the key of an owner row.
#[must_use]
pub fn owner_key(worker: &name::WorkerName) -> String {
    format!("{OWNER_PREFIX}{worker}")
}

/// Returns the key of a released row.
#[must_use]
pub fn released_key(worker: &name::WorkerName, fencing: adapter::FencingToken) -> String {
    format!("{RELEASED_PREFIX}{worker}/{fencing}")
}

impl From<&lease::SessionRow> for WireSession {
    fn from(row: &lease::SessionRow) -> Self {
        Self {
            incarnation: row.incarnation.value(),
            state: row.state.as_str().to_owned(),
            renewals: row.renewals,
            table_version: row.table_version,
            host_incarnation: row.host_incarnation,
            region: row.place.region().to_string(),
            failure_domain: row.place.failure_domain().to_string(),
            peers_address: row.peers_address,
            ops_address: row.ops_address,
        }
    }
}

impl TryFrom<platform::StoredRow> for lease::Stored<lease::SessionRow> {
    type Error = LeaseRowError;

    fn try_from(stored: platform::StoredRow) -> Result<Self, LeaseRowError> {
        let platform::StoredRow { key, version, value } = stored;
        let host = suffix(&key, SESSION_PREFIX)?.to_owned();
        let wire: WireSession = parse(&key, value)?;
        let state = lease::SessionState::parse(&wire.state)
            .with_context(|| StateSnafu { key: key.clone(), state: wire.state.clone() })?;
        let row = lease::SessionRow {
            host: name::HostName::from(host),
            incarnation: lease::Incarnation::new(wire.incarnation),
            state,
            renewals: wire.renewals,
            table_version: wire.table_version,
            host_incarnation: wire.host_incarnation,
            place: locality::Locality::new(
                name::RegionName::from(wire.region),
                name::FailureDomainName::from(wire.failure_domain),
            ),
            peers_address: wire.peers_address,
            ops_address: wire.ops_address,
        };
        Ok(Self::new(version, row))
    }
}

impl TryFrom<platform::StoredRow> for lease::Stored<lease::OwnerRow> {
    type Error = LeaseRowError;

    fn try_from(stored: platform::StoredRow) -> Result<Self, LeaseRowError> {
        let platform::StoredRow { key, version, value } = stored;
        let worker = suffix(&key, OWNER_PREFIX)?.to_owned();
        let wire: WireOwner = parse(&key, value)?;
        let row = lease::OwnerRow {
            worker: name::WorkerName::from(worker),
            holder: holder(wire.host, wire.incarnation),
            fencing: adapter::FencingToken::new(wire.fencing),
            former_owners: wire.former.into_iter().map(lease::FormerOwner::from).collect(),
        };
        Ok(Self::new(version, row))
    }
}

impl TryFrom<platform::StoredRow> for lease::ReleasedRow {
    type Error = LeaseRowError;

    fn try_from(stored: platform::StoredRow) -> Result<Self, LeaseRowError> {
        let platform::StoredRow { key, value, .. } = stored;
        let (worker, fencing) = suffix(&key, RELEASED_PREFIX)?
            .rsplit_once('/')
            .with_context(|| KeySnafu { key: key.clone() })?;
        let fencing = fencing.parse().ok().with_context(|| KeySnafu { key: key.clone() })?;
        let worker = name::WorkerName::from(worker);
        let wire: WireReleased = parse(&key, value)?;
        let holder = holder(wire.host, wire.incarnation);
        Ok(Self { worker, fencing: adapter::FencingToken::new(fencing), holder })
    }
}

impl From<WireFormer> for lease::FormerOwner {
    fn from(wire: WireFormer) -> Self {
        Self {
            fencing: adapter::FencingToken::new(wire.fencing),
            holder: holder(wire.host, wire.incarnation),
            host_incarnation: wire.host_incarnation,
        }
    }
}

impl From<&lease::FormerOwner> for WireFormer {
    fn from(former: &lease::FormerOwner) -> Self {
        Self {
            fencing: former.fencing.value(),
            host: former.holder.host.to_string(),
            incarnation: former.holder.incarnation.value(),
            host_incarnation: former.host_incarnation,
        }
    }
}

impl From<&lease::OwnerRow> for WireOwner {
    fn from(row: &lease::OwnerRow) -> Self {
        Self {
            host: row.holder.host.to_string(),
            incarnation: row.holder.incarnation.value(),
            fencing: row.fencing.value(),
            former: row.former_owners.iter().map(WireFormer::from).collect(),
        }
    }
}

impl From<&lease::SessionWrite> for platform::Transaction {
    fn from(write: &lease::SessionWrite) -> Self {
        let key = session_key(&write.row.host);
        Self {
            conditions: vec![platform::Condition {
                key: key.clone(),
                version: write.expected_version,
            }],
            writes: vec![platform::Write { key, value: json(&WireSession::from(&write.row)) }],
        }
    }
}

impl From<&lease::OwnerChange> for platform::Transaction {
    fn from(claim: &lease::OwnerChange) -> Self {
        let key = owner_key(&claim.row.worker);
        let mut conditions =
            vec![platform::Condition { key: key.clone(), version: claim.expected_version }];
        if let Some((host, version)) = &claim.session_condition {
            let condition = platform::Condition { key: session_key(host), version: Some(*version) };
            conditions.push(condition);
        }
        let value = json(&WireOwner::from(&claim.row));
        Self { conditions, writes: vec![platform::Write { key, value }] }
    }
}

impl From<&lease::ReleasedRow> for platform::Transaction {
    fn from(row: &lease::ReleasedRow) -> Self {
        let wire = WireReleased {
            host: row.holder.host.to_string(),
            incarnation: row.holder.incarnation.value(),
        };
        let key = released_key(&row.worker, row.fencing);
        // Repeating the write is harmless, so that it needs no condition.
        Self { conditions: Vec::new(), writes: vec![platform::Write { key, value: json(&wire) }] }
    }
}

fn holder(host: String, incarnation: u64) -> lease::Holder {
    lease::Holder {
        host: name::HostName::from(host),
        incarnation: lease::Incarnation::new(incarnation),
    }
}

fn suffix<'a>(key: &'a str, prefix: &str) -> Result<&'a str, LeaseRowError> {
    let suffix = key.strip_prefix(prefix).filter(|suffix| !suffix.is_empty());
    suffix.with_context(|| KeySnafu { key: key.to_owned() })
}

fn parse<Value>(key: &str, value: Option<serde_json::Value>) -> Result<Value, LeaseRowError>
where
    Value: serde::de::DeserializeOwned,
{
    let value = value.with_context(|| DeletedSnafu { key: key.to_owned() })?;
    serde_json::from_value(value).with_context(|_| ValueSnafu { key: key.to_owned() })
}

fn json<Value>(value: &Value) -> Option<serde_json::Value>
where
    Value: Serialize,
{
    // Structs of strings and numbers always have a JSON form.
    serde_json::to_value(value).ok()
}
