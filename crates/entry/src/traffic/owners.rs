//! Owners of workers, on this daemon or on others.

use jasminetack_domain::name;
use tokio::sync::mpsc;

use super::model_order::ModelOrder;
use super::peer_client::PeerClient;
use super::response_event::{Refusal, ResponseEvent};
use super::start_order::StartOrder;
use crate::snapshot;

/// Sends each request to the owner of its worker.
#[derive(Clone, Debug)]
pub struct Owners<Local> {
    host: name::HostName,
    local: Local,
    peers: PeerClient,
}

impl<Local> Owners<Local>
where
    Local: StartOrder,
{
    /// Combines this daemon's own workers with those of its peers.
    pub fn new(host: name::HostName, local: Local, peers: PeerClient) -> Self {
        Self { host, local, peers }
    }

    /// Starts a request at its owner; dropping the receiver cancels it.
    ///
    /// # Errors
    ///
    /// Fails when nobody is known to own the worker; nothing was sent.
    pub fn start(
        &self,
        snapshot: &snapshot::Snapshot,
        order: ModelOrder,
    ) -> Result<mpsc::Receiver<ResponseEvent>, Refusal> {
        let owner = snapshot.fleet.get(&order.worker).and_then(|worker| worker.owner.as_ref());
        let Some(owner) = owner else {
            let message = format!("worker {} has no owner", order.worker);
            return Err(Refusal::not_run(503, "no_owner", message));
        };
        if *owner == self.host {
            return Ok(self.local.start(order));
        }
        let Some(peer) = snapshot.peers.get(owner) else {
            let message = format!("the address of owner {owner} is not known");
            return Err(Refusal::not_run(503, "no_owner", message));
        };
        Ok(self.peers.forward(peer.address, order))
    }
}
