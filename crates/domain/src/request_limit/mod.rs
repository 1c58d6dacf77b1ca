//! Rates of requests that workers accept from all daemons together.
//!
//! A worker with a limit has a sequence of permits, evenly spaced at the limit on the store's clock. Each
//! permit belongs to one daemon by rendezvous hashing, so that daemons that know the same limit and the
//! same daemons divide it without a message, and one that starts or ends changes only its own permits.

mod limit_change;
mod limit_record;
mod observation;
mod permit;
mod permit_schedule;
mod request_limits;
mod worker_permits;

pub use limit_change::LimitChange;
pub use limit_record::{LimitRecord, StatedLimit};
pub use observation::Observation;
pub use permit::Permit;
pub use permit_schedule::PermitSchedule;
pub use request_limits::RequestLimits;
