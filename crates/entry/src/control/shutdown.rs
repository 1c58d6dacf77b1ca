//! Phases of a graceful shutdown.

use indexmap::IndexSet;
use jasminetack_domain::name;

/// Time for which a leaving daemon still accepts requests, so that a balancer which probes the
/// readiness every second has seen it.
const MIN_ANNOUNCE_MS: u64 = 2_000;
/// Time after which peers that do not answer are not waited for.
const MAX_ANNOUNCE_MS: u64 = 4_000;
/// Time to hand workers over before the shutdown goes on with them.
const MAX_HANDOVER_MS: u64 = 5_000;
/// Time to write the last rows; the lease ends what is not written.
const MAX_ENDING_MS: u64 = 3_000;

/// Progress of a graceful shutdown.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Shutdown {
    /// The daemon serves.
    #[default]
    Running,
    /// Peers and balancers learn that the daemon leaves; everything is still served.
    Announcing {
        /// When the phase began.
        since_ms: u64,
        /// Peers that have not confirmed that they know; `None` until they were told.
        unacknowledged: Option<IndexSet<name::HostName>>,
    },
    /// Owned workers go to other daemons.
    HandingOver {
        /// When the phase began.
        since_ms: u64,
    },
    /// The last requests run.
    Finishing {
        /// When the phase began.
        since_ms: u64,
    },
    /// The last rows are written.
    Ending {
        /// When the phase began.
        since_ms: u64,
    },
    /// The process may exit.
    Done,
}

/// What a phase depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conditions {
    /// No worker is owned, or nobody is there to take one.
    pub handed_over: bool,
    /// No request is in flight.
    pub idle: bool,
    /// No ownership is served, drained or still to be released.
    pub released: bool,
    /// The session row says that the daemon ended.
    pub session_ended: bool,
    /// Longest time for requests to finish.
    pub grace_ms: u64,
}

impl Shutdown {
    /// Tells whether the daemon leaves.
    pub fn is_leaving(&self) -> bool {
        *self != Self::Running
    }

    /// Starts the shutdown; does nothing when it has started already.
    pub fn start(&mut self, now_ms: u64) {
        if *self == Self::Running {
            *self = Self::Announcing { since_ms: now_ms, unacknowledged: None };
        }
    }

    /// Records that peers were told and asked for a sign that they know.
    pub fn record_announced(&mut self, peers: IndexSet<name::HostName>) {
        if let Self::Announcing { unacknowledged, .. } = self {
            *unacknowledged = Some(peers);
        }
    }

    /// Records a sign of a peer that it knows.
    pub fn record_acknowledged(&mut self, peer: &name::HostName) {
        if let Self::Announcing { unacknowledged: Some(unacknowledged), .. } = self {
            unacknowledged.swap_remove(peer);
        }
    }

    /// Goes on to the next phase when the present one is complete; returns whether it did.
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
