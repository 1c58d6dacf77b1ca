//! Breadth-first search over calls that run at most once.
//!
//! Three attempts use one key, each on a daemon of its own. Steps interleave freely, so that every
//! pause and delay is covered; crashes, lost replies, delayed writes, refused connections and the end of
//! the retention time count as failures, of which a few may happen in one run. The decisions are
//! those of the domain.

use std::cell::Cell;
use std::sync::Arc;

use jasminetack_domain::claim;
use jasminetack_domain::request;
use pathfinding::directed::bfs;

const ATTEMPTS: usize = 3;
/// Time until which an attempt may send, and times before and after it.
const SEND_BEFORE_MS: u64 = 100;
const EARLY_MS: u64 = 1;
const LATE_MS: u64 = 1_000;

/// A rule of the protocol that a search can leave out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// The claim is inserted only when the key has none.
    ConditionalInsert,
    /// A claim that is read back counts only with the attempt's own token.
    OwnTokenOnly,
    /// An open claim of another attempt is not taken over.
    OpenStays,
    /// An attempt that cannot tell whether its claim was written sends nothing.
    UnresolvedSendsNothing,
    /// A claim is removed only when no byte was sent.
    RemoveOnlyUnsent,
    /// A claim is removed only in the version that the attempt wrote.
    ConditionalRemoval,
    /// A call of which a byte may have been sent is not sent again.
    SendOnce,
    /// A claim of a call with other content is not answered from.
    SameContent,
    /// A call is not sent after its deadline, which lies before the end of the retention time.
    SendBeforeDeadline,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    row: Option<(u8, claim::Record)>,
    version: u8,
    /// Writes whose sender has given up on them; they may take effect at any time or never.
    delayed: Vec<Write>,
    attempts: [Attempt; ATTEMPTS],
    /// Attempts whose call ran, with the retention times that had ended before they sent it.
    runs: Vec<(usize, u8)>,
    /// Calls on their way to the service, with the retention times that had ended.
    calls: Vec<(usize, u8)>,
    retentions_ended: u8,
    failures: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Write {
    Insert(usize),
    Remove(u8),
    Record(usize, u8),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Attempt {
    claim: claim::Claim,
    point: Point,
    version: u8,
    /// Retention times that had ended when the claim was started; a pause may span one.
    started_in: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Point {
    New,
    Insert,
    ReadBack,
    Held,
    Sent,
    Record(usize),
    Replied(Reply),
    Crashed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Reply {
    NotRun,
    Unknown,
    /// Answer of the call of this attempt.
    Answer(usize),
}

#[derive(Clone, Copy, Debug)]
struct Search {
    without: Option<Rule>,
    contents: [u8; ATTEMPTS],
    failures: u8,
}

struct Found {
    states: usize,
    path: Option<Vec<World>>,
}

impl Search {
    fn run(self) -> Found {
        let states = Cell::new(0);
        let attempts = std::array::from_fn(|index| {
            let digest = claim::ContentDigest::new([self.contents[index]; 32]);
            let token = claim::AttemptToken::new(index as u128);
            let claim = claim::Claim::new(token, digest, SEND_BEFORE_MS);
            Attempt { claim, point: Point::New, version: 0, started_in: 0 }
        });
        let start = World {
            row: None,
            version: 0,
            delayed: Vec::new(),
            attempts,
            runs: Vec::new(),
            calls: Vec::new(),
            retentions_ended: 0,
            failures: 0,
        };
        let successors = |world: &World| {
            states.set(states.get() + 1);
            self.successors(world)
        };
        let path = bfs::bfs(&start, successors, |world| self.is_violated(world));
        Found { states: states.get(), path }
    }

    fn keeps(self, rule: Rule) -> bool {
        self.without != Some(rule)
    }

    fn is_violated(self, world: &World) -> bool {
        let mut started: Vec<_> = world.runs.iter().map(|(_, ended)| *ended).collect();
        started.sort_unstable();
        if started.windows(2).any(|pair| pair[0] == pair[1]) {
            return true;
        }
        let ran = |index| world.runs.iter().any(|(attempt, _)| *attempt == index);
        for (index, attempt) in world.attempts.iter().enumerate() {
            let may_run = world.calls.iter().any(|(call, _)| *call == index);
            let is_wrong = match attempt.point {
                Point::Replied(Reply::NotRun) => ran(index) || may_run,
                Point::Replied(Reply::Answer(run)) => {
                    !ran(run) || self.contents[run] != self.contents[index]
                }
                _ => false,
            };
            if is_wrong {
                return true;
            }
        }
        let Some((_, record)) = &world.row else { return false };
        match &record.progress {
            claim::Progress::Open => false,
            claim::Progress::Answered(answer) => {
                let run = usize::from(answer.status);
                !ran(run) || record.token != claim::AttemptToken::new(run as u128)
            }
        }
    }

    fn successors(self, world: &World) -> Vec<World> {
        let mut next = Vec::new();
        for index in 0..ATTEMPTS {
            self.steps_of_attempt(world, index, &mut next);
        }
        for position in 0..world.calls.len() {
            let mut ran = world.clone();
            let call = ran.calls.remove(position);
            ran.runs.push(call);
            next.push(ran);
        }
        for position in 0..world.delayed.len() {
            let mut applied = world.clone();
            let write = applied.delayed.remove(position);
            self.apply(&mut applied, &write);
            next.push(applied);
        }
        if world.failures < self.failures && world.retentions_ended == 0 {
            let mut swept = world.clone();
            swept.failures += 1;
            swept.retentions_ended += 1;
            swept.row = None;
            next.push(swept);
        }
        next
    }

    fn steps_of_attempt(self, world: &World, index: usize, next: &mut Vec<World>) {
        let may_fail = world.failures < self.failures;
        let step = |change: &dyn Fn(&mut World)| {
            let mut changed = world.clone();
            change(&mut changed);
            changed
        };
        let fail = |change: &dyn Fn(&mut World)| {
            let mut changed = step(change);
            changed.failures += 1;
            changed
        };
        let point = world.attempts[index].point;
        if may_fail && !matches!(point, Point::New | Point::Replied(_) | Point::Crashed) {
            next.push(fail(&|world| world.attempts[index].point = Point::Crashed));
        }
        match point {
            Point::New => next.push(step(&|world| {
                world.attempts[index].started_in = world.retentions_ended;
                world.attempts[index].point = Point::Insert;
            })),
            Point::Insert => {
                next.push(step(&|world| self.insert(world, index)));
                if may_fail {
                    // The reply is lost after the write took effect.
                    next.push(fail(&|world| {
                        self.apply(world, &Write::Insert(index));
                        self.unanswered(world, index);
                    }));
                    // The request is lost or delayed.
                    next.push(fail(&|world| {
                        world.delay(Write::Insert(index));
                        self.unanswered(world, index);
                    }));
                    next.push(fail(&|world| self.give_up(world, index)));
                }
            }
            Point::ReadBack => {
                next.push(step(&|world| self.found(world, index)));
                if may_fail {
                    next.push(fail(&|world| self.give_up(world, index)));
                }
            }
            Point::Held => {
                next.push(step(&|world| self.send(world, index)));
                // The caller hung up, or no host is left.
                next.push(step(&|world| self.drop_unsent(world, index)));
            }
            Point::Sent => {
                if world.runs.iter().any(|(attempt, _)| *attempt == index) {
                    next.push(step(&|world| world.attempts[index].point = Point::Record(index)));
                }
                if may_fail {
                    next.push(fail(&|world| self.lose_answer(world, index)));
                    // The connection was refused: the call is not on its way.
                    let is_on_its_way = world.calls.iter().any(|(call, _)| *call == index);
                    if is_on_its_way {
                        next.push(fail(&|world| {
                            world.calls.retain(|(call, _)| *call != index);
                            world.attempts[index].claim.mark_unsent();
                            world.attempts[index].point = Point::Held;
                        }));
                    }
                }
            }
            Point::Record(run) => {
                let record = Write::Record(index, world.attempts[index].version);
                let reply = Point::Replied(Reply::Answer(run));
                next.push(step(&|world| {
                    self.apply(world, &record);
                    world.attempts[index].point = reply;
                }));
                next.push(step(&|world| {
                    world.delay(record.clone());
                    world.attempts[index].point = reply;
                }));
            }
            Point::Replied(_) | Point::Crashed => {}
        }
    }

    fn insert(self, world: &mut World, index: usize) {
        if self.apply(world, &Write::Insert(index)) {
            let step = world.attempts[index].claim.mark_inserted();
            return self.follow(world, index, step);
        }
        self.found(world, index);
    }

    fn found(self, world: &mut World, index: usize) {
        let stored = world.row.clone();
        let attempt = &mut world.attempts[index];
        let own = attempt.claim.open_record();
        let is_foreign = stored.as_ref().is_some_and(|(_, record)| record.token != own.token);
        let is_read_back = attempt.point == Point::ReadBack;
        let record = stored.map(|(version, mut record)| {
            attempt.version = version;
            if is_foreign && is_read_back && !self.keeps(Rule::OwnTokenOnly) {
                record.token = own.token;
            }
            if !self.keeps(Rule::SameContent) {
                record.digest = own.digest;
            }
            record
        });
        let step = attempt.claim.resolve(record.as_ref());
        if step == claim::Step::Refuse(claim::Refusal::Open) && !self.keeps(Rule::OpenStays) {
            world.write_row(own);
            world.attempts[index].version = world.version;
            let step = world.attempts[index].claim.mark_inserted();
            return self.follow(world, index, step);
        }
        self.follow(world, index, step);
    }

    fn unanswered(self, world: &mut World, index: usize) {
        let step = world.attempts[index].claim.insert_unanswered();
        self.follow(world, index, step);
    }

    fn give_up(self, world: &mut World, index: usize) {
        let attempt = &mut world.attempts[index];
        let step = if self.keeps(Rule::UnresolvedSendsNothing) {
            attempt.claim.refuse_unreachable()
        } else {
            attempt.claim.mark_inserted()
        };
        self.follow(world, index, step);
    }

    fn follow(self, world: &mut World, index: usize, step: claim::Step) {
        world.attempts[index].point = match step {
            claim::Step::Insert => Point::Insert,
            claim::Step::ReadBack => Point::ReadBack,
            claim::Step::Send => Point::Held,
            claim::Step::Replay(answer) => Point::Replied(Reply::Answer(answer.status.into())),
            claim::Step::Refuse(refusal) => Point::Replied(reply(refusal)),
        };
    }

    fn send(self, world: &mut World, index: usize) {
        let ended = world.retentions_ended;
        let attempt = &mut world.attempts[index];
        let is_late = ended > attempt.started_in && self.keeps(Rule::SendBeforeDeadline);
        match attempt.claim.begin_send(if is_late { LATE_MS } else { EARLY_MS }) {
            Ok(()) => {
                attempt.point = Point::Sent;
                world.calls.push((index, ended));
                world.calls.sort_unstable();
            }
            Err(_) => self.drop_unsent(world, index),
        }
    }

    /// The caller is told at once; the removal is repeated until it is confirmed.
    fn drop_unsent(self, world: &mut World, index: usize) {
        assert!(world.attempts[index].claim.may_remove());
        let removal = Write::Remove(world.attempts[index].version);
        self.apply(world, &removal);
        world.delay(removal);
        world.attempts[index].point = Point::Replied(Reply::NotRun);
    }

    fn lose_answer(self, world: &mut World, index: usize) {
        if !self.keeps(Rule::SendOnce) {
            world.attempts[index].claim.mark_unsent();
            world.attempts[index].point = Point::Held;
            return;
        }
        let may_remove = world.attempts[index].claim.may_remove();
        if may_remove || !self.keeps(Rule::RemoveOnlyUnsent) {
            let removal = Write::Remove(world.attempts[index].version);
            self.apply(world, &removal);
        }
        world.attempts[index].point = Point::Replied(Reply::Unknown);
    }

    /// Applies a write if its condition holds, and returns whether it did.
    fn apply(self, world: &mut World, write: &Write) -> bool {
        let stored = world.row.as_ref().map(|(version, _)| *version);
        match write {
            Write::Insert(index) => {
                if stored.is_some() && self.keeps(Rule::ConditionalInsert) {
                    return false;
                }
                world.write_row(world.attempts[*index].claim.open_record());
                world.attempts[*index].version = world.version;
            }
            Write::Remove(version) => {
                if stored != Some(*version) && self.keeps(Rule::ConditionalRemoval) {
                    return false;
                }
                world.row = None;
            }
            Write::Record(index, version) => {
                if stored != Some(*version) {
                    return false;
                }
                let status = u16::try_from(*index).unwrap_or_default();
                let answer = claim::Answer { status, content_type: Arc::from(""), body: None };
                world.write_row(world.attempts[*index].claim.answered_record(answer));
            }
        }
        true
    }
}

impl World {
    fn write_row(&mut self, record: claim::Record) {
        self.version += 1;
        self.row = Some((self.version, record));
    }

    fn delay(&mut self, write: Write) {
        self.delayed.push(write);
        self.delayed.sort_unstable();
    }
}

fn reply(refusal: claim::Refusal) -> Reply {
    match refusal.outcome() {
        request::Outcome::NotRun => Reply::NotRun,
        request::Outcome::Unknown => Reply::Unknown,
    }
}

fn assert_holds(contents: [u8; ATTEMPTS], failures: u8) {
    let found = Search { without: None, contents, failures }.run();
    println!("claims, contents {contents:?}, {failures} failures: {} states", found.states);
    assert!(found.path.is_none(), "{:#?}", found.path);
    assert!(found.states > 10_000, "only {} states", found.states);
}

fn assert_needed(rule: Rule, contents: [u8; ATTEMPTS], failures: u8) {
    let found = Search { without: Some(rule), contents, failures }.run();
    println!("claims without {rule:?}: counterexample after {} states", found.states);
    assert!(found.path.is_some(), "no counterexample in {} states", found.states);
}

/// Guards against a second run, a false `not-run` and a foreign answer among equal calls.
#[test]
fn equal_calls_run_at_most_once() {
    assert_holds([7, 7, 7], 2);
}

/// Guards against the same when one caller uses the key for another call.
#[test]
fn calls_with_other_content_run_at_most_once() {
    assert_holds([7, 7, 8], 2);
}

/// Guards against a search that would not see a claim written over another.
#[test]
fn insert_must_be_conditional() {
    assert_needed(Rule::ConditionalInsert, [7, 7, 7], 0);
}

/// Guards against a search that would not see a foreign claim taken for the own one.
#[test]
fn read_back_must_compare_the_token() {
    assert_needed(Rule::OwnTokenOnly, [7, 7, 7], 1);
}

/// Guards against a search that would not see a claim taken from a slow holder.
#[test]
fn open_claim_must_stay() {
    assert_needed(Rule::OpenStays, [7, 7, 7], 0);
}

/// Guards against a search that would not see a call without a claim.
#[test]
fn unresolved_claim_must_send_nothing() {
    assert_needed(Rule::UnresolvedSendsNothing, [7, 7, 7], 2);
}

/// Guards against a search that would not see the key freed while its call may run.
#[test]
fn claim_of_a_sent_call_must_stay() {
    assert_needed(Rule::RemoveOnlyUnsent, [7, 7, 7], 1);
}

/// Guards against a search that would not see a late removal of another attempt's claim.
#[test]
fn removal_must_be_conditional() {
    assert_needed(Rule::ConditionalRemoval, [7, 7, 7], 0);
}

/// Guards against a search that would not see a call sent again after a lost answer.
#[test]
fn call_must_be_sent_once() {
    assert_needed(Rule::SendOnce, [7, 7, 7], 1);
}

/// Guards against a search that would not see the answer to another call.
#[test]
fn content_must_be_compared() {
    assert_needed(Rule::SameContent, [7, 7, 8], 0);
}

/// Guards against a search that would not see a call sent after a pause beyond the retention time.
#[test]
fn call_must_not_be_sent_after_its_deadline() {
    assert_needed(Rule::SendBeforeDeadline, [7, 7, 7], 1);
}
