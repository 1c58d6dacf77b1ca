//! Messages to the control thread.

use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_wire::peer;

use crate::platform;

/// A message to the control thread.
#[derive(Clone, Debug)]
pub enum Message {
    /// Result of a call to the platform.
    Platform(platform::Reply),
    /// Control frame of another daemon that knows the shared secret.
    Peer {
        /// Host of the sender.
        from: name::HostName,
        /// Content of the frame.
        body: peer::Body,
    },
    /// An owned worker loaded or unloaded adapters.
    Loaded {
        /// The worker.
        worker: name::WorkerName,
        /// Adapters that became usable.
        added: Vec<adapter::AdapterRef>,
        /// Adapters that are no longer usable.
        removed: Vec<adapter::AdapterRef>,
    },
    /// A revoked ownership has no request left that runs.
    Drained {
        /// The worker.
        worker: name::WorkerName,
        /// Fencing number of the revoked ownership.
        fencing: adapter::FencingNumber,
    },
    /// An engine refused an order because it knows a higher fencing number.
    Superseded {
        /// The worker.
        worker: name::WorkerName,
        /// Fencing number that was refused.
        fencing: adapter::FencingNumber,
    },
    /// The process was told to stop.
    Terminate,
    /// No request is in flight any more; sent only while stopping.
    Idle,
}
