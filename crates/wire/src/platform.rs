//! JSON types of the platform's table service and host list.

use serde::{Deserialize, Serialize};

/// A transaction: all conditions must hold for any write to take effect.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Versions that rows must have.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub writes: Vec<Write>,
}

/// Required version of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; `None` when it must not exist.
    pub version: Option<u64>,
}

/// New value of a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value; `None` deletes the row.
    pub value: Option<serde_json::Value>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum TransactionReply {
    /// All writes took effect at this version.
    Committed {
        /// Version of every row written.
        version: u64,
    },
    /// A condition failed and nothing was written.
    Conflict {
        /// Rows of the failed conditions as they stand.
        rows: Vec<StoredRow>,
    },
}

/// A row as stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRow {
    /// Key of the row.
    pub key: String,
    /// Version of the last commit that wrote the row.
    pub version: u64,
    /// Value; `None` when the row is deleted or was never written.
    pub value: Option<serde_json::Value>,
}

/// Keys to read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys of the rows.
    pub keys: Vec<String>,
}

/// Rows with a version above the one asked for, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RowsPage {
    /// The rows.
    pub rows: Vec<StoredRow>,
    /// All matching changes up to this version are contained or were read before.
    pub head_version: u64,
}

/// The platform's list of live and leaving hosts; it lags behind reality.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<Host>,
}

/// A host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// What runs on the host.
    pub role: HostRole,
    /// Address of the process, `IP:PORT`.
    pub address: String,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Whether the host is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Rises when the process on the host is replaced.
    #[serde(default)]
    pub incarnation: u64,
}

/// What runs on a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum HostRole {
    /// An entry daemon.
    Entry,
    /// A model engine.
    Engine {
        /// Base model that the engine serves.
        base_model: String,
        /// Whether the engine refuses orders with an old fencing number.
        refuses_old_fencing: bool,
    },
    /// An app service.
    App {
        /// Name of the service.
        service: String,
    },
}
