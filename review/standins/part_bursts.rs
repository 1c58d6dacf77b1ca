//! Requests with a part that crashes workers come several at once, and some seconds later again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::drafts;
use crate::fleet::{Fleet, WorkerPlan};

const WORKERS: usize = 9;
const CLIENTS: u64 = 12;
const LENGTH: Duration = Duration::from_secs(34);
const BURST: u64 = 6;
const BURST_EVERY: Duration = Duration::from_millis(6_000);

/// Without the trouble, the same requests come and no worker crashes on them.
pub fn run(record: &str, has_trouble: bool) -> Option<bool> {
    let mut fleet = Fleet::new(record);
    fleet.store.put("op", "config", drafts::CONFIGURATION);
    let plan = |index: usize| {
        let deadly_part = if has_trouble { drafts::DEADLY_PART.to_owned() } else { String::new() };
        WorkerPlan { deadly_part, ..drafts::plan(index) }
    };
    fleet.start_workers((1..=WORKERS).map(plan).collect());
    fleet.start_daemons(2);
    if !fleet.wait_until_ready(WORKERS) {
        fleet.end();
        return None;
    }
    thread::sleep(Duration::from_secs(5));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = drafts::start_clients(&fleet, CLIENTS, &is_over);
    let started = Instant::now();
    let mut next_burst = Duration::from_secs(1);
    let mut number = 0;
    while started.elapsed() < LENGTH {
        if started.elapsed() >= next_burst {
            next_burst += BURST_EVERY;
            for _ in 0..BURST {
                number += 1;
                drafts::send_deadly(&fleet, number as usize % fleet.daemons.len(), number);
            }
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
