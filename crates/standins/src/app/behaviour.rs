//! How an app service treats calls.

use serde::{Deserialize, Serialize};

/// How an app service treats calls; by default it answers at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Time between the execution and the answer.
    pub answer_ms: u64,
    /// Calls are executed but not answered until the behaviour changes.
    pub hang: bool,
    /// When the connection is closed without an answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub close: Option<Close>,
    /// Calls for which `close` is in force; 0 for all.
    pub close_next: u32,
}

/// When a connection is closed without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Close {
    /// Before the call is executed.
    Before,
    /// After the call was executed.
    After,
}
