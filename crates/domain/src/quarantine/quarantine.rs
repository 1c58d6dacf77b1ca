//! Decision which segments are quarantined.

use indexmap::{IndexMap, IndexSet};

use super::answer_counts::AnswerCounts;
use super::answered_segments::AnsweredSegments;
use super::crash_log::CrashLog;
use super::evidence::Evidence;
use super::undecided_segment::UndecidedSegment;
use super::{
    CrashReport, ONSET_MS, PeerVerdict, SegmentChange, StoredVerdict, SurvivedAnswer, Verdict,
    WorkerCrash,
};
use crate::dispatch;

/// Time from the first crash to a quarantine, within which sound segments get answers that survive: the
/// usual time to the first part of an answer and to a report of another daemon, and the onset.
const MIN_OBSERVATION_MS: u64 = 1_000 + ONSET_MS;
/// Quarantined segments; above it, no more are added.
const MAX_VERDICTS: usize = 32;
/// Time after the last crash within which a decision is made.
const DECISION_TIME_MS: u64 = 10_000;
/// Interval of decisions, which take more processor time than all else here.
const DECISION_INTERVAL_MS: u64 = 300;
/// Segments that are undecided at one time; it bounds the processor time.
const MAX_UNDECIDED: usize = 4;
/// Time by which the first crash of a reported quarantine must be later than the last answer to a request
/// with the segment. Times that daemons report differ by the delay of datagrams, and a segment that has
/// just been cleared must not be quarantined again by a daemon that does not know it yet.
const CLEARANCE_MARGIN_MS: u64 = 1_000;
/// Clearances of suspects that other daemons are told; it bounds the datagrams.
const MAX_CLEARANCES: usize = 64;
/// Time for which other daemons are told that a segment is cleared.
const CLEARANCE_REPORT_MS: u64 = 3_000;

/// Segments of prompts on which workers crash.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: CrashLog,
    last_crash_ms: Option<u64>,
    answered: AnsweredSegments,
    answers: AnswerCounts,
    next_decision_ms: u64,
    /// Segments that were undecided lately.
    undecided: IndexMap<dispatch::SegmentId, UndecidedSegment>,
    verdicts: IndexMap<dispatch::SegmentId, Verdict>,
    /// Suspected segments that were cleared: the start of the answer, and when it was known.
    clearances: IndexMap<dispatch::SegmentId, (u64, u64)>,
}

impl Quarantine {
    /// Records the crash of a worker while it served requests of this daemon.
    pub fn record_crash(&mut self, crash: &WorkerCrash, now_ms: u64) {
        self.crashes.record(crash, now_ms);
        self.last_crash_ms = Some(now_ms);
    }

    /// Records the crash of a worker while it served requests of another daemon.
    pub fn record_peer_crash(&mut self, report: &CrashReport, now_ms: u64) {
        self.crashes.record_report(report, now_ms);
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
        let shared = dispatch::PromptSegment::shared(&answer.segments).iter();
        if let Some(first) = answer.segments.first() {
            self.answers.record(first.id, started_ms);
        }
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
        self.undecided.swap_remove(&segment);
        // A single crash is no reason to tell the other daemons.
        let (dropped, crashes) = self.crashes.exonerate(segment, started_ms);
        if dropped > 0 && crashes > 1 && self.clearances.len() < MAX_CLEARANCES {
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
        if !verdict.is_active(now_ms) {
            return None;
        }
        self.adopt(segment, verdict, now_ms)
    }

    /// Applies the quarantine of a segment that is in the store; it may be on probation.
    pub fn apply_stored_verdict(
        &mut self,
        segment: dispatch::SegmentId,
        stored: StoredVerdict,
        store_ms: u64,
        now_ms: u64,
    ) -> Option<SegmentChange> {
        if stored.is_over(store_ms) {
            return None;
        }
        let verdict = Verdict::from_store(stored, store_ms, now_ms);
        self.adopt(segment, verdict, now_ms).filter(|_| verdict.is_active(now_ms))
    }

    /// Returns the quarantine of a segment, also on probation, with times on the store's clock.
    #[must_use]
    pub fn stored_verdict(
        &self,
        segment: dispatch::SegmentId,
        store_ms: u64,
        now_ms: u64,
    ) -> Option<StoredVerdict> {
        self.verdicts.get(&segment).map(|verdict| verdict.to_store(store_ms, now_ms))
    }

    /// Returns whether a segment is quarantined or on probation.
    #[must_use]
    pub fn has_verdict(&self, segment: dispatch::SegmentId) -> bool {
        self.verdicts.contains_key(&segment)
    }

    /// Returns whether the quarantine in the store is of no more use: it is over, or an answer has cleared
    /// its segment.
    #[must_use]
    pub fn may_discard(
        &self,
        segment: dispatch::SegmentId,
        stored: &StoredVerdict,
        store_ms: u64,
        now_ms: u64,
    ) -> bool {
        let first_crash_ms = Verdict::from_store(*stored, store_ms, now_ms).first_crash_ms;
        stored.is_over(store_ms)
            || self.answered.latest_ms(segment).is_some_and(|latest_ms| latest_ms > first_crash_ms)
    }

    /// Adopts the quarantine of a segment unless it is known, or an answer has refuted it.
    fn adopt(
        &mut self,
        segment: dispatch::SegmentId,
        verdict: Verdict,
        now_ms: u64,
    ) -> Option<SegmentChange> {
        if let Some(latest_ms) = self.answered.latest_ms(segment)
            && latest_ms + CLEARANCE_MARGIN_MS > verdict.first_crash_ms
        {
            if latest_ms > verdict.first_crash_ms {
                self.clearances.insert(segment, (latest_ms, now_ms));
            }
            return None;
        }
        let known = self.verdicts.get(&segment);
        if known.is_some_and(|known| known.until_ms >= verdict.until_ms || known.is_active(now_ms))
        {
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
        if now_ms < self.next_decision_ms {
            return changes;
        }
        self.next_decision_ms = now_ms + DECISION_INTERVAL_MS;
        self.undecided
            .retain(|_, waiting| now_ms.saturating_sub(waiting.since_ms) < DECISION_TIME_MS);
        while self.verdicts.len() < MAX_VERDICTS
            && let Some(evidence) = self.strongest_evidence(now_ms)
        {
            let verdict = Verdict::new(evidence.first_crash_ms, now_ms);
            self.verdicts.insert(evidence.segment, verdict);
            let (segment, crashes) = (evidence.segment, evidence.crashes);
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
    ///
    /// While one is undecided, it is taken for the cause of its crashes, so that the segments that share them
    /// wait too, and those of the other crashes don't.
    fn strongest_evidence(&mut self, now_ms: u64) -> Option<Evidence> {
        let mut undecided = IndexSet::new();
        while undecided.len() < MAX_UNDECIDED {
            let is_known = |segment: dispatch::SegmentId| {
                self.verdicts.contains_key(&segment) || undecided.contains(&segment)
            };
            let mut evidence =
                self.crashes.evidence(is_known, &self.answered, &self.answers, now_ms);
            evidence.retain(|evidence| {
                now_ms.saturating_sub(evidence.first_crash_ms) >= MIN_OBSERVATION_MS
            });
            let strongest = strongest_of(&evidence)?;
            // The evidence against a segment that follows on this one may be sufficient with the next crash.
            let parts = evidence.iter().filter(|part| part.is_main_part_of(strongest));
            let Some(part_crashes) = parts.map(|part| part.crashes).max() else {
                return Some(strongest.clone());
            };
            let segment = strongest.segment;
            let new = || UndecidedSegment::new(now_ms);
            let waiting = self.undecided.entry(segment).or_insert_with(new);
            waiting.observe(part_crashes, now_ms);
            if waiting.has_waited(now_ms) {
                return Some(strongest.clone());
            }
            undecided.insert(segment);
        }
        None
    }
}

/// Returns the sufficient evidence against the segment that explains most of the crashes, or, if segments that
/// follow on it explain enough of these, against one of them.
fn strongest_of(evidence: &[Evidence]) -> Option<&Evidence> {
    let sufficient: Vec<_> = evidence.iter().filter(|evidence| evidence.is_sufficient()).collect();
    let mut strongest = *sufficient.iter().max_by_key(|evidence| evidence.rank())?;
    loop {
        let parts = sufficient.iter().filter(|part| part.is_part_of(strongest));
        match parts.max_by_key(|part| part.rank()) {
            Some(part) => strongest = part,
            None => return Some(strongest),
        }
    }
}
