//! Measured limit on concurrent loads of base models.

use jasminetack_domain::placement;
use prost::Message;

/// Number of base model loads that the weight store serves at full speed.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct BaseLoadLimit {
    /// Concurrent loads.
    #[prost(double, tag = "1")]
    pub loads: f64,
    /// Time of the measurement on the store's clock.
    #[prost(uint64, tag = "2")]
    pub measured_store_ms: u64,
    /// Whether loads above the limit were seen to slow each other down.
    #[prost(bool, tag = "3")]
    pub is_ceiling: bool,
}

impl From<placement::BaseLoadLimit> for BaseLoadLimit {
    fn from(limit: placement::BaseLoadLimit) -> Self {
        let placement::BaseLoadLimit { loads, is_ceiling, measured_store_ms } = limit;
        Self { loads, is_ceiling, measured_store_ms }
    }
}

impl From<BaseLoadLimit> for placement::BaseLoadLimit {
    fn from(limit: BaseLoadLimit) -> Self {
        let BaseLoadLimit { loads, is_ceiling, measured_store_ms } = limit;
        Self { loads, is_ceiling, measured_store_ms }
    }
}
