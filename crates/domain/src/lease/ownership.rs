//! Ownership of one worker.

use super::{FormerOwner, Holder, OwnerChange, OwnerRow, SessionRow, Stored};
use crate::adapter;
use crate::locality;
use crate::member::rendezvous;
use crate::name;

/// Maximum number of former owners in an owner row.
///
/// Beyond it the oldest is dropped, and successors never unload the instances of that owner.
pub const MAX_FORMER_OWNERS: usize = 32;

/// Last known ownership of one worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ownership {
    worker: name::WorkerName,
    owner: Option<Stored<OwnerRow>>,
}

impl Ownership {
    /// Creates the ownership of a worker without a known owner row.
    #[must_use]
    pub fn new(worker: name::WorkerName) -> Self {
        Self { worker, owner: None }
    }

    /// Returns the last known owner row.
    #[must_use]
    pub fn owner(&self) -> Option<&OwnerRow> {
        self.owner.as_ref().map(|stored| &stored.row)
    }

    /// Records an owner row; returns whether it is newer than the known one.
    pub fn observe(&mut self, stored: Stored<OwnerRow>) -> bool {
        if self.owner.as_ref().is_some_and(|known| known.version >= stored.version) {
            return false;
        }
        self.owner = Some(stored);
        true
    }

    /// Returns whether a holder owns the worker.
    #[must_use]
    pub fn is_owned_by(&self, holder: &Holder) -> bool {
        self.owner().is_some_and(|owner| owner.holder == *holder)
    }

    /// Chooses the daemon that should own a worker: the highest rendezvous score in the worker's
    /// failure domain, else in its region, else in any region.
    #[must_use]
    pub fn choose_owner<'a, Daemons>(
        worker: &name::WorkerName,
        at: &locality::Locality,
        daemons: Daemons,
    ) -> Option<&'a name::HostName>
    where
        Daemons: Iterator<Item = (&'a name::HostName, &'a locality::Locality)>,
    {
        let key = worker.as_str();
        daemons
            .min_by_key(|(host, place)| {
                (at.distance(place), u64::MAX - rendezvous::score(key, host.as_str()))
            })
            .map(|(host, _)| host)
    }

    /// Prepares the claim of a worker that has no owner or whose owner's session has expired.
    ///
    /// `session` is the session row of the current owner's host. Returns `None` while the owner
    /// holds its lease or its session is unknown.
    #[must_use]
    pub fn claim(
        &self,
        holder: Holder,
        session: Option<&Stored<SessionRow>>,
    ) -> Option<OwnerChange> {
        let Some(owner) = &self.owner else {
            return Some(self.change(holder, None, 0));
        };
        let session = session?;
        let former = &owner.row.holder;
        if session.row.host != former.host || !session.row.is_expired(former.incarnation) {
            return None;
        }
        // A later incarnation proves permanently that the former one has expired. It needs no
        // condition, which would conflict with its frequent renewals.
        let same_incarnation = session.row.incarnation == former.incarnation;
        let condition = same_incarnation.then(|| (former.host.clone(), session.version));
        let host_incarnation = if same_incarnation { session.row.host_incarnation } else { 0 };
        Some(self.change(holder, condition, host_incarnation))
    }

    /// Prepares the handover of a worker from its current owner to another daemon.
    #[must_use]
    pub fn hand_over(&self, from: &SessionRow, to: Holder) -> Option<OwnerChange> {
        if !self.is_owned_by(&from.holder()) || from.host == to.host {
            return None;
        }
        Some(self.change(to, None, from.host_incarnation))
    }

    fn change(
        &self,
        holder: Holder,
        session_condition: Option<(name::HostName, u64)>,
        host_incarnation: u64,
    ) -> OwnerChange {
        let mut former_owners = Vec::new();
        let mut fencing = adapter::FencingToken::default();
        if let Some(Stored { row: owner, .. }) = &self.owner {
            fencing = owner.fencing;
            former_owners.clone_from(&owner.former_owners);
            former_owners.push(FormerOwner {
                fencing: owner.fencing,
                holder: owner.holder.clone(),
                host_incarnation,
            });
        }
        let excess = former_owners.len().saturating_sub(MAX_FORMER_OWNERS);
        former_owners.drain(..excess);
        OwnerChange {
            expected_version: self.owner.as_ref().map(|stored| stored.version),
            session_condition,
            row: OwnerRow {
                worker: self.worker.clone(),
                holder,
                fencing: fencing.next(),
                former_owners,
            },
        }
    }

    /// Removes former owners proven to have finished, so that the next change of owner omits them;
    /// returns their fencing tokens.
    pub fn prune_former_owners<IsEnded>(&mut self, is_ended: IsEnded) -> Vec<adapter::FencingToken>
    where
        IsEnded: Fn(&FormerOwner) -> bool,
    {
        let Some(owner) = &mut self.owner else {
            return Vec::new();
        };
        let ended = owner.row.former_owners.extract_if(.., |former| is_ended(former));
        ended.map(|former| former.fencing).collect()
    }
}
