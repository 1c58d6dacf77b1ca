//! Segments of prompts on which workers crash, agreed with the other daemons.

use indexmap::IndexMap;
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_domain::quarantine;
use jasminetack_wire::fleet;
use rustc_hash::FxBuildHasher;

use super::control_state::ControlState;
use super::outputs::OutgoingDatagram;
use crate::dialect;

impl<Dialect> ControlState<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Records a crash that this daemon noticed and tells all daemons of it, also if its cause is known: they
    /// would count it against the other segments that their requests had on the worker.
    ///
    /// The end of a worker that leaves is no crash.
    pub(super) fn handle_worker_crash(&mut self, crash: &quarantine::WorkerCrash, now_ms: u64) {
        let listed = self.catalog.directory().get(&crash.worker);
        if listed.is_none_or(|upstream| upstream.is_draining) {
            spdlog::info!("worker-ended worker={} reason=leaving", crash.worker);
            return;
        }
        self.metrics.worker_crashes.inc();
        let is_explained = self.quarantine.is_explained(crash);
        let (worker, started_unix_ms) = (&crash.worker, crash.started_unix_ms);
        let suspects: Vec<_> =
            crash.suspects.iter().map(|suspect| suspect.id.to_string()).collect();
        let suspects = suspects.join(",");
        spdlog::warn!(
            "worker-crashed worker={worker} started_unix_ms={started_unix_ms} segments={suspects} is_explained={is_explained}"
        );
        self.quarantine.record_crash(crash, now_ms);
        let mut datagram = self.next_datagram(None, Vec::new());
        datagram.crashes.push(fleet::WorkerCrash::from(crash));
        let receivers = self.peers.addresses(|_| true);
        self.outputs.queue_datagram(OutgoingDatagram { receivers, datagram });
    }

    /// Records answers that did not crash their workers.
    pub(super) fn handle_survived_answers(
        &mut self,
        answers: &[quarantine::SurvivedAnswer],
        now_ms: u64,
    ) {
        let mut changes = Vec::new();
        for answer in answers {
            changes.extend(self.quarantine.record_answer(answer, now_ms));
        }
        self.apply_segment_changes(&changes, now_ms);
    }

    /// Records the crashes that another daemon noticed; `is_newest` tells that no later datagram of that daemon
    /// was received.
    pub(super) fn apply_peer_crashes(
        &mut self,
        datagram: &fleet::Datagram,
        is_newest: bool,
        now_ms: u64,
    ) {
        for crash in &datagram.crashes {
            let (from, worker) = (&datagram.host, &crash.worker);
            spdlog::info!("worker-crash-reported from={from} worker={worker}");
            let from = name::HostName::from(from.as_str());
            let report = quarantine::CrashReport { from, is_newest, crash: crash.into() };
            self.quarantine.record_peer_crash(&report, now_ms);
        }
    }

    /// Applies the quarantines and clearances of another daemon.
    pub(super) fn apply_peer_quarantine(&mut self, state: &fleet::DaemonState, now_ms: u64) {
        let mut changes = Vec::new();
        for cleared in &state.cleared {
            let started_ms = now_ms.saturating_sub(cleared.answer_age_ms);
            let change = self.quarantine.clear(cleared.segment.into(), started_ms, now_ms);
            changes.extend(change);
        }
        for quarantined in &state.quarantined {
            let segment = quarantined.segment.into();
            changes.extend(self.quarantine.apply_verdict(segment, quarantined.into(), now_ms));
        }
        self.apply_segment_changes(&changes, now_ms);
    }

    /// Decides which segments are quarantined and released.
    pub(super) fn update_quarantine(&mut self, now_ms: u64) {
        let changes = self.quarantine.update(now_ms);
        self.apply_segment_changes(&changes, now_ms);
    }

    /// Logs changes and publishes the quarantined segments.
    pub(super) fn apply_segment_changes(
        &mut self,
        changes: &[quarantine::SegmentChange],
        now_ms: u64,
    ) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.store_segment_change(change, now_ms);
            match change {
                quarantine::SegmentChange::Quarantined { segment, crashes } => {
                    let source = if *crashes == 0 { "peer" } else { "own" };
                    spdlog::warn!(
                        "segment-quarantined segment={segment} crashes={crashes} source={source}"
                    );
                }
                quarantine::SegmentChange::Cleared(segment) => {
                    spdlog::info!("segment-cleared segment={segment} reason=answered");
                }
                quarantine::SegmentChange::Released(segment) => {
                    spdlog::info!("segment-released segment={segment}");
                }
            }
        }
        let active = self.quarantine.active(now_ms);
        let active: IndexMap<_, _, FxBuildHasher> =
            active.map(|(segment, verdict)| (segment, verdict.until_ms)).collect();
        self.metrics.quarantined_segments.set(i64::try_from(active.len()).unwrap_or(i64::MAX));
        self.publisher.set_quarantined(active);
        self.publish(Some(&[]), now_ms);
    }

    /// Encodes the quarantined segments for other daemons.
    pub(super) fn quarantined_segments(&self, now_ms: u64) -> Vec<fleet::QuarantinedSegment> {
        let active = self.quarantine.active(now_ms);
        let encode = |(segment, verdict): (_, &quarantine::Verdict)| {
            fleet::QuarantinedSegment::new(segment, verdict.to_peers(now_ms))
        };
        active.map(encode).collect()
    }

    /// Encodes the segments that were cleared lately for other daemons.
    pub(super) fn cleared_segments(&self, now_ms: u64) -> Vec<fleet::ClearedSegment> {
        let encode = |(segment, started_ms): (dispatch::SegmentId, u64)| fleet::ClearedSegment {
            segment: segment.into(),
            answer_age_ms: now_ms.saturating_sub(started_ms),
        };
        self.quarantine.clearances().map(encode).collect()
    }
}
