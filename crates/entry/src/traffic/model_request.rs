//! A model request for the owner of a worker.

use bytes::Bytes;
use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_wire::peer;

/// A model request that was admitted and routed; its adapter version does not change any more.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelRequest {
    /// Request id.
    pub request_id: name::RequestId,
    /// Worker that was chosen.
    pub worker: name::WorkerName,
    /// Adapter version that must answer.
    pub adapter: adapter::AdapterRef,
    /// Team of the caller.
    pub team: name::TeamName,
    /// Weight of the team.
    pub weight: u32,
    /// Share of the team.
    pub share: u32,
    /// Scheduling class.
    pub class: request::Class,
    /// Time left until the deadline.
    pub remaining_ms: u64,
    /// Path on the engine.
    pub path: String,
    /// JSON body of the caller.
    pub body: Bytes,
}

/// Why a forwarded request is not valid.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("unknown class number {class}"))]
pub struct ForwardError {
    class: u32,
}

impl From<ModelRequest> for peer::Forward {
    fn from(order: ModelRequest) -> Self {
        Self {
            request_id: order.request_id.to_string(),
            worker: order.worker.to_string(),
            adapter: order.adapter.name().to_string(),
            version: order.adapter.version(),
            team: order.team.to_string(),
            class: order.class as u32,
            remaining_ms: order.remaining_ms,
            path: order.path,
            body: order.body,
            weight: order.weight,
            share: order.share,
        }
    }
}

impl TryFrom<peer::Forward> for ModelRequest {
    type Error = ForwardError;

    fn try_from(forward: peer::Forward) -> Result<Self, ForwardError> {
        let class = match forward.class {
            0 => request::Class::Urgent,
            1 => request::Class::Normal,
            2 => request::Class::Bulk,
            class => return Err(ForwardError { class }),
        };
        Ok(Self {
            request_id: name::RequestId::from(forward.request_id),
            worker: name::WorkerName::from(forward.worker),
            adapter: adapter::AdapterRef::new(
                name::AdapterName::from(forward.adapter),
                forward.version,
            ),
            team: name::TeamName::from(forward.team),
            weight: forward.weight,
            share: forward.share,
            class,
            remaining_ms: forward.remaining_ms,
            path: forward.path,
            body: forward.body,
        })
    }
}
