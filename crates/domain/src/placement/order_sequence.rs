//! Number of orders that a worker has accepted, and the order that awaits its answer.

use super::order_purpose::OrderPurpose;
use super::reception::Reception;
use super::report_age::ReportAge;
use super::sent_order::SentOrder;
use super::sequence_effect::SequenceEffect;
use super::{Order, OrderResult, PlannedOrder, PreconditionSupport};

/// Delay before an unanswered order is repeated.
const UNANSWERED_RETRY_MS: u64 = 30;
/// Delay before an unanswered order whose repeat could not be sent is repeated again.
const NOT_SENT_RETRY_MS: u64 = 250;
/// Time for which an order is repeated until a report has to tell whether it was accepted. Repeats block
/// all other orders of the worker.
const MAX_REPEATS_MS: u64 = 1_000;
/// Time after which an order without a result counts as unanswered: the task that sends it ended without
/// one. Connecting and the request time out after 0.5 s together.
const RESULT_TIMEOUT_MS: u64 = 1_000;
/// Precondition of the order that tells whether a worker checks preconditions: more orders than any
/// worker accepts in its life, and within the range of a 32-bit integer.
const IMPOSSIBLE_PRECONDITION: u64 = 2_000_000_000;
/// Age beyond which a report no longer lags behind: reports are some hundred milliseconds old.
pub(super) const MAX_REPORT_AGE_MS: u64 = 2_000;

/// What the holder knows of the number of orders that a worker accepted.
///
/// The slots of a placement describe the worker at this number. An order with this number as its
/// precondition is therefore executed in the state in which it was decided, or not at all, however late
/// it is. At most one order awaits an answer, and an unanswered one is repeated with the same
/// precondition, so that all its copies together take effect once. An order that was given up and those
/// that follow at the same number exclude each other: only one of them advances it.
#[derive(Clone, Debug)]
pub(super) struct OrderSequence {
    support: PreconditionSupport,
    /// Number of accepted orders; `None` while it is unknown.
    count: Option<u64>,
    /// Last known number; the worker's number is not below it unless the worker restarted.
    confirmed: u64,
    confirmed_ms: u64,
    /// The next order that tells whether the worker checks preconditions.
    probe: OrderPurpose,
    next_probe_ms: u64,
    sent: Option<SentOrder>,
    /// Order whose answer does not tell whether it was executed.
    unexplained: Option<Order>,
}

impl OrderSequence {
    /// Creates the knowledge from a worker's report; a worker that states no number is taken for one
    /// that does not check preconditions.
    pub fn new(reported: Option<u64>, now_ms: u64) -> Self {
        let support = match reported {
            Some(_) => PreconditionSupport::Unknown,
            None => PreconditionSupport::Ignored,
        };
        Self {
            support,
            count: reported,
            confirmed: reported.unwrap_or(0),
            confirmed_ms: now_ms,
            probe: OrderPurpose::Probe,
            next_probe_ms: now_ms,
            sent: None,
            unexplained: None,
        }
    }

    pub fn support(&self) -> PreconditionSupport {
        self.support
    }

    /// Returns whether orders carry preconditions.
    pub fn is_tracked(&self) -> bool {
        self.support != PreconditionSupport::Ignored
    }

    /// Returns whether the worker must report before it gets further orders.
    pub fn needs_report(&self) -> bool {
        self.is_tracked() && self.count.is_none()
    }

    /// Returns whether an order was sent of which it is not known whether it was accepted.
    pub fn is_occupied(&self) -> bool {
        self.sent.is_some()
    }

    /// Returns the purpose of the probe's next order, if it is due.
    pub fn next_probe(&self, now_ms: u64) -> Option<OrderPurpose> {
        (self.next_probe_ms <= now_ms).then_some(self.probe)
    }

    /// Records that an order is sent.
    pub fn send(&mut self, order: Order, purpose: OrderPurpose, now_ms: u64) -> PlannedOrder {
        let precondition = match purpose {
            OrderPurpose::Probe | OrderPurpose::SecondProbe => Some(IMPOSSIBLE_PRECONDITION),
            _ if self.is_tracked() => self.count,
            _ => None,
        };
        self.sent = Some(SentOrder {
            order: order.clone(),
            purpose,
            precondition,
            awaits_answer: true,
            sent_ms: now_ms,
            was_unanswered: false,
            unknown_since_ms: None,
            unspecified_since_ms: None,
            next_ms: now_ms,
        });
        PlannedOrder { order, precondition }
    }

    /// Returns the order whose result should have arrived by now.
    pub fn overdue(&self, now_ms: u64) -> Option<&Order> {
        let is_overdue = |sent: &&SentOrder| {
            sent.awaits_answer && now_ms.saturating_sub(sent.sent_ms) >= RESULT_TIMEOUT_MS
        };
        self.sent.as_ref().filter(is_overdue).map(|sent| &sent.order)
    }

    /// Returns the unanswered order if it must be repeated now.
    pub fn repeat(&mut self, now_ms: u64) -> Option<PlannedOrder> {
        let sent = self.sent.as_mut()?;
        if sent.awaits_answer || sent.next_ms > now_ms {
            return None;
        }
        sent.awaits_answer = true;
        sent.sent_ms = now_ms;
        Some(PlannedOrder { order: sent.order.clone(), precondition: sent.precondition })
    }

    /// Records the result of an order.
    pub fn receive(&mut self, order: &Order, result: OrderResult, now_ms: u64) -> Reception {
        let is_tracked = self.is_tracked();
        let awaited = self.sent.as_mut();
        let Some(sent) = awaited.filter(|sent| sent.awaits_answer && sent.order == *order) else {
            return Reception::Open;
        };
        sent.awaits_answer = false;
        if result.is_unknown() && is_tracked {
            return self.receive_unknown(result, now_ms);
        }
        if result == OrderResult::NotSent && sent.was_unanswered {
            sent.next_ms = now_ms + NOT_SENT_RETRY_MS;
            return Reception::Open;
        }
        self.sent.take().map_or(Reception::Open, Reception::Answered)
    }

    /// Records a result that does not tell whether the worker accepted the order.
    fn receive_unknown(&mut self, result: OrderResult, now_ms: u64) -> Reception {
        let Some(sent) = self.sent.as_mut() else { return Reception::Open };
        sent.was_unanswered = true;
        sent.next_ms = now_ms + UNANSWERED_RETRY_MS;
        let is_over = |since_ms: u64| now_ms.saturating_sub(since_ms) >= MAX_REPEATS_MS;
        let is_unknown_long = is_over(*sent.unknown_since_ms.get_or_insert(now_ms));
        if result == OrderResult::Unspecified {
            sent.unspecified_since_ms.get_or_insert(now_ms);
        }
        if sent.purpose.is_probe() {
            // No other order may be sent before the probe is answered. A worker that answers nothing
            // may be frozen; one that answers with unspecified statuses does not know the probe.
            if sent.unspecified_since_ms.is_some_and(is_over) {
                self.stop_tracking();
            }
            return Reception::Open;
        }
        if !is_unknown_long {
            return Reception::Open;
        }
        self.count = None;
        self.unexplained = self.sent.take().map(|sent| sent.order);
        Reception::GivenUp
    }

    /// Applies the effect of the answer to an order to the number of accepted orders.
    pub fn apply(&mut self, order: &Order, effect: SequenceEffect, now_ms: u64) {
        let Some(count) = self.count else { return };
        match effect {
            SequenceEffect::Unchanged => {}
            SequenceEffect::Advanced => self.set_count(count + 1, now_ms),
            SequenceEffect::Unknown => {
                self.count = None;
                self.unexplained = Some(order.clone());
            }
        }
    }

    /// Applies the answer to a probe.
    pub fn apply_probe_result(&mut self, purpose: OrderPurpose, result: OrderResult, now_ms: u64) {
        match (purpose, result) {
            (_, OrderResult::NotSent) => self.next_probe_ms = now_ms + NOT_SENT_RETRY_MS,
            (OrderPurpose::Probe, OrderResult::Busy) => self.probe = OrderPurpose::ProbeControl,
            (OrderPurpose::ProbeControl, OrderResult::Applied) => {
                self.probe = OrderPurpose::SecondProbe;
            }
            (OrderPurpose::SecondProbe, OrderResult::Busy) => {
                self.support = PreconditionSupport::Checked;
            }
            // A worker that does not know preconditions may also refuse an order that has one.
            (
                OrderPurpose::Probe | OrderPurpose::SecondProbe,
                OrderResult::Applied | OrderResult::Accepted | OrderResult::Refused,
            ) => self.support = PreconditionSupport::Ignored,
            _ => {
                self.probe = OrderPurpose::Probe;
                self.count = None;
            }
        }
    }

    /// Records that the worker refused to load its base model. Unless it is known to check
    /// preconditions, it may refuse orders that have one, and would never hold its base model.
    pub fn refuse_base_load(&mut self) {
        if self.support == PreconditionSupport::Unknown {
            self.stop_tracking();
        }
    }

    /// Returns what a reported number says of the worker.
    pub fn compare(&self, reported: u64, now_ms: u64) -> ReportAge {
        match (reported < self.confirmed, self.is_settled(now_ms)) {
            (false, _) => ReportAge::Current,
            (true, false) => ReportAge::Outdated,
            (true, true) => ReportAge::Restarted,
        }
    }

    /// Returns whether a reported number is above the last known one.
    pub fn is_behind(&self, reported: u64) -> bool {
        reported > self.confirmed
    }

    /// Returns whether a new report cannot be older than the last change of the number.
    pub fn is_settled(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.confirmed_ms) >= MAX_REPORT_AGE_MS
    }

    /// Adopts a reported number; returns the order that the report explains: one whose answers did not
    /// tell whether it was executed.
    pub fn adopt(&mut self, reported: u64, now_ms: u64) -> Option<Order> {
        self.set_count(reported, now_ms);
        self.unexplained.take()
    }

    /// Stops to rely on preconditions: the worker does not state how many orders it accepted, or does not
    /// answer orders that have one.
    pub fn stop_tracking(&mut self) {
        self.support = PreconditionSupport::Ignored;
        self.sent = None;
    }

    fn set_count(&mut self, count: u64, now_ms: u64) {
        // The number becomes outdated in reports only when it changes.
        if self.confirmed != count {
            self.confirmed_ms = now_ms;
        }
        self.confirmed = count;
        self.count = Some(count);
    }
}
