//! Whether a daemon's table may be served from.

use indexmap::IndexMap;

use crate::name;

/// How far a daemon may rely on its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// The head was confirmed recently enough.
    Current,
    /// The platform is out for everybody, so no edit can be accepted meanwhile.
    Outage,
    /// This daemon may be the one that is cut off; others may serve newer rows.
    CutOff,
    /// No complete table was received yet.
    NoTable,
}

impl Standing {
    /// Tells whether new requests may be accepted.
    #[must_use]
    pub fn may_serve(self) -> bool {
        matches!(self, Self::Current | Self::Outage)
    }

    /// Returns the reason for logs and the readiness page.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Outage => "platform-outage",
            Self::CutOff => "cut-off",
            Self::NoTable => "no-table",
        }
    }
}

/// Judges whether the table is current, from confirmations by the platform and by peers.
#[derive(Clone, Debug)]
pub struct Freshness {
    stale_ms: u64,
    /// Latest time at which the platform had no change that is missing here.
    ///
    /// Signed, since a peer's confirmation may be older than this daemon's clock.
    confirmed_ms: Option<i64>,
    peers: IndexMap<name::HostName, Report>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    heard_ms: u64,
    head_version: u64,
    /// Time, on this daemon's clock, of the peer's own confirmation.
    confirmed_ms: Option<i64>,
}

impl Freshness {
    /// Creates the state of a daemon that has no table.
    #[must_use]
    pub fn new(stale_ms: u64) -> Self {
        Self { stale_ms, confirmed_ms: None, peers: IndexMap::new() }
    }

    /// Records that all changes up to the present head are applied.
    ///
    /// `asked_ms` is when the platform was asked; a change may have followed since.
    pub fn confirmed_by_platform(&mut self, asked_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(Some(asked_ms.cast_signed()));
    }

    /// Records a peer's head and the age of its confirmation, `None` if it never had one.
    pub fn peer_reported(
        &mut self,
        peer: &name::HostName,
        head_version: u64,
        age_ms: Option<u64>,
        now_ms: u64,
    ) {
        let confirmed_ms =
            age_ms.map(|age_ms| now_ms.cast_signed().saturating_sub_unsigned(age_ms));
        self.peers.insert(peer.clone(), Report { heard_ms: now_ms, head_version, confirmed_ms });
    }

    /// Uses the peers' confirmations for a head that is applied here.
    pub fn adopt(&mut self, head_version: u64) {
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

    /// Returns a peer whose head is ahead of this daemon's.
    #[must_use]
    pub fn peer_ahead(&self, head_version: u64, now_ms: u64) -> Option<&name::HostName> {
        let reached = self.peers.iter().filter(|(_, report)| self.is_recent(report, now_ms));
        let ahead = reached.filter(|(_, report)| report.head_version > head_version);
        ahead.max_by_key(|(_, report)| report.head_version).map(|(peer, _)| peer)
    }

    /// Judges the table; `daemons` are all known daemons without this one.
    #[must_use]
    pub fn judge<'a, Daemons>(&self, head_version: u64, daemons: Daemons, now_ms: u64) -> Standing
    where
        Daemons: Iterator<Item = &'a name::HostName>,
    {
        if self.age_ms(now_ms).is_some_and(|age_ms| age_ms <= self.stale_ms) {
            return Standing::Current;
        }
        let (mut known, mut reached) = (1, 1);
        let mut any_current = false;
        for daemon in daemons {
            known += 1;
            let Some(report) = self.peers.get(daemon) else { continue };
            if !self.is_recent(report, now_ms) {
                continue;
            }
            reached += 1;
            any_current |= report
                .confirmed_ms
                .is_some_and(|confirmed_ms| age_ms(confirmed_ms, now_ms) <= self.stale_ms);
        }
        // A daemon that never confirmed its table needs the newest rows of the peers it reaches,
        // and somebody to take them from.
        let incomplete = self.peer_ahead(head_version, now_ms).is_some() || reached == 1;
        if self.confirmed_ms.is_none() && (head_version == 0 || incomplete) {
            return Standing::NoTable;
        }
        if 2 * reached > known && !any_current {
            return Standing::Outage;
        }
        Standing::CutOff
    }

    fn is_recent(&self, report: &Report, now_ms: u64) -> bool {
        report.heard_ms + self.stale_ms >= now_ms
    }
}

fn age_ms(since_ms: i64, now_ms: u64) -> u64 {
    u64::try_from(now_ms.cast_signed() - since_ms).unwrap_or(0)
}
