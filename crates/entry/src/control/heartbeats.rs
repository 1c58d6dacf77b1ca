//! Heartbeats of this daemon.

use jasminetack_domain::lease;
use jasminetack_domain::member;
use jasminetack_domain::name;
use jasminetack_wire::gossip;
use jasminetack_wire::peer;

use super::{Context, HostList, TableFeed};

/// Interval of status requests to all peers, per peer.
///
/// They are sent only while the local table is not confirmed; with 400 daemons that is 1.6 KB/s.
const STATUS_PER_DAEMON_MS: u64 = 25;
const MIN_STATUS_INTERVAL_MS: u64 = 2_000;

/// Sends heartbeats, and requests those of peers.
#[derive(Default)]
pub struct Heartbeats {
    sequence: u64,
    requested_ms: u64,
}

impl Heartbeats {
    /// Increments the sequence number.
    pub fn advance(&mut self) {
        self.sequence += 1;
    }

    /// Returns the sequence number of the current heartbeat.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Sends the current heartbeat to the monitors of this daemon.
    pub fn send(
        &self,
        context: &mut Context,
        members: &member::Membership,
        table: &TableFeed,
        own: &lease::Stored<lease::Holder>,
    ) {
        let body = self.body(context, table, own);
        let monitors: Vec<_> = members.monitors_of(&own.row.host).into_iter().cloned().collect();
        for monitor in monitors {
            context.send(members, &monitor, body.clone());
        }
    }

    /// Returns the current heartbeat; `own` carries the version of the local session row.
    pub fn body(
        &self,
        context: &Context,
        table: &TableFeed,
        own: &lease::Stored<lease::Holder>,
    ) -> peer::Body {
        peer::Body::Heartbeat(peer::Heartbeat {
            host: own.row.host.to_string(),
            incarnation: own.row.incarnation.value(),
            sequence: self.sequence,
            table_version: table.table().head_version(),
            table_age_ms: table.freshness().age_ms(context.now_ms()),
            session_version: own.version,
        })
    }

    /// Requests a heartbeat from all daemons while the local table is not confirmed.
    ///
    /// Requests start when no confirmation is newer than half of `table_stale_ms`.
    pub fn request_confirmation(
        &mut self,
        context: &mut Context,
        members: &member::Membership,
        hosts: &HostList,
        table: &TableFeed,
    ) {
        let now_ms = context.now_ms();
        let age_ms = table.freshness().age_ms(now_ms);
        if age_ms.is_some_and(|age_ms| 2 * age_ms < context.settings.table_stale_ms) {
            return;
        }
        let count = members.peers().count() as u64;
        let interval_ms = MIN_STATUS_INTERVAL_MS.max(count * STATUS_PER_DAEMON_MS);
        if now_ms < self.requested_ms + interval_ms {
            return;
        }
        self.requested_ms = now_ms;
        request_status(context, members);
        // A daemon that starts during a platform outage knows others only from the host list.
        for (host, daemon) in hosts.daemons() {
            if *host == context.settings.host || members.get(host).is_some() {
                continue;
            }
            let request = peer::Body::StatusRequest(gossip::StatusRequest {});
            context.send_to_address(host, daemon.address, request);
        }
    }
}

/// Requests a heartbeat from all peers; returns their hosts.
pub fn request_status(context: &mut Context, members: &member::Membership) -> Vec<name::HostName> {
    let peers: Vec<_> = members.peers().map(|(host, _)| host.clone()).collect();
    for host in &peers {
        let request = peer::Body::StatusRequest(gossip::StatusRequest {});
        context.send(members, host, request);
    }
    peers
}
