//! Model requests that are sent to the owner of a worker.

use bytes::Bytes;
use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_wire::peer;

/// An admitted and routed model request with a fixed adapter version.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelRequest {
    /// Request id.
    pub request_id: name::RequestId,
    /// Worker that the request was routed to.
    pub worker: name::WorkerName,
    /// Adapter version that must serve the request.
    pub adapter: adapter::AdapterRef,
    /// Team of the caller.
    pub team: name::TeamName,
    /// Weight of the team in fair queueing.
    pub weight: u32,
    /// Relative share of a full queue that the team may hold.
    pub share: u32,
    /// Scheduling class.
    pub class: request::Class,
    /// Time left until the deadline.
    pub remaining_ms: u64,
    /// Path of the engine API.
    pub path: String,
    /// JSON body as the caller sent it.
    pub body: Bytes,
}

/// Error of a forwarded request that is not valid.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("unknown class number {class}"))]
pub struct ForwardError {
    class: u32,
}

impl From<ModelRequest> for peer::Forward {
    fn from(request: ModelRequest) -> Self {
        Self {
            request_id: request.request_id.to_string(),
            worker: request.worker.to_string(),
            adapter: request.adapter.name().to_string(),
            version: request.adapter.version(),
            team: request.team.to_string(),
            class: request.class as u32,
            remaining_ms: request.remaining_ms,
            path: request.path,
            body: request.body,
            weight: request.weight,
            share: request.share,
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
