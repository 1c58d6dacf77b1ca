//! Entry daemon, run as a child process.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use jasminetack_wire::platform as wire;
use serde_json::Value;

use crate::caller;
use crate::http;
use crate::platform;
use crate::ports::Port;
use crate::program::Program;

const PEER_SECRET: &str = "peer-secret";

/// Entry daemon, run as a child process, with its host list entry.
#[derive(Debug)]
pub struct Daemon {
    /// Child process.
    pub program: Program,
    /// Host list entry.
    pub host: wire::Host,
    callers: Port,
    peers: Port,
    ops: Port,
    arguments: Vec<String>,
}

impl Daemon {
    /// Starts a daemon and sets the address of `host` to its peers address.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start(
        mut host: wire::Host,
        platform_url: &str,
        flags: &[String],
        logs: &Path,
    ) -> io::Result<Self> {
        let (callers, peers, ops) = (Port::reserve()?, Port::reserve()?, Port::reserve()?);
        host.address = peers.address().to_string();
        let settings = [
            ("--host", host.name.clone()),
            ("--region", host.region.clone()),
            ("--failure-domain", host.failure_domain.clone()),
            ("--callers-address", callers.address().to_string()),
            ("--peers-address", peers.address().to_string()),
            ("--ops-address", ops.address().to_string()),
            ("--platform-url", platform_url.to_owned()),
            ("--platform-key", platform::KEY.to_owned()),
            ("--peer-secret", PEER_SECRET.to_owned()),
            ("--host-incarnation", host.incarnation.to_string()),
        ];
        let mut arguments = Vec::new();
        for (flag, value) in settings {
            arguments.extend([flag.to_owned(), value]);
        }
        arguments.extend_from_slice(flags);
        let program = Program::start("jasminetack-entry", &host.name, &arguments, logs)?;
        Ok(Self { program, host, callers, peers, ops, arguments })
    }

    /// Starts the program again at the same addresses after it exited.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn restart(&mut self, logs: &Path) -> io::Result<()> {
        self.program = Program::start("jasminetack-entry", &self.host.name, &self.arguments, logs)?;
        Ok(())
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address for other daemons.
    #[must_use]
    pub fn peers_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns whether the daemon reports that it is ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        http::status(&format!("http://{}/readyz", self.ops.address())) == Some(200)
    }

    /// Returns the daemon's recorded decisions about a request.
    ///
    /// # Errors
    ///
    /// Fails when the daemon has no record of the request or does not respond.
    pub fn explain(&self, request_id: &str) -> io::Result<Value> {
        http::get(&format!("http://{}/explain/{request_id}", self.ops.address()), "")
    }

    /// Sends a completion request.
    #[must_use]
    pub fn complete(&self, request: &caller::CompletionRequest) -> caller::Response {
        caller::complete(self.callers_address(), request)
    }

    /// Calls an app service.
    #[must_use]
    pub fn call_service(&self, method: &str, path: &str, key: Option<&str>) -> caller::Response {
        caller::call_service(self.callers_address(), method, path, key, "{}")
    }
}
