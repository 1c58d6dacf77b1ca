//! Holder side of a ceiling.

use super::Decision;

/// Time for which a permit is kept after its request ended, so that steady work of a row does not
/// ask its home, which may be in another region, for each request.
const IDLE_MS: u64 = 1_000;
/// Permits a row must have for each daemon before unused ones are kept; with fewer, an unused permit
/// at one daemon would refuse work at another.
const MIN_KEPT_PER_DAEMON: u32 = 8;

/// Permits of one row at one daemon.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    /// Permits that requests use.
    used: u32,
    /// Times at which unused permits go back to the home, earliest first.
    idle_until_ms: Vec<u64>,
    /// Permits that this daemon granted itself while the home was out of reach.
    self_granted: u32,
}

/// What a request needs before it may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A permit is at hand and is now used.
    Run,
    /// The home must be asked for a permit.
    AskHome,
}

impl Holder {
    /// Takes an unused permit, or tells that the home must be asked.
    pub fn begin(&mut self) -> Step {
        if self.idle_until_ms.pop().is_none() {
            return Step::AskHome;
        }
        self.used += 1;
        Step::Run
    }

    /// Records the home's answer; returns whether the request may run.
    pub fn answered(&mut self, decision: Decision) -> bool {
        let granted = decision == Decision::Granted;
        self.used += u32::from(granted);
        granted
    }

    /// Decides without the home: each daemon grants itself its part of the ceiling, at least 1.
    pub fn home_unreachable(&mut self, ceiling: u32, live_daemons: u32) -> bool {
        let part = (ceiling / live_daemons.max(1)).max(1);
        if self.used >= part {
            return false;
        }
        self.used += 1;
        self.self_granted += 1;
        true
    }

    /// Ends a request; its permit stays at hand for a moment when the ceiling is high enough.
    pub fn end(&mut self, ceiling: u32, live_daemons: u32, now_ms: u64) {
        self.used = self.used.saturating_sub(1);
        // The home does not know of a permit that this daemon granted itself.
        if self.self_granted > 0 {
            self.self_granted -= 1;
            return;
        }
        let is_kept = ceiling >= MIN_KEPT_PER_DAEMON * live_daemons;
        self.idle_until_ms.push(if is_kept { now_ms + IDLE_MS } else { now_ms });
    }

    /// Removes unused permits whose time is over and returns how many go back to the home.
    pub fn expire(&mut self, now_ms: u64) -> u32 {
        let before = self.idle_until_ms.len();
        self.idle_until_ms.retain(|until_ms| *until_ms > now_ms);
        u32::try_from(before - self.idle_until_ms.len()).unwrap_or(u32::MAX)
    }

    /// Returns the permits that a new home must know of; all in use become known to it.
    pub fn register(&mut self) -> u32 {
        self.self_granted = 0;
        self.used + u32::try_from(self.idle_until_ms.len()).unwrap_or(u32::MAX)
    }

    /// Tells whether no permit is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.used == 0 && self.idle_until_ms.is_empty()
    }
}
