//! Daemons of the project as separate processes.

use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

const CALLERS_PORT: u16 = 8149;
const READINESS_PORT: u16 = 8141;
const START_LIMIT: Duration = Duration::from_secs(20);

/// One daemon; its process ends with this value.
pub struct Daemon {
    /// Address for callers.
    pub callers: SocketAddr,
    child: Child,
}

impl Daemon {
    /// Starts a daemon with a loopback address of its own; `bounds` is the part of the settings that differs
    /// between deployments.
    pub fn start(
        folder: &Path,
        index: usize,
        (zone, region): (&str, &str),
        store: SocketAddr,
        bounds: &str,
    ) -> Self {
        let process = std::process::id() % 60_000;
        let ip = format!("127.{}.{}.{}", 201 + index % 50, process / 250, 1 + process % 250);
        let settings = folder.join(format!("boot-{index}.toml"));
        let text = format!(
            "NodeName = \"edge-{zone}-{index}\"\nRole = \"edge\"\nMachineClass = \"edge\"\nIp = \"{ip}\"\n\
             Zone = \"{zone}\"\nRegion = \"{region}\"\nInternalPorts = [7380, 7395]\n{bounds}\n\
             [Listen]\nFrontend = \"{ip}:{CALLERS_PORT}\"\nReadiness = \"{ip}:{READINESS_PORT}\"\n\
             [Platform]\nAddress = \"{store}\"\nform = \"table\"\n"
        );
        fs::write(&settings, text).expect("a settings file");
        let log = folder.join(format!("log-{index}"));
        let child = spawn(&settings, &log);
        let callers = format!("{ip}:{CALLERS_PORT}").parse().expect("an address");
        Self { callers, child }
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let readiness = SocketAddr::new(self.callers.ip(), READINESS_PORT);
        let end = Instant::now() + START_LIMIT;
        while Instant::now() < end {
            if is_ready(readiness) == Some(true) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("a log");
    // The program and arguments are those of deploy/system.toml.
    Command::new("target/release/jasminetack-edge")
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("JASMINETACK_SETTINGS", settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone().expect("a log"))
        .stdout(log)
        .spawn()
        .expect("the daemon starts; build it with the command of deploy/system.toml")
}

fn is_ready(address: SocketAddr) -> Option<bool> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").ok()?;
    let response = http::read(&mut BufReader::new(stream)).ok()?;
    Some(response.status() == 200)
}
