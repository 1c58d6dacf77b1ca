//! Messages between the holders of permits and the homes of rows.

use jasminetack_domain::quota;
use prost::{Message, Oneof};

/// A holder's message to the home of a row.
#[derive(Clone, PartialEq, Message)]
pub struct PermitOrder {
    /// Key of the row, `KIND/NAME`.
    #[prost(string, tag = "1")]
    pub row: String,
    /// What the holder wants.
    #[prost(oneof = "PermitAction", tags = "2, 3, 4")]
    pub action: Option<PermitAction>,
}

/// What a holder wants of a home.
#[derive(Clone, Copy, PartialEq, Oneof)]
pub enum PermitAction {
    /// One more permit.
    #[prost(bool, tag = "2")]
    Request(bool),
    /// To return permits.
    #[prost(uint32, tag = "3")]
    Release(u32),
    /// To let a new home know how many permits it uses.
    #[prost(uint32, tag = "4")]
    Register(u32),
}

/// Answer of a home.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PermitAnswer {
    /// 0 granted, 1 denied, 2 not ready.
    #[prost(uint32, tag = "1")]
    pub decision: u32,
}

impl From<quota::Action> for PermitAction {
    fn from(action: quota::Action) -> Self {
        match action {
            quota::Action::Request => Self::Request(true),
            quota::Action::Release(count) => Self::Release(count),
            quota::Action::Register(count) => Self::Register(count),
        }
    }
}

impl From<PermitAction> for quota::Action {
    fn from(action: PermitAction) -> Self {
        match action {
            PermitAction::Request(_) => Self::Request,
            PermitAction::Release(count) => Self::Release(count),
            PermitAction::Register(count) => Self::Register(count),
        }
    }
}

impl From<quota::Decision> for PermitAnswer {
    fn from(decision: quota::Decision) -> Self {
        let decision = match decision {
            quota::Decision::Granted => 0,
            quota::Decision::Denied => 1,
            quota::Decision::NotReady => 2,
        };
        Self { decision }
    }
}

impl TryFrom<PermitAnswer> for quota::Decision {
    type Error = UnknownDecision;

    fn try_from(answer: PermitAnswer) -> Result<Self, UnknownDecision> {
        match answer.decision {
            0 => Ok(Self::Granted),
            1 => Ok(Self::Denied),
            2 => Ok(Self::NotReady),
            decision => Err(UnknownDecision { decision }),
        }
    }
}

/// A home answered with a number that has no meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("unknown decision number {decision}"))]
pub struct UnknownDecision {
    decision: u32,
}
