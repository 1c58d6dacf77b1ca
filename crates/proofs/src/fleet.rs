//! Starts daemons and stand-ins as a fleet on the loopback interface.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;

use jasminetack_wire::platform as wire;
use jasminetack_wire::row;
use parking_lot::{Condvar, Mutex, MutexGuard};
use sha2::Digest;

use crate::caller;
use crate::daemon::Daemon;
use crate::platform::Platform;
use crate::upstream::{Relay, Upstream};
use crate::wait;

/// Regions to which hosts are assigned in round-robin order.
pub const REGIONS: [&str; 3] = ["north", "middle", "south"];
/// Base model of all engines and adapters.
pub const BASE_MODEL: &str = "base";
/// Name of the service that the app stand-ins provide.
pub const SERVICE: &str = "booking";
/// Team that owns the caller key and all adapters.
pub const TEAM: &str = "spillested";

/// Limit of concurrent fleets per test process; with more, failure detection times are unreliable.
const MAX_RUNNING_FLEETS: usize = 3;

static RUNNING_FLEETS: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of app services.
    pub apps: usize,
    /// Whether engines refuse requests with an old fencing token.
    pub refuses_old_fencing: bool,
    /// Additional flags of the engines.
    pub engine_flags: Vec<String>,
    /// Additional flags of the daemons.
    pub daemon_flags: Vec<String>,
    /// Adapter names and their versions.
    pub adapters: Vec<(String, Vec<u32>)>,
    /// Delay, in milliseconds, before a change of the host list is visible to readers.
    pub host_list_lag_ms: u64,
    /// Whether each daemon connects to the platform through its own relay.
    pub platform_relays: bool,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            daemons: 3,
            engines: 3,
            apps: 0,
            refuses_old_fencing: true,
            engine_flags: Vec::new(),
            daemon_flags: Vec::new(),
            adapters: vec![("offers".to_owned(), vec![1]), ("riders".to_owned(), vec![1, 2])],
            host_list_lag_ms: 0,
            platform_relays: false,
        }
    }
}

/// Running fleet; all of its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Entry daemons.
    pub daemons: Vec<Daemon>,
    /// Engine stand-ins.
    pub engines: Vec<Upstream>,
    /// App service stand-ins.
    pub apps: Vec<Upstream>,
    /// Platform stand-in.
    pub platform: Platform,
    /// Relays between the daemons and the platform; empty unless configured.
    pub platform_relays: Vec<Relay>,
    logs: Option<tempfile::TempDir>,
    _permit: FleetPermit,
}

/// Permit for one of the `MAX_RUNNING_FLEETS` concurrent fleets, released on drop.
#[derive(Debug)]
struct FleetPermit;

impl Fleet {
    /// Starts a fleet and waits until every daemon is ready and every worker has an owner.
    ///
    /// # Errors
    ///
    /// Fails when a program cannot be started or the fleet does not become ready.
    pub fn start(config: FleetConfig) -> io::Result<Self> {
        let permit = FleetPermit::acquire();
        let logs = tempfile::Builder::new().prefix("jasminetack-proofs-").tempdir()?;
        let platform = Platform::start(config.host_list_lag_ms, logs.path())?;
        let mut fleet = Self {
            daemons: Vec::new(),
            engines: Vec::new(),
            apps: Vec::new(),
            platform,
            platform_relays: Vec::new(),
            logs: Some(logs),
            _permit: permit,
        };
        fleet.write_table_rows(&config)?;
        for index in 0..config.apps {
            let role = wire::HostRole::App { service: SERVICE.to_owned() };
            let host = host_entry(&format!("app{index}"), role, index);
            let app = Upstream::start(host, Vec::new(), fleet.logs())?;
            fleet.platform.put_host(&app.host)?;
            fleet.apps.push(app);
        }
        for index in 0..config.daemons {
            let host = host_entry(&format!("entry{index}"), wire::HostRole::Entry, index);
            let mut url = fleet.platform.url();
            if config.platform_relays {
                let name = format!("platform-relay{index}");
                let relay = Relay::start(&name, fleet.platform.address(), fleet.logs())?;
                url = format!("http://{}", relay.address);
                fleet.platform_relays.push(relay);
            }
            let daemon = Daemon::start(host, &url, &config.daemon_flags, fleet.logs())?;
            fleet.platform.put_host(&daemon.host)?;
            fleet.daemons.push(daemon);
        }
        fleet.wait_for_daemons()?;
        // Engines are added after all daemons are ready, so that each is claimed by its preferred
        // owner and needs no handover.
        for index in 0..config.engines {
            fleet.start_engine(index, &config)?;
        }
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    /// Waits until every daemon is ready and every worker is owned by a daemon in its region, if
    /// there is one, so that no handover is pending.
    ///
    /// # Errors
    ///
    /// Fails when the fleet is not ready within `wait::DEFAULT_TIMEOUT`.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        self.wait_for_daemons()?;
        wait::until("every worker has an owner in its region", wait::DEFAULT_TIMEOUT, || {
            self.engines.iter().all(|engine| self.has_owner_in_region(&engine.host))
        })?;
        Ok(())
    }

    fn wait_for_daemons(&self) -> io::Result<()> {
        wait::until("every daemon is ready", wait::DEFAULT_TIMEOUT, || {
            self.daemons.iter().all(Daemon::is_ready)
        })?;
        Ok(())
    }

    fn has_owner_in_region(&self, worker: &wire::Host) -> bool {
        let Some((owner, _)) = self.owner(&worker.name) else {
            return false;
        };
        let is_in_region = |daemon: &Daemon| daemon.host.region == worker.region;
        is_in_region(&self.daemons[owner]) || !self.daemons.iter().any(is_in_region)
    }

    /// Returns the index of the daemon that owns a worker, and the fencing token.
    #[must_use]
    pub fn owner(&self, worker: &str) -> Option<(usize, u64)> {
        let value = self.platform.read(&format!("owner/{worker}")).ok()?.value?;
        let host = value["host"].as_str()?;
        let index = self.daemons.iter().position(|daemon| daemon.host.name == host)?;
        Some((index, value["fencing"].as_u64()?))
    }

    /// Returns the addresses for callers of all daemons except those with the given indices.
    #[must_use]
    pub fn callers_addresses_except(&self, excluded: &[usize]) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for (index, daemon) in self.daemons.iter().enumerate() {
            if !excluded.contains(&index) {
                addresses.push(daemon.callers_address());
            }
        }
        addresses
    }

    /// Returns the number of calls that the app services executed, in total and for one idempotency
    /// key.
    ///
    /// # Errors
    ///
    /// Fails when an app service does not respond.
    pub fn executions(&self, key: &str) -> io::Result<(u64, u64)> {
        let (mut total, mut for_key) = (0, 0);
        for app in &self.apps {
            let audit = app.audit()?;
            total += audit["executions"].as_array().map_or(0, Vec::len) as u64;
            for_key += audit["by_idempotency_key"][key].as_u64().unwrap_or(0);
        }
        Ok((total, for_key))
    }

    /// Returns the log directory.
    #[must_use]
    pub fn logs(&self) -> &Path {
        self.logs.as_ref().map_or(Path::new("."), tempfile::TempDir::path)
    }

    /// Returns the protocol violations recorded by all engines that respond.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for engine in &self.engines {
            if let Ok(audit) = engine.engine_audit() {
                violations.extend(audit.violations);
            }
        }
        violations
    }

    /// Returns how often a request entered a batch, summed over all engines that respond.
    #[must_use]
    pub fn runs(&self, request_id: &str) -> u32 {
        let mut runs = 0;
        for engine in &self.engines {
            if let Ok(audit) = engine.engine_audit() {
                for (id, count) in &audit.runs {
                    // Retries and hedges append a suffix to the request id that does not start
                    // with a digit.
                    let suffix = id.strip_prefix(request_id).map(|suffix| suffix.chars().next());
                    if suffix
                        .is_some_and(|suffix| !suffix.is_some_and(|suffix| suffix.is_ascii_digit()))
                    {
                        runs += count;
                    }
                }
            }
        }
        runs
    }

    fn start_engine(&mut self, index: usize, config: &FleetConfig) -> io::Result<()> {
        let role = wire::HostRole::Engine {
            base_model: BASE_MODEL.to_owned(),
            refuses_old_fencing: config.refuses_old_fencing,
        };
        let fencing = if config.refuses_old_fencing { "refuses" } else { "ignores" };
        let url = self.platform.url();
        let arguments =
            ["--fencing", fencing, "--weights-url", &url, "--weights-key", crate::platform::KEY];
        let mut arguments = arguments.map(str::to_owned).to_vec();
        arguments.extend(["--base-model".to_owned(), BASE_MODEL.to_owned()]);
        arguments.extend_from_slice(&config.engine_flags);
        let host = host_entry(&format!("engine{index}"), role, index);
        let engine = Upstream::start(host, arguments, self.logs())?;
        self.platform.put_host(&engine.host)?;
        self.engines.push(engine);
        Ok(())
    }

    fn write_table_rows(&self, config: &FleetConfig) -> io::Result<()> {
        let hash = sha2::Sha256::digest(caller::KEY.as_bytes());
        let key_hash = hash.iter().map(|byte| format!("{byte:02x}")).collect();
        let limits = row::WireLimits { class: "urgent".to_owned(), ..row::WireLimits::default() };
        let team = row::WireRow::Team { key_hashes: vec![key_hash], limits: limits.clone() };
        self.platform.put_row(&format!("team/{TEAM}"), &team)?;
        let repeatable = [("GET".to_owned(), vec!["/".to_owned()])].into();
        let service = row::WireRow::Service { repeatable, limits: limits.clone() };
        self.platform.put_row(&format!("service/{SERVICE}"), &service)?;
        for (name, versions) in &config.adapters {
            self.platform.put_row(&format!("adapter/{name}"), &adapter_row(versions.clone()))?;
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking()
            && let Some(logs) = self.logs.take()
        {
            eprintln!("fleet logs kept in {}", logs.keep().display());
        }
    }
}

impl FleetPermit {
    fn acquire() -> Self {
        let (count, changed) = &RUNNING_FLEETS;
        let mut running: MutexGuard<'_, usize> = count.lock();
        while *running >= MAX_RUNNING_FLEETS {
            changed.wait(&mut running);
        }
        *running += 1;
        Self
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *RUNNING_FLEETS.0.lock() -= 1;
        RUNNING_FLEETS.1.notify_one();
    }
}

/// Returns the table row of an adapter with the given versions.
#[must_use]
pub fn adapter_row(versions: Vec<u32>) -> row::WireRow {
    row::WireRow::Adapter {
        team: TEAM.to_owned(),
        base_model: BASE_MODEL.to_owned(),
        versions,
        limits: row::WireLimits { class: "urgent".to_owned(), ..row::WireLimits::default() },
    }
}

fn host_entry(name: &str, role: wire::HostRole, index: usize) -> wire::Host {
    wire::Host {
        name: name.to_owned(),
        role,
        address: String::new(),
        region: REGIONS[index % REGIONS.len()].to_owned(),
        failure_domain: "a".to_owned(),
        leaving: false,
        incarnation: 1,
    }
}
