//! The workers of a zone crash together, several times, while a part of prompts crashes workers too.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::drafts;
use crate::fleet::Fleet;

const WORKERS: usize = 9;
const ZONES: usize = 3;
const CLIENTS: u64 = 40;
const LENGTH: Duration = Duration::from_secs(66);
const FIRST_ZONE_CRASH: Duration = Duration::from_millis(3_500);
const ZONE_CRASH_EVERY: Duration = Duration::from_millis(8_000);
const ZONE_CRASHES: u32 = 5;
const DEADLY_EVERY: Duration = Duration::from_millis(5_000);

pub fn run(record: &str, has_trouble: bool) -> Option<bool> {
    let mut fleet = Fleet::new(record);
    fleet.store.put("op", "config", drafts::CONFIGURATION);
    fleet.start_workers((1..=WORKERS).map(drafts::plan).collect());
    fleet.start_daemons(2);
    if !fleet.wait_until_ready(WORKERS) {
        fleet.end();
        return None;
    }
    thread::sleep(Duration::from_secs(5));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = drafts::start_clients(&fleet, CLIENTS, &is_over);
    let started = Instant::now();
    let mut next_deadly = Duration::from_secs(1);
    let mut zone_crashes = if has_trouble { 0 } else { ZONE_CRASHES };
    let mut number = 0;
    while started.elapsed() < LENGTH {
        if zone_crashes < ZONE_CRASHES
            && started.elapsed() >= FIRST_ZONE_CRASH + ZONE_CRASH_EVERY * zone_crashes
        {
            let zone = zone_crashes as usize % ZONES;
            fleet.kill_workers(|index| index % ZONES == zone);
            zone_crashes += 1;
        }
        if started.elapsed() >= next_deadly {
            next_deadly += DEADLY_EVERY;
            number += 1;
            drafts::send_deadly(&fleet, number as usize % fleet.daemons.len(), number);
        }
        fleet.tend_workers();
        thread::sleep(Duration::from_millis(20));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    fleet.end();
    drafts::count(&fleet.record, 0).map(|counted| counted > drafts::ALLOWED)
}
