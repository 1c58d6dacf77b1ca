//! Encoding and decoding of gossip events by subject.

use bytes::Bytes;
use jasminetack_domain::lease;
use jasminetack_domain::name;
use jasminetack_wire::gossip;
use jasminetack_wire::peer;
use prost::Message;

use super::loaded_adapters;

const SESSION_SUBJECT: &str = "session/";
const OWNER_SUBJECT: &str = "owner/";
const SUSPECT_SUBJECT: &str = "suspect/";
const TABLE_SUBJECT: &str = "table";

/// Decoded content of an event.
#[derive(Clone, Debug, PartialEq)]
pub enum EventContent {
    /// A session changed its state.
    Session(lease::Stored<lease::SessionRow>),
    /// A worker changed its owner.
    Owner(lease::Stored<lease::OwnerRow>),
    /// A monitor started or stopped suspecting a daemon.
    Suspicion {
        /// The monitored daemon.
        daemon: lease::Holder,
        /// The monitor.
        monitor: name::HostName,
        /// Whether the monitor suspects the daemon.
        suspects: bool,
    },
    /// A worker loaded or unloaded adapters; decoded by `loaded_adapters`.
    WorkerAdapters,
    /// The table has a new head version.
    TableHead(u64),
}

/// Creates the event for a session that changed its state.
pub fn session(stored: &lease::Stored<lease::SessionRow>) -> peer::Event {
    peer::Event {
        subject: format!("{SESSION_SUBJECT}{}", stored.row.host),
        version: stored.version,
        state: Bytes::from(gossip::SessionState::from(&stored.row).encode_to_vec()),
    }
}

/// Creates the event for a worker that changed its owner.
pub fn owner(stored: &lease::Stored<lease::OwnerRow>) -> peer::Event {
    peer::Event {
        subject: format!("{OWNER_SUBJECT}{}", stored.row.worker),
        version: stored.version,
        state: Bytes::from(gossip::OwnerState::from(&stored.row).encode_to_vec()),
    }
}

/// Creates the event for a new head version of the table.
pub fn table_head(version: u64) -> peer::Event {
    peer::Event { subject: TABLE_SUBJECT.to_owned(), version, state: Bytes::new() }
}

/// Creates the event for a monitor that started or stopped suspecting a daemon.
///
/// Only a higher `sequence` supersedes an earlier event of the same incarnation of the monitor; it
/// saturates at 0xffff.
pub fn suspicion(
    monitor: &lease::Holder,
    daemon: &lease::Holder,
    suspects: bool,
    sequence: u64,
) -> peer::Event {
    let state = gossip::Suspicion { incarnation: daemon.incarnation.value(), suspects };
    peer::Event {
        subject: format!("{SUSPECT_SUBJECT}{}/{}", daemon.host, monitor.host),
        // Events of a later incarnation of the monitor supersede all events of earlier ones.
        version: (monitor.incarnation.value() << 16) + sequence.min(0xffff),
        state: Bytes::from(state.encode_to_vec()),
    }
}

/// Decodes an event; `None` if its subject is unknown or its state is invalid.
pub fn decode(event: &peer::Event) -> Option<EventContent> {
    if event.subject.starts_with(loaded_adapters::WORKER_SUBJECT) {
        return Some(EventContent::WorkerAdapters);
    }
    if event.subject == TABLE_SUBJECT {
        return Some(EventContent::TableHead(event.version));
    }
    let version = event.version;
    if event.subject.starts_with(SESSION_SUBJECT) {
        let state = gossip::SessionState::decode(event.state.clone()).ok()?;
        let row = lease::SessionRow::try_from(state).ok()?;
        return Some(EventContent::Session(lease::Stored::new(version, row)));
    }
    if event.subject.starts_with(OWNER_SUBJECT) {
        let state = gossip::OwnerState::decode(event.state.clone()).ok()?;
        return Some(EventContent::Owner(lease::Stored::new(
            version,
            lease::OwnerRow::from(state),
        )));
    }
    let (daemon, monitor) = event.subject.strip_prefix(SUSPECT_SUBJECT)?.split_once('/')?;
    let state = gossip::Suspicion::decode(event.state.clone()).ok()?;
    let daemon = lease::Holder {
        host: name::HostName::from(daemon),
        incarnation: lease::Incarnation::new(state.incarnation),
    };
    let monitor = name::HostName::from(monitor);
    Some(EventContent::Suspicion { daemon, monitor, suspects: state.suspects })
}
