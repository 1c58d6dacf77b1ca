//! Polls a condition until it holds or a timeout expires.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// Timeout of waits whose duration is not under test; long enough for a heavily loaded machine.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls `condition` until it returns true, and returns the elapsed time.
///
/// # Errors
///
/// Returns `TimedOut`, with `description` in the message, if the condition does not hold within
/// `timeout`.
pub fn until<Condition>(
    description: &str,
    timeout: Duration,
    mut condition: Condition,
) -> io::Result<Duration>
where
    Condition: FnMut() -> bool,
{
    let started = Instant::now();
    loop {
        if condition() {
            return Ok(started.elapsed());
        }
        if started.elapsed() > timeout {
            let message = format!("condition not met within {timeout:?}: {description}");
            return Err(io::Error::new(io::ErrorKind::TimedOut, message));
        }
        thread::sleep(POLL_INTERVAL);
    }
}
