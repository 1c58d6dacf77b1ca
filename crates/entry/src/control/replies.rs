//! Handling of replies from the platform.

use jasminetack_domain::lease;
use jasminetack_wire::lease_row;
use jasminetack_wire::platform as wire;
use jasminetack_wire::row;

use super::core::Core;
use super::renewal::{RenewalOutcome, find_row};
use super::{PendingCall, events};
use crate::platform;

/// Applies a reply from the platform to the control state.
pub fn handle(core: &mut Core, reply: platform::Reply) {
    let now_ms = core.context.now_ms();
    match reply {
        platform::Reply::Rows { prefix: row::ROW_PREFIX, result } => {
            log_failure("table", &result);
            let changed = core.table.handle_poll(&core.context, result);
            handle_table_change(core, changed);
        }
        platform::Reply::Rows { prefix: lease_row::OWNER_PREFIX, result } => {
            core.changes.owners |= core.owners.handle_poll(result, now_ms);
        }
        platform::Reply::Rows { prefix: lease_row::RELEASED_PREFIX, result } => {
            core.changes.releases |= core.grants.handle_poll(result);
        }
        platform::Reply::Rows { result, .. } => match core.sessions.handle_poll(result) {
            Some(sessions) => {
                for stored in sessions {
                    observe_session(core, stored);
                }
                core.peer_monitor.record_sessions_read(&core.members, now_ms);
            }
            None => core.peer_monitor.record_read_failure(),
        },
        platform::Reply::Hosts(result) => {
            log_failure("hosts", &result);
            if let Ok(list) = result {
                core.changes.hosts |= core.hosts.apply(list);
            }
        }
        platform::Reply::Read { call_id, result } => {
            let Some(call) = core.context.take_call(call_id) else { return };
            handle_read(core, call, result);
        }
        platform::Reply::Transact { call_id, result } => {
            let Some(call) = core.context.take_call(call_id) else { return };
            handle_transaction(core, call, result);
        }
    }
}

fn handle_read(
    core: &mut Core,
    call: PendingCall,
    result: Result<wire::RowsPage, platform::CallError>,
) {
    match call {
        PendingCall::FindSession => {
            if core.renewal.handle_find(&result) {
                core.renewal.tick(&mut core.context, core.table.table().head_version());
            }
        }
        PendingCall::ReadOwner(worker) => {
            let now_ms = core.context.now_ms();
            core.owners.handle_read(worker, result, now_ms);
            core.changes.owners = true;
        }
        PendingCall::ReadSession(host) => {
            core.owners.finish_session_read(&host);
            for stored in core.sessions.handle_read(&host, result) {
                observe_session(core, stored);
            }
        }
        PendingCall::Renew(_)
        | PendingCall::Lapse(_)
        | PendingCall::Claim(_)
        | PendingCall::Release(_) => {}
    }
}

fn handle_transaction(
    core: &mut Core,
    call: PendingCall,
    result: Result<wire::TransactionReply, platform::CallError>,
) {
    match call {
        PendingCall::Renew(row) => handle_renewal(core, row, result),
        PendingCall::Lapse(row) => handle_lapse(core, row, result),
        PendingCall::Claim(claim) => {
            core.changes.owners |= matches!(result, Ok(wire::TransactionReply::Conflict { .. }));
            let Some(stored) = core.owners.handle_change(&mut core.context, claim, result) else {
                return;
            };
            core.changes.owners = true;
            let row = &stored.row;
            let (worker, fencing) = (row.worker.as_str(), row.fencing.value());
            let (host, incarnation) = (row.holder.host.as_str(), row.holder.incarnation.value());
            let is_own = row.holder.host == core.context.settings.host;
            let event = if is_own { "claim" } else { "handover" };
            spdlog::info!("owner-changed", kv: { event, worker, fencing, host, incarnation });
            let receiver = [row.holder.host.clone()];
            let event = events::owner(&stored);
            core.gossip.publish(&mut core.context, &core.members, event, &receiver);
        }
        PendingCall::Release(row) => core.grants.handle_write(&row, &result),
        PendingCall::FindSession | PendingCall::ReadOwner(_) | PendingCall::ReadSession(_) => {}
    }
}

fn handle_renewal(
    core: &mut Core,
    row: lease::SessionRow,
    result: Result<wire::TransactionReply, platform::CallError>,
) {
    match core.renewal.handle_renewal(row, result) {
        RenewalOutcome::Written(stored) => {
            let state = stored.row.state;
            let was_known = core.members.session(&stored.row.host).is_some();
            observe_session(core, stored);
            // Monitors measure the lease from the renewal that a heartbeat reports.
            core.send_heartbeats();
            if !was_known {
                // Fetches the current state from a peer after the first renewal.
                core.send_digest();
            }
            if state == lease::SessionState::Leaving {
                core.announce();
            }
        }
        RenewalOutcome::Superseded(holder) => {
            let incarnation = holder.incarnation.value();
            spdlog::warn!("session-superseded", kv: { incarnation });
            core.changes.owners = true;
            core.renewal.tick(&mut core.context, core.table.table().head_version());
        }
        RenewalOutcome::Unknown => {}
    }
}

fn handle_lapse(
    core: &mut Core,
    row: lease::SessionRow,
    result: Result<wire::TransactionReply, platform::CallError>,
) {
    core.peer_monitor.finish_lapse(&row.host);
    match result {
        Ok(wire::TransactionReply::Committed { version }) => {
            let (host, incarnation) = (row.host.as_str(), row.incarnation.value());
            spdlog::info!("lapse", kv: { host, incarnation, version });
            observe_session(core, lease::Stored::new(version, row));
        }
        Ok(wire::TransactionReply::Conflict { rows }) => {
            let key = lease_row::session_key(&row.host);
            if let Some(stored) = find_row(&rows, &key) {
                observe_session(core, stored);
            }
        }
        // If the write took effect, the next attempt conflicts and returns the row.
        Err(_) => {}
    }
}

/// Records a session row that was read or written, and publishes a change of its state.
pub fn observe_session(core: &mut Core, stored: lease::Stored<lease::SessionRow>) {
    let now_ms = core.context.now_ms();
    let event = events::session(&stored);
    let (host, state) = (stored.row.host.clone(), stored.row.state);
    if !core.members.observe(stored, now_ms) {
        return;
    }
    core.changes.members = true;
    let (host_name, state_name) = (host.as_str(), state.as_str());
    spdlog::info!("session", kv: { host = host_name, state = state_name });
    // A daemon that leaves or lapses is announced to all peers directly: they must stop routing to
    // it, and one of them takes over its workers.
    let extra_receivers: Vec<_> = match state {
        lease::SessionState::Live => Vec::new(),
        _ => core.members.peers().map(|(peer, _)| peer.clone()).collect(),
    };
    core.gossip.publish(&mut core.context, &core.members, event, &extra_receivers);
    if host == core.context.settings.host && !state.holds_lease() && !core.shutdown.is_leaving() {
        // The next renewal conflicts, which starts a new incarnation, so it is not delayed.
        core.renewal.tick(&mut core.context, core.table.table().head_version());
    }
}

/// Publishes a snapshot and a gossip event with the new table head, if rows changed.
pub fn handle_table_change(core: &mut Core, changed: bool) {
    if !changed {
        return;
    }
    core.publisher.mark_changed();
    let event = events::table_head(core.table.table().head_version());
    core.gossip.publish(&mut core.context, &core.members, event, &[]);
}

fn log_failure<Content>(call: &str, result: &Result<Content, platform::CallError>) {
    if let Err(error) = result {
        let error = error.to_string();
        spdlog::warn!("platform-call-failed", kv: { call, error = error.as_str() });
    }
}
