//! Forwarding in one direction of a connection.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use super::faults::{ActiveFaults, sleep_until};

const READ_BYTES: usize = 16 * 1024;
/// Bound on the queue between reader and writer; a full queue applies backpressure to the sender.
const MAX_QUEUED_CHUNKS: usize = 256;

/// Copies bytes from one socket to another until either is closed.
pub struct Forwarder {
    pub from: TcpStream,
    pub to: TcpStream,
    pub faults: Arc<ActiveFaults>,
    pub forwarded_bytes: Arc<AtomicU64>,
}

impl Forwarder {
    /// Reads on this thread and writes on a second one, so that a delay does not limit throughput.
    pub fn run(mut self) {
        let (chunks, arrived) = mpsc::sync_channel::<(Instant, Vec<u8>)>(MAX_QUEUED_CHUNKS);
        let (mut to, faults, forwarded_bytes) =
            (self.to, Arc::clone(&self.faults), self.forwarded_bytes);
        let writer = thread::spawn(move || {
            for (due, chunk) in arrived {
                sleep_until(due);
                if !faults.wait_until_open() || to.write_all(&chunk).is_err() {
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
                forwarded_bytes.fetch_add(chunk.len() as u64, Ordering::Relaxed);
            }
            let _ = to.shutdown(Shutdown::Write);
        });
        let mut buffer = vec![0; READ_BYTES];
        while let Ok(length) = self.from.read(&mut buffer) {
            if length == 0 {
                break;
            }
            let due = Instant::now() + Duration::from_millis(self.faults.get().delay_ms);
            if chunks.send((due, buffer[..length].to_vec())).is_err() {
                let _ = self.from.shutdown(Shutdown::Both);
                break;
            }
        }
        drop(chunks);
        let _ = writer.join();
    }
}
