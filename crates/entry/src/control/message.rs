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
    /// Control frame of another daemon that knows the shared secret.
    Peer {
        /// Host of the sender.
        from: name::HostName,
        /// Content of the frame.
        body: peer::Body,
    },
    /// Report of an owned worker.
    Worker(traffic::WorkerEvent),
    /// The process was told to stop.
    Terminate,
}
