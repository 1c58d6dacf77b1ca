//! The control state of a daemon and its actions at each timer.

use std::sync::Arc;

use arc_swap::ArcSwap;
use jasminetack_domain::lease;
use jasminetack_domain::member;
use jasminetack_wire::platform as wire;

use super::publisher::Sources;
use super::renewal::Renewal;
use super::shutdown::Conditions;
use super::{
    Context, Gossip, Grants, Heartbeats, HostList, LoadedAdapters, Owners, PeerMonitor,
    PendingCall, Publisher, Sessions, Shutdown, TableFeed, events, heartbeats,
};
use crate::in_flight;
use crate::platform;
use crate::settings;
use crate::snapshot;
use crate::traffic;

/// Failure detector in use; docs/MEASUREMENTS.md compares the three implementations.
type FailureDetector = member::FixedTimeout;

/// State of the control thread.
///
/// The modules `replies`, `frames` and `worker_events` apply incoming messages to it; the methods
/// here run at timers. `apply_changes` makes the updates that follow from all of these changes.
pub struct Core {
    pub(super) context: Context,
    pub(super) members: member::Membership,
    pub(super) renewal: Renewal,
    pub(super) sessions: Sessions,
    pub(super) table: TableFeed,
    pub(super) hosts: HostList,
    pub(super) peer_monitor: PeerMonitor<FailureDetector>,
    pub(super) heartbeats: Heartbeats,
    pub(super) owners: Owners,
    pub(super) grants: Grants,
    pub(super) gossip: Gossip,
    pub(super) loaded_adapters: LoadedAdapters,
    pub(super) publisher: Publisher,
    pub(super) shutdown: Shutdown,
    pub(super) changes: Changes,
    dispatcher: Arc<traffic::Dispatcher>,
    in_flight: in_flight::InFlight,
}

/// Changes since the last call of `Core::apply_changes`.
#[derive(Default)]
pub(super) struct Changes {
    pub(super) members: bool,
    pub(super) owners: bool,
    pub(super) hosts: bool,
    pub(super) releases: bool,
    /// Failed claims are to be retried.
    pub(super) claims: bool,
}

impl Core {
    /// Creates the initial state.
    pub fn new(
        context: Context,
        dispatcher: Arc<traffic::Dispatcher>,
        published: Arc<ArcSwap<snapshot::Snapshot>>,
        in_flight: in_flight::InFlight,
    ) -> Self {
        let settings = Arc::clone(&context.settings);
        Self {
            members: member::Membership::new(settings.host.clone(), settings.monitor_count),
            renewal: Renewal::new(session_row(&settings)),
            sessions: Sessions::default(),
            table: TableFeed::new(settings.table_stale_ms),
            hosts: HostList::default(),
            peer_monitor: PeerMonitor::new(FailureDetector::new(settings.suspect_after_ms, 0)),
            heartbeats: Heartbeats::default(),
            owners: Owners::default(),
            grants: Grants::new(Arc::clone(&dispatcher)),
            gossip: Gossip::default(),
            loaded_adapters: LoadedAdapters::default(),
            publisher: Publisher::new(published),
            shutdown: Shutdown::default(),
            changes: Changes::default(),
            dispatcher,
            in_flight,
            context,
        }
    }

    /// Renews the local session, and retries failed calls.
    pub fn renew(&mut self) {
        self.renewal.tick(&mut self.context, self.table.table().head_version());
        self.grants.retry(&mut self.context);
        self.owners.read_unresolved(&mut self.context);
        self.sessions.poll(&self.context, self.members.lease_holders().count());
        self.changes.claims = true;
    }

    /// Reads the table, owner and release rows that changed.
    pub fn poll_rows(&mut self) {
        self.table.poll(&self.context);
        self.owners.poll(&self.context);
        self.grants.poll(&self.context);
    }

    /// Reads the host list.
    pub fn poll_hosts(&self) {
        self.context.submit(platform::Job::Hosts);
    }

    /// Sends the next heartbeat to the monitors of this daemon.
    pub fn send_next_heartbeat(&mut self) {
        self.heartbeats.advance();
        self.send_heartbeats();
    }

    /// Sends the current heartbeat with the current version of the local session row.
    pub fn send_heartbeats(&mut self) {
        let Some(own) = self.own() else { return };
        self.heartbeats.send(&mut self.context, &self.members, &self.table, &own);
    }

    /// Returns the local incarnation with the version of its session row.
    pub(super) fn own(&self) -> Option<lease::Stored<lease::Holder>> {
        let holder = self.renewal.holder()?;
        Some(lease::Stored::new(self.renewal.version(), holder))
    }

    /// Sends the gossip digest to a random peer.
    pub fn send_digest(&mut self) {
        self.gossip.send_digest(&mut self.context, &self.members);
    }

    /// Hands over one worker that another daemon should own, or all such workers while leaving.
    pub fn hand_over(&mut self) {
        let leaving = self.shutdown.is_leaving();
        if self.renewal.holder().is_none() {
            return;
        }
        let Some(row) = self.renewal.row() else { return };
        self.owners.hand_over(&mut self.context, &self.members, &self.hosts, row, leaving);
    }

    /// Updates suspicions, marks expired sessions as lapsed, publishes loaded adapters and advances
    /// a shutdown.
    pub fn check_peers(&mut self) {
        let now_ms = self.context.now_ms();
        self.update_suspicions(now_ms);
        let settings = Arc::clone(&self.context.settings);
        let daemons = self.members.lease_holders().count();
        let poll_ms = Sessions::poll_interval_ms(settings.lease_renew_ms, daemons);
        let unmonitored_ttl_ms = settings.lease_ttl_ms + 2 * poll_ms;
        let lapses = self.peer_monitor.prepare_lapses(
            &self.members,
            now_ms,
            settings.lease_ttl_ms,
            unmonitored_ttl_ms,
        );
        for write in lapses {
            let transaction = wire::Transaction::from(&write);
            self.context.transact(PendingCall::Lapse(write.row), transaction);
        }
        self.report_loaded_adapters();
        self.heartbeats.request_confirmation(
            &mut self.context,
            &self.members,
            &self.hosts,
            &self.table,
        );
        self.advance_shutdown(now_ms);
    }

    fn update_suspicions(&mut self, now_ms: u64) {
        let Some(own) = self.renewal.holder() else { return };
        for (daemon, suspects) in self.peer_monitor.suspicion_changes(now_ms) {
            let (host, incarnation) = (daemon.host.as_str(), daemon.incarnation.value());
            spdlog::info!("suspect", kv: { host, incarnation, suspects });
            if self.members.record_suspicion(&daemon, &own.host, suspects) {
                self.publisher.mark_changed();
            }
            let event = events::suspicion(&own, &daemon, suspects, self.heartbeats.sequence());
            self.gossip.publish(&mut self.context, &self.members, event, &[]);
        }
    }

    /// Publishes the adapters loaded on owned workers.
    fn report_loaded_adapters(&mut self) {
        for summary in self.dispatcher.summaries() {
            let Some(fencing) = self.grants.fencing(&summary.worker) else { continue };
            let loaded = summary.loaded.into_iter().collect();
            let change =
                self.loaded_adapters.report(&summary.worker, fencing, loaded, summary.available);
            let Some(change) = change else { continue };
            self.publisher.mark_adapters_changed();
            self.gossip.merge(&change.complete);
            let own = self.context.settings.host.clone();
            self.gossip.forward(&mut self.context, &self.members, &own, vec![change.change]);
        }
    }

    /// Starts a graceful shutdown.
    pub fn terminate(&mut self) {
        let now_ms = self.context.now_ms();
        self.shutdown.start(now_ms);
        self.renewal.set_state(lease::SessionState::Leaving);
        self.renewal.tick(&mut self.context, self.table.table().head_version());
        spdlog::info!("shutdown", kv: { phase = self.shutdown.as_str() });
    }

    /// Requests acknowledgements from peers after the session was published as leaving.
    pub(super) fn announce(&mut self) {
        // The request follows the event on the same connection, so a reply proves its arrival.
        let peers = heartbeats::request_status(&mut self.context, &self.members);
        let awaited = peers.into_iter().filter(|host| !self.members.is_suspected(host));
        self.shutdown.record_announced(awaited.collect());
    }

    fn advance_shutdown(&mut self, now_ms: u64) {
        if !self.shutdown.is_leaving() {
            return;
        }
        if matches!(self.shutdown, Shutdown::HandingOver { .. }) {
            self.hand_over();
        }
        let own = self.renewal.holder();
        let owned = own.as_ref().map_or(0, |own| self.owners.owned_by(own).len());
        let is_alone = self.members.candidates().next().is_none();
        let row = self.renewal.row();
        let conditions = Conditions {
            handed_over: (owned == 0 || is_alone) && !self.owners.is_changing(),
            idle: self.in_flight.count() == 0,
            released: self.grants.is_empty(),
            session_ended: own.is_none() || self.renewal.has_written_end(),
            grace_ms: self.context.settings.shutdown_grace_ms,
        };
        if !self.shutdown.advance(conditions, now_ms) {
            return;
        }
        let (phase, in_flight) = (self.shutdown.as_str(), self.in_flight.count() as u64);
        spdlog::info!("shutdown", kv: { phase, in_flight });
        if matches!(self.shutdown, Shutdown::Ending { .. }) && row.is_some() {
            self.renewal.set_state(lease::SessionState::Ended);
            self.renewal.tick(&mut self.context, self.table.table().head_version());
        }
    }

    /// Returns the phase of the shutdown.
    pub fn shutdown(&self) -> &Shutdown {
        &self.shutdown
    }

    /// Updates claims, grants and the published snapshot after the changes since the last call.
    pub fn apply_changes(&mut self) {
        let now_ms = self.context.now_ms();
        let changes = std::mem::take(&mut self.changes);
        if changes.members {
            self.peer_monitor.update_members(&self.members, now_ms);
            let live = self.members.candidates().count().max(1);
            let load_limit = (self.context.settings.fleet_loads / live).max(1);
            self.dispatcher.set_load_limit(load_limit);
        }
        let is_ending = matches!(self.shutdown, Shutdown::Ending { .. });
        let own = self.renewal.holder().filter(|_| !is_ending);
        let changed = changes.members || changes.owners || changes.hosts;
        let may_claim = (changed || changes.claims) && !self.shutdown.is_leaving();
        if let (true, Some(own)) = (may_claim, &own) {
            self.owners.claim(&mut self.context, &self.members, &self.hosts, own);
        }
        if changed || is_ending {
            self.grants.reconcile(&self.owners, &self.hosts, own.as_ref());
        }
        if changed || changes.releases {
            self.grants.prune_former_owners(&mut self.owners, &self.members, &self.hosts);
        }
        if changed {
            self.publisher.mark_changed();
        }
        let sources = Sources {
            table: self.table.table(),
            members: &self.members,
            hosts: &self.hosts,
            owners: &self.owners,
            loaded_adapters: &self.loaded_adapters,
            own: &self.context.settings.host,
            readiness: self.readiness(now_ms),
        };
        self.publisher.publish(&sources, now_ms);
    }

    fn readiness(&self, now_ms: u64) -> snapshot::Readiness {
        if self.shutdown.is_leaving() {
            return snapshot::Readiness::Leaving;
        }
        snapshot::Readiness::Table(self.table.status(&self.members, now_ms))
    }
}

fn session_row(settings: &settings::Settings) -> lease::SessionRow {
    lease::SessionRow {
        host: settings.host.clone(),
        incarnation: lease::Incarnation::default(),
        state: lease::SessionState::Live,
        renewals: 0,
        table_version: 0,
        host_incarnation: settings.host_incarnation,
        place: settings.locality.clone(),
        peers_address: settings.peers_address,
        ops_address: Some(settings.ops_address),
    }
}
