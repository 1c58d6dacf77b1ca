//! JSON types of the platform's table service and host list.

use serde::{Deserialize, Serialize};

/// A transaction: all conditions must hold for any write to take effect.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Required versions of rows.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub writes: Vec<Write>,
}

/// Required version of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Required version; `None` when the row must not exist.
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
    /// All writes were committed.
    Committed {
        /// Version of every row written.
        version: u64,
    },
    /// A condition was not met and nothing was written.
    Conflict {
        /// Current rows of the conditions that were not met.
        rows: Vec<StoredRow>,
    },
}

/// A stored row.
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

/// Page of rows with a version above the requested one, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RowsPage {
    /// Rows of the page.
    pub rows: Vec<StoredRow>,
    /// All matching changes up to this version are contained in this page or an earlier one.
    pub head_version: u64,
}

/// The platform's list of live and leaving hosts, which lags behind their actual state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Hosts.
    pub hosts: Vec<Host>,
}

/// Entry of the host list.
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
    /// Incremented when the process on the host is replaced.
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
        /// Whether the engine rejects requests with an outdated fencing token.
        refuses_old_fencing: bool,
    },
    /// An app service.
    App {
        /// Name of the service.
        service: String,
    },
}
