//! Crashes of one moment.

/// Crashes of one moment, as far as they concern one segment.
///
/// Workers that crash together may have one cause, such as the loss of a rack, so that whether a sound
/// segment is among their requests is decided once for all of them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Moment {
    /// Time of the first of the crashes.
    pub at_ms: u64,
    /// Number of workers that crashed.
    pub workers: u32,
    /// Number of those that had a request with the segment.
    pub workers_with: u32,
    /// Number of requests that the workers had.
    pub requests: u32,
}

impl Moment {
    /// Returns the logarithm of the probability that at least one of the requests has a sound segment of
    /// which `ln_absent` is the logarithm of the share of the requests without it.
    pub fn ln_any(&self, ln_absent: f64) -> f64 {
        ln_present(ln_absent * f64::from(self.requests))
    }

    /// Returns an upper bound of the logarithm of the probability that at least as many of the workers as
    /// here have a request with a sound segment.
    ///
    /// If the workers have it with probabilities p1, p2, ..., the probability that all of some `k` workers
    /// have it, summed over all choices of `k`, is greatest when the probabilities are equal (Maclaurin's
    /// inequality), and their mean is greatest when all workers have equally many requests.
    pub fn ln_as_many(&self, ln_absent: f64) -> f64 {
        let mean_requests = f64::from(self.requests) / f64::from(self.workers.max(1));
        let of_one = ln_present(ln_absent * mean_requests);
        let choices = ln_choices(self.workers, self.workers_with);
        (choices + f64::from(self.workers_with) * of_one).min(0.0)
    }
}

/// Returns the logarithm of `1 - exp(ln_absent)`.
fn ln_present(ln_absent: f64) -> f64 {
    (-ln_absent.exp_m1()).ln()
}

/// Returns the logarithm of the number of ways in which `chosen` of `count` can be chosen.
pub(super) fn ln_choices(count: u32, chosen: u32) -> f64 {
    let chosen = chosen.min(count - chosen.min(count));
    (0..chosen).map(|index| (f64::from(count - index) / f64::from(index + 1)).ln()).sum()
}
