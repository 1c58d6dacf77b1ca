//! Which daemon is the broker of a service and region.

use rustc_hash::FxHashMap;

use crate::member;
use crate::name;

/// Unanswered requests in succession after which a daemon is passed over as a broker. A lost datagram
/// or a short stall must not move the broker.
const MAX_UNANSWERED: u32 = 3;
/// Time within which further unanswered requests do not count. A machine with a small share of a core is
/// halted for up to 100 ms, and all requests that wait meanwhile time out together.
const MIN_INTERVAL_MS: u64 = 100;
/// Time for which such a daemon is passed over; by its end, a daemon that was killed is known to be gone.
const PASSED_OVER_MS: u64 = 4_000;

/// Chooses the broker among the live daemons of a region.
#[derive(Clone, Debug, Default)]
pub struct BrokerDirectory {
    silent: FxHashMap<name::HostName, Silence>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Silence {
    unanswered: u32,
    counted_ms: u64,
    until_ms: u64,
}

impl BrokerDirectory {
    /// Returns the first of the live daemons by rendezvous hashing that is not passed over.
    pub fn choose<'a, Hosts>(
        &self,
        rank_key: &str,
        live: Hosts,
        now_ms: u64,
    ) -> Option<&'a name::HostName>
    where
        Hosts: IntoIterator<Item = &'a name::HostName>,
    {
        let answering = live
            .into_iter()
            .filter(|host| self.silent.get(*host).is_none_or(|silence| silence.until_ms <= now_ms));
        answering.max_by_key(|host| (member::rendezvous::score(rank_key, host.as_str()), *host))
    }

    /// Records a request that a broker did not answer in time; returns whether it is passed over from
    /// now on.
    pub fn record_unanswered(&mut self, host: &name::HostName, now_ms: u64) -> bool {
        let silence = self.silent.entry(host.clone()).or_default();
        if silence.unanswered > 0 && now_ms.saturating_sub(silence.counted_ms) < MIN_INTERVAL_MS {
            return false;
        }
        silence.counted_ms = now_ms;
        silence.unanswered += 1;
        let is_passed_over = silence.unanswered >= MAX_UNANSWERED && silence.until_ms <= now_ms;
        if is_passed_over {
            silence.until_ms = now_ms + PASSED_OVER_MS;
        }
        is_passed_over
    }

    /// Forgets the unanswered requests of hosts that are not to be kept.
    pub fn retain_hosts(&mut self, mut is_kept: impl FnMut(&name::HostName) -> bool) {
        self.silent.retain(|host, _| is_kept(host));
    }

    /// Records an answer of a broker.
    pub fn record_answer(&mut self, host: &name::HostName) {
        self.silent.remove(host);
    }
}
