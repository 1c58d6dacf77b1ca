//! Platform stand-in, run as a child process.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use jasminetack_wire::platform as wire;
use jasminetack_wire::row;
use serde_json::{Value, json};

use crate::http;
use crate::program::Program;

/// Bearer key for the platform API.
pub const KEY: &str = "platform-key";

/// Platform stand-in, run as a child process.
#[derive(Debug)]
pub struct Platform {
    /// Child process.
    pub program: Program,
    address: SocketAddr,
}

impl Platform {
    /// Starts the stand-in on a free port.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start(host_list_lag_ms: u64, logs: &Path) -> io::Result<Self> {
        let arguments = [
            "--address",
            "127.0.0.1:0",
            "--key",
            KEY,
            "--host-list-lag-ms",
            &host_list_lag_ms.to_string(),
        ];
        let arguments = arguments.map(str::to_owned);
        let mut program = Program::start("standin-platform", "platform", &arguments, logs)?;
        let address = program.read_listen_address()?;
        Ok(Self { program, address })
    }

    /// Returns the listen address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Adds a host to the host list or replaces its entry.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub fn put_host(&self, host: &wire::Host) -> io::Result<()> {
        http::post(&format!("{}/v1/hosts", self.url()), KEY, host).map(drop)
    }

    /// Removes a host from the host list.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub fn remove_host(&self, name: &str) -> io::Result<()> {
        http::delete(&format!("{}/v1/hosts/{name}", self.url()), KEY).map(drop)
    }

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub fn transact(&self, transaction: &wire::Transaction) -> io::Result<wire::TransactionReply> {
        let reply = http::post(&format!("{}/v1/txn", self.url()), KEY, transaction)?;
        serde_json::from_value(reply).map_err(io::Error::other)
    }

    /// Reads the row with a key.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub fn read(&self, key: &str) -> io::Result<wire::StoredRow> {
        let request = wire::ReadRequest { keys: vec![key.to_owned()] };
        let page = http::post(&format!("{}/v1/read", self.url()), KEY, &request)?;
        let page: wire::RowsPage = serde_json::from_value(page).map_err(io::Error::other)?;
        page.rows.into_iter().next().ok_or_else(|| io::Error::other("the row is missing"))
    }

    /// Returns the rows whose keys start with a prefix.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub fn rows(&self, prefix: &str) -> io::Result<Vec<wire::StoredRow>> {
        let url = format!("{}/v1/rows?prefix={prefix}&after=0&limit=1000000", self.url());
        let page: wire::RowsPage =
            serde_json::from_value(http::get(&url, KEY)?).map_err(io::Error::other)?;
        Ok(page.rows)
    }

    /// Writes the table row `KIND/NAME`, replacing any existing value, and returns its version.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond or the row is changed concurrently.
    pub fn put_row(&self, name: &str, row: &row::WireRow) -> io::Result<u64> {
        let key = format!("{}{name}", row::ROW_PREFIX);
        let existing = self.read(&key)?;
        let version = existing.value.is_some().then_some(existing.version);
        let value = serde_json::to_value(row)?;
        let transaction = wire::Transaction {
            conditions: vec![wire::Condition { key: key.clone(), version }],
            writes: vec![wire::Write { key, value: Some(value) }],
        };
        match self.transact(&transaction)? {
            wire::TransactionReply::Committed { version } => Ok(version),
            wire::TransactionReply::Conflict { rows } => {
                Err(io::Error::other(format!("transaction conflict on rows {rows:?}")))
            }
        }
    }

    /// Sets the injected faults that the document names.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub fn set_faults(&self, faults: &Value) -> io::Result<()> {
        http::post(&format!("{}/switch", self.url()), KEY, faults).map(drop)
    }

    /// Starts or ends an outage.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub fn set_outage(&self, outage: bool) -> io::Result<()> {
        self.set_faults(&json!({ "outage": outage }))
    }

    /// Returns the request counters.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub fn audit(&self) -> io::Result<Value> {
        http::get(&format!("{}/audit", self.url()), KEY)
    }
}
