//! Slot credit of one call.

use crossbeam_channel::Sender;
use jasminetack_domain::slot_credit;

use crate::clock;
use crate::control;

/// Call to a service with few slots, from the request for a slot on; its end is reported on drop.
///
/// A call whose caller has left, or that got no answer in time, teaches nothing of its worker.
#[derive(Debug)]
pub(super) struct CreditGuard {
    control: Sender<control::Message>,
    number: u64,
    sent_ms: u64,
    end: slot_credit::CallEnd,
    is_armed: bool,
}

impl CreditGuard {
    /// Creates the guard of a request for a slot that is sent to the control thread.
    pub(super) fn new(control: &Sender<control::Message>, number: u64) -> Self {
        let end = slot_credit::CallEnd::Unused;
        Self { control: control.clone(), number, sent_ms: 0, end, is_armed: true }
    }

    /// Records that the call is being sent.
    pub(super) fn start(&mut self, now_ms: u64) {
        self.sent_ms = now_ms;
    }

    /// Records that the worker responded.
    pub(super) fn record_response(&mut self) {
        self.end = slot_credit::CallEnd::Done { took_ms: 0 };
    }

    /// Records that the worker rejected the call because it was full.
    pub(super) fn record_full(&mut self) {
        self.end = slot_credit::CallEnd::Full;
    }

    /// Records that the worker could not be reached or broke off the call.
    pub(super) fn record_failure(&mut self) {
        self.end = slot_credit::CallEnd::Failed;
    }

    /// Reports that the broker did not answer; nothing else is reported on drop.
    pub(super) fn report_unanswered(mut self) {
        self.is_armed = false;
        // The control thread ends only with the process.
        let _ = self.control.send(control::Message::SlotUnanswered(self.number));
    }

    /// Drops the guard of a request that the broker has forgotten.
    pub(super) fn dismiss(mut self) {
        self.is_armed = false;
    }
}

impl Drop for CreditGuard {
    fn drop(&mut self) {
        if !self.is_armed {
            return;
        }
        let end = match self.end {
            slot_credit::CallEnd::Done { .. } => {
                let took_ms = clock::now_ms().saturating_sub(self.sent_ms);
                slot_credit::CallEnd::Done { took_ms }
            }
            end => end,
        };
        // The control thread ends only with the process.
        let _ = self.control.send(control::Message::SlotCallEnded { number: self.number, end });
    }
}
