//! Workers that want no requests from this daemon for a time.

use rustc_hash::FxHashMap;

use crate::name;
use crate::upstream;

/// Workers that rejected a request of this daemon and stated for how long they want no more.
#[derive(Clone, Debug, Default)]
pub struct BackOffs {
    workers: FxHashMap<name::WorkerName, BackOff>,
}

#[derive(Clone, Copy, Debug)]
struct BackOff {
    started_unix_ms: u64,
    until_ms: u64,
}

impl BackOffs {
    /// Records that a worker wants no requests for `retry_after_ms`; a longer time stays in force.
    pub fn record(&mut self, upstream: &upstream::Upstream, retry_after_ms: u64, now_ms: u64) {
        self.workers.retain(|_, back_off| back_off.until_ms > now_ms);
        let until_ms = now_ms
            .saturating_add(retry_after_ms)
            .max(self.wait_ms(upstream, now_ms).saturating_add(now_ms));
        let back_off = BackOff { started_unix_ms: upstream.started_unix_ms, until_ms };
        self.workers.insert(upstream.name.clone(), back_off);
    }

    /// Returns the time until a worker wants requests again; 0 if it does now.
    #[must_use]
    pub fn wait_ms(&self, upstream: &upstream::Upstream, now_ms: u64) -> u64 {
        let back_off = self.workers.get(&upstream.name);
        let current =
            back_off.filter(|back_off| back_off.started_unix_ms >= upstream.started_unix_ms);
        current.map_or(0, |back_off| back_off.until_ms.saturating_sub(now_ms))
    }
}
