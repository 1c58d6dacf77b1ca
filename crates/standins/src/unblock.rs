//! Workaround for connections that `tiny_http` leaves unserved.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::clock;

const BUSY_INTERVAL: Duration = Duration::from_millis(10);
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a request for which the short interval is used, as bursts of connections are likely.
const BUSY_PERIOD_MS: u64 = 500;

/// Periodically opens and closes a connection to the server.
///
/// When connections arrive simultaneously, `tiny_http` 0.12 can queue one for a worker thread that
/// has already taken another. That connection is then served only after some thread finishes its
/// own connection, which never happens while all of them are kept alive. A connection that is
/// closed immediately frees its thread for the queued one.
#[derive(Debug)]
pub struct Unblocker {
    address: SocketAddr,
    clock: clock::Clock,
    last_request_ms: AtomicU64,
}

impl Unblocker {
    /// Starts the background thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be spawned.
    pub fn start(address: SocketAddr) -> io::Result<Arc<Self>> {
        let clock = clock::Clock::start();
        let unblocker = Arc::new(Self { address, clock, last_request_ms: AtomicU64::new(0) });
        let running = Arc::clone(&unblocker);
        thread::Builder::new().name("unblock".to_owned()).spawn(move || {
            loop {
                thread::sleep(running.interval());
                // Fails if the process runs out of sockets; the next iteration retries.
                let _ = running.connect_and_close();
            }
        })?;
        Ok(unblocker)
    }

    /// Records the arrival of a request.
    pub fn record_request(&self) {
        self.last_request_ms.store(self.clock.now_ms(), Ordering::Relaxed);
    }

    fn interval(&self) -> Duration {
        let idle_ms = self.clock.now_ms() - self.last_request_ms.load(Ordering::Relaxed);
        if idle_ms < BUSY_PERIOD_MS { BUSY_INTERVAL } else { IDLE_INTERVAL }
    }

    fn connect_and_close(&self) -> io::Result<()> {
        let stream = TcpStream::connect(self.address)?;
        // A reset avoids TIME_WAIT; an orderly close would accumulate thousands of such sockets.
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))
    }
}
