//! Teams of callers, the keys that authenticate them, and the limits of their requests.

mod access;
mod key_digest;
mod key_refusal;
mod quota_limit;
mod quota_unit;
#[allow(clippy::module_inception)]
mod team;
mod team_directory;

pub use access::Access;
pub use key_digest::KeyDigest;
pub use key_refusal::KeyRefusal;
pub use quota_limit::QuotaLimit;
pub use quota_unit::QuotaUnit;
pub use team::Team;
pub use team_directory::TeamDirectory;
