//! JSON encoding of session, owner and released rows.

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

/// JSON value of a session row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireSession {
    /// Incarnation of the daemon.
    pub incarnation: u64,
    /// `live`, `leaving`, `lapsed` or `ended`.
    pub state: String,
    /// Number of renewals so far.
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
    /// Address for connections of other daemons.
    pub peers_address: SocketAddr,
    /// Address of the operations port.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ops_address: Option<SocketAddr>,
}

/// JSON value of an owner row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireOwner {
    /// Host name of the owner.
    pub host: String,
    /// Incarnation of the owner.
    pub incarnation: u64,
    /// Fencing token.
    pub fencing: u64,
    /// Former owners that are not known to have stopped sending to the worker.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub former: Vec<WireFormerOwner>,
}

/// A former owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireFormerOwner {
    /// Fencing token.
    pub fencing: u64,
    /// Host name.
    pub host: String,
    /// Incarnation.
    pub incarnation: u64,
    /// Incarnation of the host in the host list; 0 when unknown.
    #[serde(default)]
    pub host_incarnation: u64,
}

/// JSON value of a released row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireReleased {
    /// Host name of the former owner.
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
    /// The value does not have the expected form.
    #[snafu(display("{key}: {source}"))]
    Value {
        /// Key of the row.
        key: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// The session state is not known.
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
        let host = strip_key_prefix(&key, SESSION_PREFIX)?.to_owned();
        let wire: WireSession = parse_value(&key, value)?;
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
        let worker = strip_key_prefix(&key, OWNER_PREFIX)?.to_owned();
        let wire: WireOwner = parse_value(&key, value)?;
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
        let (worker, fencing) = strip_key_prefix(&key, RELEASED_PREFIX)?
            .rsplit_once('/')
            .with_context(|| KeySnafu { key: key.clone() })?;
        let fencing = fencing.parse().ok().with_context(|| KeySnafu { key: key.clone() })?;
        let worker = name::WorkerName::from(worker);
        let wire: WireReleased = parse_value(&key, value)?;
        let holder = holder(wire.host, wire.incarnation);
        Ok(Self { worker, fencing: adapter::FencingToken::new(fencing), holder })
    }
}

impl From<WireFormerOwner> for lease::FormerOwner {
    fn from(wire: WireFormerOwner) -> Self {
        Self {
            fencing: adapter::FencingToken::new(wire.fencing),
            holder: holder(wire.host, wire.incarnation),
            host_incarnation: wire.host_incarnation,
        }
    }
}

impl From<&lease::FormerOwner> for WireFormerOwner {
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
            former: row.former_owners.iter().map(WireFormerOwner::from).collect(),
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
            writes: vec![platform::Write { key, value: to_json(&WireSession::from(&write.row)) }],
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
        let value = to_json(&WireOwner::from(&claim.row));
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
        // The write is idempotent, so it needs no condition.
        Self {
            conditions: Vec::new(),
            writes: vec![platform::Write { key, value: to_json(&wire) }],
        }
    }
}

fn holder(host: String, incarnation: u64) -> lease::Holder {
    lease::Holder {
        host: name::HostName::from(host),
        incarnation: lease::Incarnation::new(incarnation),
    }
}

fn strip_key_prefix<'a>(key: &'a str, prefix: &str) -> Result<&'a str, LeaseRowError> {
    let name = key.strip_prefix(prefix).filter(|name| !name.is_empty());
    name.with_context(|| KeySnafu { key: key.to_owned() })
}

fn parse_value<Value>(key: &str, value: Option<serde_json::Value>) -> Result<Value, LeaseRowError>
where
    Value: serde::de::DeserializeOwned,
{
    let value = value.with_context(|| DeletedSnafu { key: key.to_owned() })?;
    serde_json::from_value(value).with_context(|_| ValueSnafu { key: key.to_owned() })
}

fn to_json<Value>(value: &Value) -> Option<serde_json::Value>
where
    Value: Serialize,
{
    // Serializing structs of strings and numbers to JSON cannot fail.
    serde_json::to_value(value).ok()
}
