//! Requests whose answers end when their key is removed from the configuration.

use std::sync::Arc;

use jasminetack_domain::team;
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use tokio::sync::oneshot;

use super::revocation_watch::RevocationWatch;

/// Requests in progress by number, with their keys.
#[derive(Debug, Default)]
pub struct RunningRequests {
    entries: Mutex<Entries>,
}

#[derive(Debug, Default)]
struct Entries {
    next_id: u64,
    running: FxHashMap<u64, Running>,
}

#[derive(Debug)]
struct Running {
    key: team::KeyDigest,
    revoked: oneshot::Sender<()>,
}

impl RunningRequests {
    /// Adds a request until its watch is dropped.
    pub fn watch(self: &Arc<Self>, key: team::KeyDigest) -> RevocationWatch {
        let (revoked, receiver) = oneshot::channel();
        let mut entries = self.entries.lock();
        let id = entries.next_id;
        entries.next_id += 1;
        entries.running.insert(id, Running { key, revoked });
        RevocationWatch::new(Arc::clone(self), id, receiver)
    }

    /// Notifies the requests whose keys belong to no team; returns their number.
    pub fn revoke(&self, teams: &team::TeamDirectory) -> usize {
        let mut entries = self.entries.lock();
        let is_revoked =
            |_: &u64, running: &mut Running| teams.authenticate(&running.key).is_none();
        let mut count = 0;
        for (_, running) in entries.running.extract_if(is_revoked) {
            // Fails if the request has just ended.
            count += usize::from(running.revoked.send(()).is_ok());
        }
        count
    }

    /// Removes a request that has ended.
    pub(super) fn remove(&self, id: u64) {
        self.entries.lock().running.remove(&id);
    }
}
