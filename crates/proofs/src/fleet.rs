//! A small fleet on loopback.

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

/// Regions in which hosts are placed in turn.
pub const REGIONS: [&str; 3] = ["north", "middle", "south"];
/// Base model of all engines and adapters.
pub const BASE_MODEL: &str = "base";
/// Service that the apps provide.
pub const SERVICE: &str = "booking";
/// Team of the callers and of all adapters.
pub const TEAM: &str = "spillested";

/// Fleets that run at one time in a test process; more make timings of failures unreliable.
const MAX_FLEETS: usize = 3;

static FLEETS: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// What to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Daemons.
    pub daemons: usize,
    /// Engines.
    pub engines: usize,
    /// App services.
    pub apps: usize,
    /// Whether engines refuse old fencing numbers.
    pub refuses_old_fencing: bool,
    /// Further flags of the engines.
    pub engine_flags: Vec<String>,
    /// Further flags of the daemons.
    pub daemon_flags: Vec<String>,
    /// Adapters with their versions.
    pub adapters: Vec<(String, Vec<u32>)>,
    /// Age of the host list that is shown.
    pub host_list_lag_ms: u64,
    /// Whether each daemon reaches the platform through a relay of its own.
    pub platform_relays: bool,
}

impl Default for Plan {
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

/// A running fleet; everything is ended when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The engines.
    pub engines: Vec<Upstream>,
    /// The app services.
    pub apps: Vec<Upstream>,
    /// The platform.
    pub platform: Platform,
    /// Links of the daemons to the platform, if the plan asks for them.
    pub platform_relays: Vec<Relay>,
    logs: Option<tempfile::TempDir>,
    _permit: Permit,
}

#[derive(Debug)]
struct Permit;

impl Fleet {
    /// Starts a fleet and waits until every daemon is ready and every worker has an owner.
    ///
    /// # Errors
    ///
    /// Fails when a program cannot be started or the fleet does not become ready.
    pub fn start(plan: Plan) -> io::Result<Self> {
        let permit = Permit::take();
        let logs = tempfile::Builder::new().prefix("jasminetack-proofs-").tempdir()?;
        let platform = Platform::start(plan.host_list_lag_ms, logs.path())?;
        let mut fleet = Self {
            daemons: Vec::new(),
            engines: Vec::new(),
            apps: Vec::new(),
            platform,
            platform_relays: Vec::new(),
            logs: Some(logs),
            _permit: permit,
        };
        fleet.write_rows(&plan)?;
        for index in 0..plan.apps {
            let role = wire::HostRole::App { service: SERVICE.to_owned() };
            let host = host(&format!("app{index}"), role, index);
            let app = Upstream::start(host, Vec::new(), fleet.logs())?;
            fleet.platform.put_host(&app.host)?;
            fleet.apps.push(app);
        }
        for index in 0..plan.daemons {
            let host = host(&format!("entry{index}"), wire::HostRole::Entry, index);
            let mut url = fleet.platform.url();
            if plan.platform_relays {
                let name = format!("platform-relay{index}");
                let relay = Relay::start(&name, fleet.platform.address(), fleet.logs())?;
                url = format!("http://{}", relay.address);
                fleet.platform_relays.push(relay);
            }
            let daemon = Daemon::start(host, &url, &plan.daemon_flags, fleet.logs())?;
            fleet.platform.put_host(&daemon.host)?;
            fleet.daemons.push(daemon);
        }
        fleet.wait_daemons()?;
        // Engines are listed last, so that each is claimed by the daemon that is to own it.
        for index in 0..plan.engines {
            fleet.start_engine(index, &plan)?;
        }
        fleet.wait_ready()?;
        Ok(fleet)
    }

    /// Waits until every daemon is ready and every worker has an owner of its region, if there is
    /// one, so that no handover is due.
    ///
    /// # Errors
    ///
    /// Fails when that does not happen in time.
    pub fn wait_ready(&self) -> io::Result<()> {
        self.wait_daemons()?;
        wait::until("every worker has its owner", wait::DEFAULT_TIMEOUT, || {
            self.engines.iter().all(|engine| self.has_near_owner(&engine.host))
        })?;
        Ok(())
    }

    fn wait_daemons(&self) -> io::Result<()> {
        wait::until("every daemon is ready", wait::DEFAULT_TIMEOUT, || {
            self.daemons.iter().all(Daemon::is_ready)
        })?;
        Ok(())
    }

    fn has_near_owner(&self, worker: &wire::Host) -> bool {
        let Some((owner, _)) = self.owner(&worker.name) else {
            return false;
        };
        let is_near = |daemon: &Daemon| daemon.host.region == worker.region;
        is_near(&self.daemons[owner]) || !self.daemons.iter().any(is_near)
    }

    /// Returns the index of the daemon that owns a worker, and the fencing number.
    #[must_use]
    pub fn owner(&self, worker: &str) -> Option<(usize, u64)> {
        let value = self.platform.read(&format!("owner/{worker}")).ok()?.value?;
        let host = value["host"].as_str()?;
        let index = self.daemons.iter().position(|daemon| daemon.host.name == host)?;
        Some((index, value["fencing"].as_u64()?))
    }

    /// Returns the callers' addresses of all daemons but those with the given indices.
    #[must_use]
    pub fn callers_without(&self, left_out: &[usize]) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for (index, daemon) in self.daemons.iter().enumerate() {
            if !left_out.contains(&index) {
                addresses.push(daemon.callers_address());
            }
        }
        addresses
    }

    /// Returns how many calls the app services executed, and how many of them for one key.
    ///
    /// # Errors
    ///
    /// Fails when an app service does not answer.
    pub fn executions(&self, key: &str) -> io::Result<(u64, u64)> {
        let (mut all, mut of_key) = (0, 0);
        for app in &self.apps {
            let audit = app.audit()?;
            all += audit["executions"].as_array().map_or(0, Vec::len) as u64;
            of_key += audit["by_idempotency_key"][key].as_u64().unwrap_or(0);
        }
        Ok((all, of_key))
    }

    /// Returns the directory of the logs.
    #[must_use]
    pub fn logs(&self) -> &Path {
        self.logs.as_ref().map_or(Path::new("."), tempfile::TempDir::path)
    }

    /// Returns the rules that callers of the engines broke, over all engines that answer.
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

    /// Returns how often a request entered the batch of any engine that answers.
    #[must_use]
    pub fn runs(&self, request_id: &str) -> u32 {
        let mut runs = 0;
        for engine in &self.engines {
            if let Ok(audit) = engine.engine_audit() {
                for (id, count) in &audit.runs {
                    // Retries and hedges append a mark to the request id.
                    let mark = id.strip_prefix(request_id).map(|mark| mark.chars().next());
                    if mark.is_some_and(|mark| !mark.is_some_and(|mark| mark.is_ascii_digit())) {
                        runs += count;
                    }
                }
            }
        }
        runs
    }

    fn start_engine(&mut self, index: usize, plan: &Plan) -> io::Result<()> {
        let role = wire::HostRole::Engine {
            base_model: BASE_MODEL.to_owned(),
            refuses_old_fencing: plan.refuses_old_fencing,
        };
        let fencing = if plan.refuses_old_fencing { "refuses" } else { "ignores" };
        let url = self.platform.url();
        let arguments =
            ["--fencing", fencing, "--weights-url", &url, "--weights-key", crate::platform::KEY];
        let mut arguments = arguments.map(str::to_owned).to_vec();
        arguments.extend(["--base-model".to_owned(), BASE_MODEL.to_owned()]);
        arguments.extend_from_slice(&plan.engine_flags);
        let host = host(&format!("engine{index}"), role, index);
        let engine = Upstream::start(host, arguments, self.logs())?;
        self.platform.put_host(&engine.host)?;
        self.engines.push(engine);
        Ok(())
    }

    fn write_rows(&self, plan: &Plan) -> io::Result<()> {
        let hash = sha2::Sha256::digest(caller::KEY.as_bytes());
        let key_hash = hash.iter().map(|byte| format!("{byte:02x}")).collect();
        let limits = row::WireLimits { class: "urgent".to_owned(), ..row::WireLimits::default() };
        let team = row::WireRow::Team { key_hashes: vec![key_hash], limits: limits.clone() };
        self.platform.put_row(&format!("team/{TEAM}"), &team)?;
        let repeatable = [("GET".to_owned(), vec!["/".to_owned()])].into();
        let service = row::WireRow::Service { repeatable, limits: limits.clone() };
        self.platform.put_row(&format!("service/{SERVICE}"), &service)?;
        for (name, versions) in &plan.adapters {
            self.platform.put_row(&format!("adapter/{name}"), &adapter(versions.clone()))?;
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking()
            && let Some(logs) = self.logs.take()
        {
            eprintln!("logs of the fleet: {}", logs.keep().display());
        }
    }
}

impl Permit {
    fn take() -> Self {
        let (count, changed) = &FLEETS;
        let mut running: MutexGuard<'_, usize> = count.lock();
        while *running >= MAX_FLEETS {
            changed.wait(&mut running);
        }
        *running += 1;
        Self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *FLEETS.0.lock() -= 1;
        FLEETS.1.notify_one();
    }
}

/// Returns the row of an adapter.
#[must_use]
pub fn adapter(versions: Vec<u32>) -> row::WireRow {
    row::WireRow::Adapter {
        team: TEAM.to_owned(),
        base_model: BASE_MODEL.to_owned(),
        versions,
        limits: row::WireLimits { class: "urgent".to_owned(), ..row::WireLimits::default() },
    }
}

fn host(name: &str, role: wire::HostRole, index: usize) -> wire::Host {
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
