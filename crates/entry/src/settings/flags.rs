//! Command-line flags of the daemon.

xflags::xflags! {
    src "./src/settings/flags.rs"

    /// Routes callers' requests to model workers and app services.
    ///
    /// Every flag has an environment variable: --max-body-bytes is JASMINETACK_MAX_BODY_BYTES.
    ///
    /// Example: jasminetack-entry --host e1 --region north --failure-domain a
    /// --callers-address 10.0.0.1:8000 --peers-address 10.0.0.1:8001 --ops-address 10.0.0.1:8002
    /// --platform-url http://10.0.0.9:9000
    cmd jasminetack-entry {
        /// Name of this host.
        optional --host value: String
        /// Incarnation of this host in the platform's host list; 0 when unknown.
        optional --host-incarnation number: String
        /// Region of this host.
        optional --region value: String
        /// Failure domain of this host.
        optional --failure-domain value: String
        /// Listen address for callers.
        optional --callers-address value: String
        /// Listen address for other daemons.
        optional --peers-address value: String
        /// Listen address of the operations port.
        optional --ops-address value: String
        /// Base URL of the platform.
        optional --platform-url value: String
        /// Bearer key for the platform.
        optional --platform-key value: String
        /// Secret shared by all daemons.
        optional --peer-secret value: String
        /// Bearer key for engines and app services; empty for none.
        optional --upstream-key value: String
        /// Minimum severity of logged messages.
        optional --log-level value: String
        /// Maximum size of a request head in bytes.
        optional --max-header-bytes bytes: String
        /// Maximum size of a request body in bytes.
        optional --max-body-bytes bytes: String
        /// Timeout for receiving a request head.
        optional --header-timeout-ms milliseconds: String
        /// Timeout for receiving a request body.
        optional --body-timeout-ms milliseconds: String
        /// Maximum number of open caller connections.
        optional --max-connections value: String
        /// Maximum length of a worker's queue.
        optional --max-queue-length value: String
        /// Maximum wait in a worker's queue.
        optional --max-queue-wait-ms milliseconds: String
        /// Timeout of requests that set none.
        optional --default-timeout-ms milliseconds: String
        /// Maximum timeout that a request may set.
        optional --max-timeout-ms milliseconds: String
        /// Polling interval of table changes.
        optional --table-poll-ms milliseconds: String
        /// Time since its last confirmation after which a table is stale.
        optional --table-stale-ms milliseconds: String
        /// Polling interval of the host list.
        optional --host-list-poll-ms milliseconds: String
        /// Renewal interval of the session lease.
        optional --lease-renew-ms milliseconds: String
        /// Time without renewal after which a session lease expires.
        optional --lease-ttl-ms milliseconds: String
        /// Interval of heartbeats to the monitors.
        optional --heartbeat-ms milliseconds: String
        /// Time without a heartbeat after which a monitor suspects a daemon.
        optional --suspect-after-ms milliseconds: String
        /// Number of daemons that monitor this one.
        optional --monitor-count value: String
        /// Polling interval of the load report of an owned worker.
        optional --worker-probe-ms milliseconds: String
        /// Number of adapter slots of an engine.
        optional --engine-slots value: String
        /// Maximum batch size of an engine in requests.
        optional --engine-batch value: String
        /// Predicted cost in tokens above which a request counts as long work.
        optional --long-work-tokens value: String
        /// Maximum number of concurrent adapter loads in the fleet.
        optional --fleet-loads value: String
        /// Routing and scheduling policy; all but the first are baselines for experiments.
        optional --policy value: String
        /// Retry budget as a percentage of requests.
        optional --retry-percent value: String
        /// Hedging budget as a percentage of requests.
        optional --hedge-percent value: String
        /// Time window in which claims are batched into one transaction.
        optional --claim-group-ms milliseconds: String
        /// Retention time of idempotency keys.
        optional --claim-retention-ms milliseconds: String
        /// Grace period for finishing requests after SIGTERM.
        optional --shutdown-grace-ms milliseconds: String
        /// Number of recent requests whose decisions are kept for explain.
        optional --explain-requests value: String
        /// Print the effective settings and exit.
        optional --check
        /// Print the version and exit.
        optional --version
    }
}
// generated start
// The following code is generated by `xflags` macro.
// Run `env UPDATE_XFLAGS=1 cargo build` to regenerate.
#[derive(Debug)]
pub struct JasminetackEntry {
    pub host: Option<String>,
    pub host_incarnation: Option<String>,
    pub region: Option<String>,
    pub failure_domain: Option<String>,
    pub callers_address: Option<String>,
    pub peers_address: Option<String>,
    pub ops_address: Option<String>,
    pub platform_url: Option<String>,
    pub platform_key: Option<String>,
    pub peer_secret: Option<String>,
    pub upstream_key: Option<String>,
    pub log_level: Option<String>,
    pub max_header_bytes: Option<String>,
    pub max_body_bytes: Option<String>,
    pub header_timeout_ms: Option<String>,
    pub body_timeout_ms: Option<String>,
    pub max_connections: Option<String>,
    pub max_queue_length: Option<String>,
    pub max_queue_wait_ms: Option<String>,
    pub default_timeout_ms: Option<String>,
    pub max_timeout_ms: Option<String>,
    pub table_poll_ms: Option<String>,
    pub table_stale_ms: Option<String>,
    pub host_list_poll_ms: Option<String>,
    pub lease_renew_ms: Option<String>,
    pub lease_ttl_ms: Option<String>,
    pub heartbeat_ms: Option<String>,
    pub suspect_after_ms: Option<String>,
    pub monitor_count: Option<String>,
    pub worker_probe_ms: Option<String>,
    pub engine_slots: Option<String>,
    pub engine_batch: Option<String>,
    pub long_work_tokens: Option<String>,
    pub fleet_loads: Option<String>,
    pub policy: Option<String>,
    pub retry_percent: Option<String>,
    pub hedge_percent: Option<String>,
    pub claim_group_ms: Option<String>,
    pub claim_retention_ms: Option<String>,
    pub shutdown_grace_ms: Option<String>,
    pub explain_requests: Option<String>,
    pub check: bool,
    pub version: bool,
}

impl JasminetackEntry {
    #[allow(dead_code)]
    pub fn from_env_or_exit() -> Self {
        Self::from_env_or_exit_()
    }

    #[allow(dead_code)]
    pub fn from_env() -> xflags::Result<Self> {
        Self::from_env_()
    }

    #[allow(dead_code)]
    pub fn from_vec(args: Vec<std::ffi::OsString>) -> xflags::Result<Self> {
        Self::from_vec_(args)
    }
}
// generated end
