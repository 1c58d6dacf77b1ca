//! Model check of at-most-once service calls by breadth-first search.
//!
//! Three attempts use the same idempotency key, each on its own daemon. All interleavings of their
//! steps are explored, which covers every pause and delay. Crashes, lost replies, delayed writes,
//! refused connections and the expiry of the retention time count as failures; their number per run
//! is limited. Decisions are made by `jasminetack_domain::claim`.

use std::cell::Cell;
use std::sync::Arc;

use jasminetack_domain::claim;
use jasminetack_domain::request;
use pathfinding::directed::bfs;

const ATTEMPTS: usize = 3;
/// Deadline for sending a call, and a time before and a time after it.
const DEADLINE_MS: u64 = 100;
const BEFORE_DEADLINE_MS: u64 = 1;
const AFTER_DEADLINE_MS: u64 = 1_000;

/// Protocol rule that a search can disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// A claim is inserted only if the key has none.
    ConditionalInsert,
    /// A claim that is read back belongs to the attempt only if its token matches.
    MatchToken,
    /// An open claim of another attempt is not overwritten.
    KeepOpenClaims,
    /// An attempt that does not know whether its claim was written does not send its call.
    RequireResolvedClaim,
    /// A claim is removed only if no byte of the call was sent.
    RemoveUnsentOnly,
    /// A claim is removed only if its row still has the version that the attempt wrote.
    ConditionalRemove,
    /// A call is not sent again after a byte of it may have been sent.
    SendOnce,
    /// The answer stored in a claim is not replayed for a call with different content.
    MatchContent,
    /// A call is not sent after its deadline, which is before the retention time expires.
    SendBeforeDeadline,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    row: Option<(u8, claim::Record)>,
    version: u8,
    /// Writes whose sender no longer waits for a reply; each may take effect at any time or never.
    delayed_writes: Vec<Write>,
    attempts: [Attempt; ATTEMPTS],
    /// Attempts whose call ran, with the number of retention times expired when it was sent.
    runs: Vec<(usize, u8)>,
    /// Calls in transit to the service, with the number of retention times expired when sent.
    calls: Vec<(usize, u8)>,
    expired_retentions: u8,
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
    phase: AttemptPhase,
    version: u8,
    /// Number of retention times expired when the attempt started; one may expire during a pause.
    retentions_at_start: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum AttemptPhase {
    New,
    Insert,
    ReadBack,
    Claimed,
    Sent,
    Record(usize),
    Replied(Reply),
    Crashed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Reply {
    NotRun,
    Unknown,
    /// Answer to the call of the attempt with this index.
    Answer(usize),
}

#[derive(Clone, Copy, Debug)]
struct Search {
    disabled_rule: Option<Rule>,
    contents: [u8; ATTEMPTS],
    max_failures: u8,
}

struct SearchResult {
    state_count: usize,
    counterexample: Option<Vec<State>>,
}

impl Search {
    fn run(self) -> SearchResult {
        let state_count = Cell::new(0);
        let attempts = std::array::from_fn(|index| {
            let digest = claim::ContentDigest::new([self.contents[index]; 32]);
            let token = claim::AttemptToken::new(index as u128);
            let claim = claim::Claim::new(token, digest, DEADLINE_MS);
            Attempt { claim, phase: AttemptPhase::New, version: 0, retentions_at_start: 0 }
        });
        let start = State {
            row: None,
            version: 0,
            delayed_writes: Vec::new(),
            attempts,
            runs: Vec::new(),
            calls: Vec::new(),
            expired_retentions: 0,
            failures: 0,
        };
        let successors = |state: &State| {
            state_count.set(state_count.get() + 1);
            self.successors(state)
        };
        let counterexample = bfs::bfs(&start, successors, |state| self.violates_guarantees(state));
        SearchResult { state_count: state_count.get(), counterexample }
    }

    fn enforces(self, rule: Rule) -> bool {
        self.disabled_rule != Some(rule)
    }

    fn violates_guarantees(self, state: &State) -> bool {
        let mut retentions_at_send: Vec<_> =
            state.runs.iter().map(|(_, retentions)| *retentions).collect();
        retentions_at_send.sort_unstable();
        if retentions_at_send.windows(2).any(|pair| pair[0] == pair[1]) {
            return true;
        }
        let ran = |index| state.runs.iter().any(|(attempt, _)| *attempt == index);
        for (index, attempt) in state.attempts.iter().enumerate() {
            let may_run = state.calls.iter().any(|(call, _)| *call == index);
            let is_wrong = match attempt.phase {
                AttemptPhase::Replied(Reply::NotRun) => ran(index) || may_run,
                AttemptPhase::Replied(Reply::Answer(run)) => {
                    !ran(run) || self.contents[run] != self.contents[index]
                }
                _ => false,
            };
            if is_wrong {
                return true;
            }
        }
        let Some((_, record)) = &state.row else { return false };
        match &record.progress {
            claim::Progress::Open => false,
            claim::Progress::Answered(answer) => {
                let run = usize::from(answer.status);
                !ran(run) || record.token != claim::AttemptToken::new(run as u128)
            }
        }
    }

    fn successors(self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for index in 0..ATTEMPTS {
            self.add_attempt_transitions(state, index, &mut next);
        }
        for position in 0..state.calls.len() {
            let mut ran = state.clone();
            let call = ran.calls.remove(position);
            ran.runs.push(call);
            next.push(ran);
        }
        for position in 0..state.delayed_writes.len() {
            let mut applied = state.clone();
            let write = applied.delayed_writes.remove(position);
            self.apply_write(&mut applied, &write);
            next.push(applied);
        }
        if state.failures < self.max_failures && state.expired_retentions == 0 {
            let mut expired = state.clone();
            expired.failures += 1;
            expired.expired_retentions += 1;
            expired.row = None;
            next.push(expired);
        }
        next
    }

    fn add_attempt_transitions(self, state: &State, index: usize, next: &mut Vec<State>) {
        let may_fail = state.failures < self.max_failures;
        let step = |change: &dyn Fn(&mut State)| {
            let mut changed = state.clone();
            change(&mut changed);
            changed
        };
        let fail = |change: &dyn Fn(&mut State)| {
            let mut changed = step(change);
            changed.failures += 1;
            changed
        };
        let phase = state.attempts[index].phase;
        if may_fail
            && !matches!(
                phase,
                AttemptPhase::New | AttemptPhase::Replied(_) | AttemptPhase::Crashed
            )
        {
            next.push(fail(&|state| state.attempts[index].phase = AttemptPhase::Crashed));
        }
        match phase {
            AttemptPhase::New => next.push(step(&|state| {
                state.attempts[index].retentions_at_start = state.expired_retentions;
                state.attempts[index].phase = AttemptPhase::Insert;
            })),
            AttemptPhase::Insert => {
                next.push(step(&|state| self.insert(state, index)));
                if may_fail {
                    // The reply is lost after the write took effect.
                    next.push(fail(&|state| {
                        self.apply_write(state, &Write::Insert(index));
                        self.handle_unanswered_insert(state, index);
                    }));
                    // The write is lost or delayed.
                    next.push(fail(&|state| {
                        state.delay(Write::Insert(index));
                        self.handle_unanswered_insert(state, index);
                    }));
                    next.push(fail(&|state| self.abandon_claim(state, index)));
                }
            }
            AttemptPhase::ReadBack => {
                next.push(step(&|state| self.resolve_claim(state, index)));
                if may_fail {
                    next.push(fail(&|state| self.abandon_claim(state, index)));
                }
            }
            AttemptPhase::Claimed => {
                next.push(step(&|state| self.send(state, index)));
                // The caller disconnected, or no host is left to try.
                next.push(step(&|state| self.cancel_unsent_call(state, index)));
            }
            AttemptPhase::Sent => {
                if state.runs.iter().any(|(attempt, _)| *attempt == index) {
                    next.push(step(&|state| {
                        state.attempts[index].phase = AttemptPhase::Record(index)
                    }));
                }
                if may_fail {
                    next.push(fail(&|state| self.handle_lost_answer(state, index)));
                    // The connection was refused, so the call is not in transit.
                    let is_in_transit = state.calls.iter().any(|(call, _)| *call == index);
                    if is_in_transit {
                        next.push(fail(&|state| {
                            state.calls.retain(|(call, _)| *call != index);
                            state.attempts[index].claim.mark_unsent();
                            state.attempts[index].phase = AttemptPhase::Claimed;
                        }));
                    }
                }
            }
            AttemptPhase::Record(run) => {
                let record = Write::Record(index, state.attempts[index].version);
                let reply = AttemptPhase::Replied(Reply::Answer(run));
                next.push(step(&|state| {
                    self.apply_write(state, &record);
                    state.attempts[index].phase = reply;
                }));
                next.push(step(&|state| {
                    state.delay(record.clone());
                    state.attempts[index].phase = reply;
                }));
            }
            AttemptPhase::Replied(_) | AttemptPhase::Crashed => {}
        }
    }

    fn insert(self, state: &mut State, index: usize) {
        if self.apply_write(state, &Write::Insert(index)) {
            let step = state.attempts[index].claim.mark_inserted();
            return self.apply_step(state, index, step);
        }
        self.resolve_claim(state, index);
    }

    fn resolve_claim(self, state: &mut State, index: usize) {
        let stored = state.row.clone();
        let attempt = &mut state.attempts[index];
        let own_record = attempt.claim.open_record();
        let is_of_other_attempt =
            stored.as_ref().is_some_and(|(_, record)| record.token != own_record.token);
        let is_read_back = attempt.phase == AttemptPhase::ReadBack;
        let record = stored.map(|(version, mut record)| {
            attempt.version = version;
            if is_of_other_attempt && is_read_back && !self.enforces(Rule::MatchToken) {
                record.token = own_record.token;
            }
            if !self.enforces(Rule::MatchContent) {
                record.digest = own_record.digest;
            }
            record
        });
        let step = attempt.claim.resolve(record.as_ref());
        if step == claim::Step::Refuse(claim::Refusal::Open) && !self.enforces(Rule::KeepOpenClaims)
        {
            state.write_row(own_record);
            state.attempts[index].version = state.version;
            let step = state.attempts[index].claim.mark_inserted();
            return self.apply_step(state, index, step);
        }
        self.apply_step(state, index, step);
    }

    fn handle_unanswered_insert(self, state: &mut State, index: usize) {
        let step = state.attempts[index].claim.insert_unanswered();
        self.apply_step(state, index, step);
    }

    fn abandon_claim(self, state: &mut State, index: usize) {
        let attempt = &mut state.attempts[index];
        let step = if self.enforces(Rule::RequireResolvedClaim) {
            attempt.claim.refuse_unreachable()
        } else {
            attempt.claim.mark_inserted()
        };
        self.apply_step(state, index, step);
    }

    fn apply_step(self, state: &mut State, index: usize, step: claim::Step) {
        state.attempts[index].phase = match step {
            claim::Step::Insert => AttemptPhase::Insert,
            claim::Step::ReadBack => AttemptPhase::ReadBack,
            claim::Step::Send => AttemptPhase::Claimed,
            claim::Step::Replay(answer) => {
                AttemptPhase::Replied(Reply::Answer(answer.status.into()))
            }
            claim::Step::Refuse(refusal) => AttemptPhase::Replied(reply_to_refusal(refusal)),
        };
    }

    fn send(self, state: &mut State, index: usize) {
        let expired_retentions = state.expired_retentions;
        let attempt = &mut state.attempts[index];
        let is_late = expired_retentions > attempt.retentions_at_start
            && self.enforces(Rule::SendBeforeDeadline);
        match attempt.claim.begin_send(if is_late { AFTER_DEADLINE_MS } else { BEFORE_DEADLINE_MS })
        {
            Ok(()) => {
                attempt.phase = AttemptPhase::Sent;
                state.calls.push((index, expired_retentions));
                state.calls.sort_unstable();
            }
            Err(_) => self.cancel_unsent_call(state, index),
        }
    }

    /// Replies to the caller immediately; the removal is retried until it is confirmed.
    fn cancel_unsent_call(self, state: &mut State, index: usize) {
        assert!(state.attempts[index].claim.may_remove());
        let removal = Write::Remove(state.attempts[index].version);
        self.apply_write(state, &removal);
        state.delay(removal);
        state.attempts[index].phase = AttemptPhase::Replied(Reply::NotRun);
    }

    fn handle_lost_answer(self, state: &mut State, index: usize) {
        if !self.enforces(Rule::SendOnce) {
            state.attempts[index].claim.mark_unsent();
            state.attempts[index].phase = AttemptPhase::Claimed;
            return;
        }
        let may_remove = state.attempts[index].claim.may_remove();
        if may_remove || !self.enforces(Rule::RemoveUnsentOnly) {
            let removal = Write::Remove(state.attempts[index].version);
            self.apply_write(state, &removal);
        }
        state.attempts[index].phase = AttemptPhase::Replied(Reply::Unknown);
    }

    /// Applies a write if its condition holds, and returns whether it was applied.
    fn apply_write(self, state: &mut State, write: &Write) -> bool {
        let stored = state.row.as_ref().map(|(version, _)| *version);
        match write {
            Write::Insert(index) => {
                if stored.is_some() && self.enforces(Rule::ConditionalInsert) {
                    return false;
                }
                state.write_row(state.attempts[*index].claim.open_record());
                state.attempts[*index].version = state.version;
            }
            Write::Remove(version) => {
                if stored != Some(*version) && self.enforces(Rule::ConditionalRemove) {
                    return false;
                }
                state.row = None;
            }
            Write::Record(index, version) => {
                if stored != Some(*version) {
                    return false;
                }
                let status = u16::try_from(*index).unwrap_or_default();
                let answer = claim::Answer { status, content_type: Arc::from(""), body: None };
                state.write_row(state.attempts[*index].claim.answered_record(answer));
            }
        }
        true
    }
}

impl State {
    fn write_row(&mut self, record: claim::Record) {
        self.version += 1;
        self.row = Some((self.version, record));
    }

    fn delay(&mut self, write: Write) {
        self.delayed_writes.push(write);
        self.delayed_writes.sort_unstable();
    }
}

fn reply_to_refusal(refusal: claim::Refusal) -> Reply {
    match refusal.outcome() {
        request::Outcome::NotRun => Reply::NotRun,
        request::Outcome::Unknown => Reply::Unknown,
    }
}

fn assert_no_counterexample(contents: [u8; ATTEMPTS], failures: u8) {
    let result = Search { disabled_rule: None, contents, max_failures: failures }.run();
    println!("claims, contents {contents:?}, {failures} failures: {} states", result.state_count);
    assert!(result.counterexample.is_none(), "{:#?}", result.counterexample);
    assert!(result.state_count > 10_000, "only {} states", result.state_count);
}

fn assert_rule_required(rule: Rule, contents: [u8; ATTEMPTS], failures: u8) {
    let result = Search { disabled_rule: Some(rule), contents, max_failures: failures }.run();
    println!("claims without {rule:?}: counterexample after {} states", result.state_count);
    assert!(result.counterexample.is_some(), "no counterexample in {} states", result.state_count);
}

/// Guards against a second run, a wrong `not-run` and the answer to another call when equal calls
/// share a key.
#[test]
fn equal_calls_run_at_most_once() {
    assert_no_counterexample([7, 7, 7], 2);
}

/// Guards against the same failures when a key is reused for a call with different content.
#[test]
fn calls_with_other_content_run_at_most_once() {
    assert_no_counterexample([7, 7, 8], 2);
}

/// Guards against a search that misses one claim overwriting another.
#[test]
fn insert_must_be_conditional() {
    assert_rule_required(Rule::ConditionalInsert, [7, 7, 7], 0);
}

/// Guards against a search that misses an attempt using another attempt's claim as its own.
#[test]
fn read_back_must_compare_the_token() {
    assert_rule_required(Rule::MatchToken, [7, 7, 7], 1);
}

/// Guards against a search that misses the takeover of a slow attempt's open claim.
#[test]
fn open_claim_must_stay() {
    assert_rule_required(Rule::KeepOpenClaims, [7, 7, 7], 0);
}

/// Guards against a search that misses a call sent without a claim.
#[test]
fn unresolved_claim_must_send_nothing() {
    assert_rule_required(Rule::RequireResolvedClaim, [7, 7, 7], 2);
}

/// Guards against a search that misses the removal of a claim whose call may still run.
#[test]
fn claim_of_a_sent_call_must_stay() {
    assert_rule_required(Rule::RemoveUnsentOnly, [7, 7, 7], 1);
}

/// Guards against a search that misses a delayed write removing another attempt's claim.
#[test]
fn removal_must_be_conditional() {
    assert_rule_required(Rule::ConditionalRemove, [7, 7, 7], 0);
}

/// Guards against a search that misses a call sent again after its answer was lost.
#[test]
fn call_must_be_sent_once() {
    assert_rule_required(Rule::SendOnce, [7, 7, 7], 1);
}

/// Guards against a search that misses the replay of an answer to a different call.
#[test]
fn content_must_be_compared() {
    assert_rule_required(Rule::MatchContent, [7, 7, 8], 0);
}

/// Guards against a search that misses a call sent after its retention time expired.
#[test]
fn call_must_not_be_sent_after_its_deadline() {
    assert_rule_required(Rule::SendBeforeDeadline, [7, 7, 7], 1);
}
