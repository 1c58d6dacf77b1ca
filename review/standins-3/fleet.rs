//! Daemons, started as the deploy file says, in front of the stand-ins.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::store::Store;
use crate::system;

pub const GRACE_MS: u64 = 8_000;
pub const CONTACT: Duration = Duration::from_millis(4_000);

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { started: Instant::now(), file })
    }

    pub fn add(&self, line: &str) {
        let mut file = self.file.lock().expect("no panic");
        let _ = writeln!(file, "{:8.3} s  {line}", self.started.elapsed().as_secs_f64());
    }
}

pub struct Daemon {
    pub name: String,
    pub callers: SocketAddrV4,
    readiness: SocketAddr,
    settings: PathBuf,
    log: File,
    child: Child,
}

/// Returns the address of a daemon, each on an address of its own.
fn ip(index: usize) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(127, (process / 250 % 200 + 20) as u8, (process % 250 + 1) as u8, index as u8 + 1)
}

/// Returns the address at which a daemon serves clients.
pub fn callers(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(ip(index), 8149)
}

impl Daemon {
    pub fn start(directory: &Path, index: usize, store: SocketAddr) -> io::Result<Self> {
        let zones = ["cph-a", "aar-a", "ode-a"];
        let regions = ["dk-east", "dk-west", "dk-south"];
        let ip = ip(index);
        let name = format!("edge-{}-1", zones[index % 3]);
        let (zone, region) = (zones[index % 3], regions[index % 3]);
        let settings = format!(
            "NodeName = \"{name}\"\nIp = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"{region}\"\n\
             InternalPorts = [7380,7395]\nContracts = [\"base\",\"drain\",\"config\",\"retry\"]\n\
             [Zones]\ncph-a = \"dk-east\"\naar-a = \"dk-west\"\node-a = \"dk-south\"\n\
             [Listen]\nFrontend = \"{ip}:8149\"\nReadiness = \"{ip}:8141\"\n\
             [Bounds]\nContactMs = 4000\nDrainMs = 2500\nGraceS = {}\nLossSlackMs = 200\n\
             ConfigApplyMs = 2500\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetrySlack = 58\n\
             LeaseMs = 3000\nversion_ms = 5000\n[Platform]\nAddress = \"{store}\"\n",
            GRACE_MS / 1_000
        );
        let path = directory.join(format!("boot-{index}.toml"));
        fs::write(&path, settings)?;
        let log = File::create(directory.join(format!("log-{index}")))?;
        let child = spawn(&path, &log)?;
        let (callers, readiness) = (callers(index), SocketAddrV4::new(ip, 8141));
        Ok(Self { name, callers, readiness: readiness.into(), settings: path, log, child })
    }

    /// Kills the process and starts it again after a delay.
    pub fn restart(&mut self, delay: Duration) -> io::Result<()> {
        self.kill();
        thread::sleep(delay);
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    fn kill(&mut self) {
        let mut started = STARTED.lock().expect("no panic");
        system::signal(self.child.id(), system::SIGKILL);
        let _ = self.child.wait();
        started.retain(|process| *process != self.child.id());
    }

    /// Returns the resident memory of the process.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("");
        line.split_whitespace().next().and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) / 1_024
    }

    pub fn is_ready(&self) -> bool {
        http::get_status(self.readiness, "/v1/readyz").is_ok_and(|status| status == 200)
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        system::signal(self.child.id(), system::SIGTERM);
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn spawn(settings: &Path, log: &File) -> io::Result<Child> {
    let mut started = STARTED.lock().expect("no panic");
    let child = Command::new("target/release/jasminetack-edge")
        .env_clear()
        .env("JASMINETACK_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log.try_clone()?)
        .spawn()?;
    started.push(child.id());
    Ok(child)
}

/// Ends a case that takes too long, with all processes that it started.
pub fn end_after(limit: Duration, code: i32) {
    thread::spawn(move || {
        thread::sleep(limit);
        for process in STARTED.lock().expect("no panic").iter() {
            system::signal(*process, system::SIGKILL);
        }
        std::process::exit(code);
    });
}

/// An app worker: it answers after 15 ms and keeps its connections open.
pub fn start_worker(id: &str, record: &Record, answer: Arc<Vec<u8>>) -> io::Result<SocketAddr> {
    let (id, record) = (id.to_owned(), record.clone());
    http::serve(move |request: &Request, sink| {
        if request.path() == "/healthz" {
            return http::write_response(sink, "200 OK", &[("Instance-Id", &id)], b"");
        }
        let Some(attempt) = request.header("attempt-id") else {
            return http::write_response(sink, "400 Bad Request", &[("Not-Executed", "1")], b"");
        };
        if request.header("expected-instance").is_some_and(|expected| expected != id) {
            let headers = [("Instance-Id", id.as_str()), ("Attempt-Id", attempt)];
            return http::write_response(sink, "421 Misdirected Request", &headers, b"");
        }
        record.add(&format!("worker {id} runs {attempt}"));
        thread::sleep(Duration::from_millis(15));
        let signature = format!("3e1b.{id}.{attempt}");
        let headers = [
            ("Attempt-Id", attempt),
            ("Server-Signature", signature.as_str()),
            ("Keep-Alive", "timeout=5"),
        ];
        let body = if request.path().ends_with("/short") { &answer[..800] } else { &answer[..] };
        let result = http::write_response(sink, "200 OK", &headers, body);
        record.add(&format!("worker {id} has handed over its answer to {attempt}: {result:?}"));
        result
    })
}

/// The configuration: calls that may run once, and calls that may be repeated.
pub fn configuration() -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"h.example\",\"Prefix\":\"/{name}/\",\"Type\":\"{kind}\",\
             \"TimeoutMs\":10000,\"GoalMs\":1000,\"Priority\":2,\"Service\":\"app\",\"MaxAttempts\":{attempts}}}"
        )
    };
    let routes = [route("confirm", "non_idempotent", 1), route("look", "idempotent", 2)];
    format!(
        "{{\"Version\":1,\"Routes\":[{}],\"Services\":[{{\"Name\":\"app\",\"HealthPath\":\"/healthz\",\
         \"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// Starts the store, three workers and the daemons, and waits until the daemons have been ready for `CONTACT`.
pub fn start(
    directory: &PathBuf,
    daemons: usize,
    record: &Record,
    answer: &Arc<Vec<u8>>,
) -> io::Result<(Arc<Store>, Vec<Daemon>)> {
    let (store, address) = Store::start()?;
    for (index, zone) in ["cph-a", "aar-a", "ode-a"].iter().enumerate() {
        let id = format!("i-{index}");
        let worker = start_worker(&id, record, Arc::clone(answer))?;
        store.put(
            "servers",
            &id,
            &format!(
                "{{\"Service\":\"app\",\"Address\":\"{worker}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
                 \"Slots\":6,\"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":1,\"born\":1700000000000}}"
            ),
        );
    }
    store.put("op", "config", &configuration());
    let mut started = Vec::new();
    for index in 0..daemons {
        started.push(Daemon::start(directory, index, address)?);
    }
    wait_until_ready(&started, record)?;
    Ok((store, started))
}

/// Waits until the daemons have been ready for `CONTACT`.
pub fn wait_until_ready(daemons: &[Daemon], record: &Record) -> io::Result<()> {
    let begun = Instant::now();
    while !daemons.iter().all(Daemon::is_ready) {
        if begun.elapsed() > Duration::from_secs(15) {
            return Err(io::Error::other("the daemons did not become ready"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.add("all daemons are ready");
    thread::sleep(CONTACT);
    Ok(())
}
