//! Settings of the daemon.

#[rustfmt::skip]
mod flags;

use std::ffi::OsString;
use std::net::SocketAddr;

use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_program::settings;

/// Allowed values of `--policy`.
const POLICIES: [&str; 4] = ["scored", "random", "least-outstanding", "fifo"];
const POLICY_CHOICES: &str = "scored, random, least-outstanding or fifo";

/// Validated settings of the daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this host.
    pub host: name::HostName,
    /// Incarnation of this host in the platform's host list; 0 when unknown.
    pub host_incarnation: u64,
    /// Region and failure domain of this host.
    pub locality: locality::Locality,
    /// Listen address for callers.
    pub callers_address: SocketAddr,
    /// Listen address for other daemons.
    pub peers_address: SocketAddr,
    /// Listen address of the operations port.
    pub ops_address: SocketAddr,
    /// Base URL of the platform.
    pub platform_url: String,
    /// Bearer key for the platform.
    pub platform_key: String,
    /// Secret shared by all daemons.
    pub peer_secret: String,
    /// Bearer key for engines and app services; empty for none.
    pub upstream_key: String,
    /// Minimum severity of logged messages.
    pub log_level: String,
    /// Maximum size of a request head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head.
    pub header_timeout_ms: u64,
    /// Timeout for receiving a request body.
    pub body_timeout_ms: u64,
    /// Maximum number of open caller connections.
    pub max_connections: usize,
    /// Maximum length of a worker's queue.
    pub max_queue_length: usize,
    /// Maximum wait in a worker's queue.
    pub max_queue_wait_ms: u64,
    /// Timeout of requests that set none.
    pub default_timeout_ms: u64,
    /// Maximum timeout that a request may set.
    pub max_timeout_ms: u64,
    /// Polling interval of table changes.
    pub table_poll_ms: u64,
    /// Time since its last confirmation after which a table is stale.
    pub table_stale_ms: u64,
    /// Polling interval of the host list.
    pub host_list_poll_ms: u64,
    /// Renewal interval of the session lease.
    pub lease_renew_ms: u64,
    /// Time without renewal after which a session lease expires.
    pub lease_ttl_ms: u64,
    /// Interval of heartbeats to the monitors.
    pub heartbeat_ms: u64,
    /// Time without a heartbeat after which a monitor suspects a daemon.
    pub suspect_after_ms: u64,
    /// Number of daemons that monitor this one.
    pub monitor_count: usize,
    /// Polling interval of the load report of an owned worker.
    pub worker_probe_ms: u64,
    /// Number of adapter slots of an engine.
    pub engine_slots: usize,
    /// Maximum batch size of an engine in requests.
    pub engine_batch: usize,
    /// Predicted cost in tokens above which a request counts as long work.
    pub long_work_tokens: u64,
    /// Maximum number of concurrent adapter loads in the fleet.
    pub fleet_loads: usize,
    /// Routing and scheduling policy; all but the first are baselines for experiments.
    pub policy: String,
    /// Retry budget as a percentage of requests.
    pub retry_percent: u32,
    /// Hedging budget as a percentage of requests.
    pub hedge_percent: u32,
    /// Time window in which claims are batched into one transaction.
    pub claim_group_ms: u64,
    /// Retention time of idempotency keys.
    pub claim_retention_ms: u64,
    /// Grace period for finishing requests after SIGTERM.
    pub shutdown_grace_ms: u64,
    /// Number of recent requests whose decisions are kept for explain.
    pub explain_requests: usize,
    /// Print the effective settings and exit.
    pub check_only: bool,
    /// Effective settings, one per line.
    pub description: String,
}

impl Settings {
    /// Reads the settings from the flags and environment of the process.
    ///
    /// # Errors
    ///
    /// Returns all invalid settings in one error.
    pub fn from_environment() -> Result<Self, settings::InvalidSettings> {
        let flags = flags::JasminetackEntry::from_env_or_exit();
        if flags.version {
            println!("jasminetack-entry {}", env!("CARGO_PKG_VERSION"));
            std::process::exit(0);
        }
        Self::from_flags(flags)
    }

    /// Reads the settings from the given arguments and the environment of the process.
    ///
    /// # Errors
    ///
    /// Fails on an unknown argument, or with all invalid settings in one error.
    pub fn from_arguments(arguments: Vec<OsString>) -> Result<Self, String> {
        let flags =
            flags::JasminetackEntry::from_vec(arguments).map_err(|error| error.to_string())?;
        Self::from_flags(flags).map_err(|problems| problems.to_string())
    }

    fn from_flags(flags: flags::JasminetackEntry) -> Result<Self, settings::InvalidSettings> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut reader = settings::Reader::default();
        let settings = Self {
            host: name::HostName::from(reader.required(
                "--host",
                flags.host,
                String::new(),
                "a host name",
            )),
            host_incarnation: reader.value(
                "--host-incarnation",
                flags.host_incarnation,
                0,
                "a number",
            ),
            locality: locality::Locality::new(
                name::RegionName::from(reader.required(
                    "--region",
                    flags.region,
                    String::new(),
                    "a region name",
                )),
                name::FailureDomainName::from(reader.required(
                    "--failure-domain",
                    flags.failure_domain,
                    String::new(),
                    "a failure domain name",
                )),
            ),
            callers_address: reader.required(
                "--callers-address",
                flags.callers_address,
                any_port,
                "IP:PORT",
            ),
            peers_address: reader.required(
                "--peers-address",
                flags.peers_address,
                any_port,
                "IP:PORT",
            ),
            ops_address: reader.required("--ops-address", flags.ops_address, any_port, "IP:PORT"),
            platform_url: reader.required(
                "--platform-url",
                flags.platform_url,
                String::new(),
                "a URL such as http://10.0.0.9:9000",
            ),
            platform_key: reader.secret("--platform-key", flags.platform_key),
            peer_secret: reader.secret("--peer-secret", flags.peer_secret),
            upstream_key: reader.optional_secret("--upstream-key", flags.upstream_key),
            log_level: reader.value(
                "--log-level",
                flags.log_level,
                "info".to_owned(),
                "debug, info, warn or error",
            ),
            max_header_bytes: reader.value(
                "--max-header-bytes",
                flags.max_header_bytes,
                16 * 1024,
                "a number of bytes, at least 8192",
            ),
            max_body_bytes: reader.value(
                "--max-body-bytes",
                flags.max_body_bytes,
                4 * 1024 * 1024,
                "a number of bytes",
            ),
            header_timeout_ms: reader.value(
                "--header-timeout-ms",
                flags.header_timeout_ms,
                10_000,
                "a number of milliseconds",
            ),
            body_timeout_ms: reader.value(
                "--body-timeout-ms",
                flags.body_timeout_ms,
                30_000,
                "a number of milliseconds",
            ),
            max_connections: reader.value(
                "--max-connections",
                flags.max_connections,
                2_000,
                "a number of connections",
            ),
            max_queue_length: reader.value(
                "--max-queue-length",
                flags.max_queue_length,
                256,
                "a number of requests",
            ),
            max_queue_wait_ms: reader.value(
                "--max-queue-wait-ms",
                flags.max_queue_wait_ms,
                30_000,
                "a number of milliseconds",
            ),
            default_timeout_ms: reader.value(
                "--default-timeout-ms",
                flags.default_timeout_ms,
                60_000,
                "a number of milliseconds",
            ),
            max_timeout_ms: reader.value(
                "--max-timeout-ms",
                flags.max_timeout_ms,
                600_000,
                "a number of milliseconds",
            ),
            table_poll_ms: reader.value(
                "--table-poll-ms",
                flags.table_poll_ms,
                1_000,
                "a number of milliseconds",
            ),
            table_stale_ms: reader.value(
                "--table-stale-ms",
                flags.table_stale_ms,
                15_000,
                "a number of milliseconds",
            ),
            host_list_poll_ms: reader.value(
                "--host-list-poll-ms",
                flags.host_list_poll_ms,
                1_000,
                "a number of milliseconds",
            ),
            lease_renew_ms: reader.value(
                "--lease-renew-ms",
                flags.lease_renew_ms,
                1_000,
                "a number of milliseconds",
            ),
            lease_ttl_ms: reader.value(
                "--lease-ttl-ms",
                flags.lease_ttl_ms,
                2_500,
                "a number of milliseconds above the renewal interval",
            ),
            heartbeat_ms: reader.value(
                "--heartbeat-ms",
                flags.heartbeat_ms,
                500,
                "a number of milliseconds",
            ),
            suspect_after_ms: reader.value(
                "--suspect-after-ms",
                flags.suspect_after_ms,
                1_500,
                "a number of milliseconds",
            ),
            monitor_count: reader.value(
                "--monitor-count",
                flags.monitor_count,
                3,
                "a number of daemons",
            ),
            worker_probe_ms: reader.value(
                "--worker-probe-ms",
                flags.worker_probe_ms,
                500,
                "a number of milliseconds",
            ),
            engine_slots: reader.value(
                "--engine-slots",
                flags.engine_slots,
                4,
                "a number of adapters",
            ),
            engine_batch: reader.value(
                "--engine-batch",
                flags.engine_batch,
                16,
                "a number of requests",
            ),
            long_work_tokens: reader.value(
                "--long-work-tokens",
                flags.long_work_tokens,
                1_000,
                "a number of tokens",
            ),
            fleet_loads: reader.value("--fleet-loads", flags.fleet_loads, 8, "a number of loads"),
            policy: reader.value("--policy", flags.policy, "scored".to_owned(), POLICY_CHOICES),
            retry_percent: reader.value("--retry-percent", flags.retry_percent, 10, "a percentage"),
            hedge_percent: reader.value("--hedge-percent", flags.hedge_percent, 5, "a percentage"),
            claim_group_ms: reader.value(
                "--claim-group-ms",
                flags.claim_group_ms,
                5,
                "a number of milliseconds up to 20",
            ),
            claim_retention_ms: reader.value(
                "--claim-retention-ms",
                flags.claim_retention_ms,
                86_400_000,
                "a number of milliseconds",
            ),
            shutdown_grace_ms: reader.value(
                "--shutdown-grace-ms",
                flags.shutdown_grace_ms,
                120_000,
                "a number of milliseconds",
            ),
            explain_requests: reader.value(
                "--explain-requests",
                flags.explain_requests,
                4_096,
                "a number of requests",
            ),
            check_only: flags.check,
            description: String::new(),
        };
        settings.validate(&mut reader);
        reader.finish()?;
        Ok(Self { description: reader.describe(), ..settings })
    }

    fn validate(&self, reader: &mut settings::Reader) {
        if !POLICIES.contains(&self.policy.as_str()) {
            reader.add_invalid("--policy", Some(self.policy.clone()), POLICY_CHOICES);
        }
        if self.lease_ttl_ms <= self.lease_renew_ms {
            let value = Some(self.lease_ttl_ms.to_string());
            reader.add_invalid("--lease-ttl-ms", value, "a number above --lease-renew-ms");
        }
        // Removing a claim while its call may still be sent would allow a second execution.
        if self.claim_retention_ms <= 2 * self.max_timeout_ms {
            let value = Some(self.claim_retention_ms.to_string());
            let allowed = "a number above twice --max-timeout-ms";
            reader.add_invalid("--claim-retention-ms", value, allowed);
        }
    }
}
