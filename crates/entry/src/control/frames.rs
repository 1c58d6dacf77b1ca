//! Handling of control frames from other daemons.

use indexmap::IndexMap;
use jasminetack_domain::lease;
use jasminetack_domain::member;
use jasminetack_domain::name;
use jasminetack_wire::peer;

use super::core::Core;
use super::events;
use super::replies;

/// Applies a control frame to the control state.
pub fn handle(core: &mut Core, from: &name::HostName, body: peer::Body) {
    match body {
        peer::Body::Heartbeat(heartbeat) => handle_heartbeat(core, from, &heartbeat),
        peer::Body::Gossip(gossip) => handle_gossip(core, from, gossip),
        peer::Body::Digest(digest) => {
            core.gossip.handle_digest(&mut core.context, &core.members, from, &digest);
        }
        peer::Body::StatusRequest(_) => {
            let Some(own) = core.own() else { return };
            let body = core.heartbeats.body(&core.context, &core.table, &own);
            reply(core, from, body);
        }
        peer::Body::RowsRequest(request) => {
            let rows = core.table.rows_after(request.after);
            reply(core, from, peer::Body::Rows(rows));
        }
        peer::Body::Rows(rows) => {
            let changed = core.table.apply_peer_rows(rows);
            replies::handle_table_change(core, changed);
        }
        // Frames of requests are handled by the traffic threads.
        _ => {}
    }
}

/// Sends a frame to a daemon that may be known only from the host list.
fn reply(core: &mut Core, to: &name::HostName, body: peer::Body) {
    if core.members.get(to).is_some() {
        core.context.send(&core.members, to, body);
        return;
    }
    let Some(daemon) = core.hosts.daemons().get(to) else { return };
    core.context.send_to_address(to, daemon.address, body);
}

fn handle_heartbeat(core: &mut Core, from: &name::HostName, heartbeat: &peer::Heartbeat) {
    let now_ms = core.context.now_ms();
    let incarnation = lease::Incarnation::new(heartbeat.incarnation);
    let sender = lease::Holder { host: from.clone(), incarnation };
    core.shutdown.record_acknowledged(from);
    let known = core.members.session(from).map(|session| session.row.incarnation);
    if known.is_none_or(|known| known < incarnation) {
        core.sessions.read(&mut core.context, from);
    }
    core.members.record_renewal(&sender, heartbeat.session_version, now_ms);
    core.peer_monitor.record_heartbeat(&sender, heartbeat.sequence, now_ms);
    core.table.handle_heartbeat(&mut core.context, &core.members, from, heartbeat);
}

fn handle_gossip(core: &mut Core, from: &name::HostName, gossip: peer::Gossip) {
    let mut known_versions = IndexMap::with_capacity(gossip.events.len());
    let mut forwarded = Vec::new();
    for event in gossip.events {
        known_versions.insert(event.subject.clone(), event.version);
        if apply_event(core, &event) {
            forwarded.push(event);
        }
    }
    core.gossip.forward(&mut core.context, &core.members, from, forwarded);
    if !gossip.wanted_buckets.is_empty() {
        let buckets = &gossip.wanted_buckets;
        core.gossip.send_missing(&mut core.context, &core.members, from, buckets, &known_versions);
    }
}

/// Applies an event; returns whether it is new and must be forwarded.
fn apply_event(core: &mut Core, event: &peer::Event) -> bool {
    let Some(content) = events::decode(event) else { return false };
    if content == events::EventContent::WorkerAdapters {
        let Some(change) = core.loaded_adapters.apply(event) else { return false };
        core.publisher.mark_adapters_changed();
        return core.gossip.merge(&change.complete) == member::MergeOutcome::Applied;
    }
    if core.gossip.merge(event) == member::MergeOutcome::Stale {
        return false;
    }
    let now_ms = core.context.now_ms();
    match content {
        events::EventContent::Session(stored) => {
            let is_own = stored.row.host == core.context.settings.host;
            let is_over = !stored.row.state.holds_lease();
            // The local session changes only by renewal; an event that ends it triggers one.
            if !is_own {
                core.changes.members |= core.members.observe(stored, now_ms);
            } else if is_over && !core.shutdown.is_leaving() {
                core.renewal.tick(&mut core.context, core.table.table().head_version());
            }
        }
        events::EventContent::Owner(stored) => {
            core.changes.owners |= core.owners.observe(stored, now_ms);
        }
        events::EventContent::Suspicion { daemon, monitor, suspects } => {
            if core.members.record_suspicion(&daemon, &monitor, suspects) {
                core.publisher.mark_changed();
            }
        }
        events::EventContent::TableHead(version) => {
            if version > core.table.table().head_version() {
                core.table.poll(&core.context);
            }
        }
        events::EventContent::WorkerAdapters => {}
    }
    true
}
