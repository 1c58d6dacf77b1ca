//! Child processes of the programs under test.

use std::env;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;

use crate::wait;

/// A child process; it is killed when the value is dropped.
#[derive(Debug)]
pub struct Program {
    name: String,
    child: Child,
    log: PathBuf,
}

impl Program {
    /// Starts a program from the target directory and appends its standard error to
    /// `LOGS/NAME.log`.
    ///
    /// # Errors
    ///
    /// Fails when the program was not built or cannot be started.
    pub fn start(binary: &str, name: &str, arguments: &[String], logs: &Path) -> io::Result<Self> {
        let path = target_directory()?.join(binary);
        let log = logs.join(format!("{name}.log"));
        let errors = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .map_err(|error| {
                let message = format!("cannot start {}: {error}; build it first", path.display());
                io::Error::new(error.kind(), message)
            })?;
        Ok(Self { name: name.to_owned(), child, log })
    }

    /// Reads the listen address that a stand-in prints to standard output.
    ///
    /// # Errors
    ///
    /// Fails when the first line of output is not a listen address.
    pub fn read_listen_address(&mut self) -> io::Result<SocketAddr> {
        let mut line = String::new();
        if let Some(output) = self.child.stdout.take() {
            BufReader::new(output).read_line(&mut line)?;
        }
        let address = line.trim().strip_prefix("listening ").and_then(|text| text.parse().ok());
        address.ok_or_else(|| {
            let log = fs::read_to_string(&self.log).unwrap_or_default();
            io::Error::other(format!("{} did not print its listen address; log: {log}", self.name))
        })
    }

    /// Kills the process with `SIGKILL` and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be signalled.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Pauses the process with `SIGSTOP`.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be signalled.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes a paused process with `SIGCONT`.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be signalled.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Requests a graceful shutdown with `SIGTERM`.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be signalled.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// Fails when it does not exit within `timeout`.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> io::Result<ExitStatus> {
        let mut status = None;
        let description = format!("exit of {}", self.name);
        wait::until(&description, timeout, || {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        })?;
        status.ok_or_else(|| io::Error::other("the exit status is missing"))
    }

    /// Returns the contents of the log file.
    #[must_use]
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = i32::try_from(self.child.id()).map_err(io::Error::other)?;
        Ok(signal::kill(Pid::from_raw(id), signal)?)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // Both fail only if the process has already exited and was waited for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the directory of the built programs, derived from the path of the test executable.
///
/// # Errors
///
/// Fails when the test executable is not in a target directory.
pub fn target_directory() -> io::Result<PathBuf> {
    let test = env::current_exe()?;
    let directory = test.ancestors().find(|path| path.join("deps").is_dir());
    let message = "the test executable is not in a target directory";
    directory.map(Path::to_owned).ok_or_else(|| io::Error::other(message))
}
