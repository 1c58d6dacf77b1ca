//! Holder side of a concurrency limit.

use super::Decision;

/// Time for which a holder keeps an unused permit. Under steady load this avoids a call to the home,
/// which may be in another region, for each request.
const IDLE_PERMIT_TTL_MS: u64 = 1_000;
/// Minimum ceiling per live daemon for holders to keep unused permits. Below it, an unused permit at
/// one daemon would cause refusals at another.
const MIN_CACHING_CEILING_PER_DAEMON: u32 = 8;

/// Permits of one row held by one daemon.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    /// Permits in use by requests.
    used: u32,
    /// Expiry times of unused permits, in the order of their release; expired permits return to the
    /// home.
    idle_until_ms: Vec<u64>,
    /// Permits in use that this daemon granted itself while the home was unreachable.
    self_granted: u32,
}

/// Result of starting a request with the unused permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// An unused permit was available and is now in use.
    Run,
    /// A permit must be requested from the home.
    RequestFromHome,
}

impl Holder {
    /// Takes an unused permit if there is one.
    pub fn begin(&mut self) -> Step {
        if self.idle_until_ms.pop().is_none() {
            return Step::RequestFromHome;
        }
        self.used += 1;
        Step::Run
    }

    /// Records the home's decision; returns whether the request may run.
    pub fn record_decision(&mut self, decision: Decision) -> bool {
        let granted = decision == Decision::Granted;
        self.used += u32::from(granted);
        granted
    }

    /// Admits a request without the home: each daemon grants itself an equal share of the ceiling, at
    /// least 1. Returns whether the request may run.
    pub fn admit_without_home(&mut self, ceiling: u32, live_daemons: u32) -> bool {
        let share = (ceiling / live_daemons.max(1)).max(1);
        if self.used >= share {
            return false;
        }
        self.used += 1;
        self.self_granted += 1;
        true
    }

    /// Ends a request; its permit is kept for the idle TTL if the ceiling is high enough.
    pub fn end(&mut self, ceiling: u32, live_daemons: u32, now_ms: u64) {
        self.used = self.used.saturating_sub(1);
        // Self-granted permits are unknown to the home and are not returned to it.
        if self.self_granted > 0 {
            self.self_granted -= 1;
            return;
        }
        let is_kept = ceiling >= MIN_CACHING_CEILING_PER_DAEMON * live_daemons;
        self.idle_until_ms.push(if is_kept { now_ms + IDLE_PERMIT_TTL_MS } else { now_ms });
    }

    /// Removes expired unused permits; returns how many to return to the home.
    pub fn expire_idle(&mut self, now_ms: u64) -> u32 {
        let before = self.idle_until_ms.len();
        self.idle_until_ms.retain(|until_ms| *until_ms > now_ms);
        u32::try_from(before - self.idle_until_ms.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of permits to register with a new home, including self-granted ones, which
    /// count as granted by the home from then on.
    pub fn register(&mut self) -> u32 {
        self.self_granted = 0;
        self.used + u32::try_from(self.idle_until_ms.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether no permit is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.used == 0 && self.idle_until_ms.is_empty()
    }
}
