//! Messages between daemons that call services with few slots and the brokers of these slots.

use jasminetack_domain::name;
use jasminetack_domain::slot_credit;
use prost::Message;

/// Request for a slot of a service in one region.
#[derive(Clone, PartialEq, Message)]
pub struct SlotRequest {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Region of the workers.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Number of the request within the sending process.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Team of the caller; empty if callers belong to no teams.
    #[prost(string, tag = "4")]
    pub team: String,
    /// Priority of the call; 0 is the most urgent.
    #[prost(uint32, tag = "5")]
    pub urgency: u32,
    /// Hash of the request's method, address and body.
    #[prost(fixed64, tag = "6")]
    pub caller_hash: u64,
    /// Time for which the call may wait.
    #[prost(uint64, tag = "7")]
    pub max_wait_ms: u64,
    /// Workers that the sender does not use for this call.
    #[prost(string, repeated, tag = "8")]
    pub excluded: Vec<String>,
}

/// Answer to a request for a slot.
#[derive(Clone, PartialEq, Message)]
pub struct SlotAnswer {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Worker that may be called; empty if there is none yet.
    #[prost(string, tag = "2")]
    pub worker: String,
    /// Whether the request waits for a slot; another answer follows.
    #[prost(bool, tag = "3")]
    pub is_queued: bool,
    /// Predicted wait, if no worker is named and the region has usable workers.
    #[prost(uint64, optional, tag = "4")]
    pub wait_ms: Option<u64>,
}

/// What the sender knows of the slots of a service in one region.
#[derive(Clone, PartialEq, Message)]
pub struct SlotReport {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Region of the workers.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Credits of the receiver that are returned.
    #[prost(message, repeated, tag = "3")]
    pub returns: Vec<SlotReturn>,
    /// Calls of the sender in flight without a credit of the receiver, by worker; workers that are not
    /// listed have none.
    #[prost(message, repeated, tag = "4")]
    pub foreign_calls: Vec<ForeignCalls>,
}

/// End of a call.
#[derive(Clone, PartialEq, Message)]
pub struct SlotReturn {
    /// Number of the request for the credit.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Worker of a call without a credit of the receiver; empty otherwise.
    #[prost(string, tag = "2")]
    pub worker: String,
    /// How the call ended.
    #[prost(enumeration = "SlotUse", tag = "3")]
    pub slot_use: i32,
    /// Time from sending the call to the end of the response.
    #[prost(uint64, tag = "4")]
    pub took_ms: u64,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum SlotUse {
    /// The worker responded.
    Done = 0,
    /// The worker rejected the call because it was full.
    Full = 1,
    /// The worker could not be reached or broke off the call.
    Failed = 2,
    /// The call was not sent.
    Unused = 3,
}

/// Calls in flight at one worker.
#[derive(Clone, PartialEq, Message)]
pub struct ForeignCalls {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Number of calls.
    #[prost(uint32, tag = "2")]
    pub calls: u32,
}

impl super::Datagram {
    /// Returns whether the datagram carries messages about slots, and therefore nothing else.
    #[must_use]
    pub fn concerns_slots(&self) -> bool {
        !self.slot_requests.is_empty()
            || !self.slot_answers.is_empty()
            || !self.slot_reports.is_empty()
    }
}

impl SlotRequest {
    /// Encodes a request that may wait until `request.wait_until_ms`.
    #[must_use]
    pub fn new(
        pool: &slot_credit::PoolKey,
        request: &slot_credit::CreditRequest,
        now_ms: u64,
    ) -> Self {
        let team = request.team.as_ref().map_or_else(String::new, ToString::to_string);
        Self {
            service: pool.service.to_string(),
            region: pool.region.to_string(),
            number: request.key.number,
            team,
            urgency: u32::from(request.urgency),
            caller_hash: request.caller_hash,
            max_wait_ms: request.wait_until_ms.saturating_sub(now_ms),
            excluded: request.excluded.iter().map(ToString::to_string).collect(),
        }
    }

    /// Returns the workers that are asked for.
    #[must_use]
    pub fn pool(&self) -> slot_credit::PoolKey {
        new_pool(&self.service, &self.region)
    }

    /// Decodes the request of a daemon; its waiting time begins at `now_ms`.
    #[must_use]
    pub fn request(
        &self,
        host: &name::HostName,
        started_unix_ms: u64,
        now_ms: u64,
    ) -> slot_credit::CreditRequest {
        let key =
            slot_credit::RequestKey { host: host.clone(), started_unix_ms, number: self.number };
        let team = Some(self.team.as_str()).filter(|team| !team.is_empty());
        let excluded = self.excluded.iter();
        slot_credit::CreditRequest {
            key,
            team: team.map(name::TeamName::from),
            urgency: u8::try_from(self.urgency).unwrap_or(u8::MAX),
            caller_hash: self.caller_hash,
            wait_until_ms: now_ms.saturating_add(self.max_wait_ms),
            excluded: excluded.map(|worker| name::WorkerName::from(worker.as_str())).collect(),
        }
    }
}

impl From<&slot_credit::Answer> for SlotAnswer {
    fn from(answer: &slot_credit::Answer) -> Self {
        let empty = Self { number: answer.key.number, ..Self::default() };
        match &answer.decision {
            slot_credit::Decision::Granted(worker) => Self { worker: worker.to_string(), ..empty },
            slot_credit::Decision::Queued { wait_ms } => {
                Self { is_queued: true, wait_ms: Some(*wait_ms), ..empty }
            }
            slot_credit::Decision::NoSlot { wait_ms } => Self { wait_ms: *wait_ms, ..empty },
        }
    }
}

impl From<&SlotAnswer> for slot_credit::Decision {
    fn from(answer: &SlotAnswer) -> Self {
        if !answer.worker.is_empty() {
            return Self::Granted(name::WorkerName::from(answer.worker.as_str()));
        }
        if answer.is_queued {
            return Self::Queued { wait_ms: answer.wait_ms.unwrap_or(0) };
        }
        Self::NoSlot { wait_ms: answer.wait_ms }
    }
}

impl SlotReport {
    /// Creates a report without contents.
    #[must_use]
    pub fn new(pool: &slot_credit::PoolKey) -> Self {
        Self {
            service: pool.service.to_string(),
            region: pool.region.to_string(),
            ..Self::default()
        }
    }

    /// Returns the workers that the report is about.
    #[must_use]
    pub fn pool(&self) -> slot_credit::PoolKey {
        new_pool(&self.service, &self.region)
    }

    /// Returns the calls without a credit of the receiver, by worker.
    #[must_use]
    pub fn foreign_calls(&self) -> Vec<(name::WorkerName, u32)> {
        let calls = self.foreign_calls.iter();
        calls
            .map(|foreign| (name::WorkerName::from(foreign.worker.as_str()), foreign.calls))
            .collect()
    }

    /// Sets the calls without a credit of the receiver.
    pub fn set_foreign_calls(&mut self, calls: &[(name::WorkerName, u32)]) {
        let encode = |(worker, calls): &(name::WorkerName, u32)| ForeignCalls {
            worker: worker.to_string(),
            calls: *calls,
        };
        self.foreign_calls = calls.iter().map(encode).collect();
    }
}

impl SlotReturn {
    /// Encodes the end of a call; `worker` names the worker of a call without a credit of the receiver.
    #[must_use]
    pub fn new(number: u64, worker: Option<&name::WorkerName>, end: slot_credit::CallEnd) -> Self {
        let (slot_use, took_ms) = match end {
            slot_credit::CallEnd::Done { took_ms } => (SlotUse::Done, took_ms),
            slot_credit::CallEnd::Full => (SlotUse::Full, 0),
            slot_credit::CallEnd::Failed => (SlotUse::Failed, 0),
            slot_credit::CallEnd::Unused => (SlotUse::Unused, 0),
        };
        let worker = worker.map_or_else(String::new, ToString::to_string);
        Self { number, worker, slot_use: slot_use.into(), took_ms }
    }

    /// Returns how the call ended.
    #[must_use]
    pub fn end(&self) -> slot_credit::CallEnd {
        match self.slot_use() {
            SlotUse::Done => slot_credit::CallEnd::Done { took_ms: self.took_ms },
            SlotUse::Full => slot_credit::CallEnd::Full,
            SlotUse::Failed => slot_credit::CallEnd::Failed,
            SlotUse::Unused => slot_credit::CallEnd::Unused,
        }
    }
}

fn new_pool(service: &str, region: &str) -> slot_credit::PoolKey {
    slot_credit::PoolKey {
        service: name::ServiceName::from(service),
        region: name::RegionName::from(region),
    }
}
