//! Frees connections that tiny_http leaves waiting.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::clock;

const BUSY_INTERVAL: Duration = Duration::from_millis(10);
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a request during which more connections may arrive at once.
const BUSY_PERIOD_MS: u64 = 500;

/// Opens and closes a connection to the server now and then.
///
/// When connections arrive at once, tiny_http 0.12 can queue one of them for a thread that has
/// already taken another; it then waits until any thread ends its connection, which takes forever
/// with connections that are kept alive. The thread of a connection that is closed at once serves
/// the one that waits.
#[derive(Debug)]
pub struct Unblocker {
    address: SocketAddr,
    clock: clock::Clock,
    last_request_ms: AtomicU64,
}

impl Unblocker {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn start(address: SocketAddr) -> io::Result<Arc<Self>> {
        let clock = clock::Clock::start();
        let unblocker = Arc::new(Self { address, clock, last_request_ms: AtomicU64::new(0) });
        let running = Arc::clone(&unblocker);
        thread::Builder::new().name("unblock".to_owned()).spawn(move || {
            loop {
                thread::sleep(running.interval());
                // The process is short of sockets when this fails; the next attempt may succeed.
                let _ = running.connect_and_close();
            }
        })?;
        Ok(unblocker)
    }

    /// Records that a request arrived.
    pub fn record_request(&self) {
        self.last_request_ms.store(self.clock.now_ms(), Ordering::Relaxed);
    }

    fn interval(&self) -> Duration {
        let idle_ms = self.clock.now_ms() - self.last_request_ms.load(Ordering::Relaxed);
        if idle_ms < BUSY_PERIOD_MS { BUSY_INTERVAL } else { IDLE_INTERVAL }
    }

    fn connect_and_close(&self) -> io::Result<()> {
        let stream = TcpStream::connect(self.address)?;
        // Closing with a reset leaves no socket in TIME_WAIT, of which there would be thousands.
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))
    }
}
