//! Phases of a graceful shutdown.

use indexmap::IndexSet;
use jasminetack_domain::name;

/// Minimum time for which a leaving daemon still accepts requests, so that a load balancer that
/// probes `/readyz` every second sees the change before connections are refused.
const MIN_ANNOUNCE_MS: u64 = 2_000;
/// Maximum time to wait for peers to acknowledge the announcement.
const MAX_ANNOUNCE_MS: u64 = 4_000;
/// Maximum time to hand over workers; the shutdown then continues with those that remain.
const MAX_HANDOVER_MS: u64 = 5_000;
/// Maximum time to write the last rows; without them the lease expires instead.
const MAX_ENDING_MS: u64 = 3_000;

/// Progress of a graceful shutdown.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Shutdown {
    /// No shutdown was requested.
    #[default]
    Running,
    /// Peers and load balancers are told that the daemon is leaving; requests are still accepted.
    Announcing {
        /// When the phase began.
        since_ms: u64,
        /// Peers that have not acknowledged the announcement; `None` until it was sent.
        unacknowledged: Option<IndexSet<name::HostName>>,
    },
    /// Owned workers are handed over to other daemons.
    HandingOver {
        /// When the phase began.
        since_ms: u64,
    },
    /// Requests in flight are finished.
    Finishing {
        /// When the phase began.
        since_ms: u64,
    },
    /// Release rows and the end of the session are written.
    Ending {
        /// When the phase began.
        since_ms: u64,
    },
    /// The process may exit.
    Done,
}

/// Conditions for the transitions between phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conditions {
    /// No worker is owned, or no other daemon can take one over.
    pub handed_over: bool,
    /// No request is in flight.
    pub idle: bool,
    /// No ownership is granted, draining or without its release row.
    pub released: bool,
    /// The session row was written with state `ended`, or there is no session.
    pub session_ended: bool,
    /// Maximum time for requests in flight to finish.
    pub grace_ms: u64,
}

impl Shutdown {
    /// Returns whether a shutdown has started.
    pub fn is_leaving(&self) -> bool {
        *self != Self::Running
    }

    /// Starts the shutdown; does nothing if it has started already.
    pub fn start(&mut self, now_ms: u64) {
        if *self == Self::Running {
            *self = Self::Announcing { since_ms: now_ms, unacknowledged: None };
        }
    }

    /// Records the peers that must acknowledge the announcement.
    pub fn record_announced(&mut self, peers: IndexSet<name::HostName>) {
        if let Self::Announcing { unacknowledged, .. } = self {
            *unacknowledged = Some(peers);
        }
    }

    /// Records that a peer acknowledged the announcement.
    pub fn record_acknowledged(&mut self, peer: &name::HostName) {
        if let Self::Announcing { unacknowledged: Some(unacknowledged), .. } = self {
            unacknowledged.swap_remove(peer);
        }
    }

    /// Enters the next phase if the current one is complete; returns whether it did.
    pub fn advance(&mut self, conditions: Conditions, now_ms: u64) -> bool {
        let next = match self {
            Self::Running | Self::Done => return false,
            Self::Announcing { since_ms, unacknowledged } => {
                let is_acknowledged = unacknowledged.as_ref().is_some_and(IndexSet::is_empty);
                let earliest_ms = *since_ms + MIN_ANNOUNCE_MS;
                let latest_ms = *since_ms + MAX_ANNOUNCE_MS;
                if now_ms < earliest_ms || (!is_acknowledged && now_ms < latest_ms) {
                    return false;
                }
                Self::HandingOver { since_ms: now_ms }
            }
            Self::HandingOver { since_ms } => {
                if !conditions.handed_over && now_ms < *since_ms + MAX_HANDOVER_MS {
                    return false;
                }
                Self::Finishing { since_ms: now_ms }
            }
            Self::Finishing { since_ms } => {
                if !conditions.idle && now_ms < *since_ms + conditions.grace_ms {
                    return false;
                }
                Self::Ending { since_ms: now_ms }
            }
            Self::Ending { since_ms } => {
                let is_written = conditions.released && conditions.session_ended;
                if !is_written && now_ms < *since_ms + MAX_ENDING_MS {
                    return false;
                }
                Self::Done
            }
        };
        *self = next;
        true
    }

    /// Returns the name of the phase for logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Announcing { .. } => "announcing",
            Self::HandingOver { .. } => "handing-over",
            Self::Finishing { .. } => "finishing",
            Self::Ending { .. } => "ending",
            Self::Done => "done",
        }
    }
}
