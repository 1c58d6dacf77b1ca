//! Clients that send bodies as long as the configuration allows, and more of them than usual for a time.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Daemon, Record};
use crate::http;

/// `MaxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// Pieces of a body and the pause between them: a client sends for about three seconds.
const PIECES: usize = 64;
const PIECE_PAUSE: Duration = Duration::from_millis(45);
const DEADLINE_MS: u64 = 10_000;
/// Clients of each daemon as usual, and in a burst (x = 1.7).
const USUAL_CLIENTS: usize = 26;
const BURST_CLIENTS: usize = 44;
const ROUNDS: usize = 3;
/// `MemoryMb` of the machines, above which the platform kills a process.
const MEMORY_MB: u64 = 260;
/// Ends of a daemon's process from which its machine counts, and the machines from which the rule is broken.
const MAX_ENDS: usize = 3;
const MAX_MACHINES: usize = 2;

/// Counters of one daemon.
#[derive(Default)]
struct Machine {
    ends: AtomicUsize,
    most_mb: AtomicUsize,
    answered: AtomicUsize,
    lost: AtomicUsize,
}

pub fn run(record: &Path, directory: &PathBuf, has_trouble: bool) -> io::Result<bool> {
    let record = Record::create(record)?;
    let answer: Arc<Vec<u8>> = Arc::new(vec![b'a'; 800]);
    let (_store, mut daemons) = fleet::start(directory, 3, &record, &answer)?;
    let machines: Vec<Machine> = daemons.iter().map(|_| Machine::default()).collect();
    let clients = if has_trouble { BURST_CLIENTS } else { USUAL_CLIENTS };
    for round in 0..ROUNDS {
        record.add(&format!("round {round}: {clients} clients at each daemon send {BODY_BYTES} bytes each"));
        let is_over = AtomicBool::new(false);
        thread::scope(|scope| {
            for (daemon, machine) in daemons.iter_mut().zip(&machines) {
                let (record, is_over) = (&record, &is_over);
                scope.spawn(move || watch(daemon, machine, record, is_over));
            }
            let addresses: Vec<SocketAddrV4> = (0..machines.len()).map(|index| fleet::callers(index)).collect();
            thread::scope(|scope| {
                for (index, (address, machine)) in addresses.iter().zip(&machines).enumerate() {
                    for client in 0..clients {
                        let (record, id) = (&record, format!("upload-{round}-{index}-{client}"));
                        scope.spawn(move || call(address, &id, machine, record));
                    }
                }
            });
            is_over.store(true, Ordering::Relaxed);
        });
        thread::sleep(fleet::CONTACT);
    }
    let mut counted = 0;
    for (daemon, machine) in daemons.iter().zip(&machines) {
        let get = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
        let ends = get(&machine.ends);
        counted += usize::from(ends >= MAX_ENDS);
        record.add(&format!(
            "{}: most memory {} MB, {ends} ends by memory over {MEMORY_MB} MB, {} requests answered, {} not",
            daemon.name,
            get(&machine.most_mb),
            get(&machine.answered),
            get(&machine.lost)
        ));
    }
    record.add(&format!("{counted} machines whose process ended {MAX_ENDS} times, {MAX_MACHINES} break the rule"));
    let broken = counted >= MAX_MACHINES;
    record.add(if broken { "Fault is broken" } else { "Fault holds" });
    Ok(broken)
}

/// Kills the process of a daemon when it exceeds the memory of its machine, and starts it again, as the
/// platform does.
fn watch(daemon: &mut Daemon, machine: &Machine, record: &Record, is_over: &AtomicBool) {
    while !is_over.load(Ordering::Relaxed) {
        let used_mb = daemon.memory_mb();
        machine.most_mb.fetch_max(used_mb as usize, Ordering::Relaxed);
        if used_mb > MEMORY_MB {
            record.add(&format!("{} uses {used_mb} MB and is killed by the platform", daemon.name));
            machine.ends.fetch_add(1, Ordering::Relaxed);
            let begun = Instant::now();
            if let Err(error) = daemon.restart(Duration::from_millis(500)) {
                record.add(&format!("{} cannot start again: {error}", daemon.name));
                return;
            }
            record.add(&format!("{} starts again after {} ms", daemon.name, begun.elapsed().as_millis()));
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn call(daemon: &SocketAddrV4, id: &str, machine: &Machine, record: &Record) {
    let result = upload(daemon, id);
    let counter = if result.is_ok() { &machine.answered } else { &machine.lost };
    counter.fetch_add(1, Ordering::Relaxed);
    record.add(&format!("{id}: {}", result.unwrap_or_else(|error| error.to_string())));
}

fn upload(daemon: &SocketAddrV4, id: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(*daemon)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let head = format!(
        "POST /confirm/short HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let piece = vec![b'x'; BODY_BYTES / PIECES];
    for _ in 0..PIECES {
        stream.write_all(&piece)?;
        thread::sleep(PIECE_PAUSE);
    }
    let mut source = BufReader::new(stream);
    let head = http::read_head(&mut source)?;
    head.map(|(first, _)| first).ok_or(io::Error::other("closed without an answer"))
}
