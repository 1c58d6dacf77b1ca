//! What reports of owned workers change.

use super::PendingCall;
use super::core::Core;
use crate::traffic::{WorkerEvent, WorkerEventKind};
use jasminetack_wire::lease_row;

/// Handles a report of an owned worker.
pub fn handle(core: &mut Core, event: WorkerEvent) {
    let WorkerEvent { worker, fencing, kind } = event;
    match kind {
        WorkerEventKind::Drained => core.grants.handle_drained(&mut core.context, worker, fencing),
        WorkerEventKind::Superseded => {
            // The owner row names the owner with the higher number.
            let key = lease_row::owner_key(&worker);
            core.context.read(PendingCall::ReadOwner(worker), key);
        }
        WorkerEventKind::Leaving => core.loaded_adapters.mark_leaving(worker),
        // The summaries of workers tell these.
        WorkerEventKind::Unavailable | WorkerEventKind::Available => {}
    }
}
