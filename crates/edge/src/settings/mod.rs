//! Settings of the daemon, read from flags and environment variables.

mod flags;

use jasminetack_program::settings;

/// Minimum number of renewal intervals per lease duration, so that one failed renewal does not lose
/// the lease.
const MIN_RENEWALS_PER_TTL: u64 = 2;

/// Settings of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Minimum level of logged messages.
    pub log_level: spdlog::Level,
    /// Port of the metrics endpoint.
    pub metrics_port: u16,
    /// Duration of the lease under which orders are sent.
    pub lease_ttl_ms: u64,
    /// Interval of lease renewals.
    pub lease_renewal_ms: u64,
    /// Whether the slots of app services are assigned by brokers, whatever the platform asks for.
    pub slot_credits: bool,
    /// Whether to print the effective settings and exit.
    pub check_only: bool,
    /// The effective settings, one per line.
    pub description: String,
}

impl Settings {
    /// Reads the command line and the environment; exits the process for `--help` and `--version`.
    ///
    /// # Errors
    ///
    /// Fails if settings are invalid; the error lists all of them.
    pub fn from_environment() -> Result<Self, settings::InvalidSettings> {
        let flags = flags::JasminetackEdge::from_env_or_exit();
        if flags.version {
            println!("jasminetack-edge {}", env!("CARGO_PKG_VERSION"));
            std::process::exit(0);
        }
        Self::read(flags)
    }

    fn read(flags: flags::JasminetackEdge) -> Result<Self, settings::InvalidSettings> {
        let mut reader = settings::Reader::default();
        let level = "trace, debug, info, warn, error or critical";
        let mut log_level = spdlog::Level::Info;
        let text = reader.value("--log-level", flags.log_level, "info".to_owned(), level);
        match text.parse() {
            Ok(parsed) => log_level = parsed,
            Err(_) => reader.add_invalid("--log-level", Some(text), level),
        }
        let metrics_port = reader.value("--metrics-port", flags.metrics_port, 9_464, "a TCP port");
        // Longer than common outages of the platform's store.
        let ttl = "milliseconds, at least twice --lease-renewal-ms";
        let lease_ttl_ms = reader.value("--lease-ttl-ms", flags.lease_ttl_ms, 12_000, ttl);
        let renewal = "milliseconds above 0";
        let lease_renewal_ms =
            reader.value("--lease-renewal-ms", flags.lease_renewal_ms, 6_000, renewal);
        if lease_renewal_ms == 0 {
            reader.add_invalid("--lease-renewal-ms", Some("0".to_owned()), renewal);
        }
        if lease_ttl_ms < lease_renewal_ms * MIN_RENEWALS_PER_TTL {
            reader.add_invalid("--lease-ttl-ms", Some(lease_ttl_ms.to_string()), ttl);
        }
        let switch = "on or off";
        let slot_credits =
            reader.value("--slot-credits", flags.slot_credits, "off".to_owned(), switch);
        let slot_credits = match slot_credits.as_str() {
            "on" => true,
            "off" => false,
            _ => {
                reader.add_invalid("--slot-credits", Some(slot_credits), switch);
                false
            }
        };
        reader.finish()?;
        Ok(Self {
            log_level,
            metrics_port,
            lease_ttl_ms,
            lease_renewal_ms,
            slot_credits,
            check_only: flags.check,
            description: reader.describe(),
        })
    }
}
