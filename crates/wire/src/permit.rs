//! Messages that acquire and return concurrency permits.
//!
//! One daemon is the coordinator of each row with a ceiling: it grants the permits for concurrent
//! requests of the row. The other daemons hold permits and use one for each request.

use jasminetack_domain::quota;
use prost::{Message, Oneof};

/// Message from a permit holder to the coordinator of a row.
#[derive(Clone, PartialEq, Message)]
pub struct PermitRequest {
    /// Key of the row, `KIND/NAME`.
    #[prost(string, tag = "1")]
    pub row: String,
    /// Operation that the holder requests; `None` when the receiver does not know it.
    #[prost(oneof = "PermitAction", tags = "2, 3, 4")]
    pub action: Option<PermitAction>,
}

/// Operation on the permits of a row.
#[derive(Clone, Copy, PartialEq, Oneof)]
pub enum PermitAction {
    /// Acquires one permit; the value is always true.
    #[prost(bool, tag = "2")]
    Acquire(bool),
    /// Returns this number of permits.
    #[prost(uint32, tag = "3")]
    Release(u32),
    /// Tells a new coordinator how many permits the holder uses.
    #[prost(uint32, tag = "4")]
    Register(u32),
}

/// Response of a coordinator.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PermitResponse {
    /// 0 granted, 1 denied, 2 not ready to decide.
    #[prost(uint32, tag = "1")]
    pub decision: u32,
}

impl From<quota::Action> for PermitAction {
    fn from(action: quota::Action) -> Self {
        match action {
            quota::Action::Request => Self::Acquire(true),
            quota::Action::Release(count) => Self::Release(count),
            quota::Action::Register(count) => Self::Register(count),
        }
    }
}

impl From<PermitAction> for quota::Action {
    fn from(action: PermitAction) -> Self {
        match action {
            PermitAction::Acquire(_) => Self::Request,
            PermitAction::Release(count) => Self::Release(count),
            PermitAction::Register(count) => Self::Register(count),
        }
    }
}

impl From<quota::Decision> for PermitResponse {
    fn from(decision: quota::Decision) -> Self {
        let decision = match decision {
            quota::Decision::Granted => 0,
            quota::Decision::Denied => 1,
            quota::Decision::NotReady => 2,
        };
        Self { decision }
    }
}

impl TryFrom<PermitResponse> for quota::Decision {
    type Error = UnknownDecision;

    fn try_from(response: PermitResponse) -> Result<Self, UnknownDecision> {
        match response.decision {
            0 => Ok(Self::Granted),
            1 => Ok(Self::Denied),
            2 => Ok(Self::NotReady),
            decision => Err(UnknownDecision { decision }),
        }
    }
}

/// The decision number of a response is not defined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("unknown decision number {decision}"))]
pub struct UnknownDecision {
    decision: u32,
}
