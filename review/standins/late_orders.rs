//! Workers leave orders unanswered and carry them out late; daemons are killed meanwhile.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::drafts;
use crate::fleet::{Fleet, WorkerPlan};

const WORKERS: usize = 4;
const DAEMONS: usize = 4;
const CLIENTS: u64 = 12;
const ADAPTERS: u64 = 400;
const PAUSE: Duration = Duration::from_millis(100);
const LENGTH: Duration = Duration::from_secs(88);
const FIRST_ROUND: Duration = Duration::from_secs(12);
const ROUND_EVERY: Duration = Duration::from_millis(7_000);
const ROUNDS: u32 = 10;
/// Orders go unanswered for so long, and daemons are killed so long after the begin.
const LATE: Duration = Duration::from_millis(250);
const KILL_AFTER: Duration = Duration::from_millis(200);
const DOWN: Duration = Duration::from_millis(500);

pub fn run(record: &str, has_trouble: bool) -> Option<bool> {
    let mut fleet = Fleet::new(record);
    fleet.store.put("op", "config", drafts::CONFIGURATION);
    let plan = |index: usize| WorkerPlan { deadly_part: String::new(), ..drafts::plan(index) };
    fleet.start_workers((1..=WORKERS).map(plan).collect());
    fleet.start_daemons(DAEMONS);
    if !fleet.wait_until_ready(WORKERS) {
        fleet.end();
        return None;
    }
    thread::sleep(Duration::from_secs(5));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (record, is_over) = (Arc::clone(&fleet.record), Arc::clone(&is_over));
        let address = fleet.daemons[client as usize % DAEMONS].callers;
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let adapter = (number * 37 + client * 101) * (number + client + 7) % ADAPTERS + 1;
                let model = format!("{}/a{adapter}", drafts::MODEL);
                drafts::request(&record, address, "sound", client, number, &model, "b1");
                thread::sleep(PAUSE);
            }
        }));
    }
    let started = Instant::now();
    let mut round = 0;
    while started.elapsed() < LENGTH {
        if has_trouble && round < ROUNDS && started.elapsed() >= FIRST_ROUND + ROUND_EVERY * round {
            // Single daemons, by turns two of them.
            let first = round as usize * 2 % DAEMONS;
            round += 1;
            fleet.delay_orders(LATE);
            thread::sleep(KILL_AFTER);
            fleet.kill_daemon(first);
            fleet.kill_daemon(first + 1);
            thread::sleep(DOWN);
            fleet.restart_daemon(first);
            fleet.restart_daemon(first + 1);
        }
        fleet.tend_workers();
        thread::sleep(Duration::from_millis(20));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    fleet.end();
    let lines = fleet.record.lines();
    let count = |part: &str| lines.iter().filter(|(_, line)| line.contains(part)).count();
    let (overfilled, late) = (count(" overfilled "), count(" carries out late "));
    let (served, orders) = (count("status=200 whole=true"), count(" order "));
    fleet.record.add(format!(
        "result workers_overfilled={overfilled} late_orders={late} orders={orders} served={served}"
    ));
    (served > 100 && orders > 100).then_some(overfilled > 0)
}
