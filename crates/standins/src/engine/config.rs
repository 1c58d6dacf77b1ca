//! Engine configuration.

/// Engine configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Base model that the engine serves.
    pub base_model: String,
    /// Bearer key required of callers; empty for no authorization.
    pub key: String,
    /// Number of adapter slots.
    pub slots: usize,
    /// Maximum number of requests in a batch.
    pub batch_places: usize,
    /// Maximum number of tokens processed per step.
    pub step_token_limit: u32,
    /// Duration of a step without prefill, in microseconds.
    pub step_us: u64,
    /// Additional step time per prefilled token, in microseconds.
    pub prefill_token_us: u64,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Staleness of load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Delay until cache events become visible, in milliseconds.
    pub event_lag_ms: u64,
    /// Whether requests with a stale fencing number are rejected.
    pub refuses_old_fencing: bool,
    /// Base URL of the weight store; empty to simulate loads that take `load_ms`.
    pub weights_url: String,
    /// Bearer key for the weight store.
    pub weights_key: String,
    /// Duration of a load without a weight store, in milliseconds.
    pub load_ms: u64,
    /// Time for which a request keeps running after its connection is lost, so that it can be
    /// resumed, in milliseconds.
    pub orphan_ms: u64,
    /// Incarnation number, different after each restart.
    pub incarnation: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            base_model: "base".to_owned(),
            key: String::new(),
            slots: 4,
            batch_places: 16,
            step_token_limit: 512,
            step_us: 10_000,
            prefill_token_us: 20,
            cache_blocks: 256,
            report_lag_ms: 500,
            event_lag_ms: 1_000,
            refuses_old_fencing: true,
            weights_url: String::new(),
            weights_key: String::new(),
            load_ms: 250,
            orphan_ms: 2_000,
            incarnation: 1,
        }
    }
}
