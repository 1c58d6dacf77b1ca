//! Tests of the operations port of a daemon process.

use std::io::{BufRead, BufReader, Read};
use std::process::{Child, ChildStderr, Command, Stdio};

struct Daemon {
    process: Child,
    address: String,
    /// Standard error of the daemon, kept open because failing log writes would end the daemon.
    _stderr: BufReader<ChildStderr>,
}

impl Daemon {
    /// Starts a daemon with a platform address that refuses connections.
    fn start() -> Self {
        let mut process = Command::new(env!("CARGO_BIN_EXE_jasminetack-entry"))
            .args(["--host", "e1", "--region", "north", "--failure-domain", "a"])
            .args(["--callers-address", "127.0.0.1:0", "--peers-address", "127.0.0.1:0"])
            .args(["--ops-address", "127.0.0.1:0", "--platform-url", "http://127.0.0.1:1"])
            .args(["--platform-key", "k", "--peer-secret", "s"])
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let stderr = process.stderr.take().expect("standard error is piped");
        let mut log = BufReader::new(stderr);
        let mut lines = log.by_ref().lines().map_while(Result::ok);
        let line = lines.find(|line| line.contains("port=operations")).expect("a port in the log");
        let address = line.split("address=").nth(1).expect("an address").trim().to_owned();
        Self { process, address, _stderr: log }
    }

    fn get(&self, path: &str) -> (u16, String) {
        let config = ureq::Agent::config_builder().http_status_as_error(false).build();
        let agent = ureq::Agent::new_with_config(config);
        let mut response =
            agent.get(format!("http://{}{path}", self.address)).call().expect("an answer");
        (response.status().as_u16(), response.body_mut().read_to_string().expect("a text"))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Guards against the load balancer sending requests to a daemon that has no table yet.
#[test]
fn daemon_without_table_is_alive_but_not_ready() {
    let daemon = Daemon::start();
    assert_eq!(daemon.get("/healthz").0, 200);
    let (status, reason) = daemon.get("/readyz");
    assert_eq!(status, 503);
    assert!(reason.contains("table"), "{reason}");
}

/// Guards against missing metrics or units, and against a success status for an unknown request.
#[test]
fn metrics_and_explanations_are_served() {
    let daemon = Daemon::start();
    let (status, text) = daemon.get("/metrics");
    assert_eq!(status, 200);
    for name in [
        "jasminetack_load_stall_seconds_bucket",
        "jasminetack_table_age_seconds",
        "jasminetack_ready 0",
    ] {
        assert!(text.contains(name), "{name} is missing in {text}");
    }
    assert!(text.ends_with("# EOF\n"));
    let (status, text) = daemon.get("/explain/e1-7");
    assert_eq!(status, 404);
    assert!(text.contains(r#""decisions":[]"#), "{text}");
}
