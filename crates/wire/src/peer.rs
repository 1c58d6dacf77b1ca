//! Messages on the TCP connections between daemons.

use prost::{Message, Oneof};

use crate::gossip;
use crate::permit;

/// One message on a connection between daemons.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Content; `None` when the receiver does not know the kind.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 20, 21, 22, 23, 30, 31")]
    pub body: Option<Body>,
}

/// Content of a frame.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// First frame of every connection.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// A model request, sent to the owner of a worker.
    #[prost(message, tag = "2")]
    Forward(Forward),
    /// The request is queued; sent periodically so that the receiver can detect a lost owner.
    #[prost(message, tag = "3")]
    Progress(Progress),
    /// Status of the response, sent after the engine's instance name was checked.
    #[prost(message, tag = "4")]
    Head(Head),
    /// Part of the response body.
    #[prost(message, tag = "5")]
    Chunk(Chunk),
    /// The response is complete.
    #[prost(message, tag = "6")]
    End(End),
    /// The request failed.
    #[prost(message, tag = "7")]
    Refused(Refused),
    /// Liveness and table version of the sender.
    #[prost(message, tag = "8")]
    Heartbeat(Heartbeat),
    /// Versioned states that daemons disseminate by gossip.
    #[prost(message, tag = "9")]
    Gossip(Gossip),
    /// Hashes of all known events, for anti-entropy.
    #[prost(message, tag = "20")]
    Digest(gossip::Digest),
    /// Asks for a heartbeat.
    #[prost(message, tag = "21")]
    StatusRequest(gossip::StatusRequest),
    /// Asks for table rows.
    #[prost(message, tag = "22")]
    RowsRequest(gossip::RowsRequest),
    /// Table rows.
    #[prost(message, tag = "23")]
    Rows(gossip::Rows),
    /// Operation on the permits of a row with a ceiling.
    #[prost(message, tag = "30")]
    PermitRequest(permit::PermitRequest),
    /// Response to a permit request.
    #[prost(message, tag = "31")]
    PermitResponse(permit::PermitResponse),
}

/// Identifies the sender and proves that it knows the shared secret.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Host name of the sender.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Incarnation of the sender's process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Shared secret.
    #[prost(string, tag = "3")]
    pub secret: String,
}

/// A model request that an entry host forwards to the owner of a worker.
#[derive(Clone, PartialEq, Message)]
pub struct Forward {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request_id: String,
    /// Worker chosen for the request.
    #[prost(string, tag = "2")]
    pub worker: String,
    /// Adapter name.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// Adapter version.
    #[prost(uint32, tag = "4")]
    pub version: u32,
    /// Team of the caller.
    #[prost(string, tag = "5")]
    pub team: String,
    /// Class: 0 urgent, 1 normal, 2 bulk.
    #[prost(uint32, tag = "6")]
    pub class: u32,
    /// Time left until the deadline.
    #[prost(uint64, tag = "7")]
    pub remaining_ms: u64,
    /// Request path on the engine.
    #[prost(string, tag = "8")]
    pub path: String,
    /// JSON body as sent by the caller.
    #[prost(bytes = "bytes", tag = "9")]
    pub body: bytes::Bytes,
    /// Scheduling weight of the team.
    #[prost(uint32, tag = "10")]
    pub weight: u32,
    /// Share of scarce capacity of the team.
    #[prost(uint32, tag = "11")]
    pub share: u32,
}

/// The request is queued or running.
#[derive(Clone, PartialEq, Message)]
pub struct Progress {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request_id: String,
    /// Requests that are queued or running at the worker.
    #[prost(uint32, tag = "2")]
    pub outstanding: u32,
}

/// Status of a response.
#[derive(Clone, PartialEq, Message)]
pub struct Head {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request_id: String,
    /// HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Content type.
    #[prost(string, tag = "3")]
    pub content_type: String,
    /// Requests that are queued or running at the worker.
    #[prost(uint32, tag = "4")]
    pub outstanding: u32,
}

/// Part of a response body.
#[derive(Clone, PartialEq, Message)]
pub struct Chunk {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request_id: String,
    /// Position in the response, from 0 without gaps.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Content of the part.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: bytes::Bytes,
}

/// End of a complete response.
#[derive(Clone, PartialEq, Message)]
pub struct End {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request_id: String,
    /// Number of chunks sent.
    #[prost(uint64, tag = "2")]
    pub chunk_count: u64,
}

/// Failure of a request.
#[derive(Clone, PartialEq, Message)]
pub struct Refused {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request_id: String,
    /// Whether the sender guarantees that the request did not and will not run.
    #[prost(bool, tag = "2")]
    pub not_run: bool,
    /// Machine-readable error code.
    #[prost(string, tag = "3")]
    pub code: String,
    /// Human-readable error message.
    #[prost(string, tag = "4")]
    pub message: String,
    /// HTTP status to report.
    #[prost(uint32, tag = "5")]
    pub status: u32,
    /// Delay after which the caller may retry; 0 when not specified.
    #[prost(uint64, tag = "6")]
    pub retry_after_ms: u64,
}

/// Heartbeat to the daemons that monitor the sender.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Host name of the sender.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Increases with each heartbeat.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Table version in force at the sender.
    #[prost(uint64, tag = "4")]
    pub table_version: u64,
    /// Time since the platform confirmed that version, directly or through peers; `None` when it
    /// was never confirmed.
    #[prost(uint64, optional, tag = "5")]
    pub table_age_ms: Option<u64>,
    /// Version of the sender's session row after its last renewal; 0 before the first.
    #[prost(uint64, tag = "6")]
    pub session_version: u64,
}

/// Events that daemons disseminate by gossip.
#[derive(Clone, PartialEq, Message)]
pub struct Gossip {
    /// The events.
    #[prost(message, repeated, tag = "1")]
    pub events: Vec<Event>,
    /// Buckets whose events are all listed here; the sender wants the receiver's newer events of
    /// these buckets.
    #[prost(uint32, repeated, tag = "2")]
    pub wanted_buckets: Vec<u32>,
}

/// State of one subject; a higher version replaces a lower one.
#[derive(Clone, PartialEq, Message)]
pub struct Event {
    /// Subject of the event: `session/HOST`, `owner/WORKER`, `worker/WORKER`,
    /// `suspect/HOST/MONITOR` or `table`.
    #[prost(string, tag = "1")]
    pub subject: String,
    /// Version of the state.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// State, encoded as the message type for the kind of subject.
    #[prost(bytes = "bytes", tag = "3")]
    pub state: bytes::Bytes,
}
