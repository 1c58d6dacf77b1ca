//! Tests of the scheduling of table reads.

use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_domain::store_time::StoreTime;
use jasminetack_domain::upstream;
use jasminetack_edge::control::Freshness;

/// Time within which a reported change is read in a region of three daemons.
const SMALL_REGION_DELAY_MS: u64 = 150;

/// Returns a time of a store that reports no era.
fn at(store_ms: u64) -> StoreTime {
    StoreTime::new(0, store_ms)
}

fn freshness(host: &str) -> Freshness {
    Freshness::new(&name::HostName::from(host), "operator")
}

#[test]
fn a_table_that_nobody_reads_ages_however_often_its_state_is_exchanged() {
    // Two daemons send each other the same state every 50 ms. If they compared ages instead of
    // store times, each exchange would make the copies appear fresher and the table would never be
    // read.
    let mut one = freshness("one");
    let mut other = freshness("other");
    one.record_read(at(1_000));
    other.record_read(at(1_000));
    for now_ms in (1_000..6_000).step_by(50) {
        let known = one.as_of().expect("a read");
        other.apply_peer_state(true, known, now_ms);
        one.apply_peer_state(true, other.as_of().unwrap(), now_ms);
        assert_eq!(one.as_of(), Some(at(1_000)), "at {now_ms}");
    }
    assert!(one.begin_read(Some(at(2_800)), 2_800));
}

#[test]
fn a_read_by_another_daemon_replaces_an_own_read() {
    let mut own = freshness("own");
    own.record_read(at(1_000));
    own.apply_peer_state(true, at(2_500), 2_500);
    assert!(!own.begin_read(Some(at(3_000)), 3_000));
}

#[test]
fn a_change_known_to_another_daemon_is_read_before_the_table_expires() {
    let mut own = freshness("own");
    own.record_read(at(1_000));
    own.apply_peer_state(false, at(900), 5_000);
    assert!(!own.begin_read(Some(at(1_100)), 5_000 + SMALL_REGION_DELAY_MS));
    own.apply_peer_state(false, at(1_050), 5_000);
    assert!(own.begin_read(Some(at(1_100)), 5_000 + SMALL_REGION_DELAY_MS));
    assert!(
        !own.begin_read(Some(at(1_100)), 5_000 + SMALL_REGION_DELAY_MS),
        "a read is in progress"
    );
}

/// Region of daemons whose reads take `READ_MS` and reach the others `DATAGRAM_MS` later; each checks
/// every `TICK_MS` whether it must read.
struct Region {
    daemons: Vec<Freshness>,
    reading_since_ms: Vec<Option<u64>>,
    reads_ms: Vec<u64>,
}

impl Region {
    const READ_MS: u64 = 60;
    const DATAGRAM_MS: u64 = 20;
    const TICK_MS: u64 = 100;

    /// Creates a region that has read the table at `read_ms`.
    fn new(size: usize, read_ms: u64) -> Self {
        let mut daemons: Vec<_> =
            (0..size).map(|index| freshness(&format!("daemon-{index}"))).collect();
        for (rank, daemon) in daemons.iter_mut().enumerate() {
            daemon.record_read(at(read_ms));
            daemon.set_rank(rank);
        }
        Self { reading_since_ms: vec![None; size], daemons, reads_ms: Vec::new() }
    }

    /// Plays until `until_ms` and returns the greatest age of any copy; the first `dead` daemons do
    /// nothing.
    fn play(&mut self, from_ms: u64, until_ms: u64, dead: usize) -> u64 {
        let mut oldest_ms = 0;
        for now_ms in (from_ms..until_ms).step_by(5) {
            for index in dead..self.daemons.len() {
                let started_ms = self.reading_since_ms[index];
                if started_ms.is_some_and(|at_ms| at_ms + Self::READ_MS <= now_ms) {
                    let as_of_ms = now_ms - Self::READ_MS / 2;
                    self.reading_since_ms[index] = None;
                    self.daemons[index].record_read(at(as_of_ms));
                    let others = self.daemons.iter_mut().enumerate();
                    for (_, other) in others.filter(|(other, _)| *other != index) {
                        other.apply_peer_state(true, at(as_of_ms), now_ms + Self::DATAGRAM_MS);
                    }
                }
                let is_tick = (now_ms + index as u64 * 35) % Self::TICK_MS < 5;
                if is_tick && self.daemons[index].begin_read(Some(at(now_ms)), now_ms) {
                    self.reading_since_ms[index] = Some(now_ms);
                    self.reads_ms.push(now_ms);
                }
                let as_of_ms = self.daemons[index].as_of().expect("a read").store_ms;
                oldest_ms = oldest_ms.max(now_ms.saturating_sub(as_of_ms));
            }
        }
        oldest_ms
    }
}

#[test]
fn a_region_reads_a_table_once_a_second_however_many_daemons_it_has() {
    for size in [3, 30, 65, 200] {
        let mut region = Region::new(size, 1_000);
        let oldest_ms = region.play(1_000, 21_000, 0);
        let reads = region.reads_ms.len();
        assert!(reads <= 22, "{size} daemons: {reads} reads in 20 s");
        assert!(oldest_ms <= 1_200, "{size} daemons: a copy was {oldest_ms} ms old");
    }
}

#[test]
fn another_daemon_reads_when_the_first_readers_of_a_region_do_not() {
    for dead in [1, 2, 10] {
        let mut region = Region::new(65, 1_000);
        let oldest_ms = region.play(1_000, 6_000, dead);
        // The age at which the first daemon reads, the longest delay, a tick and a read.
        assert!(oldest_ms <= 900 + 500 + 100 + 80, "{dead} dead: a copy was {oldest_ms} ms old");
    }
}

#[test]
fn a_change_is_read_once_in_a_region() {
    let mut region = Region::new(30, 5_000);
    for daemon in &mut region.daemons {
        daemon.apply_peer_state(false, at(5_050), 5_100);
    }
    region.play(5_100, 5_700, 0);
    assert!((1..=3).contains(&region.reads_ms.len()), "{:?}", region.reads_ms);
}

#[test]
fn daemons_of_a_region_share_the_retries_during_a_store_outage() {
    const OUTAGE_MS: u64 = 10_000;
    for daemons in [3, 30] {
        let mut region: Vec<_> =
            (0..daemons).map(|index| freshness(&format!("daemon-{index}"))).collect();
        let mut reads_ms = Vec::new();
        for now_ms in (0..OUTAGE_MS).step_by(10) {
            for daemon in &mut region {
                if daemon.begin_read(None, now_ms) {
                    daemon.record_failure(daemons, now_ms);
                    reads_ms.push(now_ms);
                }
            }
        }
        let late: Vec<_> = reads_ms.iter().copied().filter(|at_ms| *at_ms > 4_000).collect();
        let longest = late.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap();
        assert!(longest <= 1_000, "{daemons} daemons: no read for {longest} ms");
        assert!(late.len() <= 80, "{daemons} daemons: {} reads in 6 s", late.len());
    }
}

#[test]
fn a_daemon_that_alone_was_cut_off_reads_again_within_two_seconds() {
    const READERS: usize = 30;
    const CALL_TIMEOUT_MS: u64 = 600;
    const CUT_MS: u64 = 12_000;
    /// Interval at which the daemons of a large region report.
    const REPORT_INTERVAL_MS: u64 = 1_000;
    for host in ["one", "two", "three", "four", "five", "six"] {
        let mut own = freshness(host);
        own.record_read(at(1_000));
        let mut call_started_ms = None;
        let mut read_ms = None;
        let mut calls = 0;
        for now_ms in (1_000..1_000 + 2 * CUT_MS).step_by(10) {
            let is_cut = now_ms < CUT_MS;
            // During the cut, no datagram arrives either.
            if !is_cut && now_ms % REPORT_INTERVAL_MS == 0 {
                own.apply_peer_state(false, at(now_ms - 500), now_ms);
            }
            match call_started_ms {
                None if own.begin_read(Some(at(now_ms)), now_ms) => {
                    calls += 1;
                    call_started_ms = Some((now_ms, is_cut));
                }
                Some((_, false)) => {
                    read_ms = Some(now_ms);
                    break;
                }
                Some((at_ms, true)) if now_ms >= at_ms + CALL_TIMEOUT_MS => {
                    own.record_failure(READERS, now_ms);
                    call_started_ms = None;
                }
                _ => {}
            }
        }
        let took_ms = read_ms.expect("a read after the cut") - CUT_MS;
        assert!(took_ms <= 2_000, "{host} read the table {took_ms} ms after the cut");
        assert!(calls <= 12, "{host} made {calls} calls during the cut");
    }
}

#[test]
fn a_daemon_cut_off_from_the_store_alone_does_not_call_it_without_pause() {
    const READERS: usize = 30;
    let mut own = freshness("own");
    own.record_read(at(1_000));
    let mut calls = 0;
    for now_ms in (3_000..13_000).step_by(10) {
        own.apply_peer_state(false, at(now_ms - 100), now_ms);
        if own.begin_read(Some(at(now_ms)), now_ms) {
            calls += 1;
            own.record_failure(READERS, now_ms);
        }
    }
    assert!((9..=14).contains(&calls), "{calls} calls in 10 s");
}

/// A daemon's copy of the table of workers.
struct Copy {
    freshness: Freshness,
    directory: upstream::Directory,
}

impl Copy {
    fn new(host: &str, rank: usize) -> Self {
        let mut freshness = freshness(host);
        freshness.set_rank(rank);
        Self { freshness, directory: upstream::Directory::default() }
    }

    fn read(&mut self, is_listed: bool, now_ms: u64) {
        let worker = name::WorkerName::from("leaves");
        self.directory.mark_reachable(now_ms, now_ms);
        if !is_listed {
            self.directory.remove(&worker, now_ms);
        } else if self.directory.get(&worker).is_none() {
            self.directory.upsert(upstream::Upstream {
                name: worker,
                service: name::ServiceName::from("llm"),
                address: ([127, 0, 0, 1], 80).into(),
                locality: locality::Locality::new(
                    name::RegionName::from("r"),
                    name::FailureDomainName::from("a"),
                ),
                slots: 4,
                is_draining: false,
                started_unix_ms: 1,
                base_models: Vec::new(),
                adapters: Vec::new(),
            });
        }
        self.freshness.record_read(at(now_ms));
    }

    fn has_worker(&self) -> bool {
        self.directory.iter().next().is_some()
    }
}

#[test]
fn a_worker_that_leaves_just_after_the_first_reader_started_is_dropped_by_the_others_in_time() {
    /// Age of a copy, rank delay, tick and read, as in the sum of bounds of docs/platform.md.
    const BOUND_MS: u64 = 900 + 500 + 100 + 100;
    const REPORT_INTERVAL_MS: u64 = 200;
    const LEAVES_MS: u64 = 60_200;
    let mut reader = Copy::new("reader", 0);
    let mut other = Copy::new("other", 1);
    other.read(true, 1_000);
    // The daemon that reads for the region has just started.
    reader.read(true, 60_000);
    other.freshness.apply_peer_state(true, at(60_000), 60_000);
    for now_ms in (60_000..).step_by(20) {
        let is_listed = now_ms < LEAVES_MS;
        let mut has_read = false;
        for copy in [&mut reader, &mut other] {
            copy.directory.remove_expired(now_ms);
            if copy.freshness.begin_read(Some(at(now_ms)), now_ms) {
                copy.read(is_listed, now_ms);
                has_read = true;
            }
        }
        if has_read || now_ms % REPORT_INTERVAL_MS == 0 {
            let is_same = reader.directory.digest() == other.directory.digest();
            let states = [&reader, &other].map(|copy| copy.freshness.as_of());
            let [of_reader, of_other] = states.map(|as_of_ms| as_of_ms.expect("a read"));
            other.freshness.apply_peer_state(is_same, of_reader, now_ms);
            reader.freshness.apply_peer_state(is_same, of_other, now_ms);
        }
        if !other.has_worker() {
            assert!(now_ms <= LEAVES_MS + BOUND_MS, "{} ms later", now_ms - LEAVES_MS);
            return;
        }
    }
}

/// Guards against a copy from before a restore that counts as current because the clock of the store went back.
#[test]
fn a_copy_from_before_a_restore_is_read_again_whatever_the_clock_of_the_store_shows() {
    let mut own = freshness("own");
    own.record_read(StoreTime::new(1, 9_000));
    assert!(own.begin_read(Some(StoreTime::new(2, 4_000)), 100));
    own.record_read(StoreTime::new(2, 4_050));
    assert_eq!(own.as_of(), Some(StoreTime::new(2, 4_050)));
    // A late response from before the restore changes nothing.
    own.record_read(StoreTime::new(1, 9_100));
    assert_eq!(own.as_of(), Some(StoreTime::new(2, 4_050)));
    assert!(own.current_series().is_none());
}

/// Guards against a wave of reads after a restore, and against a change that is missed because of the clock.
#[test]
fn another_daemon_confirms_or_contradicts_a_copy_across_a_restore() {
    let mut own = freshness("own");
    own.record_read(StoreTime::new(1, 9_000));
    own.apply_peer_state(false, StoreTime::new(2, 4_000), 100);
    assert!(own.begin_read(Some(StoreTime::new(1, 9_010)), 100), "a change is missed");
    let mut same = freshness("same");
    same.record_read(StoreTime::new(1, 9_000));
    same.apply_peer_state(true, StoreTime::new(2, 4_000), 100);
    assert!(!same.begin_read(Some(StoreTime::new(2, 4_100)), 100), "the same contents are read");
}
