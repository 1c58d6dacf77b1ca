//! Settings of the daemon.

#[rustfmt::skip]
mod flags;

use std::ffi::OsString;
use std::net::SocketAddr;

use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_program::settings;

/// Values of `--policy`.
const POLICIES: [&str; 4] = ["scored", "random", "least-outstanding", "fifo"];
const ALLOWED_POLICIES: &str = "scored, random, least-outstanding or fifo";

/// Settings of the daemon, checked.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this host.
    pub host: name::HostName,
    /// Incarnation of this host in the platform's host list; 0 when unknown.
    pub host_incarnation: u64,
    /// Region and failure domain of this host.
    pub locality: locality::Locality,
    /// Address of the callers' port.
    pub callers_address: SocketAddr,
    /// Address of the port for other daemons.
    pub peers_address: SocketAddr,
    /// Address of the operations port.
    pub ops_address: SocketAddr,
    /// Base URL of the platform.
    pub platform_url: String,
    /// Bearer key for the platform.
    pub platform_key: String,
    /// Secret shared by all daemons.
    pub peer_secret: String,
    /// Bearer key for engines and app services; empty for none.
    pub upstream_key: String,
    /// Least severe level that is logged.
    pub log_level: String,
    /// Longest request head.
    pub max_header_bytes: usize,
    /// Longest request body.
    pub max_body_bytes: usize,
    /// Longest time to receive a request's head.
    pub header_timeout_ms: u64,
    /// Longest time to receive a request's body.
    pub body_timeout_ms: u64,
    /// Most open caller connections.
    pub max_connections: usize,
    /// Most requests that wait for one worker.
    pub max_queue_length: usize,
    /// Longest wait in a worker's queue.
    pub max_queue_wait_ms: u64,
    /// Deadline of requests that ask for none.
    pub default_timeout_ms: u64,
    /// Longest deadline that a request may ask for.
    pub max_timeout_ms: u64,
    /// Interval of reading table changes.
    pub table_poll_ms: u64,
    /// Age at which an unconfirmed table is no longer current.
    pub table_stale_ms: u64,
    /// Interval of reading the host list.
    pub host_list_poll_ms: u64,
    /// Interval of renewing the session lease.
    pub lease_renew_ms: u64,
    /// Time without renewal after which a session lapses.
    pub lease_ttl_ms: u64,
    /// Interval of heartbeats to monitors.
    pub heartbeat_ms: u64,
    /// Silence after which a monitor suspects a daemon.
    pub suspect_after_ms: u64,
    /// Daemons that monitor this one.
    pub monitor_count: usize,
    /// Interval of reading the load report of an owned worker.
    pub worker_probe_ms: u64,
    /// Adapters that an engine can hold.
    pub engine_slots: usize,
    /// Requests that an engine runs at one time.
    pub engine_batch: usize,
    /// Predicted cost above which a request counts as long work.
    pub long_work_tokens: u64,
    /// Adapter loads in flight over the whole fleet.
    pub fleet_loads: usize,
    /// Routing and scheduling policy; all but the first are baselines for experiments.
    pub policy: String,
    /// Retries allowed, as a part of requests.
    pub retry_percent: u32,
    /// Hedged requests allowed, as a part of requests.
    pub hedge_percent: u32,
    /// Time during which claims are grouped into one transaction.
    pub claim_group_ms: u64,
    /// Time for which idempotency keys are remembered.
    pub claim_retention_ms: u64,
    /// Longest time to finish requests after SIGTERM.
    pub shutdown_grace_ms: u64,
    /// Requests whose decisions are kept for explain.
    pub explain_requests: usize,
    /// Print the effective settings and exit.
    pub check_only: bool,
    /// The effective settings, one a line.
    pub description: String,
}

impl Settings {
    /// Reads the settings from the process's flags and environment.
    ///
    /// # Errors
    ///
    /// Fails with all problems together.
    pub fn from_environment() -> Result<Self, settings::InvalidSettings> {
        let flags = flags::JasminetackEntry::from_env_or_exit();
        if flags.version {
            println!("jasminetack-entry {}", env!("CARGO_PKG_VERSION"));
            std::process::exit(0);
        }
        Self::from_flags(flags)
    }

    /// Reads the settings from arguments and the process's environment.
    ///
    /// # Errors
    ///
    /// Fails when an argument is not known, or with all problems together.
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
            policy: reader.value("--policy", flags.policy, "scored".to_owned(), ALLOWED_POLICIES),
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
        settings.check(&mut reader);
        reader.finish()?;
        Ok(Self { description: reader.describe(), ..settings })
    }

    fn check(&self, reader: &mut settings::Reader) {
        if !POLICIES.contains(&self.policy.as_str()) {
            reader.add_invalid("--policy", Some(self.policy.clone()), ALLOWED_POLICIES);
        }
        if self.lease_ttl_ms <= self.lease_renew_ms {
            let value = Some(self.lease_ttl_ms.to_string());
            reader.add_invalid("--lease-ttl-ms", value, "a number above --lease-renew-ms");
        }
        // A claim that is removed while its call may still be sent would allow a second run.
        if self.claim_retention_ms <= 2 * self.max_timeout_ms {
            let value = Some(self.claim_retention_ms.to_string());
            let allowed = "a number above twice --max-timeout-ms";
            reader.add_invalid("--claim-retention-ms", value, allowed);
        }
    }
}
