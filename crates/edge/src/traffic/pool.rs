//! Idle connections to workers.

use jasminetack_domain::name;
use parking_lot::Mutex;
use rustc_hash::FxHashMap;

use super::connection::Connection;

/// Idle connections per worker.
const MAX_IDLE_CONNECTIONS: usize = 24;
/// Idle time of connections to workers that state no timeout, which is then shorter than a second.
const DEFAULT_IDLE_MS: u64 = 250;
/// Margin before the worker's idle timeout, so that a request does not meet a closing connection.
const IDLE_MARGIN_MS: u64 = 500;

/// Pool of idle connections by worker; the most recently used one is taken first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<FxHashMap<name::WorkerName, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until_ms: u64,
}

impl Pool {
    /// Takes an idle connection to a worker, if there is one.
    pub fn take(&self, worker: &name::WorkerName, now_ms: u64) -> Option<Connection> {
        let mut pool = self.idle.lock();
        let idle = pool.get_mut(worker)?;
        idle.retain(|idle| idle.until_ms > now_ms && !idle.connection.sender.is_closed());
        let position = idle.iter().rposition(|idle| idle.connection.sender.is_ready())?;
        Some(idle.remove(position).connection)
    }

    /// Returns a connection whose last response was complete.
    pub fn put(&self, worker: &name::WorkerName, mut connection: Connection, now_ms: u64) {
        if connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        let stated_ms = connection.keep_alive_ms;
        let idle_ms = stated_ms.map(|timeout_ms| timeout_ms.saturating_sub(IDLE_MARGIN_MS));
        let until_ms = now_ms + idle_ms.unwrap_or(DEFAULT_IDLE_MS);
        let mut pool = self.idle.lock();
        let idle = pool.entry(worker.clone()).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(Idle { connection, until_ms });
        }
    }

    /// Closes the idle connections to a worker that were opened before `time_ms`; after one of them
    /// failed, the others are likely to be broken as well.
    pub fn close_before(&self, worker: &name::WorkerName, time_ms: u64) {
        let mut pool = self.idle.lock();
        if let Some(idle) = pool.get_mut(worker) {
            idle.retain(|idle| idle.connection.opened_ms >= time_ms);
        }
    }

    /// Closes expired connections and removes closed ones.
    pub fn close_expired(&self, now_ms: u64) {
        let mut pool = self.idle.lock();
        pool.retain(|_, idle| {
            idle.retain(|idle| idle.until_ms > now_ms && !idle.connection.sender.is_closed());
            !idle.is_empty()
        });
    }
}
