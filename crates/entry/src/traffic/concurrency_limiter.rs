//! Limits on concurrent requests across all daemons.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use indexmap::IndexSet;
use jasminetack_domain::name;
use jasminetack_domain::quota;
use jasminetack_domain::table;
use jasminetack_wire::peer;
use jasminetack_wire::permit;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time;

use super::peer_client::PeerClient;
use crate::clock;
use crate::snapshot;

/// Maximum wait for a permit. It covers the time that a new home of a row needs before it grants
/// permits, and the return of a permit whose request ended at another daemon.
const MAX_WAIT_MS: u64 = 1_500;
/// Interval between attempts to acquire a permit.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which unused permits are returned and permits are registered with a new home.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Limits the concurrent requests of rows that have a ceiling; clones share the permits.
///
/// One daemon is the home of a row and grants its permits; the others request them there.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    snapshot: Arc<ArcSwap<snapshot::Snapshot>>,
    clock: clock::Clock,
    peers: PeerClient,
    ledger: Mutex<quota::Ledger>,
    changed: Notify,
}

/// Counts one request towards the ceiling of a row until it is dropped.
#[derive(Debug)]
pub struct ConcurrencyPermit {
    row: table::RowKey,
    shared: Arc<Shared>,
}

/// A row has as many concurrent requests as its ceiling allows.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("row {row} has reached its ceiling of {ceiling} concurrent requests"))]
pub struct CeilingReached {
    /// Row whose limit applies.
    pub row: table::RowKey,
    /// Maximum number of concurrent requests of the row.
    pub ceiling: u32,
}

impl ConcurrencyLimiter {
    /// Creates the limiter of a daemon that holds no permits yet.
    pub fn new(
        host: name::HostName,
        snapshot: Arc<ArcSwap<snapshot::Snapshot>>,
        clock: clock::Clock,
        peers: PeerClient,
    ) -> Self {
        let ledger = Mutex::new(quota::Ledger::new(host));
        let changed = Notify::new();
        Self { shared: Arc::new(Shared { snapshot, clock, peers, ledger, changed }) }
    }

    /// Acquires a permit for a request of a row; `None` when the row has no ceiling.
    ///
    /// # Errors
    ///
    /// Fails when no permit becomes available within `MAX_WAIT_MS`.
    pub async fn acquire(
        &self,
        row: table::RowKey,
        limits: &table::Limits,
    ) -> Result<Option<ConcurrencyPermit>, CeilingReached> {
        let Some(ceiling) = limits.ceiling else { return Ok(None) };
        let wait_until_ms = self.shared.clock.now_ms() + MAX_WAIT_MS;
        while !self.shared.try_acquire(&row, ceiling).await {
            if ceiling == 0 || self.shared.clock.now_ms() >= wait_until_ms {
                return Err(CeilingReached { row, ceiling });
            }
            time::sleep(RETRY_INTERVAL).await;
        }
        Ok(Some(ConcurrencyPermit { row, shared: Arc::clone(&self.shared) }))
    }

    /// Handles a permit request of another daemon as the home of a row.
    pub fn decide(
        &self,
        from: &name::HostName,
        request: &permit::PermitRequest,
    ) -> quota::Decision {
        let parsed = table::RowKey::parse(&request.row).zip(request.action);
        let Some((row, action)) = parsed else { return quota::Decision::Denied };
        let ceiling = {
            let snapshot = self.shared.snapshot.load();
            snapshot.table.row(&row).and_then(|(_, row)| row.limits().ceiling)
        };
        let now_ms = self.shared.clock.now_ms();
        self.shared.changed.notify_one();
        self.shared.ledger().decide(from, &row, action.into(), ceiling, now_ms)
    }

    /// Returns unused permits and registers permits with a changed home until the process ends.
    pub async fn maintain(self) {
        loop {
            if self.shared.ledger.lock().is_idle() {
                self.shared.changed.notified().await;
            }
            let messages = self.shared.ledger().maintain(self.shared.clock.now_ms());
            for message in messages {
                let row = message.row.clone();
                if self.shared.send_to_home(message).await.is_none() {
                    self.shared.ledger.lock().record_undelivered(&row);
                }
            }
            let _ = time::timeout(MAINTENANCE_INTERVAL, self.shared.changed.notified()).await;
        }
    }
}

impl Shared {
    /// Locks the ledger after updating it with the live and suspected daemons.
    fn ledger(&self) -> parking_lot::MutexGuard<'_, quota::Ledger> {
        let snapshot = self.snapshot.load();
        let live: IndexSet<_> = snapshot.peers.keys().cloned().collect();
        let suspected = snapshot.peers.iter().filter(|(_, peer)| peer.suspected);
        let suspected = suspected.map(|(host, _)| host.clone()).collect();
        let mut ledger = self.ledger.lock();
        ledger.update_members(live, suspected, self.clock.now_ms());
        ledger
    }

    async fn try_acquire(&self, row: &table::RowKey, ceiling: u32) -> bool {
        let start = self.ledger().start(row, ceiling, self.clock.now_ms());
        self.changed.notify_one();
        let message = match start {
            quota::Start::Run => return true,
            quota::Start::Denied | quota::Start::NotReady => return false,
            quota::Start::RequestFromHome(message) => message,
        };
        let decision = self.send_to_home(message).await;
        let mut ledger = self.ledger();
        match decision {
            Some(decision) => ledger.record_decision(row, decision),
            None => ledger.admit_without_home(row),
        }
    }

    /// Sends a permit message to the home of its row; `None` when there is no valid response.
    async fn send_to_home(&self, message: quota::PermitMessage) -> Option<quota::Decision> {
        let address = self.snapshot.load().peers.get(&message.home)?.address;
        let action = Some(message.action.into());
        let body = peer::Body::PermitRequest(permit::PermitRequest {
            row: message.row.to_string(),
            action,
        });
        match self.peers.call(address, body).await {
            Ok(peer::Body::PermitResponse(response)) => quota::Decision::try_from(response).ok(),
            _ => None,
        }
    }
}

impl Drop for ConcurrencyPermit {
    fn drop(&mut self) {
        self.shared.ledger.lock().end(&self.row, self.shared.clock.now_ms());
        self.shared.changed.notify_one();
    }
}
