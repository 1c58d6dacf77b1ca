//! Staleness check of a daemon's copy of the table.

use indexmap::IndexMap;

use crate::name;

/// Result of the staleness check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FreshnessStatus {
    /// The head version was confirmed within the staleness limit.
    Current,
    /// No daemon can reach the platform, so no edit can be committed in the meantime.
    PlatformOutage,
    /// This daemon may be on the minority side of a network partition; others may serve newer rows.
    Partitioned,
    /// No complete table has been received since the start.
    NoTable,
}

impl FreshnessStatus {
    /// Tells whether new requests may be accepted.
    #[must_use]
    pub fn may_serve(self) -> bool {
        matches!(self, Self::Current | Self::PlatformOutage)
    }

    /// Returns the reason for logs and the readiness page.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::PlatformOutage => "platform-outage",
            Self::Partitioned => "cut-off",
            Self::NoTable => "no-table",
        }
    }
}

/// Tracks confirmations by the platform and by peers that the table is current.
#[derive(Clone, Debug)]
pub struct Freshness {
    stale_ms: u64,
    /// Latest time at which every committed change was applied on this daemon.
    ///
    /// Signed, since a peer's confirmation may predate the zero of this daemon's clock.
    confirmed_ms: Option<i64>,
    peers: IndexMap<name::HostName, Report>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    received_ms: u64,
    head_version: u64,
    /// Time of the peer's last confirmation, on this daemon's clock.
    confirmed_ms: Option<i64>,
}

impl Freshness {
    /// Creates the state of a daemon that has no table.
    #[must_use]
    pub fn new(stale_ms: u64) -> Self {
        Self { stale_ms, confirmed_ms: None, peers: IndexMap::new() }
    }

    /// Records that all changes up to the head version are applied.
    ///
    /// `requested_ms` is the time of the request, not of the response: a change may have been
    /// committed in between.
    pub fn record_platform_confirmation(&mut self, requested_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(Some(requested_ms.cast_signed()));
    }

    /// Records a peer's head version and the age of its last confirmation, `None` if it has none.
    pub fn record_peer_report(
        &mut self,
        peer: &name::HostName,
        head_version: u64,
        age_ms: Option<u64>,
        now_ms: u64,
    ) {
        let confirmed_ms =
            age_ms.map(|age_ms| now_ms.cast_signed().saturating_sub_unsigned(age_ms));
        self.peers.insert(peer.clone(), Report { received_ms: now_ms, head_version, confirmed_ms });
    }

    /// Takes over the confirmations of peers whose head version is applied on this daemon.
    pub fn apply_peer_confirmations(&mut self, head_version: u64) {
        for report in self.peers.values() {
            if report.head_version <= head_version && head_version > 0 {
                self.confirmed_ms = self.confirmed_ms.max(report.confirmed_ms);
            }
        }
    }

    /// Returns the age of the last confirmation.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmed_ms.map(|confirmed_ms| age_ms(confirmed_ms, now_ms))
    }

    /// Returns the recently heard peer with the highest head version above `head_version`.
    #[must_use]
    pub fn peer_ahead(&self, head_version: u64, now_ms: u64) -> Option<&name::HostName> {
        let recent = self.peers.iter().filter(|(_, report)| self.is_recent(report, now_ms));
        let ahead = recent.filter(|(_, report)| report.head_version > head_version);
        ahead.max_by_key(|(_, report)| report.head_version).map(|(peer, _)| peer)
    }

    /// Returns the status of the table; `daemons` are all known daemons except this one.
    #[must_use]
    pub fn status<'a, Daemons>(
        &self,
        head_version: u64,
        daemons: Daemons,
        now_ms: u64,
    ) -> FreshnessStatus
    where
        Daemons: Iterator<Item = &'a name::HostName>,
    {
        if self.age_ms(now_ms).is_some_and(|age_ms| age_ms <= self.stale_ms) {
            return FreshnessStatus::Current;
        }
        let (mut known_count, mut reachable_count) = (1, 1);
        let mut any_current = false;
        for daemon in daemons {
            known_count += 1;
            let Some(report) = self.peers.get(daemon) else { continue };
            if !self.is_recent(report, now_ms) {
                continue;
            }
            reachable_count += 1;
            any_current |= report
                .confirmed_ms
                .is_some_and(|confirmed_ms| age_ms(confirmed_ms, now_ms) <= self.stale_ms);
        }
        // Without a confirmation of its own, a daemon needs at least one reachable peer and the
        // newest rows of all peers that it reaches.
        let incomplete = self.peer_ahead(head_version, now_ms).is_some() || reachable_count == 1;
        if self.confirmed_ms.is_none() && (head_version == 0 || incomplete) {
            return FreshnessStatus::NoTable;
        }
        if 2 * reachable_count > known_count && !any_current {
            return FreshnessStatus::PlatformOutage;
        }
        FreshnessStatus::Partitioned
    }

    fn is_recent(&self, report: &Report, now_ms: u64) -> bool {
        report.received_ms + self.stale_ms >= now_ms
    }
}

fn age_ms(since_ms: i64, now_ms: u64) -> u64 {
    u64::try_from(now_ms.cast_signed() - since_ms).unwrap_or(0)
}
