//! Compares the failure detectors by false suspicion rate and detection time.
//!
//! The simulation sends a heartbeat every 500 ms with exponentially distributed network delay, loss,
//! and sender pauses like those of an overloaded machine.

use jasminetack_domain::member::{Detector, FixedTimeout, GreyPrediction, MeanDeviation};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SEED: u64 = 20_261_204;
const HEARTBEAT_MS: u64 = 500;
const HEARTBEATS: u64 = 2_000;
const SENDERS: u64 = 100;

/// Simulated network and sender conditions.
struct Conditions {
    name: &'static str,
    mean_delay_ms: f64,
    loss_probability: f64,
    /// Probability that the sender pauses before a heartbeat.
    pause_probability: f64,
    max_pause_ms: u64,
}

const CONDITIONS: [Conditions; 4] = [
    Conditions {
        name: "calm",
        mean_delay_ms: 1.0,
        loss_probability: 0.0,
        pause_probability: 0.0,
        max_pause_ms: 0,
    },
    Conditions {
        name: "lossy",
        mean_delay_ms: 20.0,
        loss_probability: 0.03,
        pause_probability: 0.0,
        max_pause_ms: 0,
    },
    Conditions {
        name: "pauses",
        mean_delay_ms: 20.0,
        loss_probability: 0.0,
        pause_probability: 0.01,
        max_pause_ms: 1_500,
    },
    Conditions {
        name: "all",
        mean_delay_ms: 60.0,
        loss_probability: 0.03,
        pause_probability: 0.01,
        max_pause_ms: 1_500,
    },
];

/// Returns the heartbeat arrival times of one sender until it fails, and the time of the failure.
fn arrivals(conditions: &Conditions, random: &mut Pcg64) -> (Vec<u64>, u64) {
    let mut sent_ms = 0;
    let mut arrivals = Vec::new();
    for _ in 0..HEARTBEATS {
        sent_ms += HEARTBEAT_MS;
        if random.random_bool(conditions.pause_probability) {
            sent_ms += random.random_range(0..=conditions.max_pause_ms);
        }
        let delay_ms = -conditions.mean_delay_ms * random.random::<f64>().max(1e-9).ln();
        if !random.random_bool(conditions.loss_probability) {
            arrivals.push(sent_ms + delay_ms as u64);
        }
    }
    arrivals.sort_unstable();
    (arrivals, sent_ms + random.random_range(0..HEARTBEAT_MS))
}

/// Prints the false suspicions per sender and hour, and the median and longest detection time.
fn measure<Detection>(label: &str, detector: &Detection)
where
    Detection: Detector,
{
    for conditions in &CONDITIONS {
        let mut random = Pcg64::seed_from_u64(SEED);
        let (mut false_suspicions, mut observed_ms) = (0, 0);
        let mut detection_ms = Vec::new();
        for _ in 0..SENDERS {
            let (arrivals, failed_ms) = arrivals(conditions, &mut random);
            let mut detector = detector.restarted(0);
            for at_ms in arrivals {
                false_suspicions += u64::from(detector.suspects(at_ms));
                detector.record_heartbeat(at_ms);
            }
            observed_ms += failed_ms;
            detection_ms.push(detector.suspected_from_ms().saturating_sub(failed_ms));
        }
        detection_ms.sort_unstable();
        let (median, longest) =
            (detection_ms[detection_ms.len() / 2], detection_ms[detection_ms.len() - 1]);
        let per_hour = false_suspicions as f64 * 3_600_000.0 / observed_ms as f64;
        let name = conditions.name;
        println!(
            "{label:<28} {name:<7} false {per_hour:>8.2}/h  detection median {median:>5} ms  longest {longest:>5} ms"
        );
    }
}

fn main() {
    for timeout_ms in [1_200, 1_500, 2_000] {
        measure(&format!("fixed {timeout_ms} ms"), &FixedTimeout::new(timeout_ms, 0));
    }
    for deviations in [4.0, 8.0] {
        let detector = MeanDeviation::new(deviations, 300, 2_000, 0);
        measure(&format!("mean and {deviations} deviations"), &detector);
    }
    for margin_ms in [600, 1_100] {
        measure(
            &format!("grey prediction + {margin_ms} ms"),
            &GreyPrediction::new(margin_ms, 2_000, 0),
        );
    }
}
