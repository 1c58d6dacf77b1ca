//! Slots of one worker as a broker knows them.

use indexmap::IndexMap;

use super::CallEnd;
use crate::name;

/// Assumed duration of a call before one has been measured.
const INITIAL_CALL_MS: f64 = 60.0;
/// Weight of a new measurement in the moving average of durations.
const CALL_TIME_WEIGHT: f64 = 0.1;
/// Shortest and longest time for which a rejection makes a worker count as full.
const MIN_FULL_MS: f64 = 20.0;
const MAX_FULL_MS: f64 = 1_000.0;
/// First time for which a worker gets no call after a failed one; it doubles with each further failure.
const FAILED_MS: f64 = 100.0;
const MAX_FAILED_MS: f64 = 2_000.0;
/// Calls that end while the worker is as full as it may be, after which it may get one more at once. A
/// worker queues a few calls beyond its slots; a credit is held longer than the call occupies its slot.
const CALLS_PER_INCREASE: u32 = 8;
/// The same once the worker has rejected a call: well under one in a hundred calls finds the limit.
const CALLS_PER_LATER_INCREASE: u32 = 192;
/// Most calls beyond the slots, as a share of the slots: the last one waits for half of a call.
const MAX_QUEUED_SHARE: f64 = 0.5;
/// Limit of the exponent of both times.
const MAX_DOUBLINGS: i32 = 6;

/// Slots of one worker as a broker knows them.
#[derive(Clone, Debug)]
pub(super) struct WorkerSlots {
    slots: u32,
    /// Calls beyond the slots that the worker accepts into its own queue, as learned from rejections.
    queued: u32,
    /// Calls that have ended while the worker was as full as it may be, since the last change of `queued`.
    calls_when_full: u32,
    has_rejected: bool,
    /// Start of the worker's process; a new one has no calls and no history.
    started_unix_ms: u64,
    credits: u32,
    /// Calls without a credit of this broker by asking daemon, with the time until which they count.
    foreign_calls: IndexMap<name::HostName, (u32, u64)>,
    /// Slots that count as in use until a time, because the worker rejected a call.
    hidden: (u32, u64),
    rejections: i32,
    failures: i32,
    /// Time until which the worker gets no call after a failure.
    failed_until_ms: u64,
    call_ms: Option<f64>,
    /// Time at which the last call was executed.
    done_ms: u64,
}

impl WorkerSlots {
    /// Creates a worker without history that has calls with the given number of credits.
    pub(super) fn new(slots: u32, started_unix_ms: u64, credits: u32) -> Self {
        Self {
            slots,
            queued: 0,
            calls_when_full: 0,
            has_rejected: false,
            started_unix_ms,
            credits,
            foreign_calls: IndexMap::new(),
            hidden: (0, 0),
            rejections: 0,
            failures: 0,
            failed_until_ms: 0,
            call_ms: None,
            done_ms: 0,
        }
    }

    /// Applies the entry of the worker.
    pub(super) fn update(&mut self, slots: u32, started_unix_ms: u64) {
        self.slots = slots;
        if self.started_unix_ms != started_unix_ms {
            *self = Self::new(slots, started_unix_ms, self.credits);
        }
    }

    /// Returns the number of slots.
    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the slots that are free as far as is known.
    pub(super) fn free(&self, now_ms: u64) -> u32 {
        if now_ms < self.failed_until_ms {
            return 0;
        }
        let foreign = self.foreign_calls.values().filter(|(_, until_ms)| now_ms < *until_ms);
        let foreign: u32 = foreign.map(|(calls, _)| *calls).sum();
        let (hidden, hidden_until_ms) = self.hidden;
        let hidden = if now_ms < hidden_until_ms { hidden } else { 0 };
        // A rejection is caused by calls that the broker does not know; those that it has been told of
        // since are the same ones.
        self.allowed().saturating_sub(self.credits + foreign.max(hidden))
    }

    /// Returns the number of calls that the worker may have at once.
    fn allowed(&self) -> u32 {
        self.slots + self.queued
    }

    /// Returns the mean duration of a call.
    pub(super) fn call_ms(&self) -> f64 {
        self.call_ms.unwrap_or(INITIAL_CALL_MS)
    }

    /// Counts a granted credit.
    pub(super) fn add_credit(&mut self) {
        self.credits += 1;
    }

    /// Removes a credit that has expired.
    ///
    /// Its age is a lower bound of the call's duration, unless the return was lost or the daemon killed.
    /// That is assumed if another call has ended since the grant, so that it does not lengthen predicted
    /// waits.
    pub(super) fn expire_credit(&mut self, granted_ms: u64, now_ms: u64) {
        self.remove_credit();
        let (age_ms, mean_ms) = (now_ms.saturating_sub(granted_ms) as f64, self.call_ms());
        if self.done_ms <= granted_ms && age_ms > mean_ms {
            self.call_ms = Some(mean_ms + (age_ms - mean_ms) * CALL_TIME_WEIGHT);
        }
    }

    fn remove_credit(&mut self) {
        self.credits = self.credits.saturating_sub(1);
    }

    /// Removes a credit and learns from the end of its call.
    pub(super) fn finish(&mut self, end: CallEnd, now_ms: u64) {
        let was_full = self.credits >= self.allowed();
        self.remove_credit();
        self.learn(end, now_ms);
        if was_full && matches!(end, CallEnd::Done { .. }) {
            self.record_call_when_full();
        }
    }

    /// Allows one more call at once after enough calls that no rejection has answered.
    fn record_call_when_full(&mut self) {
        self.calls_when_full += 1;
        let needed = if self.has_rejected { CALLS_PER_LATER_INCREASE } else { CALLS_PER_INCREASE };
        let most = (f64::from(self.slots) * MAX_QUEUED_SHARE) as u32;
        if self.calls_when_full >= needed && self.queued < most {
            self.queued += 1;
            self.calls_when_full = 0;
        }
    }

    /// Learns from the end of a call.
    pub(super) fn learn(&mut self, end: CallEnd, now_ms: u64) {
        match end {
            CallEnd::Done { took_ms } => {
                let took_ms = took_ms as f64;
                let mean_ms = self.call_ms.unwrap_or(took_ms);
                self.call_ms = Some(mean_ms + (took_ms - mean_ms) * CALL_TIME_WEIGHT);
                self.done_ms = now_ms;
                self.rejections = 0;
                self.failures = 0;
            }
            CallEnd::Full => {
                let (_, hidden_until_ms) = self.hidden;
                if now_ms < hidden_until_ms {
                    // Calls that were sent at the same time say the same.
                    return;
                }
                // One of the calls that fill the worker ends after about the mean duration. A worker
                // that goes on rejecting has less capacity than it states.
                let full_ms = self.call_ms() * 2_f64.powi(self.rejections.min(MAX_DOUBLINGS));
                let until_ms = now_ms + full_ms.clamp(MIN_FULL_MS, MAX_FULL_MS) as u64;
                self.hidden = (self.allowed().saturating_sub(self.credits), until_ms);
                self.has_rejected = true;
                self.queued = self.queued.saturating_sub(1);
                self.calls_when_full = 0;
                self.rejections += 1;
            }
            CallEnd::Failed if now_ms < self.failed_until_ms => {}
            CallEnd::Failed => {
                let failed_ms = FAILED_MS * 2_f64.powi(self.failures.min(MAX_DOUBLINGS));
                self.failed_until_ms = now_ms + failed_ms.min(MAX_FAILED_MS) as u64;
                self.failures += 1;
            }
            CallEnd::Unused => {}
        }
    }

    /// Replaces the calls that a daemon has sent without a credit of this broker.
    pub(super) fn set_foreign_calls(&mut self, host: &name::HostName, calls: u32, until_ms: u64) {
        if calls == 0 {
            self.foreign_calls.swap_remove(host);
        } else {
            self.foreign_calls.insert(host.clone(), (calls, until_ms));
        }
    }

    /// Removes calls without a credit whose end was not reported.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.foreign_calls.retain(|_, (_, until_ms)| now_ms < *until_ms);
    }
}
