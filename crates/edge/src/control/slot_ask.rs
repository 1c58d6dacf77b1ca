//! Request of the traffic thread for a slot, and its answers.

use jasminetack_domain::name;
use jasminetack_domain::slot_credit;
use tokio::sync::oneshot;

/// Request for a slot of a service.
#[derive(Debug)]
pub struct SlotAsk {
    /// Number of the request, unique within the process.
    pub number: u64,
    /// Service and region of the workers.
    pub pool: slot_credit::PoolKey,
    /// Team of the caller, if callers belong to teams.
    pub team: Option<name::TeamName>,
    /// Priority of the call; 0 is the most urgent.
    pub urgency: u8,
    /// Hash by which a caller that returns after a refusal is recognized.
    pub caller_hash: u64,
    /// Time until which the call may wait for a slot.
    pub wait_until_ms: u64,
    /// Workers that are not used for this call.
    pub excluded: Vec<name::WorkerName>,
    /// Receiver of the first answer.
    pub reply: oneshot::Sender<SlotReply>,
}

/// Answer to a request for a slot.
#[derive(Debug)]
pub enum SlotReply {
    /// The call may be sent to this worker.
    Granted(name::WorkerName),
    /// The request waits; the next answer is sent to the receiver.
    Queued(oneshot::Receiver<SlotReply>),
    /// No slot becomes free in time; the predicted wait is `None` if the broker knows no usable worker.
    NoSlot {
        /// Predicted wait.
        wait_ms: Option<u64>,
    },
    /// No daemon can be asked.
    NoBroker,
}
