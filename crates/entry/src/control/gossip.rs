//! Gossip of events between daemons, with anti-entropy by digest.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;
use jasminetack_domain::member;
use jasminetack_domain::name;
use jasminetack_wire::gossip;
use jasminetack_wire::peer;
use rand::seq::IteratorRandom;

use super::Context;

/// Number of random peers to which a new event is sent.
const FANOUT: usize = 3;

/// Stores the newest event of each subject, forwards new ones and exchanges missing ones.
#[derive(Default)]
pub struct Gossip {
    store: member::GossipStore<Bytes>,
}

impl Gossip {
    /// Stores an event from this daemon and, if it is new, sends it to random peers and to
    /// `extra_receivers`.
    pub fn publish(
        &mut self,
        context: &mut Context,
        members: &member::Membership,
        event: peer::Event,
        extra_receivers: &[name::HostName],
    ) {
        if self.merge(&event) == member::MergeOutcome::Stale {
            return;
        }
        let mut receivers = random_peers(members, FANOUT);
        for host in extra_receivers {
            if !receivers.contains(host) {
                receivers.push(host.clone());
            }
        }
        send_events(context, members, &receivers, vec![event]);
    }

    /// Stores an event unless its version is not higher than the stored one.
    pub fn merge(&mut self, event: &peer::Event) -> member::MergeOutcome {
        self.store.merge(member::GossipEntry {
            subject: Arc::from(event.subject.as_str()),
            version: event.version,
            state: event.state.clone(),
        })
    }

    /// Sends new events to random peers other than the sender.
    pub fn forward(
        &self,
        context: &mut Context,
        members: &member::Membership,
        from: &name::HostName,
        events: Vec<peer::Event>,
    ) {
        if events.is_empty() {
            return;
        }
        let mut receivers = random_peers(members, FANOUT + 1);
        receivers.retain(|host| host != from);
        receivers.truncate(FANOUT);
        send_events(context, members, &receivers, events);
    }

    /// Sends a peer the events of the requested buckets that are newer than its `known_versions`.
    pub fn send_missing(
        &self,
        context: &mut Context,
        members: &member::Membership,
        to: &name::HostName,
        buckets: &[u32],
        known_versions: &IndexMap<String, u64>,
    ) {
        let buckets: Vec<usize> = buckets.iter().map(|bucket| *bucket as usize).collect();
        let mut events = self.events_of(&buckets);
        events.retain(|event| {
            known_versions.get(&event.subject).is_none_or(|version| *version < event.version)
        });
        if !events.is_empty() {
            send_events(context, members, std::slice::from_ref(to), events);
        }
    }

    /// Sends the digest to one random peer.
    pub fn send_digest(&self, context: &mut Context, members: &member::Membership) {
        for host in random_peers(members, 1) {
            let digest = gossip::Digest { hashes: self.store.digest().to_vec() };
            context.send(members, &host, peer::Body::Digest(digest));
        }
    }

    /// Answers a digest with all events of the differing buckets, and requests the peer's.
    pub fn handle_digest(
        &self,
        context: &mut Context,
        members: &member::Membership,
        from: &name::HostName,
        digest: &gossip::Digest,
    ) {
        let buckets = self.store.differing_buckets(&digest.hashes);
        if buckets.is_empty() {
            return;
        }
        let events = self.events_of(&buckets);
        let wanted_buckets = buckets.into_iter().filter_map(|bucket| bucket.try_into().ok());
        let gossip = peer::Gossip { events, wanted_buckets: wanted_buckets.collect() };
        context.send(members, from, peer::Body::Gossip(gossip));
    }

    fn events_of(&self, buckets: &[usize]) -> Vec<peer::Event> {
        let entries = self.store.entries_in_buckets(buckets).into_iter();
        let events = entries.map(|entry| peer::Event {
            subject: entry.subject.to_string(),
            version: entry.version,
            state: entry.state,
        });
        events.collect()
    }
}

fn random_peers(members: &member::Membership, count: usize) -> Vec<name::HostName> {
    members.peers().map(|(host, _)| host.clone()).sample(&mut rand::rng(), count)
}

fn send_events(
    context: &mut Context,
    members: &member::Membership,
    receivers: &[name::HostName],
    events: Vec<peer::Event>,
) {
    for host in receivers {
        let gossip = peer::Gossip { events: events.clone(), wanted_buckets: Vec::new() };
        context.send(members, host, peer::Body::Gossip(gossip));
    }
}
