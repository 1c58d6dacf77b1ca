//! Search for a worker with a free slot through the brokers of slots.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use jasminetack_domain::dispatch;
use jasminetack_domain::member;
use jasminetack_domain::name;
use jasminetack_domain::route;
use jasminetack_domain::slot_credit;
use rustc_hash::FxHasher;
use tokio::sync::oneshot;
use tokio::time;

use super::credit_guard::CreditGuard;
use super::proxy_request::ProxyRequest;
use super::refusal::Refusal;
use super::worker_search::Target;
use crate::clock;
use crate::control;
use crate::dialect;

/// Time within which a broker of the own region answers, about ten times the round trip.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(25);
/// Time within which a broker of another region answers, about four times the round trip.
const REMOTE_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Shortest time that a call may wait for a slot, also past its target: an attempt at another region takes
/// as long.
const MIN_WAIT_MS: u64 = 80;

/// Answer of one broker.
enum BrokerAnswer {
    Granted(name::WorkerName, CreditGuard),
    NoSlot(Option<u64>),
    /// The time in the queue of the broker is over.
    WaitedInVain,
    NoAnswer,
}

impl<Dialect> ProxyRequest<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Finds a worker through the brokers of its service; `None` if the daemon has to choose one by itself.
    ///
    /// # Errors
    ///
    /// Fails when no region has a free slot in time.
    pub(super) async fn find_slot(&mut self) -> Result<Option<Target>, Refusal> {
        self.credit = None;
        let now_ms = clock::now_ms();
        if !self.uses_slot_credits() || now_ms >= self.deadline_ms {
            return Ok(None);
        }
        let mut search = slot_credit::RegionSearch::default();
        let mut has_asked = false;
        for (region, excluded) in self.slot_regions(now_ms) {
            // Calls from other regions hold a slot for the round trips as well, so they get only slots that
            // are free at once. With queues in both regions, they would take the slots from each other's
            // callers and use less than two thirds of them.
            let may_wait = !has_asked;
            has_asked = true;
            match self.ask_broker(region, excluded, may_wait).await {
                BrokerAnswer::Granted(worker, credit) => {
                    let Some(target) = self.granted_target(&worker) else {
                        self.shared.metrics.record_slot_call("unusable");
                        return Ok(None);
                    };
                    self.shared.metrics.record_slot_call("credit");
                    self.credit = Some(credit);
                    return Ok(Some(target));
                }
                BrokerAnswer::NoSlot(wait_ms) => search.record_no_slot(wait_ms),
                BrokerAnswer::WaitedInVain => search.record_no_slot(Some(MIN_WAIT_MS)),
                BrokerAnswer::NoAnswer => {
                    search.record_no_answer();
                    break;
                }
            }
        }
        match search.conclude() {
            slot_credit::Conclusion::ChooseAlone => {
                let choice = if has_asked { "no-answer" } else { "no-region" };
                self.shared.metrics.record_slot_call(choice);
                Ok(None)
            }
            slot_credit::Conclusion::Refuse { wait_ms } => {
                self.shared.metrics.record_slot_call("refused");
                let now_ms = clock::now_ms();
                Err(self.refuse_after_wait("no free slot", wait_ms as f64, now_ms))
            }
        }
    }

    /// Returns the guard of the call that is about to be sent; one without a credit is reported to the
    /// broker.
    pub(super) fn start_slot_call(&mut self, target: &Target, now_ms: u64) -> Option<CreditGuard> {
        let credit = self.credit.take();
        if credit.is_none() && !self.uses_slot_credits() {
            return None;
        }
        let mut credit = credit.unwrap_or_else(|| {
            let number = self.shared.next_slot_number();
            let region = target.upstream.locality.region().clone();
            let pool = slot_credit::PoolKey { service: self.service.clone(), region };
            let worker = target.upstream.name.clone();
            let started = control::Message::SlotCallStarted { number, pool, worker };
            // The control thread ends only with the process.
            let _ = self.shared.control.send(started);
            CreditGuard::new(&self.shared.control, number)
        });
        credit.start(now_ms);
        Some(credit)
    }

    /// Returns whether the request is a call to an app service whose slots are assigned by brokers.
    fn uses_slot_credits(&self) -> bool {
        if !self.shared.host.uses_slot_credits
            || self.facts.adapter.is_some()
            || self.facts.base_model.is_some()
            || self.facts.size_or_default().is_generation()
        {
            return false;
        }
        let view = self.shared.view.load();
        let profile = view.ingress.as_ref().and_then(|ingress| ingress.service(&self.service));
        profile.is_some_and(|profile| profile.engine.is_none())
    }

    /// Lists the regions with workers that may be assigned, the own one first, and the workers of each
    /// that may not.
    fn slot_regions(&self, now_ms: u64) -> Vec<(name::RegionName, Vec<name::WorkerName>)> {
        let view = self.shared.view.load();
        let chooser = self.shared.chooser.lock();
        let mut regions: IndexMap<&name::RegionName, (bool, Vec<name::WorkerName>)> =
            IndexMap::new();
        for worker in view.workers(&self.service) {
            let upstream = &worker.upstream;
            let (is_usable, excluded) = regions.entry(upstream.locality.region()).or_default();
            if chooser.may_be_assigned(upstream, &self.excluded, now_ms) {
                *is_usable = true;
            } else if !upstream.is_draining {
                excluded.push(upstream.name.clone());
            }
        }
        let host = &self.shared.host;
        let own = host.locality.region();
        let rank = |region: &name::RegionName| {
            (region != own, member::rendezvous::score(host.name.as_str(), region.as_str()))
        };
        let usable = regions.into_iter().filter(|(_, (is_usable, _))| *is_usable);
        let mut usable: Vec<_> =
            usable.map(|(region, (_, excluded))| (region.clone(), excluded)).collect();
        usable.sort_by_key(|(region, _)| rank(region));
        usable
    }

    /// Asks the broker of one region and waits for its decision.
    async fn ask_broker(
        &self,
        region: name::RegionName,
        excluded: Vec<name::WorkerName>,
        may_wait: bool,
    ) -> BrokerAnswer {
        let now_ms = clock::now_ms();
        let timeout = if region == *self.shared.host.locality.region() {
            ANSWER_TIMEOUT
        } else {
            REMOTE_ANSWER_TIMEOUT
        };
        let wait_until_ms = self.received_ms + self.time_limits().max_queue_ms() as u64;
        let wait_until_ms = wait_until_ms.max(now_ms + MIN_WAIT_MS).min(self.deadline_ms);
        let wait_until_ms = if may_wait { wait_until_ms } else { now_ms };
        let number = self.shared.next_slot_number();
        let (reply, answer) = oneshot::channel();
        let ask = control::SlotAsk {
            number,
            pool: slot_credit::PoolKey { service: self.service.clone(), region },
            team: self.caller.access().team().map(|team| team.name.clone()),
            urgency: self.caller.access().priority(self.route.priority),
            caller_hash: self.caller_hash(),
            wait_until_ms,
            excluded,
            reply,
        };
        let credit = CreditGuard::new(&self.shared.control, number);
        // The control thread ends only with the process.
        let _ = self.shared.control.send(control::Message::SlotAsked(Box::new(ask)));
        let reply = match time::timeout(timeout, answer).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) => return BrokerAnswer::NoAnswer,
            Err(_) => {
                credit.report_unanswered();
                return BrokerAnswer::NoAnswer;
            }
        };
        let granted = match reply {
            control::SlotReply::Queued(granted) => granted,
            reply => return decided(reply, credit),
        };
        let wait_ms = wait_until_ms.saturating_sub(clock::now_ms());
        let wait = Duration::from_millis(wait_ms) + timeout;
        match time::timeout(wait, granted).await {
            Ok(Ok(reply)) => decided(reply, credit),
            Ok(Err(_)) | Err(_) => BrokerAnswer::WaitedInVain,
        }
    }

    /// Returns the target for an assigned worker, unless what is known of it has changed meanwhile.
    fn granted_target(&self, worker: &name::WorkerName) -> Option<Target> {
        let view = self.shared.view.load();
        let mut workers = view.workers(&self.service).iter();
        let known = workers.find(|known| known.upstream.name == *worker)?;
        let upstream = Arc::clone(&known.upstream);
        let chooser = self.shared.chooser.lock();
        if !chooser.may_be_assigned(&upstream, &self.excluded, clock::now_ms()) {
            return None;
        }
        let decision = route::Decision {
            worker: worker.clone(),
            cost_ms: 0,
            considered: Vec::new(),
            reason: "slot credit",
        };
        let state = dispatch::AdapterState::Resident;
        let (estimate, prefix) = Default::default();
        let is_assigned = true;
        Some(Target { upstream, decision, state, estimate, prefix, is_assigned })
    }

    /// Returns a hash that is the same when the caller repeats the request after a refusal; the request
    /// identifier differs then.
    fn caller_hash(&self) -> u64 {
        let mut hasher = FxHasher::default();
        self.head.method.hash(&mut hasher);
        self.head.uri.hash(&mut hasher);
        self.body.hash(&mut hasher);
        hasher.finish()
    }
}

/// Returns the answer of a broker that has decided.
fn decided(reply: control::SlotReply, credit: CreditGuard) -> BrokerAnswer {
    match reply {
        control::SlotReply::Granted(worker) => BrokerAnswer::Granted(worker, credit),
        control::SlotReply::NoSlot { wait_ms } => {
            credit.dismiss();
            BrokerAnswer::NoSlot(wait_ms)
        }
        control::SlotReply::NoBroker => {
            credit.dismiss();
            BrokerAnswer::NoAnswer
        }
        // A request is told only once that it waits.
        control::SlotReply::Queued(_) => BrokerAnswer::NoAnswer,
    }
}
