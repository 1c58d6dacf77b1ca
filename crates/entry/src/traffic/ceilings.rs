//! Ceilings on concurrent requests over all daemons.

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

/// Longest wait for a permit. It covers the time that a home which has just taken over needs, and
/// the return of a permit whose request ended at another daemon.
const MAX_WAIT_MS: u64 = 1_500;
/// Interval of asking again while waiting.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of looking after permits that are held or handed out.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Permits for rows that have a ceiling; clones share them.
#[derive(Clone, Debug)]
pub struct Ceilings {
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

/// One request that counts towards a ceiling until the guard is dropped.
#[derive(Debug)]
pub struct CeilingGuard {
    row: table::RowKey,
    shared: Arc<Shared>,
}

/// A row runs as many requests as its ceiling allows.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("row {row} runs {ceiling} requests, which is its ceiling"))]
pub struct CeilingReached {
    /// The row.
    pub row: table::RowKey,
    /// Its ceiling.
    pub ceiling: u32,
}

impl Ceilings {
    /// Creates the permits of a daemon.
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

    /// Counts a request towards the ceiling of a row; `None` when the row has none.
    ///
    /// # Errors
    ///
    /// Fails when the ceiling is reached and stays so for a moment.
    pub async fn enter(
        &self,
        row: table::RowKey,
        limits: &table::Limits,
    ) -> Result<Option<CeilingGuard>, CeilingReached> {
        let Some(ceiling) = limits.ceiling else { return Ok(None) };
        let give_up_ms = self.shared.clock.now_ms() + MAX_WAIT_MS;
        while !self.shared.try_enter(&row, ceiling).await {
            if ceiling == 0 || self.shared.clock.now_ms() >= give_up_ms {
                return Err(CeilingReached { row, ceiling });
            }
            time::sleep(ASK_INTERVAL).await;
        }
        Ok(Some(CeilingGuard { row, shared: Arc::clone(&self.shared) }))
    }

    /// Decides on an order of another daemon as the home of a row.
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

    /// Returns unused permits and registers permits whose home moved, for as long as the process
    /// lives.
    pub async fn maintain(self) {
        loop {
            if self.shared.ledger.lock().is_idle() {
                self.shared.changed.notified().await;
            }
            let orders = self.shared.ledger().maintain(self.shared.clock.now_ms());
            for order in orders {
                let row = order.row.clone();
                if self.shared.ask(order).await.is_none() {
                    self.shared.ledger.lock().record_undelivered(&row);
                }
            }
            let _ = time::timeout(MAINTENANCE_INTERVAL, self.shared.changed.notified()).await;
        }
    }
}

impl Shared {
    /// Locks the ledger after it took in which daemons live.
    fn ledger(&self) -> parking_lot::MutexGuard<'_, quota::Ledger> {
        let snapshot = self.snapshot.load();
        let live: IndexSet<_> = snapshot.peers.keys().cloned().collect();
        let suspected = snapshot.peers.iter().filter(|(_, peer)| peer.suspected);
        let suspected = suspected.map(|(host, _)| host.clone()).collect();
        let mut ledger = self.ledger.lock();
        ledger.update_members(live, suspected, self.clock.now_ms());
        ledger
    }

    async fn try_enter(&self, row: &table::RowKey, ceiling: u32) -> bool {
        let start = self.ledger().start(row, ceiling, self.clock.now_ms());
        self.changed.notify_one();
        let order = match start {
            quota::Start::Run => return true,
            quota::Start::Denied | quota::Start::NotReady => return false,
            quota::Start::RequestFromHome(order) => order,
        };
        let decision = self.ask(order).await;
        let mut ledger = self.ledger();
        match decision {
            Some(decision) => ledger.record_decision(row, decision),
            None => ledger.admit_without_home(row),
        }
    }

    /// Asks a home; `None` when it cannot be reached.
    async fn ask(&self, order: quota::PermitMessage) -> Option<quota::Decision> {
        let address = self.snapshot.load().peers.get(&order.home)?.address;
        let action = Some(order.action.into());
        let body =
            peer::Body::PermitRequest(permit::PermitRequest { row: order.row.to_string(), action });
        match self.peers.ask(address, body).await {
            Ok(peer::Body::PermitResponse(response)) => quota::Decision::try_from(response).ok(),
            _ => None,
        }
    }
}

impl Drop for CeilingGuard {
    fn drop(&mut self) {
        self.shared.ledger.lock().end(&self.row, self.shared.clock.now_ms());
        self.shared.changed.notify_one();
    }
}
