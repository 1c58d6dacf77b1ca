//! What the parts of the control thread use to reach others.

use std::sync::Arc;

use indexmap::IndexMap;
use jasminetack_domain::member;
use jasminetack_domain::name;
use jasminetack_wire::peer;
use jasminetack_wire::platform as wire;

use super::Call;
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
    calls: IndexMap<platform::Tag, Call>,
    next_tag: platform::Tag,
}

impl Context {
    /// Creates the context.
    pub fn new(
        settings: Arc<settings::Settings>,
        clock: clock::Clock,
        platform: platform::Client,
        links: traffic::ControlLinks,
    ) -> Self {
        Self { settings, clock, platform, links, calls: IndexMap::new(), next_tag: 0 }
    }

    /// Returns the present time.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Queues a call without tag.
    pub fn submit(&self, job: platform::Job) {
        self.platform.submit(job);
    }

    /// Queues a transaction.
    pub fn transact(&mut self, call: Call, transaction: wire::Transaction) {
        let tag = self.tag(call);
        self.platform.submit(platform::Job::Transact { tag, transaction });
    }

    /// Queues the reading of one row.
    pub fn read(&mut self, call: Call, key: String) {
        let tag = self.tag(call);
        let request = wire::ReadRequest { keys: vec![key] };
        self.platform.submit(platform::Job::Read { tag, request });
    }

    /// Returns what a finished call was for.
    pub fn finish(&mut self, tag: platform::Tag) -> Option<Call> {
        self.calls.swap_remove(&tag)
    }

    /// Sends a control frame to a daemon whose address is known.
    ///
    /// Frames may be lost; every exchange is repeated or repaired by a later one.
    pub fn send(&mut self, members: &member::Membership, host: &name::HostName, body: peer::Body) {
        let Some(member) = members.get(host) else { return };
        self.links.send(host, member.session().row().peers_address, body);
    }

    /// Sends a control frame to a daemon at an address from the host list.
    pub fn send_to(
        &mut self,
        host: &name::HostName,
        address: std::net::SocketAddr,
        body: peer::Body,
    ) {
        self.links.send(host, address, body);
    }

    fn tag(&mut self, call: Call) -> platform::Tag {
        self.next_tag += 1;
        self.calls.insert(self.next_tag, call);
        self.next_tag
    }
}
