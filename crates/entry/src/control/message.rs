//! Messages to the control thread.

use jasminetack_domain::name;
use jasminetack_wire::peer;

use crate::platform;
use crate::traffic;

/// A message to the control thread.
#[derive(Clone, Debug)]
pub enum Message {
    /// Result of a call to the platform.
    Platform(platform::Reply),
    /// Control frame from another daemon that authenticated with the shared secret.
    Peer {
        /// Host of the sending daemon.
        from: name::HostName,
        /// Content of the frame.
        body: peer::Body,
    },
    /// Event of an owned worker.
    Worker(traffic::WorkerEvent),
    /// The process received a termination signal.
    Terminate,
}
