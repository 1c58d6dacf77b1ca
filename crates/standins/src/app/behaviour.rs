//! Behaviour of the app service.

use serde::{Deserialize, Serialize};

/// Response delays and faults of the app service; by default it responds immediately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Delay between execution and response, in milliseconds.
    pub answer_ms: u64,
    /// Calls are executed, but responses are withheld until the behaviour changes.
    pub hang: bool,
    /// When to close the connection without a response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub close: Option<Close>,
    /// Number of calls that `close` applies to; 0 for all.
    pub close_next: u32,
}

/// When a connection is closed without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Close {
    /// Before the call is executed.
    Before,
    /// After the call has been executed.
    After,
}
