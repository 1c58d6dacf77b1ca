//! Decoding of the daemons' session rows.

use std::net::SocketAddr;

use jasminetack_wire::lease_row;
use jasminetack_wire::platform as wire;
use serde::Deserialize;

use crate::command_error::CommandError;

/// Fields of a session row that this program uses; other fields are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct SessionView {
    /// Host of the daemon.
    #[serde(skip)]
    pub host: String,
    /// State of the session.
    pub state: String,
    /// Table version that the daemon uses.
    pub table_version: u64,
    /// Address of the operations port.
    #[serde(default)]
    pub ops_address: Option<SocketAddr>,
}

impl SessionView {
    /// Decodes a stored session row; returns `None` for a deleted row.
    ///
    /// # Errors
    ///
    /// Fails when the row has an unknown format.
    pub fn parse(stored: &wire::StoredRow) -> Result<Option<Self>, CommandError> {
        let Some(value) = &stored.value else { return Ok(None) };
        let view: Self = serde_json::from_value(value.clone()).map_err(|error| {
            CommandError::Stored { key: stored.key.clone(), message: error.to_string() }
        })?;
        let host =
            stored.key.strip_prefix(lease_row::SESSION_PREFIX).unwrap_or(&stored.key).to_owned();
        Ok(Some(Self { host, ..view }))
    }

    /// Returns whether the daemon serves callers.
    #[must_use]
    pub fn serves(&self) -> bool {
        matches!(self.state.as_str(), "live" | "leaving")
    }
}
