//! Processes of the edge daemon.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// Signals.
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/jasminetack-edge";

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// What differs between the settings of deployments.
pub struct Terms {
    /// Parts of the rules that are in force, as a TOML list.
    pub contracts: &'static str,
    /// Figures of the rules, one a line.
    pub bounds: &'static str,
}

/// Terms of `sites/spillested-live.toml`.
pub const SPILLESTED: Terms = Terms {
    contracts: r#"["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]"#,
    bounds: "SeedLagS = 3
ReuseAfterS = 2
ContactMs = 4000
AckMs = 5000
CatchUpS = 4
DrainMs = 2500
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2500
RollbackSlackMs = 250
MaxSkewMs = 6000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetrySlack = 58
RecoveryS = 12
PassMs = 300
RetryAfterS = 0
FencingEnforced = false
LeaseMs = 3000
ThawMs = 300
CeilingWindowS = 5
OriginOverage = 1.1
version_ms = 5000
",
};

/// Terms of `demands/dyfed-mdu-grown.toml`.
pub const DYFED: Terms = Terms {
    contracts: r#"["base","drain","config","cost","retry","recover","health","pool","fleet","stream","engine","tenants","quota","pressure","platform"]"#,
    bounds: "SeedLagS = 3
ReuseAfterS = 2
ContactMs = 5000
AckMs = 8000
CatchUpS = 6
DrainMs = 4000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 4000
RollbackSlackMs = 250
MaxSkewMs = 8000
RevokeStrict = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetrySlack = 180
QuotaWindowS = 8
QuotaOverage = 0.1
QuotaSlack = 110000
RecoveryS = 15
PassMs = 400
RetryAfterS = 0
FencingEnforced = false
LeaseMs = 3000
ThawMs = 300
CeilingWindowS = 5
OriginOverage = 1.1
version_ms = 5000
",
};

/// A process of the edge daemon; it is killed when dropped.
pub struct Daemon {
    /// Name of its machine.
    pub name: String,
    /// Address for clients.
    pub frontend: SocketAddr,
    readiness: SocketAddr,
    log: PathBuf,
    child: Child,
}

impl Daemon {
    /// Starts a daemon in a zone on a loopback address of its own.
    pub fn start(
        record: &Record,
        folder: &Path,
        name: &str,
        ip: &str,
        zone: &str,
        store: SocketAddr,
        terms: &Terms,
    ) -> io::Result<Self> {
        let Terms { contracts, bounds } = terms;
        let free = || -> io::Result<u16> { Ok(TcpListener::bind((ip, 0))?.local_addr()?.port()) };
        let (frontend, readiness, control) = (free()?, free()?, free()?);
        let internal = UdpSocket::bind((ip, 0))?.local_addr()?.port();
        let text = format!(
            r#"NodeName = "{name}"
Role = "edge"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{ip}"
Zone = "{zone}"
Region = "r-{zone}"
InternalPorts = [{internal},{internal}]
Seeds = []
Bootstrap = true
FaultCounted = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatMs = 1200
Contracts = {contracts}
[Zones]
a = "r-a"
b = "r-b"
c = "r-c"
[Listen]
Frontend = "{ip}:{frontend}"
Readiness = "{ip}:{readiness}"
ControlPlane = "{ip}:{control}"
[Limits]
CpuShare = 0.25
CpuCores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
{bounds}[Platform]
Address = "{store}"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TxMs = 5.0
PartWritesPerS = 200
RowBytes = 65536
CrossRegion = false
HistoryS = 20
BlobBytes = 8388608
BlobMs = 25.0
BlobMbPerS = 80.0
"#
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log)?;
        let address = |port: u16| SocketAddr::new(ip.parse().expect("an IP address"), port);
        record.line(&format!("daemon {name} starts pid={} ip={ip}", child.id()));
        Ok(Self {
            name: name.to_owned(),
            frontend: address(frontend),
            readiness: address(readiness),
            log,
            child,
        })
    }

    /// Sends a signal.
    pub fn signal(&self, record: &Record, signal: i32) {
        record.line(&format!("daemon {} gets signal {signal}", self.name));
        // SAFETY: the call takes two numbers; the process was started by this one and not waited for yet.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = "GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        http::call(self.readiness, request, Duration::from_secs(1))
            .is_ok_and(|response| response.status() == 200)
    }

    /// Returns the log.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until all daemons are ready.
pub fn wait_until_ready(daemons: &[Daemon], limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while !daemons.iter().all(Daemon::is_ready) {
        if Instant::now() > end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}

fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(PROGRAM)
        .env("JASMINETACK_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
