//! Decision which segments are quarantined.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::answered_segments::AnsweredSegments;
use super::crash_log::CrashLog;
use super::evidence::Evidence;
use super::{ONSET_MS, PeerVerdict, SegmentChange, SurvivedAnswer, Verdict, WorkerCrash};
use crate::dispatch;

/// Weight of the evidence from which a segment is quarantined. Of hundreds of segments, hardly one is on
/// four crashed workers by chance without an answer meanwhile.
const MIN_WEIGHT: f64 = 4.0;
/// Separate crashes that the evidence must contain.
const MIN_SEPARATE_CRASHES: usize = 3;
/// Time from the first crash to a quarantine, within which sound segments get answers that survive: the
/// usual time to the first part of an answer and to a report of another daemon, and the onset.
const MIN_OBSERVATION_MS: u64 = 1_000 + ONSET_MS;
/// Surviving answers that a segment would be expected to have since the first crash if it were no cause.
/// Only one that was answered before needs them: it may have no answers now because nothing has.
const MIN_EXPECTED_ANSWERS: f64 = 4.0;
/// Latest surviving answers whose start is remembered.
const MAX_ANSWER_STARTS: usize = 256;
/// Quarantined segments; above it, no more are added.
const MAX_VERDICTS: usize = 32;
/// Time after the last crash within which a decision is made.
const DECISION_TIME_MS: u64 = 10_000;
/// Time by which the first crash of a reported quarantine must be later than the last answer to a request
/// with the segment. Times that daemons report differ by the delay of datagrams, and a segment that has
/// just been cleared must not be quarantined again by a daemon that does not know it yet.
const CLEARANCE_MARGIN_MS: u64 = 1_000;
/// Time for which other daemons are told that a segment is cleared.
const CLEARANCE_REPORT_MS: u64 = 3_000;

/// Segments of prompts on which workers crash.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: CrashLog,
    last_crash_ms: Option<u64>,
    answered: AnsweredSegments,
    /// Starts of the latest surviving answers.
    answer_starts_ms: VecDeque<u64>,
    verdicts: IndexMap<dispatch::SegmentId, Verdict>,
    /// Suspected segments that were cleared: the start of the answer, and when it was known.
    clearances: IndexMap<dispatch::SegmentId, (u64, u64)>,
}

impl Quarantine {
    /// Records the crash of a worker.
    pub fn record_crash(&mut self, crash: &WorkerCrash, now_ms: u64) {
        self.crashes.record(crash, now_ms);
        self.last_crash_ms = Some(now_ms);
    }

    /// Returns whether a crash has a cause that is known already.
    #[must_use]
    pub fn is_explained(&self, crash: &WorkerCrash) -> bool {
        crash.suspects.iter().any(|suspect| self.verdicts.contains_key(&suspect.id))
    }

    /// Records an answer that has survived: none of its segments crashed the worker.
    pub fn record_answer(&mut self, answer: &SurvivedAnswer, now_ms: u64) -> Vec<SegmentChange> {
        let started_ms = answer.started_ms;
        if self.answer_starts_ms.len() >= MAX_ANSWER_STARTS {
            self.answer_starts_ms.pop_front();
        }
        self.answer_starts_ms.push_back(started_ms);
        let shared = dispatch::PromptSegment::shared(&answer.segments).iter();
        let changes = shared.map(|segment| self.clear(segment.id, started_ms, now_ms));
        changes.flatten().collect()
    }

    /// Records that an answer to a request with the segment, here or at another daemon, has survived.
    pub fn clear(
        &mut self,
        segment: dispatch::SegmentId,
        started_ms: u64,
        now_ms: u64,
    ) -> Option<SegmentChange> {
        self.answered.record(segment, started_ms);
        // A single crash is no reason to tell the other daemons.
        if self.crashes.exonerate(segment, started_ms) > 1 {
            self.clearances.insert(segment, (started_ms, now_ms));
        }
        self.verdicts.get(&segment).filter(|verdict| verdict.first_crash_ms < started_ms)?;
        self.verdicts.swap_remove(&segment);
        self.clearances.insert(segment, (started_ms, now_ms));
        Some(SegmentChange::Cleared(segment))
    }

    /// Applies the quarantine of a segment that another daemon decided.
    pub fn apply_verdict(
        &mut self,
        segment: dispatch::SegmentId,
        reported: PeerVerdict,
        now_ms: u64,
    ) -> Option<SegmentChange> {
        let verdict = Verdict::from_peer(reported, now_ms);
        if let Some(latest_ms) = self.answered.latest_ms(segment)
            && latest_ms + CLEARANCE_MARGIN_MS > verdict.first_crash_ms
        {
            if latest_ms > verdict.first_crash_ms {
                self.clearances.insert(segment, (latest_ms, now_ms));
            }
            return None;
        }
        let known = self.verdicts.get(&segment);
        if !verdict.is_active(now_ms) || known.is_some_and(|known| known.is_active(now_ms)) {
            return None;
        }
        if known.is_none() && self.verdicts.len() >= MAX_VERDICTS {
            return None;
        }
        self.verdicts.insert(segment, verdict);
        Some(SegmentChange::Quarantined { segment, crashes: 0 })
    }

    /// Decides which segments are quarantined and released.
    pub fn update(&mut self, now_ms: u64) -> Vec<SegmentChange> {
        self.crashes.expire(now_ms);
        self.clearances
            .retain(|_, (_, known_ms)| now_ms.saturating_sub(*known_ms) < CLEARANCE_REPORT_MS);
        let mut changes = self.update_verdicts(now_ms);
        if self
            .last_crash_ms
            .is_none_or(|crash_ms| now_ms.saturating_sub(crash_ms) > DECISION_TIME_MS)
        {
            return changes;
        }
        while self.verdicts.len() < MAX_VERDICTS
            && let Some(evidence) = self.strongest_evidence(now_ms)
        {
            let verdict = Verdict::new(evidence.first_crash_ms(), now_ms);
            self.verdicts.insert(evidence.segment, verdict);
            let (segment, crashes) = (evidence.segment, evidence.crashes_ms.len());
            changes.push(SegmentChange::Quarantined { segment, crashes });
        }
        changes
    }

    /// Iterates over the quarantined segments.
    pub fn active(&self, now_ms: u64) -> impl Iterator<Item = (dispatch::SegmentId, &Verdict)> {
        let active = self.verdicts.iter().filter(move |(_, verdict)| verdict.is_active(now_ms));
        active.map(|(segment, verdict)| (*segment, verdict))
    }

    /// Iterates over the suspected segments that were cleared lately, with the start of the answer.
    pub fn clearances(&self) -> impl Iterator<Item = (dispatch::SegmentId, u64)> {
        self.clearances.iter().map(|(segment, (started_ms, _))| (*segment, *started_ms))
    }

    /// Ends quarantines whose time is over, and renews those whose segment was there in another crash.
    fn update_verdicts(&mut self, now_ms: u64) -> Vec<SegmentChange> {
        let mut changes = Vec::new();
        let crashes = &self.crashes;
        self.verdicts.retain(|segment, verdict| {
            if verdict.is_active(now_ms) {
                return true;
            }
            if let Some(crash_ms) = crashes.first_crash_ms(*segment, verdict.until_ms) {
                *verdict = verdict.renewed(crash_ms, now_ms);
                changes.push(SegmentChange::Quarantined { segment: *segment, crashes: 1 });
                return true;
            }
            if verdict.is_over(now_ms) {
                changes.push(SegmentChange::Released(*segment));
                return false;
            }
            true
        });
        changes
    }

    /// Returns the evidence against the segment that explains most of the unexplained crashes, if it is
    /// sufficient.
    fn strongest_evidence(&self, now_ms: u64) -> Option<Evidence> {
        let evidence = self.crashes.evidence(|segment| self.verdicts.contains_key(&segment));
        let sufficient =
            evidence.into_iter().filter(|evidence| self.is_sufficient(evidence, now_ms));
        sufficient.max_by_key(Evidence::rank)
    }

    fn is_sufficient(&self, evidence: &Evidence, now_ms: u64) -> bool {
        let first_ms = evidence.first_crash_ms();
        if evidence.separate_crashes() < MIN_SEPARATE_CRASHES
            || evidence.weight() < MIN_WEIGHT
            || now_ms.saturating_sub(first_ms) < MIN_OBSERVATION_MS
        {
            return false;
        }
        let others = self.answer_starts_ms.iter().filter(|started_ms| **started_ms >= first_ms);
        self.answered.latest_ms(evidence.segment).is_none()
            || evidence.expected_answers(others.count()) >= MIN_EXPECTED_ANSWERS
    }
}
