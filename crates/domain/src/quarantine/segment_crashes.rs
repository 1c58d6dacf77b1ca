//! Crashes of workers that had a request with one segment.

use indexmap::IndexSet;

use super::moment::Moment;
use super::recorded_crash::RecordedCrash;
use crate::dispatch;
use crate::name;

/// Crashes that had a request with one segment.
pub(super) struct SegmentCrashes {
    segment: dispatch::SegmentId,
    /// Moments of the crashes, ascending.
    pub moments: Vec<Moment>,
    /// Crashes of single workers without the segment from the first moment on.
    pub other_crashes: u32,
    pub first_crash_ms: Option<u64>,
    /// Requests with the segment.
    pub requests: u32,
    /// Position of the segment in their prompts.
    pub position: u32,
    /// Workers that crashed with the segment.
    pub workers: IndexSet<name::WorkerName>,
    /// First segments of all requests on the workers.
    pub first_segments: IndexSet<dispatch::SegmentId>,
}

impl SegmentCrashes {
    /// Creates it without crashes.
    pub fn new(segment: dispatch::SegmentId) -> Self {
        Self {
            segment,
            moments: Vec::new(),
            other_crashes: 0,
            first_crash_ms: None,
            requests: 0,
            position: 0,
            workers: IndexSet::new(),
            first_segments: IndexSet::new(),
        }
    }

    /// Adds the crashes of one moment.
    pub fn add_group(&mut self, group: &[&RecordedCrash]) {
        let Some(first) = group.first() else { return };
        let mut workers_with = 0;
        for crash in group {
            let Some(suspect) = crash.suspects.get(&self.segment) else { continue };
            workers_with += 1;
            self.workers.insert(crash.worker.clone());
            self.first_crash_ms.get_or_insert(crash.at_ms);
            self.requests = self.requests.saturating_add(suspect.requests);
            self.position = self.position.max(suspect.position);
            self.first_segments.extend(&crash.first_segments);
        }
        if workers_with == 0 {
            // Workers that crash together have a cause of their own, which says nothing about others.
            if self.first_crash_ms.is_some() && group.len() == 1 {
                self.other_crashes += 1;
            }
            return;
        }
        let requests = group.iter().map(|crash| crash.requests).sum();
        let workers = group.len() as u32;
        self.moments.push(Moment { at_ms: first.at_ms, workers, workers_with, requests });
    }
}
