//! What speaks against one segment.

use super::crash_log::CLUMP_MS;
use super::moment::ln_choices;
use super::observed_moment::ObservedMoment;
use crate::dispatch;

/// Probability of quarantining any sound segment when workers crash for another reason. A sound segment costs
/// few requests until an answer clears it, and one that is deadly all streams of a worker each time.
const FALSE_QUARANTINE_PROBABILITY: f64 = 0.01;
/// Requests without the segment that are assumed to have been answered if none with it ever was: a segment
/// that is in most requests has been answered before. They count for each moment once, since workers that
/// crash together may have requests of one caller.
const ASSUMED_ANSWERS: f64 = 16.0;
/// Crashes that are sufficient whenever they are.
const MIN_CRASHES: usize = 5;
/// Moments of crashes that are sufficient with fewer crashes: requests of one conversation may be on all
/// workers of a rack, but hardly ever on workers that crash again and again.
const MIN_MOMENTS: usize = 4;
/// Workers that must have crashed with a segment for its requests to count one by one: those of a session go
/// to the same worker, which may crash again and again for another reason.
const MIN_WORKERS: usize = 3;
/// Segments of one caller that are told apart if each crashes workers.
const MAX_PARTS: usize = 4;
/// Shares of the requests for which probabilities are computed are powers of one half to the half of an
/// index up to this one, that is, down to 1 in 260,000.
const MAX_SHARE_INDEX: u32 = 36;

/// Crashes of workers that had requests with one segment.
#[derive(Clone, Debug)]
pub(super) struct Evidence {
    pub segment: dispatch::SegmentId,
    /// Moments of the crashes, ascending.
    pub moments: Vec<ObservedMoment>,
    /// Number of different workers that crashed with the segment.
    pub workers: usize,
    /// Answers to comparable requests without the segment since shortly before the first of the crashes.
    pub answers: f64,
    /// Whether any request with the segment was ever answered.
    pub was_answered: bool,
    /// Crashes of single workers without the segment and without a known cause from the first moment on.
    pub other_crashes: u32,
    /// Number of different segments that are suspected of crashes.
    pub suspects: usize,
    /// Time of the first crash.
    pub first_crash_ms: u64,
    /// Number of crashes of workers that had the segment.
    pub crashes: usize,
    /// Requests with the segment on the crashed workers.
    pub requests: u32,
    /// Position of the segment in their prompts.
    pub position: u32,
}

impl Evidence {
    /// Returns whether the crashes cannot be explained by a sound segment.
    pub fn is_sufficient(&self) -> bool {
        (self.crashes >= MIN_CRASHES || self.moments.len() >= MIN_MOMENTS)
            && (self.weight() >= self.threshold() || self.was_every_request_hit())
    }

    /// Returns whether chance can hardly have put each request with a sound segment on a worker that crashes.
    ///
    /// Only the requests with the segment count here, so that neither its share of all requests matters nor how
    /// many crashes there are without it. The chances are all segments that may have been in as many requests.
    fn was_every_request_hit(&self) -> bool {
        let (mut requests, mut weight, mut last_ms) = (0, 0.0, None);
        for observed in &self.moments {
            // Requests of one clump are hit together.
            let at_ms = observed.moment.at_ms;
            if last_ms.is_some_and(|last_ms| at_ms < last_ms + CLUMP_MS) {
                continue;
            }
            last_ms = Some(at_ms);
            requests += 1;
            weight -= observed.hit_share.ln();
        }
        if requests < MIN_CRASHES || self.workers < MIN_WORKERS {
            return false;
        }
        let segments = (self.answers / requests as f64).max(self.suspects as f64);
        weight >= segments.max(1.0).ln() - FALSE_QUARANTINE_PROBABILITY.ln()
    }

    /// Returns whether the segment follows on another one that requests with it share, and accounts for so
    /// many of the other one's crashes that the other one may be in the rest for the same kind of reason:
    /// several segments of one caller may crash workers.
    pub fn is_part_of(&self, other: &Self) -> bool {
        self.position > other.position
            && self.requests < other.requests
            && self.crashes * MAX_PARTS >= other.crashes
    }

    /// Returns whether the segment follows on another one and is in so many of its crashes that it may be
    /// the cause of most, although not of all of them.
    pub fn is_main_part_of(&self, other: &Self) -> bool {
        self.is_part_of(other) && self.crashes < other.crashes && self.crashes * 2 >= other.crashes
    }

    /// Returns the negative logarithm of the probability that a sound segment is on the crashed workers and
    /// in none of the answers, at the share of the requests that makes this most probable.
    ///
    /// The share is either the same all the time, or it differs: requests with the segment may come in
    /// clumps. The more probable case decides.
    pub fn weight(&self) -> f64 {
        self.weight_of_constant_share().min(self.weight_of_clumps())
    }

    /// Returns the weight that the probability of a false quarantine demands: any of the suspects may be
    /// in the crashes by chance, and in any of the crashes that there were.
    fn threshold(&self) -> f64 {
        let moments = self.moments.len() as u32;
        (self.suspects.max(1) as f64).ln() + ln_choices(moments + self.other_crashes, moments)
            - FALSE_QUARANTINE_PROBABILITY.ln()
    }

    fn weight_of_constant_share(&self) -> f64 {
        let answers = self.answers;
        let as_many = |ln_absent| {
            let moments = self.moments.iter().map(|observed| observed.moment.ln_as_many(ln_absent));
            answers * ln_absent + moments.sum::<f64>()
        };
        let assumed = self.assumed_answers();
        let any = |ln_absent| {
            let moments = self.moments.iter().map(|observed| observed.moment.ln_any(ln_absent));
            (answers + assumed) * ln_absent + moments.sum::<f64>()
        };
        weight(as_many).max(weight(any))
    }

    fn weight_of_clumps(&self) -> f64 {
        let assumed = self.assumed_answers();
        let of_moment = |ObservedMoment { moment, answers, .. }: &ObservedMoment| {
            let as_many = |ln_absent| answers * ln_absent + moment.ln_as_many(ln_absent);
            let any = |ln_absent| (answers + assumed) * ln_absent + moment.ln_any(ln_absent);
            weight(as_many).max(weight(any))
        };
        self.moments.iter().map(of_moment).sum()
    }

    fn assumed_answers(&self) -> f64 {
        if self.was_answered { 0.0 } else { ASSUMED_ANSWERS }
    }

    /// Orders evidence by how well the segment explains the crashes: it was there in more of them, in
    /// fewer requests, and later in their prompts.
    pub fn rank(&self) -> (usize, std::cmp::Reverse<u32>, u32, dispatch::SegmentId) {
        (self.crashes, std::cmp::Reverse(self.requests), self.position, self.segment)
    }
}

/// Returns the negative logarithm of a probability at the share of the requests that makes it greatest.
///
/// `ln_probability` gets the logarithm of the share of the requests without the segment.
fn weight<LnProbability>(ln_probability: LnProbability) -> f64
where
    LnProbability: Fn(f64) -> f64,
{
    // The share of all requests: answers exclude it, and no answers say nothing, which an infinite logarithm
    // could not express.
    let all = ln_probability(-1e6);
    let shares = (1..=MAX_SHARE_INDEX).map(|index| 0.5_f64.powf(f64::from(index) / 2.0));
    let greatest = shares.map(|share| ln_probability((-share).ln_1p())).fold(all, f64::max);
    -greatest.min(0.0)
}
