//! Handling of events from owned workers.

use super::PendingCall;
use super::core::Core;
use crate::traffic::{WorkerEvent, WorkerEventKind};
use jasminetack_wire::lease_row;

/// Applies an event of an owned worker to the control state.
pub fn handle(core: &mut Core, event: WorkerEvent) {
    let WorkerEvent { worker, fencing, kind } = event;
    match kind {
        WorkerEventKind::Drained => core.grants.handle_drained(&mut core.context, worker, fencing),
        WorkerEventKind::Superseded => {
            // The owner row names the owner with the higher fencing token.
            let key = lease_row::owner_key(&worker);
            core.context.read(PendingCall::ReadOwner(worker), key);
        }
        WorkerEventKind::Leaving => core.loaded_adapters.mark_leaving(worker),
        // Availability is taken from the dispatcher's worker summaries.
        WorkerEventKind::Unavailable | WorkerEventKind::Available => {}
    }
}
