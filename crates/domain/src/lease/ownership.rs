//! Ownership of one worker.

use super::{Claim, Former, Holder, OwnerRow, SessionRow, Stored};
use crate::adapter;
use crate::locality;
use crate::member::rendezvous;
use crate::name;

/// Former owners kept in an owner row.
///
/// Beyond this number the oldest is dropped; its instances are then never unloaded by a successor.
pub const MAX_FORMER: usize = 32;

/// What is known of the ownership of one worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ownership {
    worker: name::WorkerName,
    owner: Option<Stored<OwnerRow>>,
}

impl Ownership {
    /// Creates the ownership of a worker that has no owner row yet.
    #[must_use]
    pub fn new(worker: name::WorkerName) -> Self {
        Self { worker, owner: None }
    }

    /// Returns the owner row.
    #[must_use]
    pub fn owner(&self) -> Option<&OwnerRow> {
        self.owner.as_ref().map(|stored| &stored.row)
    }

    /// Records the owner row; returns whether it is newer than what was known.
    pub fn observe(&mut self, stored: Stored<OwnerRow>) -> bool {
        if self.owner.as_ref().is_some_and(|known| known.version >= stored.version) {
            return false;
        }
        self.owner = Some(stored);
        true
    }

    /// Tells whether a holder owns the worker.
    #[must_use]
    pub fn is_owned_by(&self, holder: &Holder) -> bool {
        self.owner().is_some_and(|owner| owner.holder == *holder)
    }

    /// Chooses who should own a worker: the highest rendezvous score in the worker's failure domain,
    /// else in its region, else anywhere.
    #[must_use]
    pub fn choose<'a, Daemons>(
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

    /// Prepares the claim of a worker whose owner is over.
    ///
    /// `session` is the row of the present owner's host. Returns `None` while the owner holds the
    /// worker or its session is not known.
    #[must_use]
    pub fn claim(&self, holder: Holder, session: Option<&Stored<SessionRow>>) -> Option<Claim> {
        let Some(owner) = &self.owner else {
            return Some(self.change(holder, None, 0));
        };
        let session = session?;
        let former = &owner.row.holder;
        if session.row.host != former.host || !session.row.is_over(former.incarnation) {
            return None;
        }
        // A later incarnation renews its row all the time, and needs no condition: it proves for
        // good that the former one is over.
        let same_incarnation = session.row.incarnation == former.incarnation;
        let condition = same_incarnation.then(|| (former.host.clone(), session.version));
        let host_incarnation = if same_incarnation { session.row.host_incarnation } else { 0 };
        Some(self.change(holder, condition, host_incarnation))
    }

    /// Prepares the handover of a worker by its present owner to another daemon.
    #[must_use]
    pub fn hand_over(&self, from: &SessionRow, to: Holder) -> Option<Claim> {
        if !self.is_owned_by(&from.holder()) || from.host == to.host {
            return None;
        }
        Some(self.change(to, None, from.host_incarnation))
    }

    fn change(
        &self,
        holder: Holder,
        session: Option<(name::HostName, u64)>,
        host_incarnation: u64,
    ) -> Claim {
        let mut former = Vec::new();
        let mut fencing = adapter::FencingToken::default();
        if let Some(Stored { row: owner, .. }) = &self.owner {
            fencing = owner.fencing;
            former.clone_from(&owner.former);
            former.push(Former {
                fencing: owner.fencing,
                holder: owner.holder.clone(),
                host_incarnation,
            });
        }
        let excess = former.len().saturating_sub(MAX_FORMER);
        former.drain(..excess);
        Claim {
            expected: self.owner.as_ref().map(|stored| stored.version),
            session,
            row: OwnerRow { worker: self.worker.clone(), holder, fencing: fencing.next(), former },
        }
    }

    /// Drops former owners that are known to have finished, so that the next change does not carry
    /// them on; returns their fencing numbers.
    pub fn forget_former<IsEnded>(&mut self, is_ended: IsEnded) -> Vec<adapter::FencingToken>
    where
        IsEnded: Fn(&Former) -> bool,
    {
        let Some(owner) = &mut self.owner else {
            return Vec::new();
        };
        let ended = owner.row.former.extract_if(.., |former| is_ended(former));
        ended.map(|former| former.fencing).collect()
    }
}
