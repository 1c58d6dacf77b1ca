//! Compares the failure detectors: wrong suspicions and the time to notice a dead sender.
//!
//! Heartbeats leave every 500 ms, arrive with an exponential delay, some are lost, and some senders
//! pause as an overloaded machine does.

use jasminetack_domain::member::{Detector, FixedTimeout, GreyPrediction, MeanDeviation};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SEED: u64 = 20_261_204;
const HEARTBEAT_MS: u64 = 500;
const HEARTBEATS: u64 = 2_000;
const SENDERS: u64 = 100;

/// A network and the machines on it.
struct Conditions {
    name: &'static str,
    mean_delay_ms: f64,
    loss: f64,
    /// Share of heartbeats before which the sender pauses.
    pauses: f64,
    longest_pause_ms: u64,
}

const CONDITIONS: [Conditions; 4] = [
    Conditions { name: "calm", mean_delay_ms: 1.0, loss: 0.0, pauses: 0.0, longest_pause_ms: 0 },
    Conditions { name: "lossy", mean_delay_ms: 20.0, loss: 0.03, pauses: 0.0, longest_pause_ms: 0 },
    Conditions {
        name: "pauses",
        mean_delay_ms: 20.0,
        loss: 0.0,
        pauses: 0.01,
        longest_pause_ms: 1_500,
    },
    Conditions {
        name: "all",
        mean_delay_ms: 60.0,
        loss: 0.03,
        pauses: 0.01,
        longest_pause_ms: 1_500,
    },
];

/// Returns the arrival times of one sender's heartbeats until its death, and the time of that.
fn arrivals(conditions: &Conditions, random: &mut Pcg64) -> (Vec<u64>, u64) {
    let mut sent_ms = 0;
    let mut arrivals = Vec::new();
    for _ in 0..HEARTBEATS {
        sent_ms += HEARTBEAT_MS;
        if random.random_bool(conditions.pauses) {
            sent_ms += random.random_range(0..=conditions.longest_pause_ms);
        }
        let delay_ms = -conditions.mean_delay_ms * random.random::<f64>().max(1e-9).ln();
        if !random.random_bool(conditions.loss) {
            arrivals.push(sent_ms + delay_ms as u64);
        }
    }
    arrivals.sort_unstable();
    (arrivals, sent_ms + random.random_range(0..HEARTBEAT_MS))
}

/// Prints wrong suspicions an hour of one sender and the times to notice its death.
fn measure<Tested>(label: &str, detector: &Tested)
where
    Tested: Detector,
{
    for conditions in &CONDITIONS {
        let mut random = Pcg64::seed_from_u64(SEED);
        let (mut wrong, mut watched_ms) = (0, 0);
        let mut noticed_ms = Vec::new();
        for _ in 0..SENDERS {
            let (arrivals, died_ms) = arrivals(conditions, &mut random);
            let mut detector = detector.restarted(0);
            for at_ms in arrivals {
                wrong += u64::from(detector.suspects(at_ms));
                detector.arrived(at_ms);
            }
            watched_ms += died_ms;
            noticed_ms.push(detector.suspected_from_ms().saturating_sub(died_ms));
        }
        noticed_ms.sort_unstable();
        let (median, longest) =
            (noticed_ms[noticed_ms.len() / 2], noticed_ms[noticed_ms.len() - 1]);
        let an_hour = wrong as f64 * 3_600_000.0 / watched_ms as f64;
        let name = conditions.name;
        println!(
            "{label:<28} {name:<7} wrong {an_hour:>8.2}/h  noticed median {median:>5} ms  longest {longest:>5} ms"
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
