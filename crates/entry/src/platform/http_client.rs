//! Blocking HTTP client for the platform.

use std::time::Duration;

use jasminetack_wire::platform as wire;

use crate::settings;

const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
const PAGE_ROWS: u32 = 5_000;

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("platform call failed: {message}"))]
pub struct CallError {
    /// Whether a write may have taken effect although it was not confirmed.
    pub may_have_applied: bool,
    /// Description of the error.
    pub message: String,
}

/// HTTP client that blocks the calling thread until the platform replies or the call times out.
#[derive(Clone, Debug)]
pub struct HttpClient {
    agent: ureq::Agent,
    base_url: String,
    authorization: String,
}

impl HttpClient {
    /// Creates a client with its own connection pool.
    pub fn new(settings: &settings::Settings) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(true)
            .build();
        Self {
            agent: ureq::Agent::new_with_config(config),
            base_url: settings.platform_url.clone(),
            authorization: format!("Bearer {}", settings.platform_key),
        }
    }

    /// Reads rows under a prefix that changed after a version.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not reply in time or replies with an error.
    pub fn rows(&self, prefix: &str, after: u64) -> Result<wire::RowsPage, CallError> {
        self.get(&format!("/v1/rows?prefix={prefix}&after={after}&limit={PAGE_ROWS}"))
    }

    /// Reads the host list.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not reply in time or replies with an error.
    pub fn hosts(&self) -> Result<wire::HostList, CallError> {
        self.get("/v1/hosts")
    }

    /// Reads rows by key.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not reply in time or replies with an error.
    pub fn read(&self, request: &wire::ReadRequest) -> Result<wire::RowsPage, CallError> {
        self.post("/v1/read", request)
    }

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not reply in time or replies with an error; the transaction may
    /// still have been committed.
    pub fn transact(
        &self,
        transaction: &wire::Transaction,
    ) -> Result<wire::TransactionReply, CallError> {
        self.post("/v1/txn", transaction)
    }

    fn get<Reply>(&self, path: &str) -> Result<Reply, CallError>
    where
        Reply: serde::de::DeserializeOwned,
    {
        let request = self.agent.get(format!("{}{path}", self.base_url));
        let request = request.header("authorization", &self.authorization);
        request.call().and_then(read_json).map_err(CallError::from)
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

impl From<ureq::Error> for CallError {
    fn from(error: ureq::Error) -> Self {
        // Nothing was sent if the name lookup or the connection failed.
        let not_sent = matches!(error, ureq::Error::HostNotFound | ureq::Error::ConnectionFailed);
        Self { may_have_applied: !not_sent, message: error.to_string() }
    }
}

fn read_json<Reply>(mut response: ureq::http::Response<ureq::Body>) -> Result<Reply, ureq::Error>
where
    Reply: serde::de::DeserializeOwned,
{
    response.body_mut().with_config().limit(u64::MAX).read_json()
}
