//! Engine, app and relay stand-ins as processes.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use jasminetack_standins::engine;
use jasminetack_wire::platform as wire;
use serde_json::Value;

use crate::http;
use crate::program::Program;

/// A stand-in of an upstream as a process, with its entry in the host list.
#[derive(Debug)]
pub struct Upstream {
    /// The process.
    pub program: Program,
    /// Its entry in the host list.
    pub host: wire::Host,
    binary: &'static str,
    arguments: Vec<String>,
}

impl Upstream {
    /// Starts an upstream on a port of its choice; the address of `host` is filled in.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start(mut host: wire::Host, arguments: Vec<String>, logs: &Path) -> io::Result<Self> {
        let binary = match host.role {
            wire::HostRole::App { .. } => "standin-app",
            wire::HostRole::Engine { .. } | wire::HostRole::Entry => "standin-engine",
        };
        let program = start(binary, "127.0.0.1:0", &host.name, &arguments, logs)?;
        let (program, address) = program;
        host.address = address.to_string();
        Ok(Self { program, host, binary, arguments })
    }

    /// Starts the program again at its address after it was killed; it has forgotten everything.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn restart(&mut self, logs: &Path) -> io::Result<()> {
        let host = &self.host;
        (self.program, _) = start(self.binary, &host.address, &host.name, &self.arguments, logs)?;
        Ok(())
    }

    /// Returns the base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.host.address)
    }

    /// Changes faults.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub fn switch(&self, faults: &Value) -> io::Result<()> {
        http::post(&format!("{}/switch", self.url()), "", faults).map(drop)
    }

    /// Returns what the stand-in saw.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub fn audit(&self) -> io::Result<Value> {
        http::get(&format!("{}/audit", self.url()), "")
    }

    /// Returns what an engine saw.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub fn engine_audit(&self) -> io::Result<engine::Audit> {
        serde_json::from_value(self.audit()?).map_err(io::Error::other)
    }
}

/// A relay stand-in as a process.
#[derive(Debug)]
pub struct Relay {
    /// The process.
    pub program: Program,
    /// Address that passes connections on.
    pub address: SocketAddr,
    control: SocketAddr,
}

impl Relay {
    /// Starts a relay to a target.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start(name: &str, target: SocketAddr, logs: &Path) -> io::Result<Self> {
        let control = crate::ports::Port::pick()?;
        let target = target.to_string();
        let control_address = control.address().to_string();
        let arguments =
            ["--target", &target, "--control-address", &control_address].map(str::to_owned);
        let (program, address) = start("standin-relay", "127.0.0.1:0", name, &arguments, logs)?;
        Ok(Self { program, address, control: control.address() })
    }

    /// Replaces the faults of the link.
    ///
    /// # Errors
    ///
    /// Fails when the relay does not answer.
    pub fn switch(&self, faults: &Value) -> io::Result<()> {
        http::post(&format!("http://{}/switch", self.control), "", faults).map(drop)
    }
}

fn start(
    binary: &str,
    address: &str,
    name: &str,
    arguments: &[String],
    logs: &Path,
) -> io::Result<(Program, SocketAddr)> {
    let mut all = vec!["--address".to_owned(), address.to_owned()];
    all.extend_from_slice(arguments);
    let mut program = Program::start(binary, name, &all, logs)?;
    let address = program.read_listen_address()?;
    Ok((program, address))
}
