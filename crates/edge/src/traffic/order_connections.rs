//! Connections that carry orders.

use indexmap::IndexMap;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use rustc_hash::FxBuildHasher;

use super::connection::Connection;

/// Time for which the connection of an order is kept for its next repeat.
const KEEP_MS: u64 = 1_000;

/// Connections of orders that will be repeated.
///
/// A response to an order names neither the order nor the worker's state, and a worker may send a second
/// response to an earlier call on the same connection. So a connection carries repeats of one order only: a
/// late response to an earlier repeat means the same as one to the last.
#[derive(Debug, Default)]
pub(super) struct OrderConnections {
    kept: IndexMap<(name::WorkerName, placement::Order), KeptConnection, FxBuildHasher>,
}

#[derive(Debug)]
struct KeptConnection {
    connection: Connection,
    until_ms: u64,
}

impl OrderConnections {
    /// Takes the connection that carried the same order before.
    pub(super) fn take(
        &mut self,
        worker: &name::WorkerName,
        order: &placement::Order,
    ) -> Option<Connection> {
        let kept = self.kept.swap_remove(&(worker.clone(), order.clone()))?;
        kept.connection.sender.is_ready().then_some(kept.connection)
    }

    /// Keeps the connection of an order that the worker is executing; closes those that were not used
    /// again.
    pub(super) fn keep(
        &mut self,
        worker: &name::WorkerName,
        order: &placement::Order,
        connection: Connection,
        now_ms: u64,
    ) {
        self.kept.retain(|_, kept| now_ms < kept.until_ms);
        let kept = KeptConnection { connection, until_ms: now_ms + KEEP_MS };
        self.kept.insert((worker.clone(), order.clone()), kept);
    }
}
