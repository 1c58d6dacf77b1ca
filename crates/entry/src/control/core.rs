//! The control state of a daemon: its parts and what they do at each timer.

use std::sync::Arc;

use arc_swap::ArcSwap;
use jasminetack_domain::lease;
use jasminetack_domain::member;
use jasminetack_wire::platform as wire;

use super::publisher::Sources;
use super::renewal::Renewal;
use super::shutdown::Conditions;
use super::{
    Call, Context, Gossip, Grants, Heartbeats, HostList, Loads, Owners, Publisher, Sessions,
    Shutdown, TableFeed, Watch, events, heartbeats,
};
use crate::in_flight;
use crate::platform;
use crate::settings;
use crate::snapshot;
use crate::traffic;

/// Detector in use; docs/MEASUREMENTS.md compares the three.
type ChosenDetector = member::FixedTimeout;

/// Everything that the control thread knows.
///
/// `replies` and `frames` change it by what arrives; the methods here act at timers and settle what
/// follows from all changes.
pub struct Core {
    pub(super) context: Context,
    pub(super) members: member::Membership,
    pub(super) renewal: Renewal,
    pub(super) sessions: Sessions,
    pub(super) table: TableFeed,
    pub(super) hosts: HostList,
    pub(super) watch: Watch<ChosenDetector>,
    pub(super) heartbeats: Heartbeats,
    pub(super) owners: Owners,
    pub(super) grants: Grants,
    pub(super) gossip: Gossip,
    pub(super) loads: Loads,
    pub(super) publisher: Publisher,
    pub(super) shutdown: Shutdown,
    pub(super) changes: Changes,
    dispatcher: Arc<traffic::Dispatcher>,
    in_flight: in_flight::InFlight,
}

/// What changed since the last settling.
#[derive(Default)]
pub(super) struct Changes {
    pub(super) members: bool,
    pub(super) owners: bool,
    pub(super) hosts: bool,
    pub(super) evidence: bool,
    /// Claims that failed are due again.
    pub(super) claims: bool,
}

impl Core {
    /// Creates the state of a daemon that knows nothing yet.
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
            watch: Watch::new(ChosenDetector::new(settings.suspect_after_ms, 0)),
            heartbeats: Heartbeats::default(),
            owners: Owners::default(),
            grants: Grants::new(Arc::clone(&dispatcher)),
            gossip: Gossip::default(),
            loads: Loads::default(),
            publisher: Publisher::new(published),
            shutdown: Shutdown::default(),
            changes: Changes::default(),
            dispatcher,
            in_flight,
            context,
        }
    }

    /// Renews the own session, and repeats what failed.
    pub fn renew(&mut self) {
        self.renewal.tick(&mut self.context, self.table.table().head_version());
        self.grants.retry(&mut self.context);
        self.owners.resolve(&mut self.context);
        self.sessions.poll(&self.context, self.members.lease_holders().count());
        self.changes.claims = true;
    }

    /// Reads the rows that seldom change.
    pub fn poll_rows(&mut self) {
        self.table.poll(&self.context);
        self.owners.poll(&self.context);
        self.grants.poll(&self.context);
    }

    /// Reads the host list.
    pub fn poll_hosts(&self) {
        self.context.submit(platform::Job::Hosts);
    }

    /// Sends a heartbeat to the own monitors.
    pub fn beat(&mut self) {
        self.heartbeats.advance();
        self.send_heartbeats();
    }

    /// Sends the present heartbeat again, with the present version of the own session.
    pub fn send_heartbeats(&mut self) {
        let Some(own) = self.own() else { return };
        self.heartbeats.send(&mut self.context, &self.members, &self.table, &own);
    }

    /// Returns the own incarnation with the version of its session row.
    pub(super) fn own(&self) -> Option<lease::Stored<lease::Holder>> {
        let holder = self.renewal.holder()?;
        Some(lease::Stored::new(self.renewal.version(), holder))
    }

    /// Compares all events with another daemon.
    pub fn compare_events(&mut self) {
        self.gossip.compare(&mut self.context, &self.members);
    }

    /// Hands over one worker that another daemon should own, or all while leaving.
    pub fn hand_over(&mut self) {
        let leaving = self.shutdown.is_leaving();
        if self.renewal.holder().is_none() {
            return;
        }
        let Some(row) = self.renewal.row() else { return };
        self.owners.hand_over(&mut self.context, &self.members, &self.hosts, row, leaving);
    }

    /// Judges other daemons, spreads what workers hold, and goes on with a shutdown.
    pub fn watch(&mut self) {
        let now_ms = self.context.now_ms();
        self.spread_verdicts(now_ms);
        let settings = Arc::clone(&self.context.settings);
        let daemons = self.members.lease_holders().count();
        let poll_ms = Sessions::poll_interval_ms(settings.lease_renew_ms, daemons);
        let unwatched_ttl_ms = settings.lease_ttl_ms + 2 * poll_ms;
        let lapses =
            self.watch.lapses(&self.members, now_ms, settings.lease_ttl_ms, unwatched_ttl_ms);
        for write in lapses {
            let transaction = wire::Transaction::from(&write);
            self.context.transact(Call::Lapse(write.row), transaction);
        }
        self.report_loads();
        self.heartbeats.ask_for_confirmation(
            &mut self.context,
            &self.members,
            &self.hosts,
            &self.table,
        );
        self.continue_shutdown(now_ms);
    }

    fn spread_verdicts(&mut self, now_ms: u64) {
        let Some(own) = self.renewal.holder() else { return };
        for (accused, suspects) in self.watch.verdicts(now_ms) {
            let (host, incarnation) = (accused.host.as_str(), accused.incarnation.value());
            spdlog::info!("suspect", kv: { host, incarnation, suspects });
            if self.members.record_suspicion(&accused, &own.host, suspects) {
                self.publisher.touch();
            }
            let event = events::suspicion(&own, &accused, suspects, self.heartbeats.sequence());
            self.gossip.spread(&mut self.context, &self.members, event, &[]);
        }
    }

    /// Spreads what the owned workers hold.
    fn report_loads(&mut self) {
        for summary in self.dispatcher.summaries() {
            let Some(fencing) = self.grants.fencing(&summary.worker) else { continue };
            let loaded = summary.loaded.into_iter().collect();
            let change = self.loads.report(&summary.worker, fencing, loaded, summary.available);
            let Some(change) = change else { continue };
            self.publisher.touch_loads();
            self.gossip.learn(&change.complete);
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

    /// Tells the peers that this daemon leaves, once its session says so.
    pub(super) fn announce(&mut self) {
        // The request follows the event on one connection, so an answer shows that it arrived.
        let peers = heartbeats::ask_peers(&mut self.context, &self.members);
        let waited = peers.into_iter().filter(|host| !self.members.is_suspected(host));
        self.shutdown.told(waited.collect());
    }

    fn continue_shutdown(&mut self, now_ms: u64) {
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

    /// Returns how far a shutdown is.
    pub fn shutdown(&self) -> &Shutdown {
        &self.shutdown
    }

    /// Does what follows from all changes since the last call.
    pub fn settle(&mut self) {
        let now_ms = self.context.now_ms();
        let changes = std::mem::take(&mut self.changes);
        if changes.members {
            self.watch.follow(&self.members, now_ms);
            let live = self.members.candidates().count().max(1);
            let loads = (self.context.settings.fleet_loads / live).max(1);
            self.dispatcher.set_load_limit(loads);
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
        if changed || changes.evidence {
            self.grants.apply_evidence(&mut self.owners, &self.members, &self.hosts);
        }
        if changed {
            self.publisher.touch();
        }
        let sources = Sources {
            table: self.table.table(),
            members: &self.members,
            hosts: &self.hosts,
            owners: &self.owners,
            loads: &self.loads,
            own: &self.context.settings.host,
            readiness: self.readiness(now_ms),
        };
        self.publisher.publish(&sources, now_ms);
    }

    fn readiness(&self, now_ms: u64) -> snapshot::Readiness {
        if self.shutdown.is_leaving() {
            return snapshot::Readiness::Leaving;
        }
        snapshot::Readiness::Table(self.table.standing(&self.members, now_ms))
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
