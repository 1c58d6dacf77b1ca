//! Client of the platform's table service.

use std::time::Duration;

use jasminetack_wire::platform;

use crate::settings;

/// Maximum number of rows of a page.
const PAGE_ROWS: u32 = 5_000;

/// Error of a call to the table service.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("{message}"))]
pub struct CallError {
    /// Whether a write may have been applied although no reply arrived.
    pub may_have_applied: bool,
    /// Description of the error.
    pub message: String,
}

/// Operations of the table service that the commands use.
pub trait Platform {
    /// Reads rows by key.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    fn read(&self, request: &platform::ReadRequest) -> Result<platform::RowsPage, CallError>;

    /// Reads a page of the rows under a prefix that changed after a version.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    fn page(&self, prefix: &str, after: u64) -> Result<platform::RowsPage, CallError>;

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer; the transaction may have been applied nevertheless.
    fn transact(
        &self,
        transaction: &platform::Transaction,
    ) -> Result<platform::TransactionReply, CallError>;

    /// Reads all rows under a prefix that changed after a version.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    fn rows(&self, prefix: &str, after: u64) -> Result<platform::RowsPage, CallError> {
        let mut all = platform::RowsPage { rows: Vec::new(), head_version: after };
        loop {
            let page = self.page(prefix, all.head_version)?;
            let is_last = page.rows.is_empty();
            all.rows.extend(page.rows);
            all.head_version = page.head_version;
            if is_last {
                return Ok(all);
            }
        }
    }
}

/// HTTP client of the table service.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    agent: ureq::Agent,
    base_url: String,
    authorization: String,
}

impl HttpPlatform {
    /// Creates a client with its own connection pool.
    #[must_use]
    pub fn new(settings: &settings::Settings) -> Self {
        let timeout = Duration::from_millis(settings.call_timeout_ms);
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(true)
            .build();
        Self {
            agent: ureq::Agent::new_with_config(config),
            base_url: settings.platform_url.trim_end_matches('/').to_owned(),
            authorization: format!("Bearer {}", settings.platform_key),
        }
    }

    fn post<Body, Reply>(&self, path: &str, body: &Body) -> Result<Reply, CallError>
    where
        Body: serde::Serialize,
        Reply: serde::de::DeserializeOwned,
    {
        let request = self.agent.post(format!("{}{path}", self.base_url));
        let request = request.header("authorization", &self.authorization);
        request.send_json(body).and_then(read_json).map_err(CallError::from)
    }
}

impl Platform for HttpPlatform {
    fn read(&self, request: &platform::ReadRequest) -> Result<platform::RowsPage, CallError> {
        self.post("/v1/read", request)
    }

    fn page(&self, prefix: &str, after: u64) -> Result<platform::RowsPage, CallError> {
        let path = format!("/v1/rows?prefix={prefix}&after={after}&limit={PAGE_ROWS}");
        let request = self.agent.get(format!("{}{path}", self.base_url));
        let request = request.header("authorization", &self.authorization);
        request.call().and_then(read_json).map_err(CallError::from)
    }

    fn transact(
        &self,
        transaction: &platform::Transaction,
    ) -> Result<platform::TransactionReply, CallError> {
        self.post("/v1/txn", transaction)
    }
}

impl From<ureq::Error> for CallError {
    fn from(error: ureq::Error) -> Self {
        // Nothing was sent if the name lookup or the connection failed. A client error status, such
        // as one for an invalid key, means that the platform rejected the call.
        let not_applied = match &error {
            ureq::Error::HostNotFound | ureq::Error::ConnectionFailed => true,
            ureq::Error::Io(io) => io.kind() == std::io::ErrorKind::ConnectionRefused,
            ureq::Error::StatusCode(status) => (400..500).contains(status),
            _ => false,
        };
        Self { may_have_applied: !not_applied, message: error.to_string() }
    }
}

fn read_json<Reply>(mut response: ureq::http::Response<ureq::Body>) -> Result<Reply, ureq::Error>
where
    Reply: serde::de::DeserializeOwned,
{
    response.body_mut().with_config().limit(u64::MAX).read_json()
}
