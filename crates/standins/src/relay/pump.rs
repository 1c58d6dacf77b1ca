//! One direction of a relayed connection.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use super::faults::{Switch, sleep_until};

const READ_BYTES: usize = 16 * 1024;
/// Pieces that may be under way; more leave the sender's bytes in the socket.
const PIECES_UNDER_WAY: usize = 256;

/// Copies bytes from one socket to another until either ends.
pub struct Pump {
    pub from: TcpStream,
    pub to: TcpStream,
    pub switch: Arc<Switch>,
    pub passed_bytes: Arc<AtomicU64>,
}

impl Pump {
    /// Copies on this thread and a second one, so that a delay does not limit the throughput.
    pub fn run(mut self) {
        let (pieces, arrived) = mpsc::sync_channel::<(Instant, Vec<u8>)>(PIECES_UNDER_WAY);
        let (mut to, switch, passed_bytes) = (self.to, Arc::clone(&self.switch), self.passed_bytes);
        let writer = thread::spawn(move || {
            for (due, piece) in arrived {
                sleep_until(due);
                if !switch.wait_passable() || to.write_all(&piece).is_err() {
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
                passed_bytes.fetch_add(piece.len() as u64, Ordering::Relaxed);
            }
            let _ = to.shutdown(Shutdown::Write);
        });
        let mut buffer = vec![0; READ_BYTES];
        while let Ok(length) = self.from.read(&mut buffer) {
            if length == 0 {
                break;
            }
            let due = Instant::now() + Duration::from_millis(self.switch.get().delay_ms);
            if pieces.send((due, buffer[..length].to_vec())).is_err() {
                let _ = self.from.shutdown(Shutdown::Both);
                break;
            }
        }
        drop(pieces);
        let _ = writer.join();
    }
}
