//! Waiting for a condition with a bound.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// Bound of waits whose length is not part of a guarantee; far above what a busy machine needs.
pub const LONG: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until a condition holds and returns how long that took.
///
/// # Errors
///
/// Fails with the name of the condition when it does not hold within the bound.
pub fn until<Check>(what: &str, bound: Duration, mut holds: Check) -> io::Result<Duration>
where
    Check: FnMut() -> bool,
{
    let started = Instant::now();
    loop {
        if holds() {
            return Ok(started.elapsed());
        }
        if started.elapsed() > bound {
            let message = format!("not reached within {bound:?}: {what}");
            return Err(io::Error::new(io::ErrorKind::TimedOut, message));
        }
        thread::sleep(POLL_INTERVAL);
    }
}
