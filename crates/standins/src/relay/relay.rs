//! TCP relay.

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

/// Forwards connections to a target address and applies the injected faults.
#[derive(Clone, Debug)]
pub struct Relay {
    link: Arc<Link>,
}

#[derive(Debug)]
struct Link {
    target: SocketAddr,
    faults: Arc<ActiveFaults>,
    /// Client and upstream socket of each connection, by the local address of the upstream socket.
    connections: Mutex<IndexMap<SocketAddr, [TcpStream; 2]>>,
    accepted: AtomicU64,
    to_target_bytes: Arc<AtomicU64>,
    from_target_bytes: Arc<AtomicU64>,
}

impl Relay {
    /// Starts accepting connections in the background.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be spawned.
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
                // If the thread cannot be spawned, the connection is dropped.
                let _ = thread::Builder::new().spawn(move || {
                    let _ = link.forward(client);
                });
            }
        })?;
        Ok(Self { link })
    }

    /// Returns the active faults.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.link.faults.get()
    }

    /// Replaces the active faults; `cut` closes all connections.
    pub fn set_faults(&self, faults: Faults) {
        self.link.faults.set(faults);
        if faults.cut {
            for (_, sockets) in self.link.connections.lock().drain(..) {
                close(&sockets);
            }
        }
    }

    /// Closes the connection whose upstream socket has this local address, which is the peer address
    /// that the target sees.
    pub fn close(&self, upstream_local_address: SocketAddr) {
        if let Some(sockets) = self.link.connections.lock().shift_remove(&upstream_local_address) {
            close(&sockets);
        }
    }

    /// Returns the counts of connections and forwarded bytes.
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
            // The link may have been cut after the check above and before the insertion.
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
