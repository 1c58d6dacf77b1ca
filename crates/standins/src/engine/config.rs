//! Settings of an engine.

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Config {
    /// Base model that the engine serves.
    pub base_model: String,
    /// Bearer key that callers need; empty for none.
    pub key: String,
    /// Adapters that the engine can hold.
    pub slots: usize,
    /// Requests that run at one time.
    pub batch_places: usize,
    /// Most tokens that one step can process.
    pub step_token_limit: u32,
    /// Time of one step without prefill.
    pub step_us: u64,
    /// Time that each prefilled token adds to a step.
    pub prefill_token_us: u64,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Age of load reports.
    pub report_lag_ms: u64,
    /// Age at which cache events become visible.
    pub event_lag_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub refuses_old_fencing: bool,
    /// Base URL of the weight store; empty to load in `load_ms` without one.
    pub weights_url: String,
    /// Bearer key for the weight store.
    pub weights_key: String,
    /// Time of a load without a weight store.
    pub load_ms: u64,
    /// Time for which a request runs on after its connection was lost, so that it can be resumed.
    pub orphan_ms: u64,
    /// Differs after each restart.
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
