//! Which workers a broker may assign to a request.

use super::Chooser;
use crate::name;
use crate::upstream;

/// Time without an answer after which a worker gets no assigned call.
const MAX_STALL_MS: u64 = 1_500;

impl Chooser {
    /// Returns whether a worker may be assigned by a broker, which knows the slots of workers but not what
    /// this daemon knows of them.
    ///
    /// Workers with a limit are left out: their requests need a permit of this daemon.
    #[must_use]
    pub fn may_be_assigned(
        &self,
        upstream: &upstream::Upstream,
        excluded: &[name::WorkerName],
        now_ms: u64,
    ) -> bool {
        let worker = &upstream.name;
        !upstream.is_draining
            && !excluded.contains(worker)
            && self.back_offs.wait_ms(upstream, now_ms) == 0
            && !self.limits.is_limited(upstream)
            && !self.health.is_failing(worker, now_ms)
            && self.loads.stall_ms(worker, now_ms) <= MAX_STALL_MS
    }
}
