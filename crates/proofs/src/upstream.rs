//! Engine, app service and relay stand-ins, run as child processes.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use jasminetack_standins::engine;
use jasminetack_wire::platform as wire;
use serde_json::Value;

use crate::http;
use crate::program::Program;

/// Upstream stand-in, run as a child process, with its host list entry.
#[derive(Debug)]
pub struct Upstream {
    /// Child process.
    pub program: Program,
    /// Host list entry.
    pub host: wire::Host,
    binary: &'static str,
    arguments: Vec<String>,
}

impl Upstream {
    /// Starts an upstream on a free port and sets the address of `host`.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start(mut host: wire::Host, arguments: Vec<String>, logs: &Path) -> io::Result<Self> {
        let binary = match host.role {
            wire::HostRole::App { .. } => "standin-app",
            wire::HostRole::Engine { .. } | wire::HostRole::Entry => "standin-engine",
        };
        let (program, address) = start(binary, "127.0.0.1:0", &host.name, &arguments, logs)?;
        host.address = address.to_string();
        Ok(Self { program, host, binary, arguments })
    }

    /// Starts the program again at the same address after it was killed; its state is lost.
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

    /// Sets the injected faults that the document names.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not respond.
    pub fn set_faults(&self, faults: &Value) -> io::Result<()> {
        http::post(&format!("{}/switch", self.url()), "", faults).map(drop)
    }

    /// Returns the stand-in's audit record as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not respond.
    pub fn audit(&self) -> io::Result<Value> {
        http::get(&format!("{}/audit", self.url()), "")
    }

    /// Returns the audit record of an engine.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not respond.
    pub fn engine_audit(&self) -> io::Result<engine::Audit> {
        serde_json::from_value(self.audit()?).map_err(io::Error::other)
    }
}

/// Relay stand-in, run as a child process.
#[derive(Debug)]
pub struct Relay {
    /// Child process.
    pub program: Program,
    /// Address whose connections are forwarded to the target.
    pub address: SocketAddr,
    control: SocketAddr,
}

impl Relay {
    /// Starts a relay that forwards connections to a target.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start(name: &str, target: SocketAddr, logs: &Path) -> io::Result<Self> {
        let control = crate::ports::Port::reserve()?;
        let target = target.to_string();
        let control_address = control.address().to_string();
        let arguments =
            ["--target", &target, "--control-address", &control_address].map(str::to_owned);
        let (program, address) = start("standin-relay", "127.0.0.1:0", name, &arguments, logs)?;
        Ok(Self { program, address, control: control.address() })
    }

    /// Replaces the injected faults of the link.
    ///
    /// # Errors
    ///
    /// Fails when the relay does not respond.
    pub fn set_faults(&self, faults: &Value) -> io::Result<()> {
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
