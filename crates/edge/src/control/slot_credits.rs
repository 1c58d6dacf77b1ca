//! Slot credits: asking brokers for slots, and assigning slots as a broker.

use jasminetack_domain::name;
use jasminetack_domain::slot_credit;
use jasminetack_wire::fleet;
use tokio::sync::oneshot;

use super::control_state::ControlState;
use super::outputs::OutgoingDatagram;
use super::slot_ask::{SlotAsk, SlotReply};
use crate::dialect;

/// Time for which a broker need not be chosen again.
const ROUTE_TTL_MS: u64 = 100;

impl<Dialect> ControlState<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Asks the broker of a service and region for a slot; if this daemon is the broker, it decides at
    /// once without a message.
    pub(super) fn handle_slot_ask(&mut self, ask: SlotAsk, now_ms: u64) {
        let Some(broker) = self.slot_broker(&ask.pool, now_ms) else {
            // The request may have been given up.
            let _ = ask.reply.send(SlotReply::NoBroker);
            return;
        };
        let SlotAsk { number, pool, team, urgency, caller_hash, wait_until_ms, .. } = ask;
        let key = self.slot_request_key(number);
        let excluded = ask.excluded;
        let request =
            slot_credit::CreditRequest { key, team, urgency, caller_hash, wait_until_ms, excluded };
        let asked = slot_credit::AskedCredit {
            pool: pool.clone(),
            broker: broker.clone(),
            is_queued: false,
            waiter: ask.reply,
        };
        self.slots.ledger.ask(number, asked);
        if self.slots.is_self(&broker) {
            self.apply_own_calls(&pool, now_ms);
            let broker = self.slots.broker(&pool, self.catalog.directory(), now_ms);
            let answers = broker.request(request, now_ms);
            self.deliver_slot_answers(&answers, now_ms);
            return;
        }
        self.slots.report(&pool, &broker, None);
        let request = fleet::SlotRequest::new(&pool, &request, now_ms);
        self.slots.message_to(&broker).slot_requests.push(request);
    }

    /// Records that a broker did not answer a request in time, and withdraws the request.
    pub(super) fn handle_unanswered_slot_ask(&mut self, number: u64, now_ms: u64) {
        let Some(asked) = self.slots.ledger.take_asked(number) else {
            // The answer has crossed the end of the wait.
            return self.handle_slot_call_end(number, slot_credit::CallEnd::Unused, now_ms);
        };
        let broker = &asked.broker;
        if !asked.is_queued
            && !self.slots.is_self(broker)
            && self.slots.directory.record_unanswered(broker, now_ms)
        {
            spdlog::warn!("slot-broker-silent broker={broker} service={}", asked.pool.service);
            self.slots.routes.retain(|_, (host, _)| host != broker);
        }
        self.return_slot(&asked.pool, broker, number, slot_credit::CallEnd::Unused, now_ms);
    }

    /// Records a call to a worker that this daemon chose by itself.
    pub(super) fn handle_slot_call_start(
        &mut self,
        number: u64,
        pool: slot_credit::PoolKey,
        worker: name::WorkerName,
        now_ms: u64,
    ) {
        let held = slot_credit::HeldCredit { pool: pool.clone(), worker, broker: None };
        self.slots.ledger.hold(number, held);
        self.report_slot_calls(&pool, None, now_ms);
    }

    /// Records the end of a call, or of a request for a slot that is given up.
    pub(super) fn handle_slot_call_end(
        &mut self,
        number: u64,
        end: slot_credit::CallEnd,
        now_ms: u64,
    ) {
        if let Some(asked) = self.slots.ledger.take_asked(number) {
            self.return_slot(&asked.pool, &asked.broker, number, end, now_ms);
            return;
        }
        let Some(held) = self.slots.ledger.end(number) else { return };
        if end == slot_credit::CallEnd::Full {
            let (worker, has_credit) = (&held.worker, held.broker.is_some());
            spdlog::info!("worker-full worker={worker} has_credit={has_credit}");
        }
        if let Some((broker, _)) = &held.broker {
            self.return_slot(&held.pool, broker, number, end, now_ms);
        }
        let current = self.slot_broker(&held.pool, now_ms);
        let granted_by = held.broker.as_ref().map(|(broker, _)| broker);
        if current.as_ref() != granted_by {
            let returned = fleet::SlotReturn::new(number, Some(&held.worker), end);
            self.report_slot_calls(&held.pool, Some(returned), now_ms);
        }
    }

    /// Applies the requests, answers and reports of another daemon.
    pub(super) fn apply_slot_messages(&mut self, datagram: &fleet::Datagram, now_ms: u64) {
        let host = name::HostName::from(datagram.host.as_str());
        let started_unix_ms = datagram.started_unix_ms;
        for report in &datagram.slot_reports {
            self.apply_slot_report(&host, started_unix_ms, report, now_ms);
        }
        for request in &datagram.slot_requests {
            let broker = self.slots.broker(&request.pool(), self.catalog.directory(), now_ms);
            let request = request.request(&host, started_unix_ms, now_ms);
            let answers = broker.request(request, now_ms);
            self.deliver_slot_answers(&answers, now_ms);
        }
        for answer in &datagram.slot_answers {
            let decision = slot_credit::Decision::from(answer);
            self.accept_slot_answer(&host, started_unix_ms, answer.number, &decision, now_ms);
        }
    }

    /// Applies a report to a broker on this daemon.
    fn apply_slot_report(
        &mut self,
        host: &name::HostName,
        started_unix_ms: u64,
        report: &fleet::SlotReport,
        now_ms: u64,
    ) {
        let mut answers = Vec::new();
        let key = |number| slot_credit::RequestKey { host: host.clone(), started_unix_ms, number };
        if report.service.is_empty() {
            // An answer states no service, so its receiver does not know that of a credit that it does
            // not need any more.
            for broker in self.slots.brokers_mut() {
                for returned in &report.returns {
                    answers.extend(broker.finish(&key(returned.number), returned.end(), now_ms));
                }
            }
        } else {
            let broker = self.slots.broker(&report.pool(), self.catalog.directory(), now_ms);
            broker.set_foreign_calls(host, &report.foreign_calls(), now_ms);
            for returned in &report.returns {
                if returned.worker.is_empty() {
                    answers.extend(broker.finish(&key(returned.number), returned.end(), now_ms));
                } else {
                    let worker = name::WorkerName::from(returned.worker.as_str());
                    broker.learn(&worker, returned.end(), now_ms);
                }
            }
        }
        self.deliver_slot_answers(&answers, now_ms);
    }

    /// Updates the brokers on this daemon.
    pub(super) fn update_slot_brokers(&mut self, now_ms: u64) {
        let (answers, counts) = self.slots.update_brokers(self.catalog.directory(), now_ms);
        self.deliver_slot_answers(&answers, now_ms);
        for (pool, counts) in counts {
            if counts.expired > 0 {
                let (service, region) = (&pool.service, &pool.region);
                let expired = counts.expired;
                spdlog::warn!(
                    "slot-credits-expired service={service} region={region} credits={expired}"
                );
            }
            self.metrics.record_slot_decisions(counts);
        }
        let waiting = i64::try_from(self.slots.waiting_count()).unwrap_or(i64::MAX);
        self.metrics.waiting_slot_requests.set(waiting);
    }

    /// Sends the messages that were prepared, one datagram to each daemon.
    pub(super) fn send_slot_messages(&mut self) {
        for (host, message) in self.slots.take_messages() {
            let Some(peer) = self.peers.get(&host) else { continue };
            let receivers = vec![peer.address];
            let mut datagram = self.next_datagram(None, Vec::new());
            datagram.slot_requests = message.slot_requests;
            datagram.slot_answers = message.slot_answers;
            datagram.slot_reports = message.slot_reports;
            self.outputs.queue_datagram(OutgoingDatagram { receivers, datagram });
        }
    }

    /// Passes the decisions of a broker on this daemon to the asking daemons.
    fn deliver_slot_answers(&mut self, answers: &[slot_credit::Answer], now_ms: u64) {
        for answer in answers {
            let key = &answer.key;
            if !self.slots.is_self(&key.host) {
                let encoded = fleet::SlotAnswer::from(answer);
                self.slots.message_to(&key.host).slot_answers.push(encoded);
                continue;
            }
            let host = key.host.clone();
            let started_unix_ms = self.started_unix_ms;
            self.accept_slot_answer(&host, started_unix_ms, key.number, &answer.decision, now_ms);
        }
    }

    /// Passes the answer of a broker to the request that waits for it.
    fn accept_slot_answer(
        &mut self,
        broker: &name::HostName,
        started_unix_ms: u64,
        number: u64,
        decision: &slot_credit::Decision,
        now_ms: u64,
    ) {
        self.slots.directory.record_answer(broker);
        self.slots.ledger.record_broker(broker, started_unix_ms);
        let Some(asked) = self.slots.ledger.take_asked(number) else {
            let is_granted = matches!(decision, slot_credit::Decision::Granted(_));
            // A repeated answer must not return the credit of a call in flight.
            if is_granted && !self.slots.ledger.is_held(number) {
                self.return_unknown_slot(broker, number, now_ms);
            }
            return;
        };
        let pool = asked.pool.clone();
        let is_received = match decision {
            slot_credit::Decision::Granted(worker) => {
                let held = slot_credit::HeldCredit {
                    pool: asked.pool,
                    worker: worker.clone(),
                    broker: Some((broker.clone(), started_unix_ms)),
                };
                self.slots.ledger.hold(number, held);
                asked.waiter.send(SlotReply::Granted(worker.clone())).is_ok()
            }
            slot_credit::Decision::Queued { .. } if asked.is_queued => {
                self.slots.ledger.ask(number, asked);
                true
            }
            slot_credit::Decision::Queued { .. } => {
                let (waiter, granted) = oneshot::channel();
                let is_received = asked.waiter.send(SlotReply::Queued(granted)).is_ok();
                let (pool, broker) = (asked.pool, asked.broker);
                let queued = slot_credit::AskedCredit { pool, broker, is_queued: true, waiter };
                self.slots.ledger.ask(number, queued);
                is_received
            }
            slot_credit::Decision::NoSlot { wait_ms } => {
                // The broker has forgotten the request, so nothing is to be withdrawn.
                let _ = asked.waiter.send(SlotReply::NoSlot { wait_ms: *wait_ms });
                true
            }
        };
        if !is_received {
            let service = &pool.service;
            spdlog::debug!("slot-answer-late number={number} service={service}");
            self.handle_slot_call_end(number, slot_credit::CallEnd::Unused, now_ms);
        }
    }

    /// Returns a credit of this daemon to the broker that granted it, or withdraws a request.
    fn return_slot(
        &mut self,
        pool: &slot_credit::PoolKey,
        broker: &name::HostName,
        number: u64,
        end: slot_credit::CallEnd,
        now_ms: u64,
    ) {
        if !self.slots.is_self(broker) {
            let returned = fleet::SlotReturn::new(number, None, end);
            self.slots.report(pool, broker, Some(returned));
            return;
        }
        self.apply_own_calls(pool, now_ms);
        let key = self.slot_request_key(number);
        let broker = self.slots.broker(pool, self.catalog.directory(), now_ms);
        let answers = broker.finish(&key, end, now_ms);
        self.deliver_slot_answers(&answers, now_ms);
    }

    /// Returns a credit that this daemon does not expect any more.
    fn return_unknown_slot(&mut self, broker: &name::HostName, number: u64, now_ms: u64) {
        let returned = fleet::SlotReturn::new(number, None, slot_credit::CallEnd::Unused);
        if !self.slots.is_self(broker) {
            let report = fleet::SlotReport { returns: vec![returned], ..Default::default() };
            self.slots.message_to(broker).slot_reports.push(report);
            return;
        }
        let key = self.slot_request_key(number);
        let mut answers = Vec::new();
        for broker in self.slots.brokers_mut() {
            answers.extend(broker.finish(&key, slot_credit::CallEnd::Unused, now_ms));
        }
        self.deliver_slot_answers(&answers, now_ms);
    }

    /// Reports the calls without a credit of the current broker to it, with the end of one of them.
    fn report_slot_calls(
        &mut self,
        pool: &slot_credit::PoolKey,
        returned: Option<fleet::SlotReturn>,
        now_ms: u64,
    ) {
        let Some(broker) = self.slot_broker(pool, now_ms) else { return };
        if !self.slots.is_self(&broker) {
            self.slots.report(pool, &broker, returned);
            return;
        }
        self.apply_own_calls(pool, now_ms);
        if let Some(returned) = returned {
            let worker = name::WorkerName::from(returned.worker.as_str());
            let broker = self.slots.broker(pool, self.catalog.directory(), now_ms);
            broker.learn(&worker, returned.end(), now_ms);
        }
    }

    /// Tells the broker on this daemon which calls of this daemon have no credit of it.
    fn apply_own_calls(&mut self, pool: &slot_credit::PoolKey, now_ms: u64) {
        let host = self.lease_manager.host().clone();
        let calls = self.slots.ledger.foreign_calls(pool, &host);
        let broker = self.slots.broker(pool, self.catalog.directory(), now_ms);
        broker.set_foreign_calls(&host, &calls, now_ms);
    }

    fn slot_request_key(&self, number: u64) -> slot_credit::RequestKey {
        let host = self.lease_manager.host().clone();
        slot_credit::RequestKey { host, started_unix_ms: self.started_unix_ms, number }
    }

    /// Returns the broker of a service and region.
    fn slot_broker(&mut self, pool: &slot_credit::PoolKey, now_ms: u64) -> Option<name::HostName> {
        let known = self.slots.routes.get(pool);
        if let Some((broker, until_ms)) = known
            && now_ms < *until_ms
        {
            return Some(broker.clone());
        }
        let identity = self.lease_manager.identity();
        let is_candidate = !self.is_shutting_down && *identity.locality.region() == pool.region;
        let own = is_candidate.then_some(&identity.host);
        let live = self.peers.iter().filter(|(_, peer)| {
            *peer.locality.region() == pool.region && !peer.is_leaving && peer.is_live(now_ms)
        });
        let hosts = live.map(|(host, _)| host).chain(own);
        let broker = self.slots.directory.choose(&pool.rank_key(), hosts, now_ms)?.clone();
        if known.is_none_or(|(known, _)| *known != broker) {
            let (service, region) = (&pool.service, &pool.region);
            spdlog::info!("slot-broker service={service} region={region} broker={broker}");
        }
        let route = (broker.clone(), now_ms + ROUTE_TTL_MS);
        self.slots.routes.insert(pool.clone(), route);
        Some(broker)
    }
}
