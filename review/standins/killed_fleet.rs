//! All daemons are killed after a part of prompts that crashes workers was found out.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::drafts;
use crate::fleet::Fleet;

const WORKERS: usize = 6;
const CLIENTS: u64 = 6;
const LENGTH: Duration = Duration::from_secs(58);
const KILL_AT: Duration = Duration::from_millis(19_600);
const DOWN: Duration = Duration::from_millis(500);
const DEADLY_EVERY: Duration = Duration::from_millis(6_000);

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
    let mut is_killed = !has_trouble;
    let (mut number, mut since_ms) = (0, 0);
    while started.elapsed() < LENGTH {
        if !is_killed && started.elapsed() >= KILL_AT {
            is_killed = true;
            fleet.kill_and_restart_daemons(DOWN);
            since_ms = fleet.record.now_ms() + drafts::CONTACT_MS;
        }
        if started.elapsed() >= next_deadly {
            next_deadly += DEADLY_EVERY;
            // Requests with the part come at any machine.
            for daemon in 0..fleet.daemons.len() {
                number += 1;
                drafts::send_deadly(&fleet, daemon, number);
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
    drafts::count(&fleet.record, since_ms).map(|counted| counted > drafts::ALLOWED)
}
