//! Segments of prompts on which workers crash.
//!
//! A request with such a segment ends every worker that starts to answer it, and a repeat ends the next
//! one. The daemons tell each other which requests workers crashed on. A segment is quarantined, which means
//! that requests with it are refused, if a sound segment would hardly be on these workers by chance and in
//! no answer that survived.

mod answer_counts;
mod answered_segments;
mod crash_log;
mod crash_report;
mod evidence;
mod moment;
mod observed_moment;
mod peer_verdict;
#[allow(clippy::module_inception)]
mod quarantine;
mod recorded_crash;
mod segment_change;
mod segment_crashes;
mod stored_verdict;
mod survived_answer;
mod suspect_segment;
mod undecided_segment;
mod verdict;
mod worker_crash;

pub use crash_report::CrashReport;
pub use peer_verdict::PeerVerdict;
pub use quarantine::Quarantine;
pub use segment_change::SegmentChange;
pub use stored_verdict::StoredVerdict;
pub use survived_answer::SurvivedAnswer;
pub use suspect_segment::SuspectSegment;
pub use verdict::Verdict;
pub use worker_crash::WorkerCrash;

/// Time from the first part of an answer within which a worker crashes if the prompt is the cause. An
/// answer that lasts longer has survived.
pub const ONSET_MS: u64 = 1_000;
