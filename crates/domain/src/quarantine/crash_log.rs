//! Recent crashes of workers.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::answer_counts::AnswerCounts;
use super::answered_segments::AnsweredSegments;
use super::evidence::Evidence;
use super::moment::Moment;
use super::observed_moment::ObservedMoment;
use super::recorded_crash::RecordedCrash;
use super::segment_crashes::SegmentCrashes;
use super::{CrashReport, ONSET_MS, WorkerCrash};
use crate::dispatch;

/// Time for which a crash counts.
const LIFETIME_MS: u64 = 600_000;
/// Crashes that are kept; the oldest are dropped first, unless they are recent.
const MAX_CRASHES: usize = 128;
/// Age up to which the first crashes are kept and further ones ignored, so that a decision need not wait
/// until workers stop crashing.
const RECENT_MS: u64 = 10_000;
/// Crashes within this time of each other may have one cause, such as the loss of a rack.
const COMMON_CAUSE_MS: u64 = 150;
/// Crashes that are kept of one moment, as a sample. If workers crash faster than the log can keep, the
/// crashes of several moments must be there for a decision.
const MAX_MOMENT_CRASHES: usize = 8;
/// Crashes from which a segment is examined. They are not sufficient, but may become so with the next one.
const MIN_CRASHES: usize = 3;
/// Segments that are examined, those in most crashes first; it bounds the processor time.
const MAX_CANDIDATES: usize = 32;
/// Time in which requests of one clump are sent; the answers of this time before and after a crash show
/// what was in the traffic then.
pub(super) const CLUMP_MS: u64 = 1_000;
/// Time before a crash from which answers count: those that had not lasted for the onset broke off.
const BEFORE_CRASH_MS: u64 = CLUMP_MS + ONSET_MS;

/// Recent crashes of workers, the oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashLog {
    crashes: VecDeque<RecordedCrash>,
}

impl CrashLog {
    /// Records a crash as this daemon saw it.
    pub fn record(&mut self, crash: &WorkerCrash, now_ms: u64) {
        if let Some(recorded) = self.crash_mut(crash, now_ms) {
            recorded.add_own(crash);
        }
    }

    /// Records a crash as another daemon saw it.
    pub fn record_report(&mut self, report: &CrashReport, now_ms: u64) {
        if !report.is_newest {
            let is_same = |recorded: &&mut RecordedCrash| recorded.is_of_process(&report.crash);
            if let Some(recorded) = self.crashes.iter_mut().rev().find(is_same) {
                if !recorded.is_known_from(&report.from) {
                    recorded.add_report(report);
                }
                return;
            }
        }
        if let Some(recorded) = self.crash_mut(&report.crash, now_ms) {
            recorded.add_report(report);
        }
    }

    /// Returns the crash that is seen now, adding it if it is not known; `None` if the log cannot keep it.
    fn crash_mut(&mut self, crash: &WorkerCrash, now_ms: u64) -> Option<&mut RecordedCrash> {
        let is_same = |recorded: &RecordedCrash| recorded.is_reported_by(crash, now_ms);
        if let Some(position) = self.crashes.iter().rposition(is_same) {
            return self.crashes.get_mut(position);
        }
        if self.crashes.len() >= MAX_CRASHES {
            let oldest_ms = self.crashes.front().map_or(0, |crash| crash.at_ms);
            if now_ms.saturating_sub(oldest_ms) < RECENT_MS {
                return None;
            }
            self.crashes.pop_front();
        }
        let of_moment = self.crashes.iter().rev();
        let of_moment =
            of_moment.take_while(|crash| now_ms.saturating_sub(crash.at_ms) < COMMON_CAUSE_MS);
        if of_moment.count() >= MAX_MOMENT_CRASHES {
            return None;
        }
        self.crashes.push_back(RecordedCrash::new(crash, now_ms));
        self.crashes.back_mut()
    }

    /// Drops crashes that no longer count.
    pub fn expire(&mut self, now_ms: u64) {
        self.crashes.retain(|crash| now_ms.saturating_sub(crash.at_ms) < LIFETIME_MS);
    }

    /// Drops a segment from the suspects of all crashes up to a time. Returns from how many, and how many
    /// crashes had the segment in all.
    pub fn exonerate(&mut self, segment: dispatch::SegmentId, until_ms: u64) -> (usize, usize) {
        let mut dropped = 0;
        for crash in &mut self.crashes {
            dropped += usize::from(crash.at_ms <= until_ms && crash.clear(segment));
        }
        let had = self.crashes.iter().filter(|crash| crash.had(segment));
        (dropped, if dropped > 0 { had.count() } else { 0 })
    }

    /// Returns the time of the first crash from `since_ms` on that a segment is suspected of.
    pub fn first_crash_ms(&self, segment: dispatch::SegmentId, since_ms: u64) -> Option<u64> {
        let crashes = self.crashes.iter().filter(|crash| crash.at_ms >= since_ms);
        crashes.filter(|crash| crash.suspects.contains_key(&segment)).map(|crash| crash.at_ms).min()
    }

    /// Returns the evidence against the segments that are suspected of enough crashes, leaving out the
    /// crashes that have another known cause.
    pub fn evidence<IsKnown>(
        &self,
        is_known_cause: IsKnown,
        answered: &AnsweredSegments,
        answers: &AnswerCounts,
        now_ms: u64,
    ) -> Vec<Evidence>
    where
        IsKnown: Fn(dispatch::SegmentId) -> bool,
    {
        let is_unexplained =
            |crash: &&RecordedCrash| !crash.suspects.keys().any(|segment| is_known_cause(*segment));
        let unexplained: Vec<_> = self.crashes.iter().filter(is_unexplained).collect();
        let mut crash_counts: IndexMap<dispatch::SegmentId, usize> = IndexMap::new();
        for crash in &unexplained {
            for segment in crash.suspects.keys() {
                *crash_counts.entry(*segment).or_default() += 1;
            }
        }
        let fleet_factor = self.fleet_factor();
        let groups = group_by_moment(&unexplained);
        let mut candidates: Vec<_> =
            crash_counts.iter().filter(|(_, crashes)| **crashes >= MIN_CRASHES).collect();
        candidates.sort_by_key(|(_, crashes)| std::cmp::Reverse(**crashes));
        candidates.truncate(MAX_CANDIDATES);
        let mut all = Vec::new();
        for (segment, crashes) in candidates {
            let mut of_segment = SegmentCrashes::new(*segment);
            for group in &groups {
                of_segment.add_group(group);
            }
            let latest_ms = answered.latest_ms(*segment);
            let first_crash_ms = of_segment.first_crash_ms.unwrap_or(now_ms);
            let count = |from_ms: Option<u64>, until_ms| {
                let after_ms = from_ms.max(latest_ms);
                let count = answers.count(&of_segment.first_segments, after_ms, until_ms);
                count as f64 * fleet_factor
            };
            let around = |at_ms: u64| count(at_ms.checked_sub(BEFORE_CRASH_MS), at_ms + CLUMP_MS);
            let observe = |moment: &Moment| {
                let answers = around(moment.at_ms);
                let hit_share = self.hit_share(moment.at_ms, answers);
                ObservedMoment { moment: *moment, answers, hit_share }
            };
            let moments = of_segment.moments.iter().map(observe).collect();
            all.push(Evidence {
                segment: *segment,
                moments,
                workers: of_segment.workers.len(),
                answers: count(first_crash_ms.checked_sub(BEFORE_CRASH_MS), now_ms),
                was_answered: latest_ms.is_some(),
                other_crashes: of_segment.other_crashes,
                suspects: crash_counts.len(),
                first_crash_ms,
                crashes: *crashes,
                requests: of_segment.requests,
                position: of_segment.position,
            });
        }
        all
    }

    /// Returns the share of the requests around a moment that were on a worker when it crashed, for whatever
    /// cause, beside `answers` that survived; 1 if the log has not kept all of these crashes.
    fn hit_share(&self, at_ms: u64, answers: f64) -> f64 {
        let around = self.crashes.iter().filter(|crash| {
            crash.at_ms + BEFORE_CRASH_MS >= at_ms && crash.at_ms <= at_ms + CLUMP_MS
        });
        // A report may come without a number of requests.
        let hit = around.map(|crash| f64::from(crash.requests.max(1))).sum::<f64>();
        let of_moment =
            self.crashes.iter().filter(|crash| crash.at_ms.abs_diff(at_ms) < COMMON_CAUSE_MS);
        let is_sample =
            of_moment.count() >= MAX_MOMENT_CRASHES || self.crashes.len() >= MAX_CRASHES;
        if is_sample { 1.0 } else { hit / (hit + answers) }
    }

    /// Returns by which factor the answers of all daemons are more than those of this one, by its share of
    /// the requests on the crashed workers; 1 if it had none there, which says nothing of its share.
    fn fleet_factor(&self) -> f64 {
        let requests: u32 = self.crashes.iter().map(|crash| crash.requests).sum();
        let own: u32 = self.crashes.iter().map(|crash| crash.own_requests).sum();
        if own == 0 {
            return 1.0;
        }
        // With few requests, the own share is uncertain; one more keeps the factor low.
        (f64::from(requests) / (f64::from(own) + 1.0)).max(1.0)
    }
}

/// Groups crashes, which are in the order of their times, by their moments.
fn group_by_moment<'log>(crashes: &[&'log RecordedCrash]) -> Vec<Vec<&'log RecordedCrash>> {
    let mut groups: Vec<Vec<&RecordedCrash>> = Vec::new();
    for crash in crashes {
        let of_moment = groups.last_mut().filter(|group| {
            group.first().is_some_and(|first| crash.at_ms < first.at_ms + COMMON_CAUSE_MS)
        });
        match of_moment {
            Some(group) => group.push(crash),
            None => groups.push(vec![crash]),
        }
    }
    groups
}
