//! Platform, peer links and clock as used by the control thread.

use std::sync::Arc;

use indexmap::IndexMap;
use jasminetack_domain::member;
use jasminetack_domain::name;
use jasminetack_wire::peer;
use jasminetack_wire::platform as wire;

use super::PendingCall;
use crate::clock;
use crate::platform;
use crate::settings;
use crate::traffic;

/// Access to the platform, to other daemons and to the clock.
pub struct Context {
    /// Settings of the daemon.
    pub settings: Arc<settings::Settings>,
    clock: clock::Clock,
    platform: platform::Client,
    links: traffic::ControlLinks,
    calls: IndexMap<platform::CallId, PendingCall>,
    next_call_id: platform::CallId,
}

impl Context {
    /// Creates the context.
    pub fn new(
        settings: Arc<settings::Settings>,
        clock: clock::Clock,
        platform: platform::Client,
        links: traffic::ControlLinks,
    ) -> Self {
        Self { settings, clock, platform, links, calls: IndexMap::new(), next_call_id: 0 }
    }

    /// Returns the current time of the daemon's monotonic clock.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Queues a call that needs no `CallId`, because its reply identifies it.
    pub fn submit(&self, job: platform::Job) {
        self.platform.submit(job);
    }

    /// Queues a transaction.
    pub fn transact(&mut self, call: PendingCall, transaction: wire::Transaction) {
        let call_id = self.register(call);
        self.platform.submit(platform::Job::Transact { call_id, transaction });
    }

    /// Queues a read of one row.
    pub fn read(&mut self, call: PendingCall, key: String) {
        let call_id = self.register(call);
        let request = wire::ReadRequest { keys: vec![key] };
        self.platform.submit(platform::Job::Read { call_id, request });
    }

    /// Removes a finished call and returns its purpose.
    pub fn take_call(&mut self, call_id: platform::CallId) -> Option<PendingCall> {
        self.calls.swap_remove(&call_id)
    }

    /// Sends a control frame to a known member; does nothing if `host` is not a member.
    ///
    /// Frames may be lost; later heartbeats, digests and polls make up for them.
    pub fn send(&mut self, members: &member::Membership, host: &name::HostName, body: peer::Body) {
        let Some(member) = members.get(host) else { return };
        self.links.send(host, member.session().row().peers_address, body);
    }

    /// Sends a control frame to a daemon at an address from the host list.
    pub fn send_to_address(
        &mut self,
        host: &name::HostName,
        address: std::net::SocketAddr,
        body: peer::Body,
    ) {
        self.links.send(host, address, body);
    }

    fn register(&mut self, call: PendingCall) -> platform::CallId {
        self.next_call_id += 1;
        self.calls.insert(self.next_call_id, call);
        self.next_call_id
    }
}
