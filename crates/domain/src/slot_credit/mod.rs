//! Slot credits for services whose workers run few calls at once.
//!
//! A broker per service and region assigns calls to the workers of the region; the daemons ask it for
//! each call. All state is soft: a broker that knows nothing causes rejections, but no wrong result.

mod answer;
mod broker_directory;
mod call_end;
mod credit_ledger;
mod credit_request;
mod pool_key;
mod region_search;
mod request_key;
mod slot_broker;
mod waiting_requests;
mod worker_slots;

pub use answer::{Answer, Decision};
pub use broker_directory::BrokerDirectory;
pub use call_end::CallEnd;
pub use credit_ledger::{AskedCredit, CreditLedger, HeldCredit};
pub use credit_request::CreditRequest;
pub use pool_key::PoolKey;
pub use region_search::{Conclusion, RegionSearch};
pub use request_key::RequestKey;
pub use slot_broker::{BrokerCounts, SlotBroker, WorkerCapacity};
pub use waiting_requests::WaitingRequests;
