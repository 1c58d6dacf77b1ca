//! Quarantined segments in the store, which outlive the loss of all daemons.

use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::dispatch;
use jasminetack_domain::member;
use jasminetack_domain::name;
use jasminetack_domain::quarantine;
use jasminetack_domain::store_time;
use jasminetack_domain::store_version;
use jasminetack_wire::fleet;
use prost::Message;

use super::control_state::ControlState;
use super::peers::Peer;
use super::quarantine_job::{QuarantineJob, QuarantineReply};
use super::store_job::StoreJob;
use crate::dialect;
use crate::store;

/// Interval of reading the rows, as that of the lease rows.
const READ_INTERVAL_MS: u64 = 60_000;
/// Delay before a failed call is retried. A call takes up to 1.2 s while the store does not answer, and the
/// lease must be renewed in between.
const RETRY_DELAY_MS: u64 = 2_000;
/// Daemons that write or delete a row at once. The others do so if two successive reads of the rows show the
/// same, so that hundreds of daemons take few writes.
const WRITERS: usize = 3;
/// Time by which a row may end earlier than the quarantine here. Daemons that decide at the same time differ
/// by less, and a renewed quarantine ends minutes later.
const MAX_DIFFERENCE_MS: u64 = 10_000;
/// Rows that are applied; the quarantine keeps no more segments.
const MAX_ROWS: usize = 256;

/// What is known of the rows, and which are to be written.
#[derive(Debug, Default)]
pub struct QuarantineRows {
    /// Versions of the rows as last read or written.
    versions: IndexMap<dispatch::SegmentId, u64>,
    /// Segments whose row is to agree with the quarantine.
    pending: IndexSet<dispatch::SegmentId>,
    /// Segments whose row did not agree with the quarantine at the last read.
    differing: IndexSet<dispatch::SegmentId>,
    /// Segment whose row is being written.
    writing: Option<dispatch::SegmentId>,
    next_write_ms: u64,
    is_reading: bool,
    was_read: bool,
    /// Era of the store in which the rows were last read.
    era: Option<u64>,
    next_read_ms: u64,
}

impl<Dialect> ControlState<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Queues the calls that are due.
    pub(super) fn queue_quarantine_jobs(&mut self, now_ms: u64) {
        let era = self.lease_manager.store_era();
        let rows = &mut self.quarantine_rows;
        let is_restored = rows.era.is_some_and(|read_era| Some(read_era) < era);
        if !rows.is_reading && (is_restored || now_ms >= rows.next_read_ms) {
            rows.is_reading = true;
            rows.era = era;
            rows.next_read_ms = now_ms + READ_INTERVAL_MS;
            self.outputs.queue_store_job(StoreJob::Quarantine(QuarantineJob::Read));
        }
        let is_clock_known = self.lease_manager.store_clock().upper_bound_ms(now_ms).is_some();
        if rows.writing.is_some() || now_ms < rows.next_write_ms || !is_clock_known {
            return;
        }
        while let Some(segment) = self.quarantine_rows.pending.first().copied() {
            if let Some(transaction) = self.quarantine_transaction(segment, now_ms) {
                self.quarantine_rows.writing = Some(segment);
                let job = QuarantineJob::Write(segment, transaction);
                self.outputs.queue_store_job(StoreJob::Quarantine(job));
                return;
            }
            self.quarantine_rows.pending.shift_remove(&segment);
        }
    }

    /// Has the rows of changed segments written, if it is for this daemon to do so.
    pub(super) fn store_segment_change(&mut self, change: &quarantine::SegmentChange, now_ms: u64) {
        match change {
            // The daemon that decided may be none of the writers. Before the first read it is not known which
            // rows there are; that read shows the missing ones.
            quarantine::SegmentChange::Quarantined { crashes: 0, segment }
                if !self.quarantine_rows.was_read
                    || self.quarantine_rows.versions.contains_key(segment) => {}
            quarantine::SegmentChange::Quarantined { segment, .. } => {
                if self.is_quarantine_writer(*segment, |peer| peer.is_live(now_ms)) {
                    self.quarantine_rows.pending.insert(*segment);
                }
            }
            quarantine::SegmentChange::Cleared(segment)
            | quarantine::SegmentChange::Released(segment) => {
                if self.quarantine_rows.versions.contains_key(segment)
                    && self.is_quarantine_writer(*segment, |peer| peer.is_live(now_ms))
                {
                    self.quarantine_rows.pending.insert(*segment);
                }
            }
        }
    }

    /// Applies the result of a call.
    pub(super) fn handle_quarantine_reply(&mut self, reply: QuarantineReply, now_ms: u64) {
        match reply {
            QuarantineReply::Rows(Ok(listing), sent_ms) => {
                let era = store_version::StoreVersion::from(listing.version).era();
                self.quarantine_rows.era = Some(era);
                let as_of = store_time::StoreTime::new(era, listing.store_ms);
                self.lease_manager.observe_clock(as_of, sent_ms, now_ms);
                self.apply_quarantine_rows(listing, now_ms);
            }
            QuarantineReply::Rows(Err(error), _) => {
                spdlog::warn!("quarantine-read-failed error={error:?}");
                self.quarantine_rows.is_reading = false;
                self.quarantine_rows.next_read_ms = now_ms + RETRY_DELAY_MS;
            }
            QuarantineReply::Written(segment, is_deletion, result) => {
                self.quarantine_rows.writing = None;
                self.apply_quarantine_write(segment, is_deletion, result, now_ms);
            }
        }
        self.queue_quarantine_jobs(now_ms);
    }

    fn apply_quarantine_rows(&mut self, listing: store::Listing, now_ms: u64) {
        self.quarantine_rows.is_reading = false;
        self.quarantine_rows.was_read = true;
        self.quarantine_rows.versions.clear();
        let rows = listing.rows.iter().take(MAX_ROWS);
        let mut differing: IndexSet<_> = rows
            .filter_map(|row| self.apply_quarantine_row(row, listing.store_ms, now_ms))
            .collect();
        let active = self.quarantine.active(now_ms).map(|(segment, _)| segment);
        let versions = &self.quarantine_rows.versions;
        differing.extend(active.filter(|segment| !versions.contains_key(segment)));
        let differed = std::mem::take(&mut self.quarantine_rows.differing);
        for segment in &differing {
            // At the start, the other daemons are known from their leases before their first datagram.
            let may_be_live = |peer: &Peer| peer.received_ms.is_none() || peer.is_live(now_ms);
            if differed.contains(segment) || self.is_quarantine_writer(*segment, may_be_live) {
                self.quarantine_rows.pending.insert(*segment);
            }
        }
        self.quarantine_rows.differing = differing;
    }

    /// Applies a row. Returns its segment if the row is to be written or deleted: the quarantine was renewed
    /// or is over, or its segment was cleared.
    fn apply_quarantine_row(
        &mut self,
        row: &store::Row,
        store_ms: u64,
        now_ms: u64,
    ) -> Option<dispatch::SegmentId> {
        let value = row.value.as_ref()?;
        let (segment, verdict) = match fleet::QuarantineRow::decode_row(value) {
            Ok((segment, verdict)) if segment.to_string() == row.key => (segment, verdict),
            _ => {
                let (key, problem) = (&row.key, "not a quarantine");
                spdlog::warn!(
                    "entry-refused table=quarantine key={key} problem=\"{problem}\" outcome=ignored"
                );
                return None;
            }
        };
        self.quarantine_rows.versions.insert(segment, row.version);
        self.quarantine_rows.pending.shift_remove(&segment);
        if let Some(change) =
            self.quarantine.apply_stored_verdict(segment, verdict, store_ms, now_ms)
        {
            spdlog::info!("quarantine-read segment={segment}");
            self.apply_segment_changes(&[change], now_ms);
        }
        let is_outdated = match self.quarantine.stored_verdict(segment, store_ms, now_ms) {
            Some(own) => {
                own.until_store_ms > store_ms.max(verdict.until_store_ms + MAX_DIFFERENCE_MS)
            }
            None => self.quarantine.may_discard(segment, &verdict, store_ms, now_ms),
        };
        is_outdated.then_some(segment)
    }

    fn apply_quarantine_write(
        &mut self,
        segment: dispatch::SegmentId,
        is_deletion: bool,
        result: Result<store::Outcome, store::StoreError>,
        now_ms: u64,
    ) {
        match result {
            Ok(store::Outcome::Committed { version, .. }) => {
                spdlog::info!("quarantine-written segment={segment} is_deletion={is_deletion}");
                let rows = &mut self.quarantine_rows;
                if is_deletion {
                    rows.versions.swap_remove(&segment);
                } else {
                    rows.versions.insert(segment, version);
                }
                // A change since the call was queued shows in whether there is a row.
                if self.quarantine.has_verdict(segment) != is_deletion {
                    rows.pending.shift_remove(&segment);
                }
            }
            Ok(store::Outcome::Conflict(current)) => {
                // Another daemon was first, or this one in a call whose answer was lost.
                let key = segment.to_string();
                self.quarantine_rows.pending.shift_remove(&segment);
                self.quarantine_rows.versions.swap_remove(&segment);
                let Some(store_ms) = self.lease_manager.store_clock().upper_bound_ms(now_ms) else {
                    return;
                };
                for row in current.iter().filter(|row| row.key == key) {
                    let outdated = self.apply_quarantine_row(row, store_ms, now_ms);
                    self.quarantine_rows.pending.extend(outdated);
                }
            }
            Err(error) => {
                spdlog::warn!("quarantine-write-failed segment={segment} error={error:?}");
                self.quarantine_rows.next_write_ms = now_ms + RETRY_DELAY_MS;
            }
        }
    }

    /// Returns the write that makes the row of a segment agree with the quarantine, if one is needed.
    fn quarantine_transaction(
        &self,
        segment: dispatch::SegmentId,
        now_ms: u64,
    ) -> Option<store::Transaction> {
        let version = self.quarantine_rows.versions.get(&segment).copied();
        let store_ms = self.lease_manager.store_clock().upper_bound_ms(now_ms)?;
        let value = match self.quarantine.stored_verdict(segment, store_ms, now_ms) {
            Some(verdict) => Some(fleet::QuarantineRow::new(segment, verdict).encode_to_vec()),
            None if version.is_none() => return None,
            None => None,
        };
        let (table, key) = (store::Table::Quarantine, segment.to_string());
        let version = version.unwrap_or(0);
        let conditions = vec![store::Condition { table, key: key.clone(), version }];
        Some(store::Transaction { conditions, writes: vec![store::Write { table, key, value }] })
    }

    /// Returns whether this daemon is one of the first in the order for a segment, among those that match a
    /// predicate.
    fn is_quarantine_writer<Predicate>(
        &self,
        segment: dispatch::SegmentId,
        matches: Predicate,
    ) -> bool
    where
        Predicate: Fn(&Peer) -> bool,
    {
        let key = segment.to_string();
        let score = |host: &name::HostName| member::rendezvous::score(host.as_str(), &key);
        let own = score(self.lease_manager.host());
        let earlier = self.peers.iter().filter(|(host, peer)| matches(peer) && score(host) < own);
        earlier.take(WRITERS).count() < WRITERS
    }
}
