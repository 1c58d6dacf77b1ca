//! A relay from one address to another.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde_json::json;

use super::faults::{ActiveFaults, Faults};
use super::forwarder::Forwarder;

/// Passes connections to a target and applies the faults of the link.
#[derive(Clone, Debug)]
pub struct Relay {
    link: Arc<Link>,
}

#[derive(Debug)]
struct Link {
    target: SocketAddr,
    faults: Arc<ActiveFaults>,
    /// Both sockets of each connection, by the address that the target sees.
    connections: Mutex<IndexMap<SocketAddr, [TcpStream; 2]>>,
    accepted: AtomicU64,
    to_target_bytes: Arc<AtomicU64>,
    from_target_bytes: Arc<AtomicU64>,
}

impl Relay {
    /// Starts to accept connections in the background.
    ///
    /// # Errors
    ///
    /// Fails when a thread cannot be started.
    pub fn start(listener: TcpListener, target: SocketAddr) -> io::Result<Self> {
        let link = Arc::new(Link {
            target,
            faults: Arc::default(),
            connections: Mutex::default(),
            accepted: AtomicU64::new(0),
            to_target_bytes: Arc::default(),
            from_target_bytes: Arc::default(),
        });
        let accept_link = Arc::clone(&link);
        thread::Builder::new().name("relay".to_owned()).spawn(move || {
            for client in listener.incoming() {
                let Ok(client) = client else { continue };
                accept_link.accepted.fetch_add(1, Ordering::Relaxed);
                let link = Arc::clone(&accept_link);
                // A connection that gets no thread is closed.
                let _ = thread::Builder::new().spawn(move || {
                    let _ = link.forward(client);
                });
            }
        })?;
        Ok(Self { link })
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.link.faults.get()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.link.faults.set(faults);
        if faults.cut {
            for (_, sockets) in self.link.connections.lock().drain(..) {
                close(&sockets);
            }
        }
    }

    /// Closes one connection, named by the address that the target sees.
    pub fn close(&self, upstream_local_address: SocketAddr) {
        if let Some(sockets) = self.link.connections.lock().shift_remove(&upstream_local_address) {
            close(&sockets);
        }
    }

    /// Returns what passed.
    #[must_use]
    pub fn audit(&self) -> serde_json::Value {
        json!({
            "accepted": self.link.accepted.load(Ordering::Relaxed),
            "open": self.link.connections.lock().len(),
            "to_target_bytes": self.link.to_target_bytes.load(Ordering::Relaxed),
            "from_target_bytes": self.link.from_target_bytes.load(Ordering::Relaxed),
        })
    }
}

impl Link {
    fn forward(&self, client: TcpStream) -> io::Result<()> {
        if !self.faults.wait_until_open() {
            return Ok(());
        }
        let upstream = TcpStream::connect(self.target)?;
        client.set_nodelay(true)?;
        upstream.set_nodelay(true)?;
        let upstream_local_address = upstream.local_addr()?;
        let sockets = [client.try_clone()?, upstream.try_clone()?];
        self.connections.lock().insert(upstream_local_address, sockets);
        if self.faults.get().cut {
            // The cut may have come between the check above and the insertion.
            if let Some(sockets) = self.connections.lock().shift_remove(&upstream_local_address) {
                close(&sockets);
            }
        }
        let to_target = Forwarder {
            from: client.try_clone()?,
            to: upstream.try_clone()?,
            faults: Arc::clone(&self.faults),
            forwarded_bytes: Arc::clone(&self.to_target_bytes),
        };
        let from_target = Forwarder {
            from: upstream,
            to: client,
            faults: Arc::clone(&self.faults),
            forwarded_bytes: Arc::clone(&self.from_target_bytes),
        };
        let forward = thread::spawn(move || to_target.run());
        from_target.run();
        let _ = forward.join();
        self.connections.lock().shift_remove(&upstream_local_address);
        Ok(())
    }
}

fn close(sockets: &[TcpStream; 2]) {
    for socket in sockets {
        let _ = socket.shutdown(Shutdown::Both);
    }
}
