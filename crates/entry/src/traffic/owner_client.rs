//! Client of the owners of workers, in this daemon or in others.

use jasminetack_domain::name;
use tokio::sync::mpsc;

use super::answer_event::{AnswerEvent, Refusal};
use super::local_owner::LocalOwner;
use super::model_request::ModelRequest;
use super::peer_client::PeerClient;
use crate::snapshot;

/// Sends each request to the owner of its worker.
#[derive(Clone, Debug)]
pub struct OwnerClient<Local> {
    host: name::HostName,
    local: Local,
    peers: PeerClient,
}

impl<Local> OwnerClient<Local>
where
    Local: LocalOwner,
{
    /// Creates a client that starts requests in this daemon or at its peers.
    pub fn new(host: name::HostName, local: Local, peers: PeerClient) -> Self {
        Self { host, local, peers }
    }

    /// Starts a request at the owner of its worker; dropping the receiver cancels it.
    ///
    /// # Errors
    ///
    /// Fails when the owner or its address is not known; nothing was sent.
    pub fn start(
        &self,
        snapshot: &snapshot::Snapshot,
        request: ModelRequest,
    ) -> Result<mpsc::Receiver<AnswerEvent>, Refusal> {
        let owner = snapshot.fleet.get(&request.worker).and_then(|worker| worker.owner.as_ref());
        let Some(owner) = owner else {
            let message = format!("no owner is known for worker {}", request.worker);
            return Err(Refusal::not_run(503, "no_owner", message));
        };
        if *owner == self.host {
            return Ok(self.local.start(request));
        }
        let Some(peer) = snapshot.peers.get(owner) else {
            let message = format!("no address is known for owner {owner}");
            return Err(Refusal::not_run(503, "no_owner", message));
        };
        Ok(self.peers.start(peer.address, request))
    }
}
